"""The policies that the experiment compares; all have the interface of `PlacementPolicy`."""

import random as random_module
from collections.abc import Callable
from collections.abc import Sequence

from crocusrudder.placement import demand
from crocusrudder.placement import interference
from crocusrudder.placement import model
from crocusrudder.placement import policy
from crocusrudder.placement import reactions
from crocusrudder.placement import scoring
from crocusrudder.wire import messages
from tools.experiment import fake
from tools.experiment import loads

FittingWorkers = list[tuple[model.WorkerView, scoring.FreeResources]]


class Baseline:
    """Place on a random worker that fits by declared size, without learning or reactions."""

    def __init__(self, random: random_module.Random) -> None:
        self._random = random

    def choose_worker(
        self, task: model.PlacementTask, workers: Sequence[model.WorkerView], now: float
    ) -> str | None:
        """Return a worker on which the task fits, or None if there is none."""
        free_resources = [
            scoring.compute_free(view.capacity, view.reserved, ()) for view in workers
        ]
        pairs = zip(workers, free_resources, strict=True)
        fitting = [(view, free) for view, free in pairs if free.fits(task.size)]
        return self.choose(task, fitting) if fitting else None

    def choose(self, task: model.PlacementTask, fitting: FittingWorkers) -> str:
        return self._random.choice(fitting)[0].worker

    def record_start(self, *_: object) -> None:
        """Ignore a start."""

    def record_report(self, *_: object) -> None:
        """Ignore a report."""

    def record_end(self, *_: object) -> None:
        """Ignore an end."""

    def remove_job(self, *_: object) -> None:
        """Ignore the end of a job."""

    def propose_reactions(self, *_: object) -> list[model.Reaction]:
        """Return no reactions."""
        return []

    def propose_preemption(self, *_: object) -> None:
        """Preempt nothing."""

    def find_permanent_failure(self, _: object) -> None:
        """Report no permanent failure."""

    def is_quarantined(self, *_: object) -> bool:
        """Return False; no worker is quarantined."""
        return False

    def estimate_size(
        self, _: str, declared: messages.Resources, *__: object
    ) -> messages.Resources:
        return declared


class LeastLoaded(Baseline):
    """Place on the worker with the most free processors."""

    def choose(self, task: model.PlacementTask, fitting: FittingWorkers) -> str:
        return max(fitting, key=lambda pair: (pair[1].millicores, self._random.random()))[0].worker


class BestFit(Baseline):
    """Place on the worker with the fewest free processors by declared sizes."""

    def choose(self, task: model.PlacementTask, fitting: FittingWorkers) -> str:
        return min(fitting, key=lambda pair: (pair[1].millicores, self._random.random()))[0].worker


class PowerOfTwo(Baseline):
    """Place on the less loaded of two random workers."""

    def choose(self, task: model.PlacementTask, fitting: FittingWorkers) -> str:
        candidates = self._random.sample(fitting, min(2, len(fitting)))
        return max(candidates, key=lambda pair: pair[1].millicores)[0].worker


class TrueInterference(interference.InterferenceModel):
    """Interference model of the oracle: the true slopes at the present load."""

    def __init__(self, load: loads.Load, cell: fake.FakeCell, clock: Callable[[], float]) -> None:
        super().__init__()
        self._cell = cell
        self._clock = clock
        self._slopes = {
            (service.name, job_class.name): (index, job_class.slopes[index])
            for index, service in enumerate(load.services)
            for job_class in load.classes
        }

    def estimate(self, service: str, job_class: str) -> interference.PairEstimate:
        """Return the true slowdown, without uncertainty."""
        index, slope = self._slopes[(service, job_class)]
        factor = self._cell.compute_slope_factor(index, self._clock())
        return interference.PairEstimate(slope * factor, 0.0, 1_000_000)


class TrueSizes(demand.DemandModel):
    """Demand model of the oracle: the true size of each job."""

    def __init__(self, load: loads.Load) -> None:
        super().__init__()
        self._sizes = {
            job.job: messages.Resources(
                round(load.classes[job.job_class].millicores * job.scale),
                round(load.classes[job.job_class].memory_mb * job.scale),
            )
            for job in load.jobs
        }

    def estimate_size(
        self,
        job_class: str,
        declared: messages.Resources,
        task: str | None = None,
        job: str | None = None,
    ) -> messages.Resources:
        return self._sizes[job]


def make_policy(
    name: str,
    profile: loads.LoadProfile,
    load: loads.Load,
    cell: fake.FakeCell,
    clock: Callable[[], float],
    random: random_module.Random,
) -> Baseline | policy.PlacementPolicy:
    """Return the policy of this name; the oracle reads ``load`` and ``cell``."""
    if name in BASELINES:
        return BASELINES[name](random)
    settings = policy.PolicySettings(
        slowdown_limit=profile.slowdown_limit, grace_period_seconds=profile.grace_period_seconds
    )
    if name == "reactive":
        reaction_settings = reactions.ReactionSettings(use_interference=False)
        return policy.PlacementPolicy(
            random, policy.PolicySettings(use_interference=False, reaction=reaction_settings)
        )
    if name == "oracle":
        pairs = TrueInterference(load, cell, clock)
        return policy.PlacementPolicy(random, settings, pairs, TrueSizes(load))
    return policy.PlacementPolicy(random, settings)


BASELINES: dict[str, Callable[[random_module.Random], Baseline]] = {
    "random": Baseline,
    "least-loaded": LeastLoaded,
    "best-fit": BestFit,
    "power-of-two": PowerOfTwo,
}
NAMES = (*BASELINES, "reactive", "ours", "oracle")

"""Decide how long a place near a task's data or group is worth waiting for.

Load pattern: many jobs want the same rack, which is full while other racks have room. A task that
goes elsewhere at once runs several times as long and takes that much more capacity from others; a
task that waits may wait for a place that comes too late. Places are compared by the expected end:
far, from now on, against the expected wait and the duration near. See docs/design/locality.md.
"""

import enum
import heapq
import itertools
import math
import statistics
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from crocusrudder.wire import messages
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import starvation
from crocusrudder.workflows.decisions import waiting

MAX_IDLE_SECONDS = starvation.STARVED_SECONDS
"""Longest wait of a job with nothing running; from then on it takes any worker."""
LATE_SHARE = 0.84
"""Share of the waits that are over by a place's ``late_seconds``: one standard deviation."""
STOP_SECONDS = 0.9
"""Time that a run which is being stopped still takes at most."""
RATE_DEVIATION = 0.1
"""Deviation of the logarithm of a duration that follows from a run's progress, beside rounding."""
NEVER_ENDING_SHARE = 1e-6
"""Share of runs that last as long as one that counts as never ending."""

_NORMAL = statistics.NormalDist()


class Place(NamedTuple):
    """When a place for a task is expected to be free, in seconds from now; 0 for free now."""

    seconds: float
    late_seconds: float


NOW = Place(0.0, 0.0)
NEVER = Place(math.inf, math.inf)


class Outcome(enum.Enum):
    """Why a stage does not wait for near places, or no longer."""

    NEAR = "near"
    """Its tasks have near places."""
    NOT_WORTH = "not_worth"
    """The task is expected to end sooner far away."""
    WAITED_OUT = "waited_out"
    """No task of the stage has got a near place for as long as one can save."""
    OBJECTIVE = "objective"
    """The job is in time far away, but perhaps not after the wait."""
    NOTHING_RUNNING = "nothing_running"
    """The job has nothing running, and the place comes too late for that."""
    NO_RACK = "no_rack"
    """The rack has no worker on which the tasks may run as soon as there is room."""
    GONE = "gone"
    """The stage has no task left to place, or has failed or been cancelled."""


class Wish(NamedTuple):
    """Tasks of a stage that run faster in one rack."""

    tasks: int
    seconds: float
    """Expected duration of a task near its data and group."""
    is_together: bool = False
    """Whether one task elsewhere slows all tasks of the stage."""
    is_gang: bool = False
    slack_seconds: float = math.inf
    """By how much the job is early if all its tasks start near from now on; negative if late."""
    idle_seconds: float | None = None
    """For how long the job has had nothing running; None if something runs."""
    waited_seconds: float = 0.0
    """Time for which the stage has waited without a near place for any task."""


class Verdict(NamedTuple):
    """What the pending tasks of a stage do; the rest of them go anywhere."""

    near: int
    """Tasks that have near places now."""
    waiting: int
    used: int
    """Places that they take; fewer than tasks if later ones follow earlier ones."""
    wait: Place
    """The last place that the stage waits for, or the first that does not pay."""
    near_seconds: float
    """Expected time to the end of the last task that has or gets a near place."""
    far_seconds: float
    """Expected time to the end of a task that goes elsewhere now."""
    outcome: Outcome
    """Why the rest goes elsewhere; ``NEAR`` if there is no rest."""
    far_first: int = 0
    """Tasks that go elsewhere before any task waits, so that the job has something running."""


class Gain(NamedTuple):
    """What a near place is worth to a stage; the larger one gets a contended place."""

    is_decisive: bool
    """Whether the job is in time near but not far away."""
    seconds: float


def compute_gain(wish: Wish, far_factor: float) -> Gain:
    """Return what a place that is free now is worth."""
    seconds = (far_factor - 1.0) * wish.seconds
    return Gain(0.0 <= wish.slack_seconds < seconds, seconds)


def compute_slack(
    job: model.Job, completed: frozenset[int], queue: model.Queue, wall_time: float
) -> float:
    """Return by how much a job is early if all its tasks start near from now on.

    Jobs with due times, long-running stages or stages of unknown duration have no objective.
    """
    if job.occurrences or any(s.long_running or s.estimated_seconds <= 0 for s in job.stages):
        return math.inf
    objective = queue.stretch * waiting.compute_chain_seconds(job.stages) + queue.objective_seconds
    remaining = waiting.compute_chain_seconds(job.stages, completed)
    return objective - (wall_time - job.accepted_at) - remaining


def compute_mean(median: float, deviation: float) -> float:
    """Return the mean of a duration whose logarithm has the given deviation."""
    return median * math.exp(deviation * deviation / 2.0)


def estimate_remaining(
    median: float, deviation: float, age: float | None, percent: int, progress_age: float
) -> Place:
    """Return when a run is expected to end that is not over yet.

    ``progress_age`` is the run's age when it reached ``percent``. Both ages are unknown, and
    ``age`` is None, for a run that an earlier owner ordered.
    """
    if median <= 0:
        return NEVER
    deviation = max(deviation, RATE_DEVIATION)
    if age is None:
        age = median * min(percent, 99) / 100.0
    elif 0 < percent < 100 and progress_age > 0:
        own = math.hypot(RATE_DEVIATION, 1.0 / percent)
        weight = deviation**2 / (deviation**2 + own**2)
        median *= (progress_age * 100.0 / percent / median) ** weight
        deviation *= math.sqrt(1.0 - weight)
    if age <= 0:
        seconds = compute_mean(median, deviation)
        return Place(seconds, median * math.exp(deviation * _NORMAL.inv_cdf(LATE_SHARE)))
    position = math.log(median / age) / deviation
    lasting = _NORMAL.cdf(position)
    if lasting < NEVER_ENDING_SHARE:
        return NEVER
    mean = compute_mean(median, deviation) * _NORMAL.cdf(position + deviation) / lasting
    late = median * math.exp(-deviation * _NORMAL.inv_cdf(lasting * (1.0 - LATE_SHARE)))
    return Place(max(mean - age, 0.0), max(late - age, 0.0))


def add_demand(total: messages.Resources, spec: model.Stage, count: int) -> messages.Resources:
    """Return a total with what a number of tasks of a stage take added."""
    demand = spec.demand
    return messages.Resources(
        total.millicores + count * demand.millicores,
        total.memory_mb + count * demand.memory_mb,
        total.accelerators + count * demand.accelerators,
    )


def count_places(taken: messages.Resources, spec: model.Stage) -> float:
    """Return how many places for tasks of a stage are taken, by the scarcest resource."""
    pairs = (
        (taken.millicores, spec.demand.millicores),
        (taken.memory_mb, spec.demand.memory_mb),
        (taken.accelerators, spec.demand.accelerators),
    )
    return max((used / own for used, own in pairs if own), default=0.0)


def decide(wish: Wish, places: Iterable[Place], taken: float, far_factor: float) -> Verdict:
    """Return which tasks of a stage have near places, wait for one or go elsewhere.

    ``places`` are the places in the rack, of which the first ``taken`` go to stages that gain more.
    """
    first = math.ceil(taken - 1e-9)
    own = sorted(places)[first : first + wish.tasks]
    if wish.is_together:
        return _decide_together(wish, own, far_factor)
    return _decide_each(wish, own, far_factor)


def _decide_each(wish: Wish, places: list[Place], far_factor: float) -> Verdict:
    """Decide for tasks that are slowed only by their own distance."""
    turns = itertools.chain(_iterate_turns(places, wish.seconds), itertools.repeat((NEVER, False)))
    near = waiting = far_first = used = 0
    outcome = Outcome.NEAR
    last = NOW
    wait, is_again = next(turns)
    for _ in range(wish.tasks):
        outcome = _find_objection(wish, wait, far_factor)
        # One task is enough for a job with nothing running.
        wish = wish._replace(idle_seconds=None)
        if outcome is Outcome.NOTHING_RUNNING:
            far_first = 1
        elif outcome is not Outcome.NEAR:
            break
        else:
            last = wait
            near += wait.seconds <= 0
            waiting += wait.seconds > 0
            used += not is_again
            wait, is_again = next(turns)
    far_seconds = far_factor * wish.seconds
    if far_first and outcome is Outcome.NEAR:
        outcome = Outcome.NOTHING_RUNNING
    near_seconds = last.seconds + wish.seconds
    # The place that decided: the first that does not pay, else the last that a task waits for.
    decisive = last if outcome is Outcome.NEAR else wait
    return Verdict(near, waiting, used, decisive, near_seconds, far_seconds, outcome, far_first)


def _decide_together(wish: Wish, places: list[Place], far_factor: float) -> Verdict:
    """Decide for tasks of which one elsewhere slows all of their stage."""
    turns = [(place, False) for place in places]
    if not wish.is_gang:
        turns = _iterate_turns(places, wish.seconds)
    turns = list(itertools.islice(turns, wish.tasks))
    chosen = [place for place, _ in turns]
    last = chosen[-1] if len(chosen) == wish.tasks else NEVER
    first = last if wish.is_gang or not chosen else chosen[0]
    outcome = _find_objection(wish._replace(idle_seconds=None), last, far_factor)
    if outcome is Outcome.NEAR:
        outcome = _find_objection(wish, first, far_factor)
    near = waiting = used = 0
    if outcome is Outcome.NEAR:
        used = sum(not is_again for _, is_again in turns)
        near = sum(place.seconds <= 0 for place in chosen)
        if wish.is_gang and near < wish.tasks:
            near = 0
        waiting = wish.tasks - near
    near_seconds = last.seconds + wish.seconds
    far_seconds = far_factor * wish.seconds
    return Verdict(near, waiting, used, last, near_seconds, far_seconds, outcome)


def _iterate_turns(places: list[Place], seconds: float) -> Iterator[tuple[Place, bool]]:
    """Yield the places for one task after the other, and whether an earlier one has left it."""
    upcoming = [(place, False) for place in places]
    while upcoming:
        place, is_again = upcoming[0]
        yield place, is_again
        following = Place(place.seconds + seconds, place.late_seconds + seconds)
        heapq.heapreplace(upcoming, (following, True))


def _find_objection(wish: Wish, place: Place, far_factor: float) -> Outcome:
    """Return why not to wait for a place; ``NEAR`` if it pays or the place is free."""
    if place.seconds <= 0:
        return Outcome.NEAR
    gain_seconds = (far_factor - 1.0) * wish.seconds
    if place.seconds > gain_seconds:
        return Outcome.NOT_WORTH
    if wish.waited_seconds >= gain_seconds:
        return Outcome.WAITED_OUT
    is_far_in_time = gain_seconds <= wish.slack_seconds
    if is_far_in_time and place.late_seconds > wish.slack_seconds:
        return Outcome.OBJECTIVE
    if wish.idle_seconds is not None and wish.idle_seconds + place.late_seconds > MAX_IDLE_SECONDS:
        return Outcome.NOTHING_RUNNING
    return Outcome.NEAR

"""Decide which best-effort tasks may run beside latency-critical ones.

The interference of a pair of images is measured where both run, and predicted from then on; an
untested pair is one that has not been measured enough.
"""

from collections.abc import Iterable

from crocusrudder.core import ids
from crocusrudder.workflows import fleet
from crocusrudder.workflows import model
from crocusrudder.workflows import waiting_reasons
from crocusrudder.workflows.decisions import candidates
from crocusrudder.workflows.decisions import throttling

MAX_TESTS = 3
"""Workers on which an image of unknown interference runs beside latency-critical tasks at a time.
What one shows holds for the others too, and one may fail or show nothing."""
MIN_PLACED_SHARE = 0.7
"""Expected CPU share from which a best-effort task is placed; below, it would take more than twice
as long as it may be late."""
MIN_TESTED_SHARE = 0.25
"""The same for a task that shows the interference of its image."""
FULL_SHARE = 0.95
"""Expected CPU share from which a task counts as not throttled."""


class ColocationRules:
    """Rules for best-effort tasks on workers that run latency-critical tasks."""

    def __init__(self, controller: throttling.ThrottleController) -> None:
        self._controller = controller
        self._testing: dict[str, set[ids.ProcessId]] = {}
        """Agents on which an image's interference is being measured."""

    def begin_plan(self, views: Iterable[fleet.AgentView]) -> None:
        """Begin a plan: find the images that are being tested."""
        self._testing = {}
        for view in views:
            for image in view.usage.best_effort_by_image:
                # A paused run does not interfere, so its worker measures nothing.
                if not self._controller.is_paused(view, image):
                    self.record_tests(view, image)

    def record_tests(self, view: fleet.AgentView, image: str) -> None:
        """Record that a run of the image is tested on the view's worker if it is untested there."""
        if self._controller.list_untested(view, image):
            self._testing.setdefault(image, set()).add(view.agent)

    def may_test(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
        """Return whether a best-effort task may test its image beside others on a worker.

        Load pattern: a stage of dozens of tasks of a new image on workers that all serve. Each
        test may cost the latency-critical tasks time over their target, and further tests of the
        same image at the same time teach little.
        """
        return (
            not spec.best_effort
            or len(self._testing.get(spec.image, ())) < MAX_TESTS
            or not self._controller.list_untested(candidate.view, spec.image)
        )

    def find_obstacle(
        self, candidate: candidates.CandidateWorker, spec: model.Stage
    ) -> waiting_reasons.WaitReason | None:
        """Return why latencies may exceed their target beside a best-effort task; None if not.

        While the interference of one image is being measured on a worker, no other image whose
        interference is unknown is added.
        """
        if not candidate.latency_critical_count:
            return None
        view = candidate.view
        controller = self._controller
        is_tested = controller.is_tested(view, spec)
        if is_tested and self.is_harmless(candidate, spec):
            return None
        if controller.is_near_target(view):
            return waiting_reasons.WaitReason.NEAR_TARGET
        if not is_tested and controller.is_probing(view):
            return waiting_reasons.WaitReason.PROBING
        least = MIN_PLACED_SHARE if is_tested else MIN_TESTED_SHARE
        if controller.predict_cpu_share(view, spec) < least:
            return waiting_reasons.WaitReason.PREDICTED_LATENCY
        return None

    def rank(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> tuple[int, float]:
        """Rank a worker for a best-effort task by its latency-critical tasks; lower is better.

        Images that are known not to interfere leave the workers without latency-critical tasks to
        those that do. Images of unknown interference prefer these workers.
        """
        if not candidate.latency_critical_count:
            return 1, 0.0
        view = candidate.view
        if not self._controller.is_tested(view, spec):
            return 3, 0.0
        if self.is_harmless(candidate, spec):
            return 0, 0.0
        return 2, -round(self._controller.predict_cpu_share(view, spec), 1)

    def is_harmless(self, candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
        """Return whether one more task is not expected to be throttled at any load."""
        if not candidate.latency_critical_count:
            return True
        share = self._controller.predict_cpu_share(candidate.view, spec, at_peak=True)
        return share >= FULL_SHARE

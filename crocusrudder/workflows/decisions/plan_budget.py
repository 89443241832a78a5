"""Limit what one plan assigns, and divide it among jobs.

Load pattern: a job of thousands of tasks beside small ones. While a plan is made, the owner neither
renews its lease nor applies reports, so a plan ends after a number of assignments and the next one
goes on. Jobs of equal priority take turns, so that small jobs do not wait for a large one.
"""

MAX_ASSIGNMENTS = 500
"""Tasks assigned by one plan, at 0.05 ms each."""
MAX_ASSIGNMENTS_PER_TURN = 125
"""Tasks of one job assigned before other jobs of its priority get a turn; the users' stages have 78
at most."""


class PlanBudget:
    """Assignments that the present plan, and the present turn of a job, may still make."""

    def __init__(self) -> None:
        self._left = MAX_ASSIGNMENTS
        self._left_in_turn = MAX_ASSIGNMENTS_PER_TURN

    @property
    def is_spent(self) -> bool:
        """Return whether the plan has to end."""
        return self._left <= 0

    @property
    def is_turn_over(self) -> bool:
        """Return whether the present job has to wait for its next turn or the next plan."""
        return self.is_spent or self._left_in_turn <= 0

    def begin_plan(self) -> None:
        self._left = MAX_ASSIGNMENTS

    def begin_turn(self) -> None:
        self._left_in_turn = MAX_ASSIGNMENTS_PER_TURN

    def record_assignment(self) -> None:
        """Count an assignment; one gang may exceed what is left, as it is not divided."""
        self._left -= 1
        self._left_in_turn -= 1

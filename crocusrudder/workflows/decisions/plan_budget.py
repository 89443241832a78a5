"""Limit what one plan does, and divide it among jobs.

Load pattern: a job of thousands of tasks, or thousands of jobs that fit nowhere, beside small ones.
While a plan is made, the owner neither renews its lease nor applies reports, so a plan ends after a
number of assignments and attempts, and the next one goes on. Jobs of equal priority take turns, so
that small jobs do not wait for a large one.
"""

MAX_ASSIGNMENTS = 500
"""Tasks assigned by one plan, at 0.05 ms each."""
MAX_ASSIGNMENTS_PER_TURN = 125
"""Tasks of one job assigned before other jobs of its priority get a turn; the users' stages have 78
at most."""
MAX_SEARCH_COST = 300_000
"""Time that one plan takes for tasks without a worker, in units of about 1 us. With 1,128 workers
it covers 260 shapes of tasks, of which each takes a ranking of all workers."""
ATTEMPT_COST = 10
"""Cost of a stage for whose tasks workers are sought in vain, beside that of the workers that are
examined, at 1 each."""
MAX_TASKS_CREATED = 20_000
"""Tasks for which one plan creates state, at 4 us each."""


class PlanBudget:
    """What the present plan, and the present turn of a job, may still do."""

    def __init__(self) -> None:
        self._left = MAX_ASSIGNMENTS
        self._left_in_turn = MAX_ASSIGNMENTS_PER_TURN
        self._search_left = MAX_SEARCH_COST
        self._tasks_left = MAX_TASKS_CREATED

    @property
    def is_spent(self) -> bool:
        """Return whether the plan has to end."""
        return self._left <= 0 or self.is_search_over

    @property
    def is_search_over(self) -> bool:
        """Return whether the plan has to end before it has tried all jobs."""
        return self._search_left <= 0 or self._tasks_left <= 0

    @property
    def is_turn_over(self) -> bool:
        """Return whether the present job has to wait for its next turn or the next plan."""
        return self.is_spent or self._left_in_turn <= 0

    def begin_plan(self) -> None:
        self._left = MAX_ASSIGNMENTS
        self._search_left = MAX_SEARCH_COST
        self._tasks_left = MAX_TASKS_CREATED

    def begin_turn(self) -> None:
        self._left_in_turn = MAX_ASSIGNMENTS_PER_TURN

    def record_states(self, tasks: int) -> None:
        """Count tasks that have got state; one stage may exceed what is left."""
        self._tasks_left -= tasks

    def record_attempt(self, workers: int) -> None:
        """Count a stage that keeps tasks without a worker, for which so many were examined."""
        self._search_left -= ATTEMPT_COST + workers

    def record_assignment(self) -> None:
        """Count an assignment; one gang may exceed what is left, as it is not divided."""
        self._left -= 1
        self._left_in_turn -= 1

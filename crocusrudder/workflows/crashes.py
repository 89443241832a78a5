"""Count the crashes of workers under a task, and fail jobs whose tasks keep causing them.

All runs on a worker end with it, and most of them are harmless. So each run that had just started
is a suspect only, and a job fails when the same task is a suspect again and again. A run that stays
alive clears its task.
"""

from collections.abc import Iterable

from crocusrudder.core import effects
from crocusrudder.core import ids
from crocusrudder.wire import workflow_messages
from crocusrudder.workflows import crash_history
from crocusrudder.workflows import fleet
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import crash_evidence

MAX_CRASHES = 5
"""Crashes under a task at which its job fails, conclusive or not. A task must not be started three
times more after three crashes."""
MAX_WEIGHT = 4
"""Sum of the weights of the crashes under a task at which its job fails, if one was conclusive; one
or two may be faults of machines."""
CONCLUSIVE_WEIGHT = 2
"""Weight of a crash right after the start of the task while all runs of other jobs had outlived
theirs; other crashes have the weight 1."""
PROMPT_SECONDS = 0.1
"""Greatest age of a suspect whose start coincides with the crash. A task that crashes its
worker does so within some milliseconds, and the agent notices the closed connection as fast; faults
of machines rarely hit this moment."""
OUTLIVED_SECONDS = 0.3
"""Least age of the runs of other jobs at a conclusive crash."""
MAX_LOGGED_SUSPECTS = 20


class CrashRegister:
    """Apply the crashes that agents report to the jobs of the suspects."""

    def __init__(self, epoch: model.OwnerEpoch, jobs: job_registry.JobRegistry) -> None:
        self._epoch = epoch
        self._job_registry = jobs
        self._logged_crashes: set[tuple[ids.ProcessId, ids.WorkerId, int]] = set()
        self._charged: set[tuple[ids.ProcessId, ids.WorkerId, int]] = set()
        """Crashes that have been charged, by agent, worker and start of the worker. Charged again
        after their suspects were cleared, they would count against the other suspects."""
        self._logged: list[effects.LogChange] = []

    def drain_log(self) -> list[effects.LogChange]:
        """Return the decisions logged since the last call, and clear them."""
        logged, self._logged = self._logged, []
        return logged

    def handle(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, wall_time: float
    ) -> None:
        """Apply the crashes in a report; a repeated crash changes nothing."""
        for crash in report.crashes:
            key = (view.agent, crash.worker, crash.born_ms)
            if key in self._charged:
                continue
            suspects = self._list_suspects(crash)
            charged = select_charged(suspects)
            if charged:
                self._charged.add(key)
            for task, suspect in charged:
                if task.record.is_final:
                    continue
                # A machine that is at fault itself must not decide on a task twice.
                task.avoided_agents.add(view.agent)
                crash_history.record_crash(
                    task,
                    suspect.run,
                    crash.worker,
                    suspect.least_age_seconds <= PROMPT_SECONDS,
                    is_conclusive(suspect, crash.suspects),
                )
            self._log_crash(view, crash, suspects)
            for task, _ in charged:
                self._check_limit(task, wall_time)

    def record_running(
        self, view: fleet.AgentView, report: workflow_messages.AgentReport, now: float
    ) -> None:
        """Clear the suspected tasks whose runs have stayed alive."""
        listed_at = now - report.list_age_seconds
        for running in report.running:
            assignment = view.assignments.get((running.task, running.run))
            task = assignment.task if assignment else None
            if task is None or not crash_history.is_suspect(task):
                continue
            if task.alive_run != running.run:
                task.alive_run = running.run
                task.alive_since = listed_at
            if _is_alive(task, running.run, listed_at):
                crash_history.record_survival(task, running.run)

    def _list_suspects(
        self, crash: workflow_messages.WorkerCrash
    ) -> list[tuple[job_registry.Task, workflow_messages.SuspectRun]]:
        """Return the suspects whose tasks are known and have not outlived a later start."""
        found = ((self._job_registry.find_task(run.task), run) for run in crash.suspects)
        return [
            (task, run)
            for task, run in found
            if task is not None
            and task.phase is not job_registry.TaskPhase.DONE
            and run.run >= crash_history.get_crashes(task).survived_run
        ]

    def _check_limit(self, task: job_registry.Task, wall_time: float) -> None:
        """Fail the job of a task whose crashes weigh enough."""
        record = task.record
        history = crash_history.get_crashes(task)
        if record.is_final or not is_at_fault(history):
            return
        record.finish(model.JobState.FAILED, wall_time)
        self._log(
            "job_failed",
            job=record.job.job_id,
            task=task.name,
            cause="crashes",
            runs=list(history.runs),
            workers=list(history.workers),
        )

    def _log_crash(
        self,
        view: fleet.AgentView,
        crash: workflow_messages.WorkerCrash,
        suspects: list[tuple[job_registry.Task, workflow_messages.SuspectRun]],
    ) -> None:
        key = (view.agent, crash.worker, crash.born_ms)
        if key in self._logged_crashes:
            return
        self._logged_crashes.add(key)
        self._log(
            "worker_crashed",
            agent=view.agent,
            worker=crash.worker,
            suspect_count=len(suspects),
            suspects=[
                {
                    "task": task.name,
                    "run": run.run,
                    "age_s": run.age_seconds,
                    "least_age_s": run.least_age_seconds,
                    "crashes": len(crash_history.get_crashes(task).runs),
                }
                for task, run in suspects[:MAX_LOGGED_SUSPECTS]
            ],
        )

    def _log(self, name: str, **fields: object) -> None:
        self._logged.append(effects.LogChange(name, {"epoch": self._epoch, **fields}))


def compute_weight(history: model.CrashHistory) -> int:
    """Return the sum of the weights of the crashes under a task."""
    return len(history.runs) + (CONCLUSIVE_WEIGHT - 1) * len(history.conclusive_runs)


def is_at_fault(history: model.CrashHistory) -> bool:
    """Return whether the crashes under a task weigh enough to give it up."""
    if len(history.runs) >= MAX_CRASHES:
        return True
    return bool(history.conclusive_runs) and compute_weight(history) >= MAX_WEIGHT


def select_charged(
    suspects: list[tuple[job_registry.Task, workflow_messages.SuspectRun]],
) -> list[tuple[job_registry.Task, workflow_messages.SuspectRun]]:
    """Return the suspects to which a crash is charged: those of earlier crashes, else all.

    A suspect that had only just started is charged beside those of earlier crashes. Otherwise a
    deadly task would go uncharged, and without a trial, while they share its worker. Those that had
    outlived their start by then are not charged, as the crash coincides with the start of another.
    """
    if any(suspect.age_seconds <= PROMPT_SECONDS for _, suspect in suspects):
        suspects = [item for item in suspects if item[1].least_age_seconds <= OUTLIVED_SECONDS]
    repeated = [
        (task, suspect)
        for task, suspect in suspects
        if any(run < suspect.run for run in crash_history.get_crashes(task).runs)
    ]
    if not repeated:
        return suspects
    return [item for item in suspects if item in repeated or item[1].age_seconds <= PROMPT_SECONDS]


def is_conclusive(
    suspect: workflow_messages.SuspectRun, suspects: Iterable[workflow_messages.SuspectRun]
) -> bool:
    """Return whether a run's start coincides with the crash, and no run of another job's does."""
    return suspect.age_seconds <= PROMPT_SECONDS and all(
        other.least_age_seconds > OUTLIVED_SECONDS
        for other in suspects
        if model.get_job(other.task) != model.get_job(suspect.task)
    )


def _is_alive(task: job_registry.Task, run: int, listed_at: float) -> bool:
    """Return whether a run has stayed alive, with all members if the task is in a gang."""
    members = task.stage.tasks if task.stage.spec.gang else [task]
    return all(
        member.alive_run == run
        and listed_at - member.alive_since >= crash_evidence.CRASH_WINDOW_SECONDS
        for member in members
    )

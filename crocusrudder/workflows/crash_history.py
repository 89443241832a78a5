"""Crashes of workers under a task, as stored in the progress of its job."""

from crocusrudder.core import ids
from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model


def get_crashes(task: job_registry.Task) -> model.CrashHistory:
    """Return the crashes of workers under a task; members of a gang share them."""
    key = task.stage.make_failure_key(task)
    return task.record.progress.crashes.get(key, model.CrashHistory())


def is_suspect(task: job_registry.Task) -> bool:
    """Return whether workers have crashed under a task and no run has stayed alive since."""
    return bool(task.record.progress.crashes) and bool(get_crashes(task).runs)


def needs_trial(task: job_registry.Task) -> bool:
    """Return whether the next run of a task is likely to crash its worker.

    A run that was merely recent at one crash starts like any other.
    """
    if not task.record.progress.crashes:
        return False
    history = get_crashes(task)
    return bool(history.prompt_runs) or len(history.runs) > 1


def record_crash(
    task: job_registry.Task,
    run: int,
    worker: ids.WorkerId,
    is_prompt: bool = False,
    is_conclusive: bool = False,
) -> None:
    """Record the crash of a worker on which a run had just started, once per run number."""
    known = get_crashes(task)
    if run in known.runs:
        return
    history = model.CrashHistory(
        (*known.runs, run),
        (*known.workers, worker),
        (*known.conclusive_runs, run) if is_conclusive else known.conclusive_runs,
        known.survived_run,
        (*known.prompt_runs, run) if is_prompt else known.prompt_runs,
    )
    _set_crashes(task, history)


def record_survival(task: job_registry.Task, run: int) -> None:
    """Record that a run stayed alive, which clears its task of earlier crashes."""
    _set_crashes(task, model.CrashHistory(survived_run=run))


def _set_crashes(task: job_registry.Task, history: model.CrashHistory) -> None:
    task.record.set_crashes(task, history)

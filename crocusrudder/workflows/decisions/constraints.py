"""Constraints of a stage on the workers of its tasks."""

from crocusrudder.workflows import job_registry
from crocusrudder.workflows import model
from crocusrudder.workflows.decisions import candidates


def allows(candidate: candidates.CandidateWorker, stage: job_registry.StageRecord) -> bool:
    """Return whether a worker has the stage's label and may take one more of its tasks."""
    return (
        has_label(candidate, stage.spec)
        and not is_at_limit(candidate, stage)
        and not is_cold_at_limit(candidate)
    )


def is_cold_at_limit(candidate: candidates.CandidateWorker) -> bool:
    """Return whether a worker is cold and has as many runs as it may have until it is warm."""
    return len(candidate.view.assignments) >= candidate.view.max_runs


def has_label(candidate: candidates.CandidateWorker, spec: model.Stage) -> bool:
    """Return whether a worker has the label that a stage requires, if any."""
    return not spec.required_label or spec.required_label in candidate.labels


def is_at_limit(candidate: candidates.CandidateWorker, stage: job_registry.StageRecord) -> bool:
    """Return whether a worker has the maximum number of the stage's tasks, if limited."""
    limit = stage.spec.max_per_worker
    return bool(limit) and candidate.view.count_tasks(stage) >= limit

"""Identifier types shared by all packages."""

from typing import NewType

ProcessId = NewType("ProcessId", str)
Incarnation = NewType("Incarnation", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
CellId = NewType("CellId", str)
WorkerId = NewType("WorkerId", str)
EndpointId = NewType("EndpointId", str)
TeamId = NewType("TeamId", str)
ServiceName = NewType("ServiceName", str)
JobId = NewType("JobId", str)
ChunkKey = NewType("ChunkKey", str)
TaskId = NewType("TaskId", str)
TaskEpoch = NewType("TaskEpoch", int)
CellEpoch = NewType("CellEpoch", int)
Revision = NewType("Revision", int)
ChangeId = NewType("ChangeId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)


def make_task_id(job: JobId, index: int) -> TaskId:
    """Return the id of a job's task; ``index`` counts from 0."""
    return TaskId(f"{job}.{index}")

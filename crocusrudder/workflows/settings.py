"""Settings of the entry and agent processes that run staged jobs."""

import pathlib

import msgspec

from crocusrudder.core import documents
from crocusrudder.core import ids
from crocusrudder.workflows import model

FILE_VARIABLE = "CROCUSRUDDER_NODE_FILE"
"""Environment variable with the path of the settings file."""


class WorkflowSettings(msgspec.Struct, frozen=True):
    """Settings of one entry or agent process."""

    process: ids.ProcessId
    data_centre: ids.DataCentre
    host: str
    peer_port: int
    """Port for messages between processes of the system."""
    inspection_port: int
    """Port of the state dump and the metrics."""
    store_address: str
    caller_address: str = ""
    """Address at which an entry serves callers."""
    ready_address: str = ""
    """Address at which the load balancer probes an entry's readiness."""
    heartbeat_address: str = ""
    """Address at which an agent receives its worker's heartbeats."""
    worker_address: str = ""
    """Address at which an agent calls its worker."""
    cpu_share: float = 1.0
    """Share of a processor core that the process may use."""
    cpu_speed: float = 1.0
    """Speed of the core relative to that of a process with one core."""
    lease_max_ms: int = 6_000
    """Longest lease that the worker accepts."""
    evacuation_ms: float = 0.0
    """Time after the request to evacuate a data centre from which no task may start there; 0 for a
    deployment in which none is evacuated."""
    cold_over: float = 0.0
    """Greatest ratio of a cold worker's runs to the mean of the warm workers; 0 for no limit."""
    cold_slack: float = 0.0
    """Number of runs that a cold worker may have beyond that."""
    far_factor: float = 1.0
    """How many times as long a task runs away from its data or group; up to 1.0, no task waits for
    a near worker."""
    learned_order: bool = False
    """Whether waiting jobs are ordered by learned durations and the room of their queues; otherwise
    by the callers' estimates."""

    @property
    def cores(self) -> float:
        """Return the processor cores that the process may use."""
        return self.cpu_share * self.cpu_speed

    @property
    def evacuation_bounds(self) -> model.EvacuationBounds:
        """Return the bounds on evacuations that the deployment sets."""
        return model.EvacuationBounds(self.evacuation_ms / 1_000, self.cold_over, self.cold_slack)

    @property
    def peer_address(self) -> str:
        """Return the address at which other processes reach this one."""
        return f"{self.host}:{self.peer_port}"


def load(path: pathlib.Path) -> WorkflowSettings:
    """Load settings from a file; raise ``CheckFailedError`` with all problems found."""
    value, problems = documents.decode_json(path.read_bytes())
    if problems:
        raise documents.checks.CheckFailedError(problems)
    return documents.convert(value, WorkflowSettings)


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)

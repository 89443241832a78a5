"""Time limits of the workers' leases and of the owner's lease."""

LEASE_SECONDS = 5.9
"""Lease that an agent requests; below 6 s, the smallest maximum among the users' workers."""

WORKER_CLOCK_ERROR = 0.02
"""Greatest relative error of a slow worker clock, which lengthens the worker's lease."""

LEASE_EXPIRY_SECONDS = LEASE_SECONDS * (1 + WORKER_CLOCK_ERROR) + 0.3
"""Time after an agent's last lease grant at which its worker certainly runs nothing.

A lease never extends more than ``LEASE_SECONDS`` beyond the grant; 0.3 s covers the drift of the
agents' clocks. The exception is a worker that has restarted under its id; see ``worker_lease``."""

INCOMPLETE_LIST_SECONDS = LEASE_EXPIRY_SECONDS
"""Time for which a run that an incomplete list of its worker does not name counts as present.

A new owner waits as long for an agent that is silent."""

STOP_TIMEOUT_SECONDS = 3.0
"""Time after an accepted stop at which the run has certainly ended; workers take 0.9 s at most."""

LATE_CALL_SECONDS = 12.0
"""Greatest delay after which a worker may execute a call without a response, as the users state."""

MAX_UNBOUNDED_SECONDS = 60.0
"""Limit of the time that an agent's report may name for a lease without a bound by renewals."""

ORDER_VALID_SECONDS = 2.0
"""Greatest age, on the agent's clock, of the report that orders are based on."""

START_REPEAT_SECONDS = 0.6
"""Time for which an unconfirmed start is repeated, enough for one repetition. With the validity of
an order and the interval of reports, its task is placed again about 3 s after the first order."""

START_EXPIRY_SECONDS = START_REPEAT_SECONDS + ORDER_VALID_SECONDS + LEASE_EXPIRY_SECONDS
"""Time after the first order of a start from which it can no longer begin.

The agent calls the worker while the last order is valid, and the call names the end of the lease at
that time, after which the worker refuses it. One that has restarted under its id does not."""

LATE_START_EXPIRY_SECONDS = START_REPEAT_SECONDS + ORDER_VALID_SECONDS + LATE_CALL_SECONDS
"""The same for a worker that may have restarted under its id."""

OWNER_LEASE_SECONDS = 2.0
"""Time for which an owner may send orders, from the start of its last successful commit."""

TAKEOVER_SECONDS = 2.6
"""Time for which the owner's row must stay unchanged before another entry takes over."""

RENEWAL_INTERVAL_SECONDS = 0.6
"""Interval at which an owner without changes rewrites its row."""

OWNER_TIMEOUT_SECONDS = 1.2
"""Time without a message of the owner after which entries and agents read its row."""

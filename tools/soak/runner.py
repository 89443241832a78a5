"""One run of the soak test: processes, callers, faults and checks."""

import datetime
import itertools
import pathlib
import queue
import random
import signal
import threading
import time
from collections.abc import Sequence

from tools.soak import callers
from tools.soak import checks
from tools.soak import faults
from tools.soak import odd_entries
from tools.soak import proxy
from tools.standin.users import deployment as deployments
from tools.standin.users import store
from tools.standin.users import worker

SHRUNK_MILLICORES = 500
SLOWDOWN = 5.0
DATA_CENTRES = ("bilbao", "bilbao", "santander")
MAX_LEASE_MS = 10_000
"""Longest lease of the workers, above the 5.9 s that agents request."""
EVACUATED = "santander"
EVACUATION_SECONDS = 12.0
"""Length of an evacuation; starts are forbidden after up to 10 s of it."""
RUN_SECONDS = 0.7
MAX_CANCELLED_RUN_SECONDS = (
    2 * checks.CONTACT_SECONDS + checks.CANCEL_SECONDS + checks.STOP_SECONDS + 1.0
)
"""Time after the last fault and cancellation by which no run of a cancelled job may be left."""
INDEPENDENT_KINDS = {
    faults.Kind.LINK,
    faults.Kind.STORE_DOWN,
    *faults.CALM_KINDS,
}
"""Kinds that may overlap with others on the same target, but not with themselves."""
HANGUPS = 3
SIGNAL_INTERVAL_SECONDS = 0.05
HEARTBEAT_PATH = "/crocusrudder/Workers.Heartbeat"
DEREGISTRATION_PATH = "/crocusrudder/Workers.Deregister"
OTHER_WORKER = "w-other"
"""Id of a worker that does not exist."""
PROCESSES_PER_ROLE = 3
"""Number of entries, and of agents."""


class SoakRun:
    """The run of one seed."""

    def __init__(
        self,
        folder: pathlib.Path,
        seed: int,
        seconds: float,
        count_per_role: int = PROCESSES_PER_ROLE,
    ) -> None:
        self._folder = folder
        names = [f"{role}-{n + 1}" for role in ("entry", "agent") for n in range(count_per_role)]
        self._reservation = deployments.PortReservation(len(names) + 1)
        store_port, *ports = self._reservation.ports
        links = [proxy.Link(port, store_port) for port in ports]
        self._links = dict(zip(names, links, strict=True))
        self._proxy = proxy.Proxy(links)
        ports_by_name = {name: link.port for name, link in self._links.items()}
        self._deployment = deployments.Deployment(
            folder,
            RUN_SECONDS,
            count_per_role,
            ports_by_name,
            store_port,
            DATA_CENTRES,
            {"evacuation_ms": checks.EVACUATION_SECONDS * 1_000},
            MAX_LEASE_MS,
        )
        self._odd_generator = random.Random(f"entries {seed}")
        self._callers = callers.Callers(self._deployment, seed)
        self._evacuations: list[checks.Evacuation] = []
        workers = [f"w-{name}" for name in self._deployment.agents]
        self._faults = _draw_faults(seed, seconds, names, workers)
        self._disturbances: list[checks.Span] = []
        self._faulted_targets: set[tuple[str, str]] = set()
        self._problems: queue.Queue[str] = queue.Queue()

    def run(self) -> list[str]:
        """Run until all jobs are completed or overdue; return the violated guarantees."""
        self._proxy.start()
        self._deployment.start()
        try:
            self._deployment.wait_until("an owner", self._deployment.find_owner)
            self._callers.start()
            self._inject_faults()
            self._callers.finish()
            return self._check_guarantees()
        finally:
            self._callers.finish()
            self._deployment.stop()
            self._proxy.stop()
            self._reservation.release()

    def _inject_faults(self) -> None:
        started_at = time.monotonic()
        pending = []
        for fault in self._faults:
            time.sleep(max(started_at + fault.starts_at - time.monotonic(), 0.0))
            if fault.kind is faults.Kind.EVACUATE:
                fault = fault._replace(target=EVACUATED)
            if _make_conflict_key(fault) not in self._faulted_targets:
                self._faulted_targets.add(_make_conflict_key(fault))
                pending.append(threading.Thread(target=self._inject_fault, args=(fault,)))
                pending[-1].start()
        for thread in pending:
            thread.join()

    def _inject_fault(self, fault: faults.Fault) -> None:
        began_at = time.monotonic()
        self._log(f"{fault}")
        try:
            self._execute_fault(fault)
        except Exception as error:
            # The error would end the thread only, and the run would pass with fewer faults.
            self._problems.put(f"FAULT: {fault.kind.value} of {fault.target}: {error!r}")
        finally:
            if fault.kind not in faults.CALM_KINDS:
                self._disturbances.append(checks.Span(began_at, time.monotonic()))
            self._faulted_targets.discard(_make_conflict_key(fault))

    def _execute_fault(self, fault: faults.Fault) -> None:
        deployment = self._deployment
        name = fault.target
        match fault.kind:
            case faults.Kind.KILL:
                deployment.kill(name)
                time.sleep(fault.duration_seconds)
                self._start_process(name)
            case faults.Kind.STOP:
                self._stop_process(name, random.Random(f"signals {fault}"))
                self._start_process(name)
            case faults.Kind.HANGUP:
                self._send_hangups(name, HANGUPS)
            case faults.Kind.PAUSE:
                deployment.send_signal(name, signal.SIGSTOP)
                time.sleep(fault.duration_seconds)
                deployment.send_signal(name, signal.SIGCONT)
            case faults.Kind.LINK:
                self._links[name].mode = fault.mode
                time.sleep(fault.duration_seconds)
                self._links[name].mode = proxy.Mode.PASS
            case faults.Kind.STORE_DOWN:
                deployment.set_store_available(available=False)
                time.sleep(fault.duration_seconds)
                deployment.set_store_available(available=True)
            case faults.Kind.WORKER_CRASH:
                deployment.crash_worker(name)
            case faults.Kind.SHRINK:
                deployment.set_worker_capacity(name, SHRUNK_MILLICORES)
                # A smaller capacity counts only after this time.
                time.sleep(worker.CAPACITY_GRACE_SECONDS + fault.duration_seconds)
                deployment.set_worker_capacity(name, worker.FULL_MILLICORES)
            case faults.Kind.SLOW:
                deployment.set_worker_slowdown(name, SLOWDOWN)
                time.sleep(fault.duration_seconds)
                deployment.set_worker_slowdown(name, 1.0)
            case faults.Kind.EVACUATE:
                self._evacuate(name)
            case faults.Kind.REBIRTH:
                deployment.rebirth_worker(name)
            case faults.Kind.DARK | faults.Kind.LATE_WRITES:
                self._delay_answers(fault)
            case faults.Kind.RECUT:
                self._restart_and_suspend(fault)
            case _:
                self._add_odd_entry(fault)

    def _restart_and_suspend(self, fault: faults.Fault) -> None:
        """Restart a worker under its id, and suspend its agent soon after."""
        self._deployment.darken_worker(f"w-{fault.target}", faults.RECUT_DARK_SECONDS)
        generator = random.Random(f"delay {fault}")
        delay = generator.uniform(*faults.RECUT_DELAY_SECONDS)
        time.sleep(faults.RECUT_DARK_SECONDS + delay)
        self._deployment.send_signal(fault.target, signal.SIGSTOP)
        time.sleep(faults.RECUT_PAUSE_SECONDS)
        self._deployment.send_signal(fault.target, signal.SIGCONT)

    def _delay_answers(self, fault: faults.Fault) -> None:
        """Leave calls to a worker, or some writes to the store, without an answer."""
        deployment = self._deployment
        if fault.kind is faults.Kind.DARK:
            deployment.darken_worker(fault.target, faults.DARK_SHARE * fault.duration_seconds)
            time.sleep(fault.duration_seconds)
            return
        deployment.begin_late_writes(f"{fault.starts_at}")
        time.sleep(fault.duration_seconds)
        deployment.end_late_writes()
        # The last of them are performed after this time.
        time.sleep(store.LATE_SECONDS[1])

    def _add_odd_entry(self, fault: faults.Fault) -> None:
        deployment = self._deployment
        worker_name = fault.target
        agent = worker_name.removeprefix("w-")
        generator = self._odd_generator
        match fault.kind:
            case faults.Kind.ODD_HEARTBEAT:
                own_id, heartbeat = deployment.read_heartbeat(worker_name)
                worker_id = generator.choice([own_id, OTHER_WORKER])
                variant, body = odd_entries.draw_heartbeat(generator, heartbeat)
                status = deployment.call_agent(agent, f"{HEARTBEAT_PATH}/{worker_id}", body)
                self._log(f"heartbeat {variant} of {worker_id} to {agent}: {status}")
            case faults.Kind.ODD_DEREGISTRATION:
                status = deployment.call_agent(agent, f"{DEREGISTRATION_PATH}/{OTHER_WORKER}", b"")
                self._log(f"deregistration of {OTHER_WORKER} to {agent}: {status}")
            case faults.Kind.ODD_ENTRY:
                field, variant, entry = odd_entries.draw_entry(generator)
                self._log(f"entry {variant} in {field} of {worker_name}")
                deployment.set_odd_entry(worker_name, field, entry)
                time.sleep(fault.duration_seconds)
                deployment.set_odd_entry(worker_name, field, b"")
            case faults.Kind.ODD_PERCENTS:
                self._log(f"negative percents of {worker_name}")
                deployment.set_odd_percents(worker_name, is_odd=True)
                time.sleep(fault.duration_seconds)
                deployment.set_odd_percents(worker_name, is_odd=False)
            case faults.Kind.ODD_ROW:
                row = odd_entries.draw_row(generator)
                self._log(f"row {row}")
                deployment.write_row(*row)
                time.sleep(fault.duration_seconds)
                deployment.write_row(row.table, row.key, None)

    def _log(self, text: str) -> None:
        with (self._folder / "faults.log").open("a") as log:
            log.write(f"{datetime.datetime.now(datetime.UTC).isoformat()} {text}\n")

    def _evacuate(self, data_centre: str) -> None:
        self._deployment.set_evacuated(data_centre, evacuated=True)
        acknowledged_at = time.monotonic()
        time.sleep(EVACUATION_SECONDS)
        evacuation = checks.Evacuation(data_centre, acknowledged_at, time.monotonic())
        self._evacuations.append(evacuation)
        self._deployment.set_evacuated(data_centre, evacuated=False)

    def _stop_process(self, name: str, generator: random.Random) -> None:
        """Stop a process by a series of signals, and check how it ends."""
        self._send_hangups(name, generator.randrange(HANGUPS))
        self._deployment.send_signal(name, signal.SIGTERM)
        for number in generator.choices([signal.SIGTERM, signal.SIGHUP], k=generator.randrange(3)):
            time.sleep(SIGNAL_INTERVAL_SECONDS)
            self._deployment.send_signal(name, number)
        self._check_exit(name, self._deployment.wait_for_exit(name))

    def _send_hangups(self, name: str, count: int) -> None:
        # A process that has not started to serve does not handle the signal yet.
        for _ in range(count if self._deployment.has_started(name) else 0):
            self._deployment.send_signal(name, signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_SECONDS)

    def _check_exit(self, name: str, code: int) -> None:
        # SIGTERM may kill a process that has not started to serve, as it has nothing to finish.
        stopped_before_start = code == -signal.SIGTERM and not self._deployment.has_started(name)
        if code and not stopped_before_start:
            self._problems.put(f"FAULT: {name} exited with {code} after SIGTERM")

    def _start_process(self, name: str) -> None:
        if name.startswith("entry"):
            self._deployment.start_entry(name)
        else:
            self._deployment.start_agent(name)
        self._deployment.wait_until(name, lambda: self._deployment.has_started(name))

    def _check_guarantees(self) -> list[str]:
        self._callers.wait_for_results(time.monotonic() + checks.COMPLETION_TIMEOUT_SECONDS)
        self._wait_for_cancelled_runs()
        problems = [*self._problems.queue, *self._callers.problems]
        problems += [f"FAULT: {name} exited by itself" for name in self._deployment.list_exited()]
        observed_at = time.monotonic()
        found = checks.find_violations(
            self._deployment.list_runs(),
            self._callers.accepted,
            self._callers.refused,
            self._callers.states,
            self._callers.deadly,
            self._evacuations,
            self._callers.cancellations,
            self._disturbances,
            observed_at,
        )
        return [*problems, *found, *checks.find_caught_errors(self._folder)]

    def _wait_for_cancelled_runs(self) -> None:
        """Wait until the runs of cancelled jobs have ended, or for as long as they may take."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < MAX_CANCELLED_RUN_SECONDS and any(
            run["end"] is None and run["task"].partition(".")[0] in self._callers.cancellations
            for run in self._deployment.list_runs()
        ):
            time.sleep(callers.QUERY_INTERVAL_SECONDS)


def _draw_faults(
    seed: int, seconds: float, names: Sequence[str], workers: Sequence[str]
) -> list[faults.Fault]:
    drawn = [
        *faults.draw_faults(seed, seconds, names),
        *faults.draw_faults(f"workers {seed}", seconds, workers, faults.WORKER_KIND_WEIGHTS),
        *faults.draw_faults(f"fleet {seed}", seconds, workers, faults.FLEET_KIND_WEIGHTS),
        *faults.draw_faults(f"odd {seed}", seconds, workers, faults.ODD_KIND_WEIGHTS),
        *faults.draw_faults(f"late {seed}", seconds, workers, faults.LATE_KIND_WEIGHTS),
        *faults.draw_faults(f"signals {seed}", seconds, names, faults.SIGNAL_KIND_WEIGHTS),
        *faults.draw_recuts(seed, [name for name in names if name.startswith("agent")]),
    ]
    stops = [faults.list_stops(fault, names) for fault in drawn if fault.kind is faults.Kind.ROLL]
    found = [*itertools.chain(*stops), *drawn]
    return sorted(
        (
            fault
            for fault in found
            if fault.kind is not faults.Kind.ROLL and not faults.is_in_calm(fault)
        ),
        key=lambda fault: fault.starts_at,
    )


def _make_conflict_key(fault: faults.Fault) -> tuple[str, str]:
    """Return a key that two faults share if they may not overlap."""
    if fault.kind is faults.Kind.LATE_WRITES:
        return fault.kind.value, ""
    if fault.kind in INDEPENDENT_KINDS:
        return fault.kind.value, fault.target
    return "process", fault.target

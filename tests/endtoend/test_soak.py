"""A short run of the soak test with a fixed seed, and its checks on synthetic histories."""

import contextlib
import pathlib
import random
import socket
import tempfile
import time
import unittest
from unittest import mock

import msgspec

from tools.soak import checks
from tools.soak import faults
from tools.soak import odd_entries
from tools.soak import proxy
from tools.soak import runner
from tools.standin.users import deployment as deployments
from tools.standin.users import worker

SEEDS = (2, 5)
"""The second has crashes of workers, a deadly job, and smaller capacities."""
SECONDS = 6.0
JOB = "00000000000000aa"


def make_run(task: str, run: int, begin: float, end: float | None, how: str = "done") -> dict:
    """Return a run as a worker reports it, the only one on a worker with one core."""
    times = {"begin": begin, "end": end, "how": how}
    worker = {"worker": "w", "data_centre": "santander", "running": 1, "capacity": 1_000}
    return {"task": task, "run": run, **worker, **times}


class ChecksTest(unittest.TestCase):
    """Guards against a soak test that misses a violated guarantee."""

    def _find_rules(
        self, *runs: dict, refused=frozenset(), states=("completed",), deadly=frozenset()
    ) -> list[str]:
        reported = {JOB: list(states)}
        accepted = set() if refused else {JOB}
        return [
            text.partition(":")[0]
            for text in checks.find_violations(runs, accepted, refused, reported, deadly)
        ]

    def test_history_without_violations_passes(self):
        first = make_run(f"{JOB}.0.0.0", 1, 1.0, 2.0)
        self.assertEqual([], self._find_rules(first, make_run(f"{JOB}.0.1.0", 2, 2.1, 3.0)))

    def test_each_violation_is_found(self):
        first = make_run(f"{JOB}.0.0.0", 1, 1.0, 2.0)
        cases = {
            "TWICE": self._find_rules(first, make_run(f"{JOB}.0.0.0", 2, 1.5, 3.0)),
            "ORDER": self._find_rules(first, make_run(f"{JOB}.0.1.0", 2, 1.5, 3.0)),
            "REFUSED": self._find_rules(first, refused={JOB}),
            "LOST": self._find_rules(first, states=("running",)),
            "MIXED": self._find_rules(first, states=("completed", "running", "completed")),
            "LIMIT": self._find_rules(first | {"running": 3}),
        }
        self.assertEqual({rule: [rule] for rule in cases}, cases)

    def test_a_start_in_an_evacuated_data_centre_is_found(self):
        late = checks.EVACUATION_SECONDS + checks.PAUSE_SECONDS
        evacuation = checks.Evacuation("santander", 10.0, 30.0)
        for begin, expected in ((11.0, []), (10.5 + late, ["EVAC"]), (30.5, [])):
            run = make_run(f"{JOB}.0.0.0", 1, begin, begin + 1.0)
            found = checks.find_violations(
                [run], {JOB}, set(), {JOB: ["completed"]}, evacuations=[evacuation]
            )
            with self.subTest(begin=begin):
                self.assertEqual(expected, [text.partition(":")[0] for text in found])

    def test_runs_of_a_cancelled_job_are_found(self):
        # Each case has a run, the time of its job's cancellation, and the times of faults.
        late = checks.CANCEL_SECONDS + checks.STOP_SECONDS
        cases = [
            ([], (1.0, 5.0 + late - 0.1), 5.0, ()),
            (["UNASKED"], (1.0, 5.0 + late + 0.1), 5.0, ()),
            (["UNASKED"], (1.0, None), 5.0, ()),
            ([], (1.0, 9.0), 5.0, ((4.0, 6.0),)),
            ([], (1.0, 9.0), 5.0, ((7.0, 7.1),)),
            (["UNASKED"], (1.0, 13.0), 5.0, ((4.0, 6.0),)),
            # Started late, of which the machine that starts it may not be in touch.
            ([], (9.0, 15.0), 5.0, ((8.0, 8.5),)),
            (["UNASKED"], (9.0, 9.5), 5.0, ()),
            (["UNASKED"], (7.0, 10.0 + late + 0.1), 5.0, ()),
        ]
        for expected, times, acknowledged_at, disturbances in cases:
            found = checks.find_violations(
                [make_run(f"{JOB}.0.0.0", 1, *times, "stopped")],
                {JOB},
                set(),
                {JOB: ["running", "cancelled"]},
                cancellations={JOB: acknowledged_at},
                disturbances=[checks.Span(*span) for span in disturbances],
                observed_at=20.0,
            )
            with self.subTest(times=times, disturbances=disturbances):
                self.assertEqual(expected, [text.partition(":")[0] for text in found])

    def test_wrong_states_of_a_cancelled_job_are_found(self):
        cases = [
            ([], 5.0, ("running", "completed")),
            (["MIXED"], 5.0, ("cancelled", "running", "cancelled")),
            (["LOST", "MIXED"], 5.0, ("failed",)),
            (["LOST"], 5.0, ("running",)),
            (["LOST"], None, ("running", "completed")),
        ]
        for expected, acknowledged_at, states in cases:
            found = checks.find_violations(
                [], {JOB}, set(), {JOB: states}, cancellations={JOB: acknowledged_at}
            )
            with self.subTest(states=states):
                self.assertEqual(expected, [text.partition(":")[0] for text in found])

    def test_violations_of_a_deadly_job_are_found(self):
        runs = [make_run(f"{JOB}.0.0.0", run, run, run + 0.01, "crashed") for run in range(1, 7)]
        cases = [
            ([], runs[:5], ("running", "failed")),
            (["BUDGET"], runs, ("failed",)),
            (["LOST"], runs[:5], ("running",)),
            (["MIXED", "MIXED"], runs[:1], ("completed", "failed")),
        ]
        for rules, starts, states in cases:
            found = self._find_rules(*starts, states=states, deadly={JOB})
            self.assertEqual(rules, found)

    def test_failure_of_a_job_that_is_not_deadly_is_found(self):
        first = make_run(f"{JOB}.0.0.0", 1, 1.0, 2.0)
        self.assertEqual(["LOST", "MIXED"], self._find_rules(first, states=("failed",)))

    def test_same_seed_draws_same_faults(self):
        targets = ["entry-1", "agent-1"]
        self.assertEqual(faults.draw_faults(7, 20.0, targets), faults.draw_faults(7, 20.0, targets))

    def test_faults_leave_the_calm_time_free(self):
        # Guards against runs in which no cancellation is ever checked.
        drawn = faults.draw_faults(7, 60.0, ["agent-1"])
        kept = [fault for fault in drawn if not faults.is_in_calm(fault)]
        calm_at = faults.CALM_INTERVAL_SECONDS - faults.CALM_SECONDS
        ends = [
            fault.starts_at % faults.CALM_INTERVAL_SECONDS + fault.duration_seconds
            for fault in kept
        ]
        self.assertTrue(ends)
        self.assertLessEqual(max(ends), calm_at)
        odd = faults.draw_faults(7, 60.0, ["agent-1"], {faults.Kind.ODD_ROW: 1})
        self.assertFalse(any(faults.is_in_calm(fault) for fault in odd))

    def test_odd_heartbeats_are_drawn_from_the_seed_and_name_no_valid_state(self):
        # Guards against a variant that does not differ from the heartbeat of the worker.
        valid = worker.UsersWorker("w", "dispatch", 1, 0.1).make_heartbeat()
        encoded = msgspec.json.encode(valid)
        for name, variant in odd_entries.HEARTBEAT_VARIANTS.items():
            with self.subTest(name=name):
                self.assertNotEqual(encoded, variant(valid))
        first, second = (
            [odd_entries.draw_heartbeat(random.Random(7), valid) for _ in range(3)]
            for _ in range(2)
        )
        self.assertEqual(first, second)


class SoakTest(unittest.TestCase):
    def test_processes_and_proxy_use_different_ports(self):
        # Guards against a process that exits because the store has its port (soak seed 2601).
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(deployments, "SERVER_PORTS", range(29_000, 29_040)),
        ):
            reservation = deployments.PortReservation(7)
            self.addCleanup(reservation.release)
            store_port, *link_ports = reservation.ports
            deployment = deployments.Deployment(
                pathlib.Path(folder),
                count_per_role=3,
                store_ports={f"entry-{number}": port for number, port in enumerate(link_ports)},
                store_port=store_port,
            )
            self.addCleanup(deployment.stop)
        processes = (*deployment.entries.values(), *deployment.agents.values())
        used = {port for ports in processes for port in ports}
        self.assertEqual(set(), used & {store_port, *link_ports})

    def test_deployments_that_start_at_the_same_time_use_different_ports(self):
        # Guards against a process that is never ready because a process of another deployment on
        # the machine took its port before it was started (soak seed 2521).
        with mock.patch.object(deployments, "SERVER_PORTS", range(29_040, 29_050)):
            first, second = (deployments.PortReservation(5) for _ in range(2))
        self.addCleanup(second.release)
        self.assertEqual([5, 5], [len(first.ports), len(second.ports)])
        self.assertEqual(set(), set(first.ports) & set(second.ports))
        with (
            socket.create_server(("127.0.0.1", first.ports[0])) as server,
            socket.create_connection(server.getsockname()),
        ):
            first.release()

    def test_a_stopped_proxy_leaves_its_port_free(self):
        # Guards against a later test that cannot bind its fixed port (CI at de9e338, test_cuts).
        reservation = deployments.PortReservation(2)
        self.addCleanup(reservation.release)
        port, target = reservation.ports
        running = proxy.Proxy([proxy.Link(port, target)])
        running.start()
        while not self._is_listening(port):
            time.sleep(proxy.POLL_SECONDS)
        running.stop()
        self.assertFalse(self._is_listening(port))

    @staticmethod
    def _is_listening(port: int) -> bool:
        with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)):
            return True
        return False

    def test_short_run_has_no_violations(self):
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                problems = runner.SoakRun(pathlib.Path(folder), seed, SECONDS).run()
                self.assertEqual([], problems)


if __name__ == "__main__":
    unittest.main()

"""Run jobs made of stages through real entries and agents on the stand-in platform.

Waits are bounded by generous limits; what is checked does not depend on how long anything takes.
"""

import collections
import contextlib
import pathlib
import signal
import socket
import tempfile
import threading
import unittest

from tools.standin.users import deployment as deployments

JOB = {
    "spec": "sheet",
    "steps": [{"taskCount": 3, "cpu": 500}, {"taskCount": 2, "cpu": 500, "after": [0]}],
}


class WorkflowTest(unittest.TestCase):
    """Guards against faults that only real processes and sockets show."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _start(self, run_seconds: float) -> deployments.Deployment:
        deployment = deployments.Deployment(self.folder, run_seconds)
        self.addCleanup(deployment.stop)
        deployment.start()
        deployment.wait("an owner", deployment.find_owner)
        return deployment

    def _wait_until_completed(self, deployment: deployments.Deployment, entry: str, job: str):
        deployment.wait(
            f"{job} completed",
            lambda: deployment.call(entry, "GET", job) == (200, {"state": "completed"}),
        )

    def test_jobs_complete_once_through_any_entry(self):
        deployment = self._start(run_seconds=0.2)
        job = "00000000000000aa"
        for entry in ("entry-1", "entry-2", "entry-1"):
            self.assertEqual(200, deployment.call(entry, "POST", job, JOB)[0])
        for entry in ("entry-1", "entry-2"):
            self._wait_until_completed(deployment, entry, job)
        starts = collections.Counter(deployment.list_starts())
        self.assertEqual({1}, set(starts.values()))
        self.assertEqual(5, len(starts))
        self.assertEqual(410, deployment.call("entry-2", "GET", "00000000000000ff")[0])
        self.assertEqual((200, {"pending": 0}), deployment.call("entry-2", "GET", ""))

    def test_an_agent_that_is_called_while_it_stops_ends_without_an_error(self):
        # It accepted a connection while curio shut down, and ended with 1 (soak seeds 101, 301).
        deployment = self._start(run_seconds=0.2)
        name, ports = next(iter(deployment.agents.items()))
        deployment.wait("the agent", lambda: deployment.is_answering(name))
        over = threading.Event()

        def call_forever():
            while not over.is_set():
                with (
                    contextlib.suppress(OSError),
                    socket.create_connection(("127.0.0.1", ports[2])),
                ):
                    pass

        callers = [threading.Thread(target=call_forever) for _ in range(2)]
        for caller in callers:
            caller.start()
        codes = []
        for _ in range(3):
            deployment.send_signal(name, signal.SIGTERM)
            codes.append(deployment.join(name))
            deployment.start_agent(name)
            deployment.wait("the agent", lambda: deployment.is_answering(name))
        over.set()
        for caller in callers:
            caller.join()
        self.assertEqual([0] * 3, codes)

    def test_running_tasks_outlive_the_owner(self):
        deployment = self._start(run_seconds=4.0)
        job = "00000000000000bb"
        owner = deployment.find_owner()
        other = next(name for name in deployment.entries if name != owner)
        self.assertEqual(200, deployment.call(owner, "POST", job, JOB)[0])
        deployment.wait("first starts", lambda: len(deployment.list_starts()) == 3)
        deployment.kill(owner)
        self._wait_until_completed(deployment, other, job)
        starts = collections.Counter(deployment.list_starts())
        self.assertEqual({1}, set(starts.values()))

    def test_what_was_refused_in_a_store_outage_never_runs(self):
        deployment = self._start(run_seconds=0.2)
        deployment.switch_store(up=False)
        status, _ = deployment.call("entry-1", "POST", "00000000000000cc", JOB)
        self.assertEqual(503, status)
        deployment.switch_store(up=True)
        deployment.wait(
            "accepted",
            lambda: deployment.call("entry-1", "POST", "00000000000000dd", JOB)[0] == 200,
        )
        self._wait_until_completed(deployment, "entry-1", "00000000000000dd")
        self.assertEqual(410, deployment.call("entry-2", "GET", "00000000000000cc")[0])
        started = {task.partition(".")[0] for task in deployment.list_starts()}
        self.assertEqual({"00000000000000dd"}, started)


if __name__ == "__main__":
    unittest.main()

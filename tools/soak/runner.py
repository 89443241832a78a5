"""One run of the soak: processes, callers, faults and the verdict."""

import pathlib
import queue
import random
import signal
import threading
import time

from tools.soak import checks
from tools.soak import faults
from tools.soak import proxy
from tools.standin.users import deployment as deployments

JOB = {
    "spec": "soak",
    "steps": [{"taskCount": 3, "cpu": 500}, {"taskCount": 2, "cpu": 500, "after": [0]}],
}
RUN_SECONDS = 0.7
SUBMIT_GAP_SECONDS = 0.7
ASK_GAP_SECONDS = 0.5
PROCESSES = 3
"""Entries, and as many agents."""


class Run:
    """One seed."""

    def __init__(self, folder: pathlib.Path, seed: int, seconds: float) -> None:
        names = [f"{role}-{n + 1}" for role in ("entry", "agent") for n in range(PROCESSES)]
        store_port, *ports = deployments.find_ports(len(names) + 1)
        links = [proxy.Link(port, store_port) for port in ports]
        self._links = dict(zip(names, links, strict=True))
        self._proxy = proxy.Proxy(links)
        ports_by_name = {name: link.port for name, link in self._links.items()}
        self._deployment = deployments.Deployment(
            folder, RUN_SECONDS, PROCESSES, ports_by_name, store_port
        )
        self._rng = random.Random(seed)
        self._faults = faults.draw(seed, seconds, names)
        self._seconds = seconds
        self._answers: dict[str, list[int]] = {}
        self._states: dict[str, list[str]] = {}
        self._busy: set[str] = set()
        self._problems: queue.Queue[str] = queue.Queue()
        self._over = threading.Event()

    def play(self) -> list[str]:
        """Run until all jobs are completed or overdue; return the broken promises."""
        self._proxy.start()
        self._deployment.start()
        try:
            self._deployment.wait("an owner", self._deployment.find_owner)
            threads = [
                threading.Thread(target=target)
                for target in (self._submit_forever, self._ask_forever)
            ]
            for thread in threads:
                thread.start()
            self._strike()
            self._over.set()
            for thread in threads:
                thread.join()
            return self._judge()
        finally:
            self._over.set()
            self._deployment.stop()

    def _strike(self) -> None:
        begun_at = time.monotonic()
        pending = []
        for fault in self._faults:
            time.sleep(max(begun_at + fault.at - time.monotonic(), 0.0))
            if fault.target not in self._busy:
                self._busy.add(fault.target)
                pending.append(threading.Thread(target=self._inject, args=(fault,)))
                pending[-1].start()
        for thread in pending:
            thread.join()

    def _inject(self, fault: faults.Fault) -> None:
        deployment = self._deployment
        name = fault.target
        match fault.kind:
            case faults.Kind.KILL:
                deployment.kill(name)
                time.sleep(fault.lasts)
                self._start(name)
            case faults.Kind.STOP:
                deployment.send_signal(name, signal.SIGTERM)
                self._check_end(name, deployment.join(name))
                self._start(name)
            case faults.Kind.PAUSE:
                deployment.send_signal(name, signal.SIGSTOP)
                time.sleep(fault.lasts)
                deployment.send_signal(name, signal.SIGCONT)
            case faults.Kind.LINK:
                self._links[name].mode = fault.mode
                time.sleep(fault.lasts)
                self._links[name].mode = proxy.Mode.PASS
            case faults.Kind.STORE_DOWN:
                deployment.switch_store(up=False)
                time.sleep(fault.lasts)
                deployment.switch_store(up=True)
        self._busy.discard(name)

    def _check_end(self, name: str, code: int) -> None:
        # Before a process has begun to serve there is nothing to finish.
        early = code == -signal.SIGTERM and not self._deployment.has_started(name)
        if code and not early:
            self._problems.put(f"FAULT: {name} ended with {code} after SIGTERM")

    def _start(self, name: str) -> None:
        if name.startswith("entry"):
            self._deployment.start_entry(name)
        else:
            self._deployment.start_agent(name)

    def _submit_forever(self) -> None:
        number = 0
        while not self._over.wait(SUBMIT_GAP_SECONDS):
            number += 1
            job = f"{number:016x}"
            answers = self._answers.setdefault(job, [])
            for entry in self._rng.sample(list(self._deployment.entries), 2):
                answers.append(self._deployment.call(entry, "POST", job, JOB)[0])
                if answers[-1] == 200:
                    break

    def _ask_forever(self) -> None:
        while not self._over.wait(ASK_GAP_SECONDS):
            self._ask_all()

    def _ask_all(self) -> bool:
        """Ask for all accepted jobs that are not completed; return whether all are."""
        complete = True
        for job in [job for job, answers in list(self._answers.items()) if 200 in answers]:
            states = self._states.setdefault(job, [])
            if states.count("completed") >= 2:
                continue
            entry = self._rng.choice(list(self._deployment.entries))
            status, content = self._deployment.call(entry, "GET", job)
            if status in (200, 410):
                states.append(content["state"] if status == 200 else "unknown")
            complete = complete and states[-1:] == ["completed"]
        return complete

    def _judge(self) -> list[str]:
        limit = time.monotonic() + checks.FINISH_SECONDS
        while not self._ask_all() and time.monotonic() < limit:
            time.sleep(ASK_GAP_SECONDS)
        accepted = {job for job, answers in self._answers.items() if 200 in answers}
        refused = {job for job, answers in self._answers.items() if set(answers) == {503}}
        states = {job: self._states.get(job, []) for job in accepted}
        problems = list(self._problems.queue)
        problems += [f"FAULT: {name} ended by itself" for name in self._deployment.list_ended()]
        found = checks.find_broken(self._deployment.list_runs(), accepted, refused, states)
        return [*problems, *found]

"""The steps of the demo: what is done, what is broken, and what must hold at the end."""

import json
import time

import click
import curio

from tools.demo import account
from tools.demo import callers
from tools.demo import deployment

READY_LIMIT_SECONDS = 30.0
JOB_LIMIT_SECONDS = 60.0
IN_FORCE_LIMIT_SECONDS = 4.0
POLL_SECONDS = 0.1
KITCHEN_TASKS = 4
KITCHEN_STEPS = 10
ROUND_STEPS = 25
STEP_SECONDS = 0.2
STEPS_BEFORE_LOSS = 5

RECORDS = (
    {
        "kind": "team",
        "schema_version": 1,
        "name": "funeral-homes",
        "quota": {"processors": 16, "memory_gb": 32},
    },
    {
        "kind": "service",
        "schema_version": 1,
        "name": "dispatch",
        "team": "funeral-homes",
        "size": {"processors": 2, "memory_gb": 4},
    },
    {
        "kind": "batch",
        "schema_version": 2,
        "name": "kitchen-sheets",
        "team": "funeral-homes",
        "size": {"millicores": 1000, "memory_mb": 1000},
        "command": f"count sheet {KITCHEN_STEPS} {STEP_SECONDS}",
    },
    {
        "kind": "batch",
        "schema_version": 2,
        "name": "inspection-round",
        "team": "funeral-homes",
        "size": {"millicores": 1000, "memory_mb": 1000},
        "command": f"count round {ROUND_STEPS} {STEP_SECONDS}",
        "urgent": True,
    },
)


class StoryError(Exception):
    """A step of the demo does not finish within its limit."""


class Story:
    """Run the steps against a deployment and note every problem in the sheet."""

    def __init__(self, running: deployment.Deployment) -> None:
        self._running = running
        self._sheet = account.Sheet()
        self._callers = callers.Callers(running, self._sheet)
        self._started = time.monotonic()

    @property
    def sheet(self) -> account.Sheet:
        """Return the account."""
        return self._sheet

    async def run(self) -> None:
        """Run all steps."""
        await self._start_processes()
        await self._submit_records()
        ordering = await curio.spawn(self._callers.place_orders())
        await self._submit_job("sheets-1", "kitchen-sheets", KITCHEN_TASKS)
        await self._submit_job("round-1", "inspection-round", 1)
        await self._kill_entry()
        await self._lose_worker()
        await self._cut_over()
        await self._stop_store()
        await self._hold_and_stop_agent()
        await self._wait_for_jobs()
        self._callers.stop()
        await ordering.join()
        await self._check()
        await self._print_checklist()
        await self._stop_processes()

    def _tell(self, text: str) -> None:
        click.echo(f"[{time.monotonic() - self._started:5.1f} s] {text}")

    async def _wait(self, what: str, condition, limit: float = READY_LIMIT_SECONDS) -> float:
        """Wait until a condition holds and return the seconds that it took."""
        start = time.monotonic()
        while not await condition():
            if time.monotonic() - start > limit:
                raise StoryError(f"{what}: not within {limit:.0f} s")
            await curio.sleep(POLL_SECONDS)
        return time.monotonic() - start

    async def _start_processes(self) -> None:
        running, layout = self._running, self._running.layout
        running.start_platform()
        await self._wait("platform", lambda: running.is_healthy(layout.base_port, "/health"))
        for entry in layout.entries:
            running.start_entry(entry)
        for agent in layout.agents:
            running.start_agent(agent)
        for place in (*layout.entries, *layout.agents):
            await self._wait(place.name, lambda port=place.http_port: running.is_healthy(port))
        await self._wait("all processes know each other", self._is_in_force)
        self._tell(f"{len(running.running)} processes run in two data centres")

    async def _submit_records(self) -> None:
        for record in RECORDS:
            await self._run_change("submit", record)
        for agent in self._running.layout.agents:
            self._running.start_endpoint(agent)
        took = await self._wait_in_force()
        self._tell(f"{len(RECORDS)} records are in force everywhere {took:.1f} s after the last")
        await self._wait("endpoints", self._serves_lookups)
        self._tell("the dispatch endpoints have announced themselves and answer")

    async def _run_change(self, verb: str, record: dict) -> None:
        name = f"{record['kind']}-{record.get('name', record.get('service'))}"
        path = self._running.write_json(f"{name}-v{record['schema_version']}", record)
        done = await curio.run_in_thread(self._running.run_command, "record", verb, path)
        if done.returncode:
            raise StoryError(f"record {verb} {name}: exit {done.returncode}: {done.stderr}")

    async def _wait_in_force(self) -> float:
        took = await self._wait("records in force", self._is_in_force)
        self._sheet.expect(
            took <= IN_FORCE_LIMIT_SECONDS, f"records were in force only after {took:.1f} s"
        )
        return took

    async def _is_in_force(self) -> bool:
        port = self._running.layout.entries[-1].http_port
        status = await self._running.get_json(port, "/v1/records/status")
        return all(centre["complete"] for centre in status["data_centres"].values())

    async def _serves_lookups(self) -> bool:
        return await self._callers.look_up("lilies") is account.Told.DONE

    async def _submit_job(self, job: str, batch: str, tasks: int) -> None:
        path = self._running.write_json(job, {"job": job, "batch": batch, "tasks": tasks})
        done = await curio.run_in_thread(self._running.run_command, "job", "submit", path)
        if done.returncode:
            raise StoryError(f"job submit {job}: exit {done.returncode}: {done.stderr}")
        self._tell(f"job {job} with {tasks} tasks is accepted")

    async def _kill_entry(self) -> None:
        await curio.sleep(1.0)
        place = self._running.layout.entries[0]
        self._running.kill(place.name)
        self._tell(f"killed {place.name}; callers repeat their orders through the others")
        await curio.sleep(2.0)
        self._running.start_entry(place)
        await self._wait(place.name, lambda: self._running.is_healthy(place.http_port))
        self._tell(f"{place.name} is replaced")

    async def _lose_worker(self) -> None:
        await self._wait("round-1 works", lambda: self._has_worked("round-1.0"))
        worker = (await self._list_active("round-1.0"))[0]
        place = next(p for p in self._running.layout.agents if p.worker == worker)
        before = await self._count_steps("round-1.0")
        self._running.kill(place.name)
        await self._running.set_faults(lost_workers=[place.worker])
        self._tell(f"lost {worker} with its agent; round-1 had {before} of {ROUND_STEPS} steps")
        await curio.sleep(1.0)
        await self._running.set_faults()
        self._running.start_agent(place)
        await self._wait(place.name, lambda: self._running.is_healthy(place.http_port))
        start = time.monotonic()
        await self._wait("round-1 resumes", lambda: self._has_resumed("round-1.0"))
        self._tell(
            f"{place.name} is replaced; round-1 resumed {deployment.measure_since(start)} later"
        )

    async def _has_worked(self, task: str) -> bool:
        return await self._count_steps(task) >= STEPS_BEFORE_LOSS

    async def _list_active(self, task: str) -> list[str]:
        audit = await self._get_audit()
        states = {
            (change["worker"], change["epoch"]): change["state"]
            for change in audit["runs"]
            if change["task"] == task
        }
        return [worker for (worker, _), state in states.items() if state == "running"]

    async def _has_resumed(self, task: str) -> bool:
        audit = await self._get_audit()
        epochs = {change["epoch"] for change in audit["runs"] if change["task"] == task}
        return len(epochs) > 1

    async def _count_steps(self, task: str) -> int:
        audit = await self._get_audit()
        return sum(step["task"] == task for step in audit["steps"])

    async def _get_audit(self) -> dict:
        return await self._running.get_json(self._running.layout.base_port, "/audit")

    async def _cut_over(self) -> None:
        service = {**RECORDS[1], "schema_version": 2}
        service["size"] = {"millicores": 1000, "memory_mb": 1000}
        await self._run_change("submit", service)
        await self._wait_in_force()
        for agent in self._running.layout.agents:
            self._running.start_endpoint(agent, schema_version=2)
        await curio.sleep(3.0)
        cutover = {
            "kind": "cutover",
            "schema_version": 1,
            "service": "dispatch",
            "order_kinds": {
                callers.ORDER_KIND: {"schema_version": 2, "signed_off_by": "dispatch-lead"}
            },
        }
        await self._run_change("submit", cutover)
        took = await self._wait_in_force()
        self._tell(f"order kind {callers.ORDER_KIND} migrated to schema version 2 in {took:.1f} s")

    async def _stop_store(self) -> None:
        await self._running.set_faults(store_down=True)
        order = await self._callers.place_order("order-in-outage")
        lookup = await self._callers.look_up("candles")
        self._tell(f"with the store down an order is told {order.value}, a lookup {lookup.value}")
        self._sheet.expect(order is account.Told.NOT_RUN, "an order ran without the store")
        self._sheet.expect(lookup is account.Told.DONE, "a lookup failed without the store")
        await self._running.set_faults()

    async def _hold_and_stop_agent(self) -> None:
        """Stop an agent while a tray hold is open; the hold ends whole and goes on elsewhere."""
        first = await self._callers.hold_trays("0")
        holding = await curio.spawn(self._callers.hold_trays(first or "0"))
        place = self._running.layout.agents[-1]
        code = await curio.run_in_thread(self._running.stop, place.name)
        self._sheet.expect(code == 0, f"{place.name} stopped with exit code {code}")
        second = await holding.join()
        self._running.start_agent(place)
        await self._wait(place.name, lambda: self._running.is_healthy(place.http_port))
        third = await self._callers.hold_trays(second or "0")
        self._sheet.expect(
            all((first, second, third)), f"a tray hold was cut off: {first!r} {second!r} {third!r}"
        )
        self._tell(f"{place.name} was stopped with a tray hold open; offsets {first}, {second}")

    async def _wait_for_jobs(self) -> None:
        for job in ("sheets-1", "round-1"):
            await self._wait(job, lambda job=job: self._has_succeeded(job), JOB_LIMIT_SECONDS)
            self._tell(f"job {job} has succeeded")

    async def _has_succeeded(self, job: str) -> bool:
        done = await curio.run_in_thread(self._running.run_command, "job", "show", job, "--json")
        return done.returncode == 0 and json.loads(done.stdout)["state"] == "succeeded"

    async def _check(self) -> None:
        executions = await account.collect_executions(self._running)
        self._sheet.check_executions(executions)
        audit = await self._get_audit()
        expected = {f"sheets-1.{index}": KITCHEN_STEPS for index in range(KITCHEN_TASKS)}
        self._sheet.check_steps(audit, {**expected, "round-1.0": ROUND_STEPS})
        unsettled = [
            key
            for key, told in self._sheet.told.items()
            if told in (account.Told.UNKNOWN, account.Told.NO_ANSWER)
        ]
        self._tell(f"{len(self._sheet.told)} orders: {self._sheet.count()}")
        self._tell(f"codes of the answers that were not done: {self._sheet.codes}")
        if unsettled:
            self._tell(f"outcome unknown, to be checked by hand: {', '.join(unsettled)}")

    async def _print_checklist(self) -> None:
        done = await curio.run_in_thread(self._running.run_command, "checklist")
        self._sheet.expect(done.returncode == 0, f"checklist: {done.stderr}")
        click.echo(done.stdout.rstrip())

    async def _stop_processes(self) -> None:
        names = self._running.running
        for prefix in ("endpoint", "agent", "entry", "platform"):
            chosen = [name for name in names if name.startswith(prefix)]
            async with curio.TaskGroup() as group:
                for name in chosen:
                    await group.spawn(self._stop_process(name))
            self._tell(f"{len(chosen)} processes stopped gracefully: {prefix}")

    async def _stop_process(self, name: str) -> None:
        code = await curio.run_in_thread(self._running.stop, name)
        self._sheet.expect(code == 0, f"{name} stopped with exit code {code}")

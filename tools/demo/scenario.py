"""The steps of the demo: operations, faults, and the checks at the end."""

import json
import time

import click
import curio

from tools.demo import callers
from tools.demo import deployment as deployments
from tools.demo import outcomes

READY_TIMEOUT_SECONDS = 30.0
JOB_TIMEOUT_SECONDS = 60.0
MAX_IN_FORCE_SECONDS = 4.0
POLL_SECONDS = 0.1
KITCHEN_TASKS = 4
KITCHEN_STEPS = 10
ROUND_STEPS = 25
STEP_SECONDS = 0.2
STEPS_BEFORE_WORKER_LOSS = 5

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


class ScenarioError(Exception):
    """A step of the demo failed or did not finish in time."""


class Scenario:
    """Run the steps against a deployment and record every problem in the report."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._report = outcomes.Report()
        self._callers = callers.Callers(deployment, self._report)
        self._started_at = time.monotonic()

    @property
    def report(self) -> outcomes.Report:
        return self._report

    async def run(self) -> None:
        await self._start_processes()
        await self._submit_records()
        ordering = await curio.spawn(self._callers.place_orders())
        await self._submit_job("sheets-1", "kitchen-sheets", KITCHEN_TASKS)
        await self._submit_job("round-1", "inspection-round", 1)
        await self._kill_and_replace_entry()
        await self._lose_and_replace_worker()
        await self._migrate_order_kind()
        await self._interrupt_store()
        await self._stop_agent_during_standing_request()
        await self._wait_for_jobs()
        self._callers.stop()
        await ordering.join()
        await self._check()
        await self._print_checklist()
        await self._stop_processes()

    def _print_progress(self, text: str) -> None:
        click.echo(f"[{time.monotonic() - self._started_at:5.1f} s] {text}")

    async def _wait_until(
        self, description: str, condition, limit: float = READY_TIMEOUT_SECONDS
    ) -> float:
        """Wait until a condition holds and return the seconds that it took.

        Raises ``ScenarioError`` after ``limit`` seconds.
        """
        start = time.monotonic()
        while not await condition():
            if time.monotonic() - start > limit:
                raise ScenarioError(f"{description}: not within {limit:.0f} s")
            await curio.sleep(POLL_SECONDS)
        return time.monotonic() - start

    async def _start_processes(self) -> None:
        deployment, layout = self._deployment, self._deployment.layout
        deployment.start_platform()
        await self._wait_until(
            "platform", lambda: deployment.is_healthy(layout.base_port, "/health")
        )
        for entry in layout.entries:
            deployment.start_entry(entry)
        for agent in layout.agents:
            deployment.start_agent(agent)
        for process in (*layout.entries, *layout.agents):
            await self._wait_until(
                process.name, lambda port=process.http_port: deployment.is_healthy(port)
            )
        await self._wait_until("configuration in force in all processes", self._is_in_force)
        self._print_progress(
            f"{len(deployment.running_processes)} processes run in two data centres"
        )

    async def _submit_records(self) -> None:
        for record in RECORDS:
            await self._run_change("submit", record)
        for agent in self._deployment.layout.agents:
            self._deployment.start_endpoint(agent)
        took = await self._wait_until_in_force()
        self._print_progress(
            f"{len(RECORDS)} records are in force everywhere {took:.1f} s after the last one"
        )
        await self._wait_until("endpoints", self._can_look_up)
        self._print_progress("the dispatch endpoints have announced themselves and answer")

    async def _run_change(self, verb: str, record: dict) -> None:
        name = f"{record['kind']}-{record.get('name', record.get('service'))}"
        path = self._deployment.write_json(f"{name}-v{record['schema_version']}", record)
        done = await curio.run_in_thread(self._deployment.run_command, "record", verb, path)
        if done.returncode:
            raise ScenarioError(f"record {verb} {name}: exit {done.returncode}: {done.stderr}")

    async def _wait_until_in_force(self) -> float:
        took = await self._wait_until("records in force", self._is_in_force)
        self._report.check(
            took <= MAX_IN_FORCE_SECONDS, f"records were in force only after {took:.1f} s"
        )
        return took

    async def _is_in_force(self) -> bool:
        port = self._deployment.layout.entries[-1].http_port
        status = await self._deployment.get_json(port, "/v1/records/status")
        return all(centre["complete"] for centre in status["data_centres"].values())

    async def _can_look_up(self) -> bool:
        return await self._callers.look_up("lilies") is outcomes.Outcome.DONE

    async def _submit_job(self, job: str, batch: str, tasks: int) -> None:
        path = self._deployment.write_json(job, {"job": job, "batch": batch, "tasks": tasks})
        done = await curio.run_in_thread(self._deployment.run_command, "job", "submit", path)
        if done.returncode:
            raise ScenarioError(f"job submit {job}: exit {done.returncode}: {done.stderr}")
        self._print_progress(f"job {job} with {tasks} tasks is accepted")

    async def _kill_and_replace_entry(self) -> None:
        await curio.sleep(1.0)
        entry = self._deployment.layout.entries[0]
        self._deployment.kill(entry.name)
        self._print_progress(
            f"killed {entry.name}; callers repeat their orders through the other entries"
        )
        await curio.sleep(2.0)
        self._deployment.start_entry(entry)
        await self._wait_until(entry.name, lambda: self._deployment.is_healthy(entry.http_port))
        self._print_progress(f"{entry.name} is replaced")

    async def _lose_and_replace_worker(self) -> None:
        await self._wait_until(
            "round-1 executes steps", lambda: self._has_executed_steps("round-1.0")
        )
        worker = (await self._list_active_workers("round-1.0"))[0]
        agent = next(a for a in self._deployment.layout.agents if a.worker == worker)
        before = await self._count_steps("round-1.0")
        self._deployment.kill(agent.name)
        await self._deployment.set_faults(lost_workers=[agent.worker])
        self._print_progress(
            f"lost {worker} with its agent; round-1 had {before} of {ROUND_STEPS} steps"
        )
        await curio.sleep(1.0)
        await self._deployment.set_faults()
        self._deployment.start_agent(agent)
        await self._wait_until(agent.name, lambda: self._deployment.is_healthy(agent.http_port))
        start = time.monotonic()
        await self._wait_until("round-1 resumes", lambda: self._has_resumed("round-1.0"))
        self._print_progress(
            f"{agent.name} is replaced; round-1 resumed {deployments.format_elapsed(start)} later"
        )

    async def _has_executed_steps(self, task: str) -> bool:
        return await self._count_steps(task) >= STEPS_BEFORE_WORKER_LOSS

    async def _list_active_workers(self, task: str) -> list[str]:
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
        return await self._deployment.get_json(self._deployment.layout.base_port, "/audit")

    async def _migrate_order_kind(self) -> None:
        service = {**RECORDS[1], "schema_version": 2}
        service["size"] = {"millicores": 1000, "memory_mb": 1000}
        await self._run_change("submit", service)
        await self._wait_until_in_force()
        for agent in self._deployment.layout.agents:
            self._deployment.start_endpoint(agent, schema_version=2)
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
        took = await self._wait_until_in_force()
        self._print_progress(
            f"order kind {callers.ORDER_KIND} migrated to schema version 2 in {took:.1f} s"
        )

    async def _interrupt_store(self) -> None:
        await self._deployment.set_faults(store_down=True)
        order = await self._callers.place_order("order-in-outage")
        lookup = await self._callers.look_up("candles")
        self._print_progress(
            f"store down: an order was reported {order.value}, a lookup {lookup.value}"
        )
        self._report.check(order is outcomes.Outcome.NOT_RUN, "an order ran without the store")
        self._report.check(lookup is outcomes.Outcome.DONE, "a lookup failed without the store")
        await self._deployment.set_faults()

    async def _stop_agent_during_standing_request(self) -> None:
        """Stop an agent during a standing request, which ends complete and resumes elsewhere."""
        first = await self._callers.hold_trays("0")
        standing_request = await curio.spawn(self._callers.hold_trays(first or "0"))
        agent = self._deployment.layout.agents[-1]
        code = await curio.run_in_thread(self._deployment.stop, agent.name)
        self._report.check(code == 0, f"{agent.name} stopped with exit code {code}")
        second = await standing_request.join()
        self._deployment.start_agent(agent)
        await self._wait_until(agent.name, lambda: self._deployment.is_healthy(agent.http_port))
        third = await self._callers.hold_trays(second or "0")
        self._report.check(
            all((first, second, third)),
            f"a standing request was cut off; offsets {first!r}, {second!r}, {third!r}",
        )
        self._print_progress(
            f"{agent.name} was stopped during a standing request; offsets {first}, {second}"
        )

    async def _wait_for_jobs(self) -> None:
        for job in ("sheets-1", "round-1"):
            await self._wait_until(
                job, lambda job=job: self._has_succeeded(job), JOB_TIMEOUT_SECONDS
            )
            self._print_progress(f"job {job} has succeeded")

    async def _has_succeeded(self, job: str) -> bool:
        done = await curio.run_in_thread(self._deployment.run_command, "job", "show", job, "--json")
        return done.returncode == 0 and json.loads(done.stdout)["state"] == "succeeded"

    async def _check(self) -> None:
        executions = await outcomes.collect_executions(self._deployment)
        self._report.check_executions(executions)
        audit = await self._get_audit()
        expected = {f"sheets-1.{index}": KITCHEN_STEPS for index in range(KITCHEN_TASKS)}
        self._report.check_steps(audit, {**expected, "round-1.0": ROUND_STEPS})
        unresolved = [
            key
            for key, outcome in self._report.outcomes.items()
            if outcome in (outcomes.Outcome.UNKNOWN, outcomes.Outcome.NO_ANSWER)
        ]
        self._print_progress(f"{len(self._report.outcomes)} orders: {self._report.count()}")
        self._print_progress(f"error codes of the responses: {self._report.codes}")
        if unresolved:
            self._print_progress(
                f"outcome unknown, to be checked by the operator: {', '.join(unresolved)}"
            )

    async def _print_checklist(self) -> None:
        done = await curio.run_in_thread(self._deployment.run_command, "checklist")
        self._report.check(done.returncode == 0, f"checklist: {done.stderr}")
        click.echo(done.stdout.rstrip())

    async def _stop_processes(self) -> None:
        names = self._deployment.running_processes
        for prefix in ("endpoint", "agent", "entry", "platform"):
            chosen = [name for name in names if name.startswith(prefix)]
            async with curio.TaskGroup() as group:
                for name in chosen:
                    await group.spawn(self._stop_process(name))
            self._print_progress(f"{len(chosen)} processes stopped gracefully: {prefix}")

    async def _stop_process(self, name: str) -> None:
        code = await curio.run_in_thread(self._deployment.stop, name)
        self._report.check(code == 0, f"{name} stopped with exit code {code}")

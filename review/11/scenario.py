"""One job with a malformed latency target is submitted; see claim.txt."""

import asyncio
import pathlib

from review import scene_3

TARGET_MS = 5e-324
"""What a program reads that takes the integer 1 for a floating-point number."""
SERVING = {
    "taskCount": 2,
    "cpu": 4_000,
    "memMb": 4_000,
    "estRuntimeMs": 60_000,
    "longRunning": True,
    "image": "web",
}
PLAIN = {"taskCount": 2, "cpu": 500, "memMb": 256, "estRuntimeMs": 300}
RESTART_SECONDS = 3.5
"""The time that the site file has for a process that is killed."""
WATCH_SECONDS = 75.0
ENDS_PER_PROCESS = 3
"""Ends of a process by itself from which the rule counts it; two machines are needed."""
MACHINES = 2


async def restart_forever(fleet, ends):
    """Start each process again that has ended, as the platform does."""
    while True:
        for machine in fleet.machines.values():
            code = machine.process.poll()
            if code is not None:
                ends[machine.name] = ends.get(machine.name, 0) + 1
                fleet.record.add("process-ended", machine=machine.name, code=code)
                await asyncio.sleep(RESTART_SECONDS)
                fleet.spawn(machine)
        await asyncio.sleep(0.1)


async def play(fleet):
    await fleet.start()
    await asyncio.sleep(8)
    ends = {}
    watching = asyncio.create_task(restart_forever(fleet, ends))
    target = TARGET_MS if fleet.is_disturbed else 50.0
    spec = {"lasts": True, "base_ms": 20, "disturbed_ms": 0}
    status = await fleet.submit(scene_3.make_job_id(), spec, [{**SERVING, "targetMs": target}])
    fleet.record.add("malformed", status=status)
    await asyncio.sleep(3)
    job = scene_3.make_job_id()
    later = await fleet.submit(job, {"seconds": 0.3}, [PLAIN])
    await asyncio.sleep(WATCH_SECONDS)
    watching.cancel()
    counted = [name for name, count in ends.items() if count >= ENDS_PER_PROCESS]
    state = await fleet.read_state(job)
    starts = len(fleet.list_starts(job))
    fleet.record.add("result", ends=ends, later_job=f"{later} {state}", starts=starts)
    if len(counted) >= MACHINES:
        return scene_3.BROKEN
    return scene_3.HELD if state == "completed" and not ends else scene_3.NOT_RUN


if __name__ == "__main__":
    scene_3.run(scene_3.Fleet(pathlib.Path(__file__).parent), play)

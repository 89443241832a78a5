"""A worker goes down and up by turns while jobs come that only it can run; see claim.txt."""

import asyncio
import pathlib

from review import scene_3

PERIOD_SECONDS = 1.4
FLAP_SECONDS = 6.5
JOB_SECONDS = 2.0
JOB_INTERVAL_SECONDS = 0.25
JOBS = 40
STEP = {"taskCount": 1, "cpu": 1_000, "memMb": 1_000, "estRuntimeMs": 2_000, "requires": "b"}


async def flap(worker):
    """Let a worker go down and up by turns."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + FLAP_SECONDS
    while loop.time() < ends_at:
        await worker.crash()
        await asyncio.sleep(PERIOD_SECONDS / 2)
        await worker.start()
        await asyncio.sleep(PERIOD_SECONDS / 2)


async def submit_forever(fleet, jobs):
    for _ in range(JOBS):
        job = scene_3.make_job_id()
        status = await fleet.submit(job, {"seconds": JOB_SECONDS}, [STEP])
        if status != 200:
            raise scene_3.SceneError(f"a job was not accepted: {status}")
        jobs.append(job)
        await asyncio.sleep(JOB_INTERVAL_SECONDS)


async def play(fleet):
    await fleet.start()
    await asyncio.sleep(8)
    worker = list(fleet.workers.values())[-1]
    jobs = []
    submitting = asyncio.create_task(submit_forever(fleet, jobs))
    await asyncio.sleep(2)
    if fleet.is_disturbed:
        await flap(worker)
    await submitting
    is_broken = False
    for _ in range(30):
        states = [await fleet.read_state(job) for job in jobs]
        if all(state not in ("queued", "running") for state in states):
            break
        await asyncio.sleep(1)
    for job, state in zip(jobs, states, strict=True):
        ends = [how for _, _, _, how in fleet.list_ends(job)]
        starts = len(fleet.list_starts(job))
        fleet.record.add("result", job=job, state=state, starts=starts, ends=ends)
        is_broken = is_broken or (state == "failed" and "failed" not in ends)
    if is_broken:
        return scene_3.BROKEN
    return scene_3.HELD if set(states) == {"completed"} else scene_3.NOT_RUN


if __name__ == "__main__":
    labels = [["a", "r1-1"], ["a", "r2-1"], ["a", "r3-1"], ["b", "r1-1"]]
    scene_3.run(scene_3.Fleet(pathlib.Path(__file__).parent, labels=labels), play)

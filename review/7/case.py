"""Case 7: a worker goes down and up by turns, and a submission whose task it
runs is shown as failed, though none of its runs has ended as failed."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stand  # noqa: E402

WORKERS = 7
UP_S = 2.5
DOWN_S = 1.2
TURNS = 3
JOB = "00000000000000aa"


async def case(platform, trouble):
    failed_ends = []

    def on_end(worker, task, run, how):
        if how == "failed":
            failed_ends.append((task, run))
    platform.on_end = on_end
    await platform.start(stand.config(["posting"], [("label", "posting"), ("keeper", "posting")]))
    for n in range(WORKERS):
        await platform.add_worker(f"m-{n}", "posting")
    for n in range(3):
        platform.add_daemon(f"front-{n}").start()
    if not await platform.ready():
        return 2
    entry = platform.daemons[0]
    # Tasks that last fill the other workers: the one that goes down and up is
    # the one with room.
    keeper = "00000000000000bb"
    platform.times[keeper] = (None, "done")
    if not await platform.submit(entry, "keeper", keeper, [
            {"count": WORKERS - 1, "cpu": 10000, "mem_mb": 1000,
             "anti_affinity": 1, "long_running": True}]):
        return 2
    await asyncio.sleep(3)
    platform.times[JOB] = (4.0, "done")
    if not await platform.submit(entry, "label", JOB, [
            {"count": 1, "cpu": 10000, "mem_mb": 1000, "estimate_ms": 4000}]):
        return 2
    await asyncio.sleep(0.5)
    worker = next(w for w in platform.workers
                  if any(t.startswith(JOB) for t in w.running))
    for _ in range(TURNS if trouble else 0):
        await asyncio.sleep(UP_S)
        worker.down()
        await asyncio.sleep(DOWN_S)
        await worker.start()
    state = None
    for _ in range(40):
        status, answer = await platform.call(entry, "GET", f"/label/{JOB}")
        state = answer and answer.get("state")
        if state in ("completed", "failed", "cancelled"):
            break
        await asyncio.sleep(1)
    platform.record(f"the submission is shown as {state}; ends as failed: "
                    f"{failed_ends}")
    if state is None:
        return 2
    return 1 if state == "failed" and not failed_ends else 0


stand.run(HERE, case)

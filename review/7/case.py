"""Case 7: a task that lasts ends as done, and is not restarted."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import stand  # noqa: E402

WORKERS = 7
TASKS = 5
JOB = "00000000000000aa"
ENDS_AFTER_S = 4.0
WATCH_S = 25


async def case(platform, trouble):
    ended = []
    away_since = {}

    def work(worker, task, run):
        # One task of the submission ends by itself once, with success.
        if trouble and task.endswith(".2") and run == 1:
            return ENDS_AFTER_S, "done"
        return None, "done"

    def on_start(worker, task, run):
        away_since.pop(task, None)

    def on_end(worker, task, run, how):
        ended.append((task, run, how))
        away_since[task] = time.monotonic()
    platform.work = work
    platform.on_start = on_start
    platform.on_end = on_end
    await platform.start(stand.config(["posting"], [("trace", "posting")]))
    for n in range(WORKERS):
        await platform.add_worker(f"m-{n}", "posting")
    for n in range(3):
        platform.add_daemon(f"front-{n}").start()
    if not await platform.ready():
        return 2
    if not await platform.submit(
            platform.daemons[0], "trace", JOB,
            [{"count": TASKS, "cpu": 4000, "mem_mb": 4000, "may_miss": 1,
              "anti_affinity": 1, "long_running": True}]):
        return 2
    broken = False
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        for task, since in away_since.items():
            # From 6 s after its last run, for 3 s.
            if time.monotonic() - since > 9 and not broken:
                broken = True
                platform.record(f"{task} has not run for 9 s")
    status, answer = await platform.call(platform.daemons[1], "GET",
                                         f"/trace/{JOB}")
    running = sum(len(w.running) for w in platform.workers)
    platform.record(f"ends: {ended}; {running} of {TASKS} tasks run; the "
                    f"submission is {answer}")
    if status == 0:
        return 2
    return 1 if broken else 0


stand.run(HERE, case)

"""A submission is given up although none of its runs has ended as failed."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
from platform_stand import TROUBLE, Platform, now, run_case  # noqa: E402

JOB = "00000000000000f1"
WORK_S = 3.0
# When the worker of the first and of the second run crashes, after its start.
CRASH_AFTER_S = (0.4, 0.12)
DOWN_S = 4.0


class Case(Platform):
    def outcome(self, worker, run):
        return "done" if now() - run.began > WORK_S else None

    def percent(self, run):
        return min(99, int(100 * (now() - run.began) / WORK_S))

    def run_started(self, worker, run, body):
        super().run_started(worker, run, body)
        n = len(self.starts) - 1
        if TROUBLE and n < len(CRASH_AFTER_S):
            asyncio.ensure_future(self.crash_soon(worker, CRASH_AFTER_S[n]))

    async def crash_soon(self, worker, after_s):
        await asyncio.sleep(after_s)
        await worker.crash(DOWN_S)


async def case(p):
    await p.start(n_daemons=3, n_workers=8)
    await p.request(p.daemons[0], "POST", JOB, {
        "spec": "notice", "steps": [
            {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 3000}]})
    state = None
    for i in range(40):
        await asyncio.sleep(1)
        _, value = await p.request(p.daemons[i % 3], "GET", JOB)
        state = (value or {}).get("state")
        if state in ("completed", "failed"):
            break
    failed = sum(how == "failed" for _, _, _, how in p.ends)
    p.record("shown as %s; runs that ended as failed: %d" % (state, failed))
    return not (state == "failed" and failed == 0)


run_case(Case(__file__), case)

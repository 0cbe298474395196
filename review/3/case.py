"""A submission that got 504 and whose cancel was acknowledged runs later."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
from platform_stand import BOUNDS, TROUBLE, Platform, now, run_case  # noqa: E402

JOB = "00000000000000d1"
CUT_S = 5.5
WORK_S = 10.0


class Case(Platform):
    def outcome(self, worker, run):
        return "done" if now() - run.began > WORK_S else None

    def percent(self, run):
        return min(99, int(100 * (now() - run.began) / WORK_S))


async def case(p):
    await p.start(n_daemons=6, n_workers=6, links=True)
    first, second = [d for d in p.daemons if d is not p.leader()][:2]
    cut = []
    if TROUBLE:
        cut = p.cut_off(first)
        p.record("%s is cut off for %.1f s" % (first.name, CUT_S))
    since = now()
    status, _ = await p.request(first, "POST", JOB, {
        "spec": "notice", "steps": [
            {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 10000}]})
    # The client gives up and cancels what it sent, at another daemon.
    acked = None
    while acked is None:
        answer, _ = await p.request(second, "DELETE", JOB)
        if answer in (200, 410):
            acked = now()
        else:
            await asyncio.sleep(0.2)
    await asyncio.sleep(max(0, CUT_S - (now() - since)))
    for link in cut:
        link.heal()
    p.record("the cut is over")
    await asyncio.sleep(20)
    await p.request(second, "GET", JOB)
    late = [r.task for t, _, r, _ in p.starts
            if t - acked > BOUNDS["cancel_ms"] / 1000]
    p.record("the client got %s; starts later than cancel_ms after the "
             "acknowledged cancel: %s" % (status, late or "none"))
    return not late


run_case(Case(__file__), case)

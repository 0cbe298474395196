"""A timed submission whose progress outgrows the largest value of the store."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
from platform_stand import TROUBLE, Platform, now, run_case  # noqa: E402

# Hourly for a year, against hourly for a week.
TIMES = 8760 if TROUBLE else 168
TASKS = 120
TIMED = "00000000000000aa"
PLAIN = ["%016x" % (0x1000 + i) for i in range(10)]
CANCELLED = ["%016x" % (0x2000 + i) for i in range(4)]


class Case(Platform):
    def outcome(self, worker, run):
        return "done" if now() - run.began > self.length(run) else None

    def percent(self, run):
        return min(99, int(100 * (now() - run.began) / self.length(run)))

    def length(self, run):
        return 60 if run.task.split(".")[0] in CANCELLED else 0.5


def step(count, cpu=200):
    return {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": 500}


async def case(p):
    await p.start()
    await p.request(p.daemons[0], "POST", TIMED, {
        "spec": "hourly report", "times": TIMES,
        "first_ms": int(time.time() * 1000) - 500, "interval_ms": 3600000,
        "steps": [step(TASKS)]})
    await asyncio.sleep(4)
    accepted = []
    for i, job in enumerate(PLAIN + CANCELLED):
        status, _ = await p.request(p.daemons[i % 3], "POST", job,
                                    {"spec": "x", "steps": [step(2)]})
        if status == 200:
            accepted.append(job)
    await asyncio.sleep(3)
    cancels = []
    for job in CANCELLED:
        status, _ = await p.request(p.leader(), "DELETE", job, timeout=4.0)
        cancels.append(status)
    await asyncio.sleep(20)
    states = {}
    for job in accepted:
        _, value = await p.request(p.daemons[0], "GET", job)
        states[job] = (value or {}).get("state")
    # Ends that workers have listed for longer than ack_ms, not taken note of.
    done = [(t, w, r) for t, w, r, how in p.ends if now() - t > 4.1]
    open_ends = sum(1 for w in p.workers for e in w.ended)
    listed = len(done)
    p.record("refused by the store: %s" % p.store.refused_values[:3])
    p.record("ends: %d listed, %d not taken note of" % (listed, open_ends))
    unfinished = [j for j in PLAIN if j in accepted and states[j] != "completed"]
    p.record("plain submissions not shown as completed: %d of %d accepted" % (
        len(unfinished), sum(j in accepted for j in PLAIN)))
    p.record("cancels without 2xx or 410: %d of %d" % (
        sum(s not in (200, 410) for s in cancels), len(cancels)))
    return open_ends * 5 <= listed and sum(
        s not in (200, 410) for s in cancels) < 3


run_case(Case(__file__), case)

"""A timed submission whose progress outgrows the largest value of the store."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
from platform_stand import BOUNDS, TROUBLE, Platform, now, run_case  # noqa: E402

# Hourly for a year, against hourly for a week.
TIMES = 8760 if TROUBLE else 168
TASKS = 120
TIMED = "00000000000000aa"
TRAFFIC_S = 60
PER_S = 12


class Case(Platform):
    def outcome(self, worker, run):
        return "done" if now() - run.began > 0.4 else None

    def percent(self, run):
        return min(99, int(100 * (now() - run.began) / 0.4))


def step(count, cpu):
    return {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": 400}


async def case(p):
    await p.start()
    await p.request(p.daemons[0], "POST", TIMED, {
        "spec": "hourly report", "times": TIMES,
        "first_ms": int(time.time() * 1000) - 500, "interval_ms": 3600000,
        "steps": [step(TASKS, 500)]})
    await asyncio.sleep(4)
    accepted = []

    async def submit(i):
        job = "%016x" % (0x1000 + i)
        status, _ = await p.request(p.daemons[i % 3], "POST", job, {
            "spec": "notice", "steps": [step(3, 2500)]})
        if status == 200:
            accepted.append(job)

    sends = []
    for i in range(TRAFFIC_S * PER_S):
        sends.append(asyncio.ensure_future(submit(i)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*sends)
    p.record("the traffic ends")
    await asyncio.sleep(BOUNDS["finish_s"] + 3)
    states = {}
    for i, job in enumerate(accepted):
        _, value = await p.request(p.daemons[i % 3], "GET", job)
        states[job] = (value or {}).get("state")
    unfinished = [j for j, s in states.items() if s not in ("completed", "failed")]
    # With all workers up, empty and without orders for 3 s and more.
    idle_s = now() - max(t for t, _, _, _ in p.starts + p.ends)
    idle = idle_s > 3 and not any(w.running for w in p.workers)
    listed = sum(how != "crash" for _, _, _, how in p.ends)
    not_noted = sum(len(w.ended) for w in p.workers)
    p.record("refused by the store, first: %s" % p.store.refused_values[:1])
    p.record("submissions not shown as completed: %d of %d accepted" % (
        len(unfinished), len(accepted)))
    p.record("nothing has run on any worker for %.1f s" % (idle_s if idle else 0))
    p.record("ends: %d listed, %d not taken note of (Acks; told, not judged)" % (
        listed, not_noted))
    return not (unfinished and idle)


run_case(Case(__file__), case)

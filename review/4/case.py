"""After a change of leader, what a backend server that is cut off runs isn't
counted against the maximum of its tenant."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins"))
from platform_stand import BOUNDS, TROUBLE, Platform, now, run_case  # noqa: E402

MAXIMUM = 16000
CUT_S = 5.0


class Case(Platform):
    def outcome(self, worker, run):
        return "done" if now() - run.began > 12 else None

    def percent(self, run):
        return min(99, int(100 * (now() - run.began) / 12))

    def running_cpu(self):
        """What the tenant has running on all workers, cut off or not."""
        return sum(self.step_of(run.task)["cpu"]
                   for w in self.workers for run in w.running.values())

    def run_started(self, worker, run, body):
        super().run_started(worker, run, body)
        total = self.running_cpu()
        self.most = max(getattr(self, "most", 0), total)
        self.record("the tenant runs %d of %d" % (total, MAXIMUM))


async def case(p):
    await p.start(n_daemons=3, n_workers=6, config=p.config(maximum=MAXIMUM))
    need = {"cpu": 1000, "mem_mb": 256, "estimate_ms": 12000}
    first = "00000000000000a1"
    await p.request(p.daemons[0], "POST", first, {
        "spec": "first", "steps": [dict(need, count=16)]})
    await asyncio.sleep(1.5)
    if p.running_cpu() != MAXIMUM:
        raise RuntimeError("the first submission doesn't run")
    busy = max(p.workers, key=lambda w: len(w.running))
    leader = p.leader()
    p.record("%s runs %d tasks" % (busy.id, len(busy.running)))
    if TROUBLE:
        p.record("cut off: %s, for %.1f s; killed: %s" % (busy.id, CUT_S, leader.name))
        busy.reachable.clear()
        asyncio.get_event_loop().call_later(CUT_S, busy.reachable.set)
        leader.signal(signal.SIGKILL)
        # The platform starts a killed process again after a short delay.
        await leader.process.wait()
        await asyncio.sleep(0.5)
        await leader.start()
    others = [d for d in p.daemons if d is not leader]
    for n in range(12):
        job = "%016x" % (0xb0 + n)
        await p.request(others[n % 2], "POST", job, {
            "spec": "next", "steps": [dict(need, count=4)]})
        await asyncio.sleep(0.5)
    await asyncio.sleep(4)
    task = need["cpu"]
    most = MAXIMUM * (1 + BOUNDS["quota_overage"]) + task
    p.record("most at once: %d, allowed: %d" % (p.most, most))
    return p.most <= most


run_case(Case(__file__), case)

"""What the cases of REPORT-3.md share: they run on a platform in a temporary
folder, for at most RUN_MAX_S, and end all that they have started."""

import asyncio
import os
import sys
import tempfile

from platform_standin import Platform, Record, now_ms

RUN_MAX_S = 110
ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN = 1
HELD = 0
NOT_RUN = 2


def job_id(number):
    """Ends in a letter, so that no task's name looks like an address."""
    return f"{number:015x}f"


async def wait_for(condition, timeout_s):
    """Whether condition() holds before the time is over."""
    end = now_ms() + timeout_s * 1000
    while now_ms() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return False


def starts_of(platform, job):
    return [s for s in platform.tasks.starts
            if s["task"].split(".")[0] == job]


def done(platform, job):
    return [e for e in platform.tasks.ends
            if e["task"].split(".")[0] == job and e["how"] == "done"]


def running(platform, job):
    return [t for w in platform.workers.values() if w.up
            for t in w.runs if t.split(".")[0] == job]


async def run(folder, play):
    record = Record(os.path.join(folder, "record.txt"))
    with tempfile.TemporaryDirectory() as temporary:
        platform = Platform(temporary, record, os.path.join(
            ROOT, "target", "egretjobd", "egretjobd"))
        try:
            return await asyncio.wait_for(play(platform, record), RUN_MAX_S)
        except (asyncio.TimeoutError, OSError) as error:
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            platform.stop()
            record.close()


def main(folder, play):
    sys.exit(asyncio.run(run(folder, play)))

"""Three large jobs at once, and what becomes of the other jobs."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import large  # noqa: E402 - importable only after the path is set above
import world as w  # noqa: E402

EXECUTORS = 6
# 45,000 tasks of 0.002 cores need 90 of the 192 cores; a start takes some 80 bytes in the log.
JOBS = [w.job(15_000, 2, 1, 1_000)] * 3


async def scenario(world):
    return await large.judge(world, JOBS)


# The argument is the path of record.txt.
w.run(sys.argv[1], scenario, executors=EXECUTORS)

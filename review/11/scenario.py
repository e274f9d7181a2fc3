"""One large job, and what becomes of the other jobs."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

import large  # noqa: E402 - importable only after the path is set above
import world as w  # noqa: E402

EXECUTORS = 30
# 8,000 tasks of 0.04 cores need a third of the room.
JOB = w.job(8_000, 40, 1, 1_000, anti_affinity=400)


async def scenario(world):
    return await large.judge(world, [JOB])


# The argument is the path of record.txt.
w.run(sys.argv[1], scenario, executors=EXECUTORS)

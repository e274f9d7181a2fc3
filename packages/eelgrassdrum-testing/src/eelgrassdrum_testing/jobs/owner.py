"""
Tests of one owner's decisions, event by event.
"""

from ._owner import (
    BOUNDS,
    OWNER_TOKEN,
    START_S,
    WALL_MS,
    commit,
    feed,
    hand_in,
    logged,
    make_owner_config,
    one_step,
    owner_of,
    read_back,
    read_to_end,
    started,
    worker_entry,
)

__all__ = [
    "BOUNDS",
    "OWNER_TOKEN",
    "START_S",
    "WALL_MS",
    "commit",
    "feed",
    "hand_in",
    "logged",
    "make_owner_config",
    "one_step",
    "owner_of",
    "read_back",
    "read_to_end",
    "started",
    "worker_entry",
]

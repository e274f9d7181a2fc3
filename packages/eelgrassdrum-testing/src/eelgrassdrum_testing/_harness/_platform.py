"""
State of the harness's platform for instances of pools.
"""

from typing import NamedTuple

import msgspec

from eelgrassdrum_core import _fleet_messages as messages

INVENTORY_LAG_S = 1.0
BOOT_S = 8.0


class PlannedStop(NamedTuple):
    """
    One drain that began to take effect.

    :param at_s: virtual time.
    :param machine: the instance.
    :param pool: pool that it served.
    :param serving: instances of each pool that serve after it.
    :param failed_s: virtual time of the last failure of each failed instance, by pool.
    """

    at_s: float
    machine: str
    pool: str
    serving: dict[str, int]
    failed_s: dict[str, tuple[float, ...]]


class Machine(msgspec.Struct):
    """
    One instance of a pool.

    :param pool: pool that it is configured for.
    :param is_serving: whether it takes work.
    :param busy_until_s: time at which its last request ends.
    :param epoch: highest epoch of any call.
    :param rebooted_epoch: epoch of the last call that rebooted it.
    :param boots: count of reboots.
    :param is_bad: whether its next boots fail.
    """

    id: str
    pool: str
    zone: str
    rack: str
    is_serving: bool = True
    is_up: bool = True
    busy_until_s: float = 0.0
    epoch: int = 0
    rebooted_epoch: int = 0
    booting_until_s: float = 0.0
    booted_at_s: float = 0.0
    boots: int = 0
    is_bad: bool = False
    is_stuck: bool = False
    failed_s: float = -1e9


class Platform(msgspec.Struct):
    """
    All instances of pools, with what happened to them.

    :param inventory: past states that reads with a lag may still show.
    :param known: ids of all instances that there ever were.
    :param stops: drains that took effect.
    :param cut: requests that a planned stop cut, by instance.
    :param lag_s: seconds by which the inventory is late.
    """

    machines: dict[str, Machine] = msgspec.field(default_factory=dict)
    inventory: list[messages.InventoryReceived] = msgspec.field(default_factory=list)
    known: set[str] = msgspec.field(default_factory=set)
    stops: list[PlannedStop] = msgspec.field(default_factory=list)
    cut: list[str] = msgspec.field(default_factory=list)
    lag_s: float = INVENTORY_LAG_S
    boot_s: float = BOOT_S

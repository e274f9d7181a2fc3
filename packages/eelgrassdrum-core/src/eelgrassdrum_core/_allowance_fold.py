"""
Allowances as decided by the log: the part of a team's upper limit that each instance holds.

The log accepts no increase by which the units held and the units under recovery would exceed the
limit. Units of a fenced holder stay counted until their work is known to have ended.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

import msgspec
import xxhash

from ._allowance_messages import (
    ALLOWANCE_MOVED,
    ALLOWANCE_SETTLED,
    HOLDER_RECLAIMED,
    HOLDER_RELEASED,
    HOLDER_RENEWED,
    allowance_subject,
    holder_subject,
)
from ._config import ConfigFold
from ._records import Record

REASON_INVALID_ALLOWANCE = "invalid_allowance"
REASON_NOT_HOLDER = "not_a_holder"
REASON_OVER_LIMIT = "over_limit"

# Number of holders that are chosen to reclaim a holder's allowances.
RECLAIMERS = 3


class HolderLease(NamedTuple):
    """
    The lease of an entry instance that may hold allowances.

    :param incarnation: its incarnation.
    :param zone: its availability zone.
    :param renewed_offset: offset of its last accepted renewal.
    :param reclaimers: keys of the holders chosen to reclaim its allowances.
    """

    incarnation: int
    zone: str
    renewed_offset: int
    reclaimers: tuple[str, ...]


class FencedHolder(NamedTuple):
    """
    A former holder whose work may still be running.

    :param offset: offset of the record that fenced it.
    :param renewed_offset: offset of its last accepted renewal.
    :param expired: whether its lease had certainly expired by then.
    """

    offset: int
    renewed_offset: int
    expired: bool


class TeamAllowance(msgspec.Struct):
    """
    The allocation of a team's upper limit.

    :param held: units by key of the holder.
    :param recovering: units of former holders whose work may still be running, by key.
    """

    held: dict[str, int] = msgspec.field(default_factory=dict)
    recovering: dict[str, int] = msgspec.field(default_factory=dict)


class AllowanceFold(msgspec.Struct):
    """
    Leases by instance, allowances by team, and fenced holders by key.
    """

    holders: dict[str, HolderLease] = msgspec.field(default_factory=dict)
    teams: dict[str, TeamAllowance] = msgspec.field(default_factory=dict)
    fenced: dict[str, FencedHolder] = msgspec.field(default_factory=dict)


class FoldView(Protocol):
    """
    The part of the folded state that allowances depend on.
    """

    config: ConfigFold
    allowances: AllowanceFold


def rank(name: str, keys: list[str]) -> list[str]:
    """
    Order holders by rendezvous hashing.

    :param name: name of the duty for which holders are chosen.
    :param keys: keys of the holders.
    :returns: the keys in order of precedence.
    """
    return sorted(keys, key=lambda key: (xxhash.xxh64_intdigest(f"{name}|{key}".encode()), key))


def registered_keys(allowances: AllowanceFold) -> dict[str, str]:
    """
    Return the current holders.

    :param allowances: the folded allowances.
    :returns: ids of the instances by key.
    """
    return {
        f"{instance}:{lease.incarnation}": instance
        for instance, lease in allowances.holders.items()
    }


def apply_renewal(fold: FoldView, offset: int, record: Record) -> str:
    """
    Register an instance as a holder, or renew its lease.

    A renewal by a new incarnation fences the holder's previous one.

    :param fold: changed in place.
    :param offset: offset of the record.
    :param record: a ``holder.renewed`` record.
    :returns: the reason to reject the record, or an empty string.
    """
    instance, incarnation = record.id.writer, record.id.incarnation
    zone = record.body.get("zone")
    if record.subject != holder_subject(instance) or not isinstance(zone, str):
        return REASON_INVALID_ALLOWANCE
    allowances = fold.allowances
    current = allowances.holders.get(instance)
    if current is not None and current.incarnation != incarnation:
        _fence(allowances, instance, offset, expired=False)
    key = f"{instance}:{incarnation}"
    allowances.fenced.pop(key, None)
    reclaimers = _choose_reclaimers(allowances, key, zone)
    allowances.holders[instance] = HolderLease(incarnation, zone, offset, reclaimers)
    return ""


def apply_reclaim(fold: FoldView, offset: int, record: Record) -> str:
    """
    Fence a holder whose lease has expired.

    :param fold: changed in place.
    :param offset: offset of the record.
    :param record: a ``holder.reclaimed`` record.
    :returns: the reason to reject the record, or an empty string.
    """
    instance = record.body.get("instance")
    lease = fold.allowances.holders.get(str(instance))
    if lease is None or record.subject != holder_subject(str(instance)):
        return REASON_INVALID_ALLOWANCE
    if lease.incarnation != record.body.get("incarnation") or not _is_holder(fold, record):
        return REASON_NOT_HOLDER
    _fence(fold.allowances, str(instance), offset, expired=True)
    return ""


def apply_release(fold: FoldView, offset: int, record: Record) -> str:
    """
    Release the units of a leaving holder, except those of work whose outcome is unknown.

    :param fold: changed in place.
    :param offset: offset of the record.
    :param record: a ``holder.released`` record.
    :returns: the reason to reject the record, or an empty string.
    """
    instance = record.id.writer
    running = record.body.get("running")
    if record.subject != holder_subject(instance) or not _is_holder(fold, record):
        return REASON_NOT_HOLDER
    if not isinstance(running, dict):
        return REASON_INVALID_ALLOWANCE
    key = f"{instance}:{record.id.incarnation}"
    for name, team in fold.allowances.teams.items():
        if key in team.held:
            team.held[key] = min(team.held[key], max(0, int(running.get(name, 0))))
    _fence(fold.allowances, instance, offset, expired=True)
    return ""


def apply_move(fold: FoldView, offset: int, record: Record) -> str:
    """
    Set the units of some holders of a team.

    :param fold: changed in place.
    :param offset: offset of the record.
    :param record: an ``allowance.moved`` record.
    :returns: the reason to reject the record, or an empty string.
    """
    try:
        name = str(record.body["team"])
        changes = {str(key): int(units) for key, units in record.body["held"].items()}
    except (KeyError, TypeError, ValueError, AttributeError):
        return REASON_INVALID_ALLOWANCE
    if record.subject != allowance_subject(name) or min(changes.values(), default=0) < 0:
        return REASON_INVALID_ALLOWANCE
    current = fold.allowances.teams.get(name, TeamAllowance())
    raised = [key for key, units in changes.items() if units > current.held.get(key, 0)]
    registered = registered_keys(fold.allowances)
    if not _is_holder(fold, record) or any(key not in registered for key in raised):
        return REASON_NOT_HOLDER
    held = {key: units for key, units in {**current.held, **changes}.items() if units > 0}
    config = fold.config.teams.get(name)
    limit = 0 if config is None else config.limit
    if raised and sum(held.values()) + sum(current.recovering.values()) > limit:
        return REASON_OVER_LIMIT
    fold.allowances.teams[name] = TeamAllowance(held, current.recovering)
    return ""


def apply_settlement(fold: FoldView, offset: int, record: Record) -> str:
    """
    Free units under recovery whose work is known to have ended.

    :param fold: changed in place.
    :param offset: offset of the record.
    :param record: an ``allowance.settled`` record.
    :returns: the reason to reject the record, or an empty string.
    """
    try:
        name, key = str(record.body["team"]), str(record.body["holder"])
        units = int(record.body["units"])
    except (KeyError, TypeError, ValueError):
        return REASON_INVALID_ALLOWANCE
    team = fold.allowances.teams.get(name)
    if record.subject != allowance_subject(name) or team is None:
        return REASON_INVALID_ALLOWANCE
    if not _is_holder(fold, record):
        return REASON_NOT_HOLDER
    if not 0 <= units < team.recovering.get(key, 0):
        return REASON_INVALID_ALLOWANCE
    team.recovering[key] = units
    if units == 0:
        team.recovering.pop(key)
    _forget_settled(fold.allowances, key)
    return ""


def _is_holder(fold: FoldView, record: Record) -> bool:
    lease = fold.allowances.holders.get(record.id.writer)
    return lease is not None and lease.incarnation == record.id.incarnation


def _fence(allowances: AllowanceFold, instance: str, offset: int, *, expired: bool) -> None:
    lease = allowances.holders.pop(instance)
    key = f"{instance}:{lease.incarnation}"
    for team in allowances.teams.values():
        units = team.held.pop(key, 0)
        if units > 0:
            team.recovering[key] = team.recovering.get(key, 0) + units
    allowances.fenced[key] = FencedHolder(offset, lease.renewed_offset, expired)
    _forget_settled(allowances, key)


def _forget_settled(allowances: AllowanceFold, key: str) -> None:
    if not any(key in team.recovering for team in allowances.teams.values()):
        allowances.fenced.pop(key, None)


def _choose_reclaimers(allowances: AllowanceFold, key: str, zone: str) -> tuple[str, ...]:
    zones = {
        f"{instance}:{lease.incarnation}": lease.zone
        for instance, lease in allowances.holders.items()
        if not key.startswith(f"{instance}:")
    }
    # One holder of each other zone is preferred, so that some remain when a zone fails.
    seen = {zone}
    first: list[str] = []
    rest: list[str] = []
    for other in rank(key, list(zones)):
        (rest if zones[other] in seen else first).append(other)
        seen.add(zones[other])
    return tuple((first + rest)[:RECLAIMERS])


APPLIERS: dict[str, Callable[[FoldView, int, Record], str]] = {
    HOLDER_RENEWED: apply_renewal,
    HOLDER_RECLAIMED: apply_reclaim,
    HOLDER_RELEASED: apply_release,
    ALLOWANCE_MOVED: apply_move,
    ALLOWANCE_SETTLED: apply_settlement,
}

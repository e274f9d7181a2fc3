"""
Selection of the entry instances that vote on a request id.

Each id has up to three voters, chosen by rendezvous hashing, all of them in one zone if it has that
many instances. Each claim needs a majority, so two claims on the same id share at least one voter.
While instances may see different lists, a claim needs a majority under the old and the new list.
"""

from collections import Counter
from collections.abc import Iterable

import xxhash

from ._events import ListedInstance
from ._joins_state import JoinState, Roster
from ._state import State

VOTERS = 3
# Keeps an instance as a voter while it restarts under the same id and is missing from the list.
UNLISTED_RETENTION_S = 30.0
# Maximum lifetime of a claim.
MAX_CLAIM_S = 300.0
# Time after which a claim without a majority fails.
CLAIM_TIMEOUT_S = 1.0
# Longer than CLAIM_TIMEOUT_S, so that recovery sees each claim that counts a vote from before the
# restart.
RECOVERY_WAIT_S = 1.2
# The voters of an id such as ``a.4711`` are in zone ``a``.
ZONE_SEPARATOR = "."


def hash_request(team: str, request_id: str) -> int:
    """
    Return the hash that identifies a request id among instances.

    :param team: ``WORKSPACE/TEAM``, so that equal ids of different teams don't collide.
    :param request_id: the caller's id.
    :returns: 63-bit hash; when the id names a zone, its lowest byte is a hash of the zone.
    """
    zone, separator, _ = request_id.partition(ZONE_SEPARATOR)
    digest = xxhash.xxh3_64_intdigest(f"{team} {request_id}".encode()) >> 1
    if not separator:
        return digest
    return (digest & ~0xFF) | _zone_byte(zone)


def voters(roster: Roster, key: int) -> tuple[str, ...]:
    """
    Return the voters of a key.

    :param roster: the entry instances.
    :param key: hash of the request's id.
    :returns: ids of up to `VOTERS` instances, first choice first.
    """
    zones = sorted({zone for _, zone in roster.members})
    marked = [zone for zone in zones if _zone_byte(zone) == key & 0xFF]
    home = marked[0] if marked else max(zones, key=lambda zone: _weight(key, zone))

    def order(member: tuple[str, str]) -> tuple[bool, int]:
        return member[1] == home, _weight(key, member[0])

    ranked = sorted(roster.members, key=order, reverse=True)
    return tuple(instance for instance, _ in ranked[:VOTERS])


def all_voters(joins: JoinState, key: int) -> set[str]:
    """
    Return the voters of a key under all rosters that may be in use.

    :param joins: the rosters.
    :param key: hash of the request's id.
    :returns: ids of instances.
    """
    return {instance for roster in joins.rosters for instance in voters(roster, key)}


def has_majority(joins: JoinState, key: int, granted: set[str]) -> bool:
    """
    Return whether a claim has a majority.

    :param joins: the rosters.
    :param key: hash of the request's id.
    :param granted: voters that have granted it.
    :returns: whether they are a majority under each roster that may be in use.
    """
    groups = [voters(roster, key) for roster in joins.rosters]
    return bool(groups) and all(
        2 * sum(instance in granted for instance in group) > len(group) for group in groups
    )


def co_voters(joins: JoinState, own: str) -> set[str]:
    """
    Return the other instances that may have voted on the same ids as this one.

    :param joins: the first roster.
    :param own: id of this instance.
    :returns: ids of instances.
    """
    zones = dict(joins.first_roster)
    sizes = Counter(zones.values())
    if min(sizes.values()) >= VOTERS:
        return {instance for instance, zone in zones.items() if zone == zones[own]} - {own}
    return set(zones) - {own}


def update_rosters(state: State, listed: Iterable[ListedInstance]) -> None:
    """
    Update the rosters from the platform's instance list, which may be stale.

    :param state: the rosters are changed in place.
    :param listed: all instances of the list.
    """
    joins = state.joins
    zones = dict(joins.rosters[-1].members) if joins.rosters else {}
    for item in listed:
        if item.role == "entry" and item.peer_address:
            zones[item.id] = item.zone
            joins.addresses[item.id] = item.peer_address
            joins.listed_s[item.id] = state.now_s
    own = state.identity.sender
    zones[own.instance] = own.zone
    joins.listed_s[own.instance] = state.now_s
    kept_since_s = state.now_s - UNLISTED_RETENTION_S
    members = tuple(sorted(m for m in zones.items() if joins.listed_s[m[0]] >= kept_since_s))
    _replace_roster(state, members)


def _replace_roster(state: State, members: tuple[tuple[str, str], ...]) -> None:
    joins = state.joins
    if not joins.rosters:
        joins.first_roster = members
        joins.recovery_starts_s = state.now_s + RECOVERY_WAIT_S
        joins.recovery_ends_s = state.now_s + MAX_CLAIM_S
    if joins.rosters and joins.rosters[-1].members == members:
        return
    until_s = state.now_s + MAX_CLAIM_S
    old = [roster._replace(until_s=min(roster.until_s, until_s)) for roster in joins.rosters]
    joins.rosters = [*old, Roster(members, float("inf"))]


def drop_expired_rosters(state: State) -> None:
    """
    Remove rosters under which no claim can be in force any more.

    :param state: the rosters are changed in place.
    """
    joins = state.joins
    joins.rosters = [roster for roster in joins.rosters if roster.until_s > state.now_s]


def _zone_byte(zone: str) -> int:
    return xxhash.xxh32_intdigest(zone.encode()) & 0xFF


def _weight(key: int, name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=key)

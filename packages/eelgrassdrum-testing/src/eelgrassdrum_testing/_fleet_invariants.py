"""
What must always hold of pools and planned stops, each rule by name, checked on the harness's world.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from eelgrassdrum_core._fleet_messages import IN_SERVICE, RETURNING
from eelgrassdrum_core._pools import PoolFold, find_pool
from eelgrassdrum_core._state import Fold

from ._harness import PlannedStop, World, reference_fold

# A failure younger than this may not be known yet to who decided about a stop: the inventory's
# lag, its validity, a resent call and its way.
UNKNOWN_FAILURE_S = 8.0

Check = Callable[[World, Fold], Iterator[str]]


def one_pool_in_the_fold(world: World, fold: Fold) -> Iterator[str]:
    """
    Every instance is a member of exactly the pool that its entry names, at each entry instance.

    :param world: the world.
    :param fold: the fold of the whole log.
    :returns: violations.
    """
    folds = {entry.id: entry.state.fold for entry in world.entries.values() if entry.alive}
    for owner, own_fold in {"reference": fold, **folds}.items():
        counts = Counter(name for names in own_fold.pools.members.values() for name in names)
        for name, entry in own_fold.pools.instances.items():
            if counts[name] != 1 or name not in own_fold.pools.members.get(entry.pool, ()):
                yield f"{name} is in {counts[name]} pools at {owner}"


def one_decision(world: World, fold: Fold) -> Iterator[str]:
    """
    Entry instances that have folded the same records agree about every instance.

    :param world: the world.
    :param fold: the fold of the whole log.
    :returns: violations.
    """
    decided: dict[int, PoolFold] = {}
    for entry in world.entries.values():
        offset = entry.state.fold.position.next_offset
        first = decided.setdefault(offset, entry.state.fold.pools)
        if first.instances != entry.state.fold.pools.instances:
            yield f"{entry.id} disagrees about instances before offset {offset}"


def serves_its_pool_only(world: World, fold: Fold) -> Iterator[str]:
    """
    An instance that takes work serves the pool that the log says it is in.

    :param world: the world.
    :param fold: the fold of the whole log.
    :returns: violations.
    """
    for machine in world.platform.machines.values():
        entry = fold.pools.instances.get(machine.id)
        if entry is not None and machine.is_serving and machine.pool != entry.pool:
            yield f"{machine.id} serves {machine.pool} while it is in {entry.pool}"


def stops_cut_nothing(world: World, fold: Fold) -> Iterator[str]:
    """
    No planned stop cuts a request.

    :param world: the world.
    :param fold: the fold of the whole log.
    :returns: violations.
    """
    for name in world.platform.cut:
        yield f"the reboot of {name} cut requests"


def stops_keep_budgets(world: World, fold: Fold) -> Iterator[str]:
    """
    No planned stop leaves a service with fewer instances than its budget asks for.

    :param world: the world.
    :param fold: the fold of the whole log.
    :returns: violations.
    """
    for stop in world.platform.stops:
        pool = find_pool(fold, stop.pool)
        service = None if pool is None else fold.config.services.get(pool.service)
        if service is None:
            continue
        left = stop.serving.get(stop.pool, 0) + _unknown_failures(stop)
        floor = service.executors - service.max_unavailable
        if left < floor:
            yield f"the stop of {stop.machine} left {left} of {stop.pool}, fewer than {floor}"


def nothing_is_forgotten(world: World, fold: Fold) -> Iterator[str]:
    """
    An instance that the log says is in service takes work; for a world that came to rest.

    :param world: the world.
    :param fold: the fold of the whole log.
    :returns: violations.
    """
    for machine in world.platform.machines.values():
        entry = fold.pools.instances.get(machine.id)
        if entry is None or (entry.step == IN_SERVICE and not machine.is_serving):
            yield f"{machine.id} takes no work though it should be in service"
        elif entry.step == RETURNING:
            yield f"{machine.id} was called back and has not returned"


RUNNING: tuple[Check, ...] = (
    one_pool_in_the_fold,
    one_decision,
    serves_its_pool_only,
    stops_cut_nothing,
    stops_keep_budgets,
)
FINAL: tuple[Check, ...] = (*RUNNING, nothing_is_forgotten)


def check_fleet(world: World, checks: tuple[Check, ...] = RUNNING) -> list[str]:
    """
    Run checks of pools and planned stops.

    :param world: the world.
    :param checks: the checks.
    :returns: violations, each beginning with the name of its rule.
    """
    fold = reference_fold(world)
    return [f"{check.__name__}: {text}" for check in checks for text in check(world, fold)]


def _unknown_failures(stop: PlannedStop) -> int:
    failed_s = stop.failed_s.get(stop.pool, ())
    return sum(at_s >= stop.at_s - UNKNOWN_FAILURE_S for at_s in failed_s)

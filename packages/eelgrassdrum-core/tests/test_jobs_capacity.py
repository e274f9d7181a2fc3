"""
Workers whose capacity shrinks and grows while they run tasks.
"""

from eelgrassdrum_core.jobs import events, model
from eelgrassdrum_testing.jobs import owner
from eelgrassdrum_testing.jobs.owner import (
    START_S,
    commit,
    feed,
    hand_in,
    make_owner_config,
    one_step,
    owner_of,
    worker_entry,
)

NOW_S = START_S + 3.0
SIZE = model.Resources(4000, 64_000, 0)
# Longer than a worker's loss of capacity may stay unknown.
UNREAD_S = 4.0
# Longer than the interval between two plans while tasks wait for capacity.
ANSWER_S = 0.05


def read_registry(node, at_s, *workers):
    """
    Let the owner read the entries of workers.
    """
    feed(node, at_s, events.Ticked())
    commit(node, at_s)
    entries = {worker.id: worker for worker in workers}
    return feed(node, at_s + ANSWER_S, events.WorkersRead(1, True, entries, at_s))


def shrunk(worker, millicores):
    """
    Return the entry of a worker that has less capacity.
    """
    return worker._replace(capacity=worker.capacity._replace(millicores=millicores))


def owner_with_pools(workers, standby):
    """
    Return the owner of a pool, with some instances in standby.
    """
    config = make_owner_config()
    services = {**config.services, "standby": model.Service("standby", False, True)}
    node = owner_of(workers, config._replace(services=services))
    commit(node, NOW_S)
    rows = [
        model.InstanceRow(f"m-{worker.id}", "service", "up", "z", "r1", SIZE, worker.id)
        for worker in workers
    ]
    rows += [
        model.InstanceRow(f"s-{number}", "standby", "up", "z", "r1", SIZE, "")
        for number in range(standby)
    ]
    feed(node, NOW_S, events.InstancesListed(tuple(rows), NOW_S))
    commit(node, NOW_S)
    return node


# Issue 25: a start brings a worker whose capacity has shrunk over it.
def test_a_worker_that_has_shrunk_below_its_load_takes_no_task():
    """
    Nothing starts on a worker that has less capacity than its runs use, and it takes tasks again
    once its capacity has grown.
    """
    worker = worker_entry("w")
    node = owner_of([worker])
    assert hand_in(node, [("a", "urgent", (one_step(3),), 0.0)]) == [("a", "w")] * 3
    commit(node, NOW_S)
    read_registry(node, NOW_S, shrunk(worker, 2000))
    assert hand_in(node, [("b", "urgent", (one_step(),), 0.0)], NOW_S) == []
    produced = read_registry(node, NOW_S + 0.1, worker)
    assert owner.started(produced) == [("b", "w")]


# Issue 25: an order that waited for the store was sent to a worker that had shrunk meanwhile.
def test_an_order_to_a_worker_that_has_shrunk_is_not_sent():
    """
    A decided start is withdrawn if its worker has lost the capacity for it before it is sent.
    """
    worker = worker_entry("w")
    node = owner_of([worker])
    assert hand_in(node, [("a", "urgent", (one_step(),), 0.0)]) == [("a", "w")]
    feed(node, NOW_S, events.WorkersRead(1, True, {"w": shrunk(worker, 500)}, NOW_S))
    assert commit(node, NOW_S + 0.1) == []
    assert not node.replicated.running


# Issue 25: an owner that can't read the registry starts tasks on workers that have shrunk.
def test_nothing_starts_from_entries_that_are_too_old():
    """
    An owner that has not read the registry for the time in which a loss of capacity must be known
    starts nothing until it has read it.
    """
    worker = worker_entry("w")
    node = owner_of([worker])
    node.bounds = node.bounds._replace(contact_s=3.0)
    read_registry(node, NOW_S, worker)
    late_s = NOW_S + UNREAD_S
    assert hand_in(node, [("a", "urgent", (one_step(),), 0.0)], late_s) == []
    produced = read_registry(node, late_s, shrunk(worker, 500))
    assert owner.started(produced) == []
    produced = read_registry(node, late_s + 0.1, worker)
    assert owner.started(produced) == [("a", "w")]


# Issue 25: a pool whose workers have shrunk stays as it is while its tasks wait.
def test_a_pool_grows_by_what_its_workers_have_lost():
    """
    Instances are added to a pool in place of the capacity that its workers have lost.
    """
    workers = [worker_entry(f"w{number}") for number in range(4)]
    node = owner_with_pools(workers, standby=3)
    entries = [shrunk(worker, 1000) for worker in workers]
    read_registry(node, NOW_S + 0.1, *entries)
    hand_in(node, [("a", "urgent", (one_step(8),), 0.0)], NOW_S + 0.2)
    commit(node, NOW_S + 0.3)
    feed(node, NOW_S + 0.3, events.Ticked())
    # The tasks need two whole instances, the reserve is two, and three are lost in parts.
    assert node.pools["service"].wanted == 7

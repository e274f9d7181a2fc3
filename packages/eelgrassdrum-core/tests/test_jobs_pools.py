"""
Sizes of pools: what one owner decides while the store is away, and once it answers again.
"""

from eelgrassdrum_core.jobs import effects, events, model
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

LISTED_S = START_S + 3.0
TICK_S = 0.1
# Both longer than a pool must be too large, and than an unanswered append delays decisions.
AWAY_S = 7.0
SURPLUS_S = 2.5
# Shorter than a pool must be too large.
SOON_S = 1.0
SIZE = model.Resources(4000, 64_000, 0)


def make_config():
    """
    Return a configuration of two pools with a queue each, and a standby pool.
    """
    base = make_owner_config()
    queues = {
        name: model.Queue(name, "host", f"/{name}/", name, 0, 3, 1.6, 600, False)
        for name in ("left", "right")
    }
    services = {
        name: model.Service(name, False, name == "standby") for name in (*queues, "standby")
    }
    return base._replace(queues=queues, services=services)


def make_owner(left, right, standby=0):
    """
    Return the owner of two pools of empty instances, which have just been listed.
    """
    names = [(f"l{n}", "left") for n in range(left)] + [(f"r{n}", "right") for n in range(right)]
    workers = [worker_entry(name)._replace(service=pool) for name, pool in names]
    node = owner_of(workers, make_config())
    commit(node, LISTED_S)
    feed(node, LISTED_S, events.WorkersRead(1, True, {worker.id: worker for worker in workers}))
    list_instances(node, LISTED_S, names + [(f"s{n}", "standby") for n in range(standby)])
    return node


def list_instances(node, at_s, names):
    """
    Tell the owner that instances are up, given as worker and pool.
    """
    rows = tuple(
        model.InstanceRow(
            f"m-{name}", pool, "up", "z", "r1", SIZE, "" if pool == "standby" else name
        )
        for name, pool in names
    )
    feed(node, at_s, events.InstancesListed(rows, at_s))


def run(node, from_s, to_s, answers=True):
    """
    Let time pass with a store that answers or not, and return all effects.
    """
    produced = []
    for tick in range(round((to_s - from_s) / TICK_S)):
        at_s = from_s + tick * TICK_S
        for worker in node.workers.values():
            answer = events.HoldAnswered(worker.id, 0, at_s, 5000, 7, (), ())
            if at_s >= worker.lists_due_s:
                produced += feed(node, at_s, answer)
        produced += feed(node, at_s, events.Ticked())
        if answers:
            produced += answer_appends(node, at_s)
    return produced


def answer_appends(node, at_s):
    """
    Let the store take all appends, and return the effects.
    """
    produced = []
    while node.journal.in_flight is not None:
        produced += feed(node, at_s, events.Appended("owner", node.journal.seq, events.OK))
    return produced


def orders(produced):
    """
    Return the orders for instances among effects, as instance and pool.
    """
    return [
        (item.instance, item.pool) for item in produced if isinstance(item, effects.OrderInstance)
    ]


def ask(node, queue, at_s, count):
    """
    Let the owner read a job with some tasks, each of which takes a whole instance.
    """
    hand_in(node, [(f"{queue}-{at_s}", queue, (one_step(count, SIZE.millicores),), 0.0)], at_s)


def test_surplus_goes_to_standby():
    """
    A pool that has been too large for some time gives its empty instances to standby.
    """
    node = make_owner(5, 2)
    sent = orders(run(node, LISTED_S, LISTED_S + SURPLUS_S))
    assert len(sent) == 3 and {pool for _, pool in sent} == {"standby"}, sent


# Issue 19: moves that were decided while the store was away all went out when it came back.
def test_nothing_moves_for_what_was_seen_while_the_store_was_away():
    """
    Pools are not resized while the store is away, nor right after it for what was seen before.
    """
    node = make_owner(5, 2)
    back_s = LISTED_S + AWAY_S
    run(node, LISTED_S, LISTED_S + SOON_S)
    assert not orders(run(node, LISTED_S + SOON_S, back_s, answers=False))
    assert not node.fleet.draining
    assert not orders(answer_appends(node, back_s))
    assert not orders(run(node, back_s, back_s + SOON_S))


# Issue 19: the pool of a burst that began while the store was away got its instances 1.7 s late.
def test_a_burst_gets_instances_as_soon_as_the_store_is_back():
    """
    Instances move straight to the pool whose demand shows when the store is back.
    """
    node = make_owner(6, 2)
    back_s = LISTED_S + AWAY_S
    run(node, LISTED_S, back_s, answers=False)
    answer_appends(node, back_s)
    ask(node, "right", back_s, 4)
    sent = orders(run(node, back_s, back_s + SOON_S))
    assert len(sent) == 4 and {pool for _, pool in sent} == {"right"}, sent

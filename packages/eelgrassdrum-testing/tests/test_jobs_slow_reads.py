"""
Owners whose reads of the log are slow or lost, while bounds on cancellations apply.
"""

from collections import Counter, deque

from eelgrassdrum_core.jobs import effects, events, model
from eelgrassdrum_testing.jobs import make_world
from eelgrassdrum_testing.jobs._schedule import CAPACITY, make_config
from eelgrassdrum_testing.jobs._store import StoredRead
from eelgrassdrum_testing.jobs._world import add_worker, later, run_until, send_to, submit

SETTLED_S = 10.0
JOBS = 40
JOB_INTERVAL_S = 0.2
SHORT = model.JobSpec("payload", (model.Step(1, (500, 1000, 0), 500),))
LASTING = model.JobSpec("payload", (model.Step(4, (500, 1000, 0), 500, is_long_running=True),))
# Timeout of a read in addition to the time that it may wait at the store.
READ_TIMEOUT_S = 0.9


def make_slow_world(delay_s=0.0, cancel_s=3.0):
    """
    Return a world whose store delays each read and append on its way there and back, once settled.
    """
    world = make_world(1, 5, make_config(is_limited=False))
    world.lines = deque()
    world.durations = lambda _key: (1.0, "done")
    for instance in world.instances.values():
        instance.node.bounds = instance.node.bounds._replace(cancel_s=cancel_s)
    for number in range(6):
        add_worker(world, number, "service", CAPACITY)
    run_until(world, SETTLED_S)
    if delay_s:
        way_s = delay_s / 2
        world.effects = {
            **world.effects,
            effects.ReadLog: lambda *args: read_slowly(*args, way_s),
            effects.Append: lambda *args: append_slowly(*args, way_s),
        }
    return world


def read_slowly(world, instance, effect, way_s):
    """
    Answer a read of the log by what the store holds half of the delay later.
    """
    sent_s = world.now_s
    is_answered = []

    def answer():
        if not is_answered:
            is_answered.append(True)
            records = tuple(world.store.records[effect.offset - world.store.first :])
            event = events.LogRead(effect.offset, records, world.store.end, sent_s)
            send_to(world, instance, way_s, event)

    def arrive():
        if effect.offset < world.store.end or not effect.wait_s:
            answer()
        else:
            world.store.waiting.append(StoredRead(effect.offset, answer))
            later(world, effect.wait_s, answer)

    later(world, way_s, arrive)


def append_slowly(world, instance, effect, way_s):
    """
    Append records half of the delay later.
    """

    def arrive():
        outcome = world.store.append(effect.producer, effect.epoch, effect.seq, effect.records)
        send_to(world, instance, way_s, events.Appended(effect.channel, effect.seq, outcome))

    later(world, way_s, arrive)


def count_lines(world):
    """
    Return how often each action was logged.
    """
    return Counter(line[2] for line in world.lines)


def submit_jobs(world):
    """
    Hand in short jobs at all instances in turn, and let them have time enough to end.
    """
    names = sorted(world.instances)
    for number in range(JOBS):
        run_until(world, SETTLED_S + 1.0 + number * JOB_INTERVAL_S)
        submit(world, names[number % len(names)], f"{number:016x}", "key-a", SHORT)
    run_until(world, world.now_s + 15.0)


# Guards against a change of owner whenever one answer of the store is lost.
def test_one_lost_answer_to_a_read_does_not_end_an_ownership():
    """
    An owner that gets no answer to a single read, and one to the next, keeps the log.
    """
    world = make_slow_world()
    read, lost = world.effects[effects.ReadLog], []

    def lose_one(world, instance, effect):
        if instance.node.ownership.is_owner and effect.wait_s and not lost:
            lost.append(world.now_s)
            event = events.LogReadFailed("timeout", world.now_s)
            send_to(world, instance, effect.wait_s + READ_TIMEOUT_S, event)
        else:
            read(world, instance, effect)

    world.effects = {**world.effects, effects.ReadLog: lose_one}
    run_until(world, SETTLED_S + 5.0)
    assert lost
    assert count_lines(world)["owner.began"] == 1


# Guards against starts that are decided and withdrawn again and again, and never sent.
def test_jobs_complete_while_each_call_of_the_store_takes_long():
    """
    Jobs that were accepted are completed although reads and appends take 0.7 s each.
    """
    world = make_slow_world(0.7)
    submit_jobs(world)
    lines = count_lines(world)
    assert world.judge.accepted
    assert lines["run.decided"] <= 2 * len(world.judge.accepted), lines["run.decided"]
    assert lines["job.closed"] == len(world.judge.accepted)


# Guards against a log that each owner releases in turn.
def test_a_slow_store_does_not_make_each_owner_release_the_log():
    """
    Calls of the store that take 0.8 s at every instance don't move the log from owner to owner.
    """
    world = make_slow_world(0.8)
    run_until(world, SETTLED_S + 30.0)
    assert count_lines(world)["owner.began"] <= 2, count_lines(world)["owner.began"]


# Guards against bounds that the usual delay of a store leaves no time for.
def test_jobs_complete_with_a_short_bound_on_cancellations():
    """
    Tasks start where cancellations must be in force within a second and calls take 0.3 s.
    """
    world = make_slow_world(0.3, cancel_s=1.0)
    submit_jobs(world)
    assert count_lines(world)["job.closed"] == len(world.judge.accepted) > 0


# Guards against leases that lapse because nobody owns the log while nobody can read it.
def test_tasks_go_on_while_no_instance_can_read_the_log():
    """
    Tasks that last go on for fourteen seconds in which the store takes appends and answers no read.
    """
    world = make_slow_world()
    submit(world, "entry-0", "a" * 16, "key-a", LASTING)
    run_until(world, SETTLED_S + 5.0)
    for instance in world.instances.values():
        instance.is_unread = True
    run_until(world, SETTLED_S + 19.0)
    assert sum(len(worker.runs) for worker in world.workers.values()) == 4

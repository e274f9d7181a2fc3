"""
One instance that owns the log and is told each event by the test.
"""

from collections.abc import Iterable
from typing import Any

from eelgrassdrum_core.jobs import Identity, Moment, Node, effects, events, model, new_node, reduce
from eelgrassdrum_core.jobs._policies import policy_of
from eelgrassdrum_core.jobs._records import Claimed, OwnerHeartbeat, Submitted, encode_records

# The registry is read once by most tests; those of its age set a bound of their own.
BOUNDS = model.Bounds(10.0, 2.0, 5.0, 6.0, 0.4, 3.0, 0.25, 120.0, 1.5, 2.0, contact_s=600.0)
WALL_MS = 1_700_000_000_000
START_S = 10.0
# Of the first owner, for workers that have not restarted.
OWNER_TOKEN = 1000


def make_owner_config(
    has_advice: bool = False, limit: model.Resources = model.NO_RESOURCES
) -> model.Config:
    """
    Give a configuration with an urgent queue and another one of the same service.

    :param has_advice: whether starts need tickets.
    :param limit: what the only workspace may have running.
    :returns: the configuration.
    """
    queues = {
        name: model.Queue(
            name, "host", f"/{name}/", "service", priority, 3, 1.6, 600, False, has_advice
        )
        for name, priority in (("urgent", 0), ("usual", 1))
    }
    workspace = model.Workspace("a", frozenset({"key"}), 1.0, limit)
    services = {"service": model.Service("service", False, False)}
    return model.Config(1, queues, services, {"a": workspace}, {"key": "a"}, 1000)


def feed(node: Node, now_s: float, event: object) -> list[Any]:
    """
    Give an event to an instance.

    :param node: the instance.
    :param now_s: its clock.
    :param event: the event.
    :returns: the effects.
    """
    return reduce(node, Moment(now_s, WALL_MS + round(now_s * 1000)), event)


def owner_of(workers: Iterable[model.WorkerEntry], config: model.Config | None = None) -> Node:
    """
    Give an instance that owns the log and whose workers have answered.

    :param workers: their entries.
    :param config: what the operator has published.
    :returns: the instance.
    """
    node = new_node(Identity("entry", WALL_MS, "zone"), BOUNDS)
    feed(node, START_S, events.OperatorRead(1, config or make_owner_config(), (), START_S))
    feed(node, START_S, events.SnapshotRead(None))
    feed(node, START_S, events.LogRead(0, (), 0, START_S))
    feed(node, START_S + 2, events.LogRead(0, (), 0, START_S + 2))
    feed(node, START_S + 2, events.Ticked())
    claim = encode_records([Claimed(1, "entry", WALL_MS)])
    feed(node, START_S + 2, events.LogRead(0, tuple(claim), 1, START_S + 2))
    assert node.ownership.is_owner
    entries: dict[str, model.WorkerEntry | None] = {item.id: item for item in workers}
    feed(node, START_S + 2, events.WorkersRead(1, True, entries))
    for item in workers:
        answer = events.HoldAnswered(
            item.id, OWNER_TOKEN, START_S + 2, 5000, item.incarnation, (), ()
        )
        feed(node, START_S + 2, answer)
    return node


def worker_entry(
    name: str, millicores: int = 4000, rack: str = "r1", labels: tuple[str, ...] = ()
) -> model.WorkerEntry:
    """
    Give the entry of a worker.

    :param name: its id.
    :param millicores: its processors.
    :param rack: where it stands.
    :param labels: its labels beside the rack.
    :returns: the entry.
    """
    capacity = model.Resources(millicores, 64_000, 0)
    names = frozenset({*labels, rack})
    return model.WorkerEntry(
        name, 7, f"{name}:1", "service", "z", f"m-{name}", rack, names, capacity, False, 5000
    )


def hand_in(
    node: Node,
    jobs: Iterable[tuple[str, str, tuple[model.Step, ...], float]],
    now_s: float = START_S + 3,
    sent_s: float | None = None,
    records_left: int = 0,
) -> list[tuple[str, str]]:
    """
    Let an instance read submissions.

    :param node: the instance.
    :param jobs: id, queue, steps and age in seconds of each.
    :param now_s: its clock.
    :param sent_s: when it sent the read, or ``None`` for now.
    :param records_left: number of later records that the read doesn't return.
    :returns: the tasks that it starts, as job and worker.
    """
    config = node.config or make_owner_config()
    records = [
        Submitted(
            job,
            queue,
            "service",
            "a",
            model.JobSpec("x", steps),
            WALL_MS + round((now_s - age_s) * 1000),
            policy_of(config, config.queues[queue], "a"),
        )
        for job, queue, steps, age_s in jobs
    ]
    offset = node.replicated.offset
    data = tuple(encode_records(records))
    end = offset + len(data) + records_left
    sent_s = now_s if sent_s is None else sent_s
    return started(feed(node, now_s, events.LogRead(offset, data, end, sent_s)))


def started(produced: list[Any]) -> list[tuple[str, str]]:
    """
    Give the tasks that were decided.

    :param produced: effects.
    :returns: job and worker of each.
    """
    return [
        (item.fields["job"], item.fields["worker"])
        for item in produced
        if isinstance(item, effects.WriteLine) and item.action == "run.decided"
    ]


def logged(produced: list[Any], action: str) -> list[dict[str, Any]]:
    """
    Give the fields of the log lines of an action.

    :param produced: effects.
    :param action: name of the event.
    :returns: the fields of each line.
    """
    return [
        item.fields
        for item in produced
        if isinstance(item, effects.WriteLine) and item.action == action
    ]


def commit(node: Node, now_s: float) -> list[effects.StartTask]:
    """
    Let the store take all appends.

    :param node: the instance.
    :param now_s: its clock.
    :returns: the orders that are sent after them.
    """
    produced = []
    while node.journal.in_flight is not None:
        event = events.Appended("owner", node.journal.seq, events.OK)
        produced += feed(node, now_s, event)
    return [item for item in produced if isinstance(item, effects.StartTask)]


def read_to_end(node: Node, now_s: float) -> list[Any]:
    """
    Let an instance read that the log holds nothing new.

    :param node: the instance.
    :param now_s: its clock.
    :returns: the effects.
    """
    offset = node.replicated.offset
    return feed(node, now_s, events.LogRead(offset, (), offset, now_s))


def read_back(node: Node, now_s: float, sent_s: float, written_s: float) -> list[Any]:
    """
    Let an owner read one of its heartbeats.

    :param node: the instance.
    :param now_s: its clock.
    :param sent_s: when it sent the read.
    :param written_s: when it wrote the heartbeat.
    :returns: the effects.
    """
    heartbeat = OwnerHeartbeat(node.ownership.epoch, round(written_s * 1000))
    offset = node.replicated.offset
    data = tuple(encode_records([heartbeat]))
    return feed(node, now_s, events.LogRead(offset, data, offset + 1, sent_s))


def one_step(count: int = 1, millicores: int = 1000, **fields: Any) -> model.Step:
    """
    Give a step.

    :param count: its tasks.
    :param millicores: what each needs.
    :param fields: more of `model.Step`.
    :returns: the step.
    """
    return model.Step(count, (millicores, 100, 0), 500, **fields)

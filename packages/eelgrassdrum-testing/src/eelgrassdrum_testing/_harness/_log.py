"""
The harness's log service.
"""

from collections.abc import Callable

from eelgrassdrum_core import Record, RecordId, StoredRecord, effects, events

from ._world import LOG, World, is_cut, later

READ_LIMIT = 500
CALL_TIMEOUT_S = 1.0

Deliver = Callable[[object], None]


def read(world: World, zone: str, effect: effects.ReadLog, deliver: Deliver) -> None:
    """
    Answer a read after its delay, as a long poll.

    :param world: the world.
    :param zone: zone of the reader.
    :param effect: what is read.
    :param deliver: takes the answer.
    """
    later(world, effect.delay_s + world.log.delay_s, lambda: _read(world, zone, effect, deliver))


def _read(world: World, zone: str, effect: effects.ReadLog, deliver: Deliver) -> None:
    log = world.log
    if is_refused(world, zone):
        later(world, CALL_TIMEOUT_S, lambda: deliver(events.LogUnavailable("timeout")))
        return
    if effect.from_offset < log.first:
        deliver(events.LogTruncated(log.first, len(log.records)))
        return
    if effect.from_offset <= len(log.records) or effect.wait_s <= 0:
        _answer(world, zone, effect, deliver)
        return
    answered = []

    def answer_once() -> None:
        if not answered:
            answered.append(True)
            _answer(world, zone, effect, deliver)

    log.waiters.append(answer_once)
    later(world, effect.wait_s, answer_once)


def _answer(world: World, zone: str, effect: effects.ReadLog, deliver: Deliver) -> None:
    if is_refused(world, zone):
        deliver(events.LogUnavailable("closed"))
        return
    log = world.log
    end = min(len(log.records), effect.from_offset + READ_LIMIT - 1)
    stored = tuple(
        StoredRecord(offset, log.records[offset - 1])
        for offset in range(effect.from_offset, end + 1)
    )
    deliver(events.LogRead(stored, len(log.records), log.first))


def append_later(world: World, zone: str, effect: effects.AppendRecords, deliver: Deliver) -> None:
    """
    Append a batch after its delay, and answer unless the answer is lost.

    :param world: the world.
    :param zone: zone of the writer.
    :param effect: what is appended.
    :param deliver: takes the answer.
    """

    def take_effect() -> None:
        if is_refused(world, zone):
            later(world, CALL_TIMEOUT_S, lambda: deliver(events.AppendFailed("timeout", False)))
            return
        if world.log.refuses_appends:
            deliver(events.AppendFailed("status 503", False))
            return
        offsets = tuple(append(world, record) for record in effect.records)
        if world.rng.random() < world.log.lose_answers:
            lost = events.AppendFailed("closed", True)
            later(world, CALL_TIMEOUT_S, lambda: deliver(lost))
        else:
            deliver(events.AppendDone(offsets))

    later(world, effect.delay_s + world.log.delay_s, take_effect)


def append(world: World, record: Record) -> int:
    """
    Add one record and wake the readers that wait.

    :param world: the world.
    :param record: the record.
    :returns: its offset.
    """
    world.log.records.append(record)
    world.log.appended += 1
    waiters = world.log.waiters
    world.log.waiters = []
    for waiter in waiters:
        later(world, world.log.delay_s * (1 + world.rng.random()), waiter)
    return len(world.log.records)


def operator_append(
    world: World, kind: str, subject: str, base: int | None, body: dict[str, object]
) -> int:
    """
    Append a record as an operator.

    :param world: the world.
    :param kind: kind of the record.
    :param subject: what it changes.
    :param base: revision that it builds on.
    :param body: its fields.
    :returns: its offset.
    """
    sequence = world.log.appended + 1
    return append(world, Record(RecordId("operator", 1, sequence), kind, subject, base, body))


def is_refused(world: World, zone: str) -> bool:
    """
    Tell whether a zone's calls of the log fail now.

    :param world: the world.
    :param zone: zone of the caller.
    :returns: whether they do.
    """
    return world.log.outage or is_cut(world, zone, LOG)

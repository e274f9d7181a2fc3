"""
A stand-in of the platform's store: one partition of records, and keyed records.
"""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from eelgrassdrum_core.jobs import events

UP = "up"
REFUSING = "refusing"
SILENT = "silent"
# Appends are refused when this much is waiting.
MOST_WAITING_S = 2.0


class StoredRead(NamedTuple):
    """
    A read that waits for a record.
    """

    offset: int
    on_done: Callable[[], None]


class JobStore(msgspec.Struct, eq=False):
    """
    What the store holds.

    :param first: oldest offset that is left.
    :param epochs: newest epoch and number of each producer, with the answers to repeats.
    :param takes_snapshots: whether it stores snapshots.
    :param state: `UP`, `REFUSING` or `SILENT`.
    :param refused: instances that it turns away.
    :param lost_part: part of the appends that are done and not answered.
    :param delay_s: time of an answer.
    :param append_s: time for which an append takes up the partition.
    :param free_s: when the partition has worked off all appends that it was given.
    """

    records: list[bytes] = []
    first: int = 0
    epochs: dict[str, tuple[int, int]] = {}
    snapshot: bytes | None = None
    snapshot_offset: int = 0
    takes_snapshots: bool = True
    state: str = UP
    refused: set[str] = set()
    lost_part: float = 0.0
    delay_s: float = 0.004
    append_s: float = 0.0
    free_s: float = 0.0
    waiting: list[StoredRead] = []

    @property
    def end(self) -> int:
        """
        Offset behind the newest record.
        """
        return self.first + len(self.records)

    def begin_append(self, now_s: float) -> float | None:
        """
        Take an append into the queue of the partition.

        :param now_s: time of the world.
        :returns: when it is worked off, or ``None`` when more than the most waits already.
        """
        begin_s = max(now_s, self.free_s)
        if begin_s - now_s > MOST_WAITING_S:
            return None
        self.free_s = begin_s + self.append_s
        return self.free_s

    def append(self, producer: str, epoch: int, seq: int, records: tuple[bytes, ...]) -> str:
        """
        Append records.

        :param producer: the producer, or empty.
        :param epoch: its epoch.
        :param seq: its number.
        :param records: the records.
        :returns: the outcome.
        """
        if producer:
            known_epoch, known_seq = self.epochs.get(producer, (0, 0))
            if epoch < known_epoch:
                return events.FENCED
            if epoch == known_epoch:
                if seq <= known_seq:
                    return events.OK if known_seq - seq < 5 else events.FENCED
                if seq != known_seq + 1:
                    return events.FENCED
            self.epochs[producer] = (epoch, seq)
        self.records.extend(records)
        waiting, self.waiting = self.waiting, []
        for read in waiting:
            read.on_done()
        return events.OK

    def trim(self, before: int) -> None:
        """
        Drop the oldest records.

        :param before: the first record that stays.
        """
        count = max(0, min(before, self.end) - self.first)
        self.records = self.records[count:]
        self.first += count

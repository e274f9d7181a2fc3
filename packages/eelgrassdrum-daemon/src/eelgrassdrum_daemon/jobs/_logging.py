"""
The structured log on standard output, bounded in volume.

Lines wait in a buffer that is written from the event loop, so a reader that falls behind delays no
decision. Beyond a rate, lines of ordinary progress are left out and counted; lines of what was
refused, failed or cancelled, and of what an instance believes, are always kept.
"""

import os
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

Write = Callable[..., None]

# Lines of ordinary progress that are written in a second; some 40 kB.
PROGRESS_LINES_PER_S = 200
# Lines that wait for a slow reader; beyond it the oldest are dropped and counted.
MAX_WAITING_LINES = 5_000
PROGRESS = frozenset({"job.accepted", "run.decided", "run.ended", "call.answered"})
# Ends of these kinds are worth a line even when the volume is bounded.
KEPT_HOWS = frozenset({"failed", "lost", "lapsed", "refused", "unsent"})


class LogState(msgspec.Struct, eq=False):
    """
    Lines that wait, and those that were left out.

    :param second: second that is being counted.
    :param progress: lines of progress in it.
    """

    waiting: deque[bytes] = msgspec.field(default_factory=deque)
    second: int = 0
    progress: int = 0
    left_out: int = 0
    dropped: int = 0
    blocked_part: bytes = b""


def make_stdout_writer(instance: str, zone: str) -> Write:
    """
    Give the function that writes one line.

    :param instance: id of this instance, part of every line.
    :param zone: its availability zone, part of every line.
    :returns: a function that takes the action and more fields; it must be given no secrets.
    """
    state = LogState()
    descriptor = sys.stdout.fileno()
    _set_nonblocking(descriptor)
    eliot.add_destinations(lambda message: _emit(state, descriptor, message))

    def write(action: str, /, **fields: Any) -> None:
        if not _is_wanted(state, action, fields):
            state.left_out += 1
            return
        if state.left_out:
            left_out, state.left_out = state.left_out, 0
            eliot.log_message(
                message_type="log.left_out", instance=instance, zone=zone, lines=left_out
            )
        eliot.log_message(message_type=action, instance=instance, zone=zone, fields=fields)

    return write


def _set_nonblocking(descriptor: int) -> None:
    try:
        os.set_blocking(descriptor, False)
    except OSError as exc:
        print(f"standard output stays blocking: {exc}", file=sys.stderr)


def _is_wanted(state: LogState, action: str, fields: dict[str, Any]) -> bool:
    if action not in PROGRESS or fields.get("how") in KEPT_HOWS:
        return True
    second = int(time.monotonic())
    if second != state.second:
        state.second, state.progress = second, 0
    state.progress += 1
    return state.progress <= PROGRESS_LINES_PER_S


def _emit(state: LogState, descriptor: int, message: dict[str, Any]) -> None:
    state.waiting.append(msgspec.json.encode(message, enc_hook=str) + b"\n")
    if len(state.waiting) > MAX_WAITING_LINES:
        state.waiting.popleft()
        state.dropped += 1
    _flush(state, descriptor)


def _flush(state: LogState, descriptor: int) -> None:
    while state.waiting or state.blocked_part:
        data = state.blocked_part or state.waiting.popleft()
        try:
            sent = os.write(descriptor, data)
        except BlockingIOError:
            state.blocked_part = data
            return
        except OSError:
            # Nobody reads the log any more; there is nowhere left to say so.
            state.dropped += 1 + len(state.waiting)
            state.waiting.clear()
            state.blocked_part = b""
            return
        state.blocked_part = data[sent:]

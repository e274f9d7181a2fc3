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
MAX_PENDING_LINES = 5_000
PROGRESS_ACTIONS = frozenset({"job.accepted", "run.decided", "run.ended", "call.answered"})
# Ends of these kinds are worth a line even when the volume is bounded.
UNLIMITED_END_STATES = frozenset({"failed", "lost", "lapsed", "refused", "unsent"})


class LogBuffer(msgspec.Struct, eq=False):
    """
    Lines that wait, and those that were left out.

    :param second: second that is being counted.
    :param progress_lines: lines of progress in it.
    """

    pending_lines: deque[bytes] = msgspec.field(default_factory=deque)
    second: int = 0
    progress_lines: int = 0
    suppressed_lines: int = 0
    dropped_lines: int = 0
    unsent_bytes: bytes = b""


def make_stdout_writer(instance: str, zone: str) -> Write:
    """
    Give the function that writes one line.

    :param instance: id of this instance, part of every line.
    :param zone: its availability zone, part of every line.
    :returns: a function that takes the action and more fields; it must be given no secrets.
    """
    log_buffer = LogBuffer()
    descriptor = sys.stdout.fileno()
    _set_nonblocking(descriptor)
    eliot.add_destinations(lambda message: _emit(log_buffer, descriptor, message))

    def write(action: str, /, **fields: Any) -> None:
        if not _should_write(log_buffer, action, fields):
            log_buffer.suppressed_lines += 1
            return
        if log_buffer.suppressed_lines:
            suppressed_lines, log_buffer.suppressed_lines = log_buffer.suppressed_lines, 0
            eliot.log_message(
                message_type="log.left_out", instance=instance, zone=zone, lines=suppressed_lines
            )
        eliot.log_message(message_type=action, instance=instance, zone=zone, fields=fields)

    return write


def _set_nonblocking(descriptor: int) -> None:
    try:
        os.set_blocking(descriptor, False)
    except OSError as exc:
        print(f"standard output stays blocking: {exc}", file=sys.stderr)


def _should_write(log_buffer: LogBuffer, action: str, fields: dict[str, Any]) -> bool:
    if action not in PROGRESS_ACTIONS or fields.get("how") in UNLIMITED_END_STATES:
        return True
    second = int(time.monotonic())
    if second != log_buffer.second:
        log_buffer.second, log_buffer.progress_lines = second, 0
    log_buffer.progress_lines += 1
    return log_buffer.progress_lines <= PROGRESS_LINES_PER_S


def _emit(log_buffer: LogBuffer, descriptor: int, message: dict[str, Any]) -> None:
    log_buffer.pending_lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")
    if len(log_buffer.pending_lines) > MAX_PENDING_LINES:
        log_buffer.pending_lines.popleft()
        log_buffer.dropped_lines += 1
    _flush(log_buffer, descriptor)


def _flush(log_buffer: LogBuffer, descriptor: int) -> None:
    while log_buffer.pending_lines or log_buffer.unsent_bytes:
        data = log_buffer.unsent_bytes or log_buffer.pending_lines.popleft()
        try:
            sent = os.write(descriptor, data)
        except BlockingIOError:
            log_buffer.unsent_bytes = data
            return
        except OSError:
            # Nobody reads the log any more; there is nowhere left to say so.
            log_buffer.dropped_lines += 1 + len(log_buffer.pending_lines)
            log_buffer.pending_lines.clear()
            log_buffer.unsent_bytes = b""
            return
        log_buffer.unsent_bytes = data[sent:]

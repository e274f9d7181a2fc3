"""
The structured log on standard output, limited in volume.

Lines are buffered and written without blocking the event loop, so a slow reader delays no decision.
Lines of routine progress above a rate are suppressed and counted. So are lines about a single run
that was refused, lost or stopped, above a higher one: thousands may end at once, and the line about
their worker tells how many. Other lines about anything refused, failed or cancelled, and about an
instance's view of the system, are not suppressed.
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

# Lines of routine progress written per second, about 40 kB.
PROGRESS_LINES_PER_S = 200
# Lines buffered for a slow reader; above it the oldest lines are dropped and counted.
MAX_PENDING_LINES = 5_000
PROGRESS_ACTIONS = frozenset(
    {"job.accepted", "run.decided", "run.ended", "run.stop_sent", "call.answered"}
)
# Lines per second about single runs that did not end as they should.
RUN_LINES_PER_S = 1_000
RUN_ACTIONS = frozenset(
    {
        "run.late_end",
        "run.not_started",
        "run.stop_unanswered",
        "run.stray",
        "run.unknown_end",
        "run.withdrawn",
    }
)
# Runs that end in these states are no routine progress.
TROUBLED_END_STATES = frozenset({"failed", "lost", "lapsed", "refused", "unsent"})


class LogBuffer(msgspec.Struct, eq=False):
    """
    Lines waiting to be written, and counts of suppressed and dropped lines.

    :param pending_lines: encoded lines, oldest first.
    :param second: second of the monotonic clock to which `progress_lines` applies.
    :param progress_lines: lines of routine progress in this second, including suppressed ones.
    :param run_lines: the same for lines about single runs that did not end as they should.
    :param suppressed_lines: lines above the rate limit since the last report of them.
    :param dropped_lines: lines lost because the buffer was full or standard output failed.
    :param unsent_bytes: line, or the rest of one, that standard output didn't accept yet.
    """

    pending_lines: deque[bytes] = msgspec.field(default_factory=deque)
    second: int = 0
    progress_lines: int = 0
    run_lines: int = 0
    suppressed_lines: int = 0
    dropped_lines: int = 0
    unsent_bytes: bytes = b""


def make_stdout_writer(instance: str, zone: str) -> Write:
    """
    Build the function that writes one line.

    :param instance: id of this instance, part of every line.
    :param zone: its availability zone, part of every line.
    :returns: a function that takes the action and further fields; callers must pass no secrets.
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
        print(f"can't set standard output to non-blocking mode: {exc}", file=sys.stderr)


def _should_write(log_buffer: LogBuffer, action: str, fields: dict[str, Any]) -> bool:
    is_troubled = action in RUN_ACTIONS or fields.get("how") in TROUBLED_END_STATES
    if action not in PROGRESS_ACTIONS and not is_troubled:
        return True
    second = int(time.monotonic())
    if second != log_buffer.second:
        log_buffer.second, log_buffer.progress_lines, log_buffer.run_lines = second, 0, 0
    if is_troubled:
        log_buffer.run_lines += 1
        return log_buffer.run_lines <= RUN_LINES_PER_S
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
            # Standard output has no reader any more, so the failure can't be logged.
            log_buffer.dropped_lines += 1 + len(log_buffer.pending_lines)
            log_buffer.pending_lines.clear()
            log_buffer.unsent_bytes = b""
            return
        log_buffer.unsent_bytes = data[sent:]

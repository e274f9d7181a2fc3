"""
Starts stand-ins and daemons as processes, and stops by pid whatever it started.
"""

import contextlib
import os
import signal
import subprocess
import sys
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from queue import Empty, SimpleQueue
from threading import Thread
from typing import IO, Literal, NamedTuple

import msgspec

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 5.0
TAIL_LINES = 200

Role = Literal["log", "list", "endpoint", "worker"]


class ReadyLine(msgspec.Struct):
    """
    The line by which a process tells that it listens.
    """

    ready: bool
    address: str
    peer_address: str = ""


class StartError(Exception):
    """
    A process ended, or took too long, before it was ready.
    """


class Process(NamedTuple):
    """
    A process that was started, the address it listens on and its last lines of output.
    """

    name: str
    address: str
    popen: subprocess.Popen[bytes]
    output: deque[str]
    peer_address: str = ""

    @property
    def pid(self) -> int:
        """
        The process id.
        """
        return self.popen.pid


Start = Callable[..., Process]


@contextlib.contextmanager
def processes() -> Iterator[Start]:
    """
    Give a function that starts processes, and stop all of them at the end.

    :returns: a function with the parameters of `start_process`.
    """
    started: list[Process] = []

    def start(
        name: str,
        command: list[str],
        env: Mapping[str, str] | None = None,
        ready_timeout_s: float = READY_TIMEOUT_S,
    ) -> Process:
        process = start_process(name, command, env, ready_timeout_s)
        started.append(process)
        return process

    try:
        yield start
    finally:
        stop_all(started)


def standin_command(role: Role, **options: object) -> list[str]:
    """
    Write the command line of a stand-in.

    :param role: which stand-in.
    :param options: its flags, with underscores for hyphens.
    :returns: the arguments.
    """
    flags = [
        part
        for name, value in options.items()
        for part in (f"--{name.replace('_', '-')}", str(value))
    ]
    return [sys.executable, "-m", "eelgrassdrum_testing.standins", role, *flags]


def start_process(
    name: str,
    command: list[str],
    env: Mapping[str, str] | None = None,
    ready_timeout_s: float = READY_TIMEOUT_S,
) -> Process:
    """
    Start a process and wait until it is ready.

    :param name: what error messages call it.
    :param command: the arguments.
    :param env: environment variables besides our own.
    :param ready_timeout_s: seconds that it may take.
    :returns: the process.
    :raises StartError: it was not ready in time; it has been killed.
    """
    popen = subprocess.Popen(
        command,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env={**os.environ, **(env or {})},
    )
    output: deque[str] = deque(maxlen=TAIL_LINES)
    ready: SimpleQueue[ReadyLine | None] = SimpleQueue()
    Thread(target=collect_output, args=(popen.stdout, output, ready), daemon=True).start()
    try:
        line = ready.get(timeout=ready_timeout_s)
    except Empty:
        line = None
    if line is None:
        popen.kill()
        popen.wait()
        raise StartError(f"{name} was not ready: {' | '.join(output)}")
    return Process(name, line.address, popen, output, line.peer_address)


def collect_output(
    stream: IO[bytes], output: deque[str], ready: SimpleQueue[ReadyLine | None]
) -> None:
    """
    Read a process's output to its end, so that the process never blocks on a full pipe.

    :param stream: the output.
    :param output: receives the last lines.
    :param ready: receives the ready line when it comes, and None at the end.
    """
    for raw in stream:
        output.append(raw.decode(errors="replace").rstrip("\n"))
        with contextlib.suppress(msgspec.MsgspecError):
            ready.put(msgspec.json.decode(raw, type=ReadyLine))
    ready.put(None)
    stream.close()


def pause(process: Process) -> None:
    """
    Stop a process's execution until `resume`.

    :param process: the process.
    """
    process.popen.send_signal(signal.SIGSTOP)


def resume(process: Process) -> None:
    """
    Let a paused process go on.

    :param process: the process.
    """
    process.popen.send_signal(signal.SIGCONT)


def kill(process: Process) -> None:
    """
    End a process at once and wait for its end.

    :param process: the process.
    """
    process.popen.kill()
    process.popen.wait()


def stop(process: Process, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """
    Ask a process to stop; kill it when it takes too long.

    :param process: the process, which may be paused or have ended.
    :param timeout_s: seconds that it may take.
    :returns: its exit code.
    """
    process.popen.terminate()
    resume(process)
    try:
        return process.popen.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        return process.popen.wait()


def stop_all(started: list[Process], timeout_s: float = STOP_TIMEOUT_S) -> None:
    """
    Stop processes together, so that the whole takes no longer than the slowest.

    :param started: the processes.
    :param timeout_s: seconds that each may take.
    """
    for process in started:
        process.popen.terminate()
        resume(process)
    for process in started:
        stop(process, timeout_s)

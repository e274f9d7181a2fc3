"""
Tests of starting and stopping processes.
"""

import signal
import sys

import psutil

from eelgrassdrum_testing import _process as process
from eelgrassdrum_testing._http_client import call


def start_function():
    with process.processes() as start:
        yield start


FIXTURES = {"start": start_function}


def start_list(start):
    return start("list", process.standin_command("list"))


def test_processes_end_with_the_context_even_when_paused():
    """Nothing that was started outlives the block, also after an error in it."""
    try:
        with process.processes() as start:
            paused, other = start_list(start), start_list(start)
            process.pause(paused)
            raise KeyError
    except KeyError:
        pass
    assert not psutil.pid_exists(paused.pid)
    assert not psutil.pid_exists(other.pid)


def test_a_paused_process_answers_after_it_goes_on(start):
    """A paused process holds its callers up until it is resumed."""
    paused = start_list(start)
    process.pause(paused)
    try:
        call(paused.address, "GET", "/v1/instances", timeout_s=0.2)
    except TimeoutError:
        answered = False
    else:
        answered = True
    assert not answered
    process.resume(paused)
    assert call(paused.address, "GET", "/v1/instances").status == 200


def test_stop_is_graceful_and_kill_is_not(start):
    """A stop lets the process choose its exit code; a kill does not."""
    stopped, killed = start_list(start), start_list(start)
    assert process.stop(stopped) >= 0
    process.kill(killed)
    assert killed.popen.returncode == -signal.SIGKILL


def test_a_process_that_is_never_ready_is_reported_with_its_output(start):
    """The error holds what the process wrote before it ended."""
    command = [sys.executable, "-c", "print('no such zone')"]
    try:
        start("broken", command)
    except process.StartError as exc:
        message = str(exc)
    else:
        message = ""
    assert "broken" in message
    assert "no such zone" in message

"""
The clock by which an instance that schedules jobs gives up its calls.
"""

import socket
import time
from collections.abc import Iterator
from unittest import mock

from eelgrassdrum_daemon._http_messages import ClientRequest, HttpFailure, HttpOutcome
from eelgrassdrum_daemon.jobs import JobApp
from eelgrassdrum_testing.jobs.owner import BOUNDS

SUSPENDED_S = 60.0
TIMEOUT_S = 30.0


def make_peer() -> Iterator[str]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def make_app() -> JobApp:
    """
    Build an instance that is not connected to a platform.
    """
    return JobApp(
        instance="entry",
        zone="zone",
        bounds=BOUNDS,
        front="127.0.0.1:0",
        ready="127.0.0.1:0",
        metrics="127.0.0.1:0",
        write=lambda *_args, **_fields: None,
    )


FIXTURES = {"app": make_app, "peer": make_peer}


# Guards against an order that a machine sends after it was suspended for longer than the order
# is valid.
def test_a_call_is_given_up_after_a_suspension(app: JobApp, peer: str) -> None:
    """
    The time for which a machine is suspended counts towards the timeouts of calls.
    """
    outcomes: list[HttpOutcome] = []
    app.control_pool.submit(ClientRequest(peer, "POST", "/order", TIMEOUT_S, outcomes.append))
    clock = time.clock_gettime
    with mock.patch.object(time, "clock_gettime", lambda name: clock(name) + SUSPENDED_S):
        app.scheduler.run_due()
    assert outcomes == [HttpFailure("timeout", sent=False)]

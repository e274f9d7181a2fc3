"""
A bare circuits.web server that passes requests on to endpoints in turn.

It is what `eelgrassdrumd` is compared with: the same library and the same client connections,
but no keys, queues, limits or bounds.
"""

import itertools
import sys

import msgspec
from circuits import Component, handler
from circuits.core.pollers import EPoll
from circuits.web.events import response
from circuits.web.servers import BaseServer

from eelgrassdrum_daemon._http_messages import ClientRequest, HttpAnswer, HttpOutcome
from eelgrassdrum_daemon._http_pool import HttpPool
from eelgrassdrum_daemon._timers import Scheduler

TIMEOUT_S = 30.0
STATUS_BAD_GATEWAY = 502


class Passthrough(Component):
    """
    Forwards each request and gives back the answer.
    """

    channel = "web"

    def init(self, pool: HttpPool, addresses: list[str], **_options: str) -> None:
        """
        Begin with the first endpoint.

        :param pool: connections to the endpoints.
        :param addresses: the endpoints.
        """
        self._pool = pool
        self._addresses = itertools.cycle(addresses)
        self._numbers = itertools.count(1)

    @handler("request")
    def _on_request(self, event, req, res):
        event.stop()

        def on_done(outcome: HttpOutcome) -> None:
            if isinstance(outcome, HttpAnswer):
                res.body = outcome.body
            else:
                res.status = STATUS_BAD_GATEWAY
            self.fire(response(res))

        headers = {"X-Attempt-Id": str(next(self._numbers))}
        body = req.body.read()
        address = next(self._addresses)
        self._pool.submit(ClientRequest(address, "POST", "/run", TIMEOUT_S, on_done, headers, body))
        # A plain truth tells circuits that the answer is given later.
        return True


def main() -> None:
    """
    Serve until stopped; the arguments are the endpoints' addresses.
    """
    server = BaseServer(("127.0.0.1", 0), display_banner=False)
    poller = EPoll().register(server)
    scheduler = Scheduler().register(server)
    pool = HttpPool(poller, scheduler).register(server)
    Passthrough(pool, sys.argv[1:]).register(server)
    ready = {"ready": True, "address": f"{server.host}:{server.port}"}
    print(msgspec.json.encode(ready).decode(), flush=True)
    server.run()


if __name__ == "__main__":
    main()

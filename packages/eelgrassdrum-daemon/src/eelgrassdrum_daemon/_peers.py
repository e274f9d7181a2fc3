"""
Messages between entry instances over pynng.

Each instance listens on one pull socket and has a push socket for each peer that it sends to.
Sends never block: messages that do not fit into a peer's queue are dropped and counted.
"""

from collections.abc import Callable

import msgspec
import pynng
from circuits import BaseComponent, handler
from circuits.core.pollers import BasePoller

SEND_QUEUE_MESSAGES = 128
RECEIVE_QUEUE_MESSAGES = 1024
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_MESSAGES_PER_WAKEUP = 256
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
# A queue that stays full for this long indicates a connection that no longer responds.
STALLED_AFTER_S = 3.0
UNUSED_AFTER_S = 60.0


class PeerLink(msgspec.Struct, eq=False):
    """
    Connection to one peer.
    """

    socket: pynng.Push0
    last_used_s: float
    stalled_since_s: float | None = None


class PeerCounters(msgspec.Struct):
    """
    Message counters since the process start.
    """

    sent: int = 0
    received: int = 0
    dropped: int = 0
    redialled: int = 0
    malformed: int = 0


class Peers(BaseComponent):
    """
    Sends messages to other entry instances and receives theirs.
    """

    channel = "peers"

    def init(
        self,
        listen: str,
        poller: BasePoller,
        clock: Callable[[], float],
        on_message: Callable[[bytes], None],
    ) -> None:
        """
        Listen for peers.

        :param listen: ``IP:PORT``; port 0 lets the system choose.
        :param poller: the poller of the event loop.
        :param clock: returns the current time in seconds.
        :param on_message: called with each received message.
        """
        self.clock = clock
        self.on_message = on_message
        self.counters = PeerCounters()
        self._links: dict[str, PeerLink] = {}
        self._pull = pynng.Pull0(recv_buffer_size=RECEIVE_QUEUE_MESSAGES)
        self._pull.recv_max_size = MAX_MESSAGE_BYTES
        listener = self._pull.listen(f"tcp://{listen}")
        self.address = str(listener.local_address)
        # The descriptor becomes readable when a message is queued, so no polling is needed.
        self._receive_fd = self._pull.recv_fd
        poller.addReader(self, self._receive_fd)

    def send(self, address: str, data: bytes) -> None:
        """
        Send a message without blocking; drop it if the peer's queue is full.

        :param address: ``IP:PORT`` of the peer.
        :param data: the message.
        """
        link = self._links.get(address) or self._dial(address)
        link.last_used_s = self.clock()
        try:
            link.socket.send(data, block=False)
        except pynng.TryAgain:
            self._drop(address, link)
        except pynng.NNGException:
            self.counters.dropped += 1
        else:
            link.stalled_since_s = None
            self.counters.sent += 1

    def close(self) -> None:
        """
        Close every socket.
        """
        for address in list(self._links):
            self._disconnect(address)
        self._pull.close()

    def close_unused(self) -> None:
        """
        Close connections to peers that nothing was sent to for `UNUSED_AFTER_S`.
        """
        now = self.clock()
        for address, link in list(self._links.items()):
            if now - link.last_used_s > UNUSED_AFTER_S:
                self._disconnect(address)

    def _dial(self, address: str) -> PeerLink:
        socket = pynng.Push0(send_buffer_size=SEND_QUEUE_MESSAGES)
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        socket.dial(f"tcp://{address}", block=False)
        link = self._links[address] = PeerLink(socket, self.clock())
        return link

    def _drop(self, address: str, link: PeerLink) -> None:
        self.counters.dropped += 1
        now = self.clock()
        if link.stalled_since_s is None:
            link.stalled_since_s = now
        elif now - link.stalled_since_s > STALLED_AFTER_S:
            self.counters.redialled += 1
            self._disconnect(address)

    def _disconnect(self, address: str) -> None:
        self._links.pop(address).socket.close()

    @handler("_read")
    def _on_readable(self, _fd):
        for _ in range(MAX_MESSAGES_PER_WAKEUP):
            try:
                data = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            self.counters.received += 1
            self.on_message(data)

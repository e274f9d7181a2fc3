"""
The whole state of one entry instance, a slice per domain.
"""

import random
from collections import deque

import msgspec

from ._allowance_fold import AllowanceFold
from ._allowance_state import LimitState
from ._config import ConfigFold
from ._effects import Identity
from ._endpoints import EndpointState
from ._fair_state import FairState
from ._fleet_state import FleetState
from ._fold import LogPosition
from ._keys import KeyFold
from ._membership_state import MembershipState
from ._pools import PoolFold
from ._records import Record
from ._requests import Attempt


class Tuning(msgspec.Struct, frozen=True):
    """
    Settings of the decisions.

    :param entry_instances: entry instances of the fleet.
    :param default_timeout_s: seconds that a caller waits when it does not say.
    :param refused_pause_s: seconds that an endpoint gets no work after it refused some.
    :param max_tries: attempts for one request.
    :param list_interval_s: seconds between two reads of the instance list.
    :param log_wait_s: seconds that a read of the log waits for records.
    :param log_retry_s: seconds between reads while the log is out.
    """

    entry_instances: int = 9
    default_timeout_s: float = 30.0
    refused_pause_s: float = 0.05
    max_tries: int = 3
    list_interval_s: float = 1.0
    log_wait_s: float = 10.0
    log_retry_s: float = 0.5


class Fold(msgspec.Struct):
    """
    Everything that follows from the log alone.
    """

    position: LogPosition = msgspec.field(default_factory=LogPosition)
    config: ConfigFold = msgspec.field(default_factory=ConfigFold)
    keys: KeyFold = msgspec.field(default_factory=KeyFold)
    allowances: AllowanceFold = msgspec.field(default_factory=AllowanceFold)
    pools: PoolFold = msgspec.field(default_factory=PoolFold)


class LogState(msgspec.Struct):
    """
    This instance's view of the log service.

    :param head: newest offset seen.
    :param caught_up: whether the fold has once reached the head.
    :param available: whether the last read was answered.
    """

    head: int = 0
    caught_up: bool = False
    available: bool = True


class Outbox(msgspec.Struct):
    """
    Records not yet known to be in the log.

    :param waiting: records not yet appended, in order.
    :param in_flight: the batch whose answer is awaited.
    :param next_sequence: sequence of the next record.
    """

    waiting: deque[Record] = msgspec.field(default_factory=deque)
    in_flight: tuple[Record, ...] = ()
    next_sequence: int = 1


class RequestState(msgspec.Struct):
    """
    Requests at this instance.

    :param attempts: attempts in flight by id.
    :param open_tokens: accepted requests by exchange.
    :param next_attempt: number of the next attempt.
    """

    attempts: dict[str, Attempt] = msgspec.field(default_factory=dict)
    open_tokens: dict[int, str] = msgspec.field(default_factory=dict)
    next_attempt: int = 1


class State(msgspec.Struct):
    """
    The state of one entry instance.
    """

    identity: Identity
    tuning: Tuning
    now_s: float = 0.0
    stopping: bool = False
    list_read_at_s: float = 0.0
    rng: random.Random = msgspec.field(default_factory=lambda: random.Random(0))
    fold: Fold = msgspec.field(default_factory=Fold)
    log: LogState = msgspec.field(default_factory=LogState)
    outbox: Outbox = msgspec.field(default_factory=Outbox)
    requests: RequestState = msgspec.field(default_factory=RequestState)
    fair: FairState = msgspec.field(default_factory=FairState)
    limits: LimitState = msgspec.field(default_factory=LimitState)
    endpoints: EndpointState = msgspec.field(default_factory=EndpointState)
    membership: MembershipState = msgspec.field(default_factory=MembershipState)
    fleet: FleetState = msgspec.field(default_factory=FleetState)


def new_state(identity: Identity, tuning: Tuning) -> State:
    """
    Give the state of an instance that has just started.

    :param identity: who it is.
    :param tuning: settings of the decisions.
    :returns: the state.
    """
    return State(identity, tuning)

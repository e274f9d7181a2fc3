"""
The complete state of one entry instance, with one part per domain.
"""

import random

import msgspec

from ._allowance_fold import AllowanceFold
from ._allowance_state import LimitState
from ._catch_up_state import CatchUpState
from ._config import ConfigFold
from ._effects import Identity
from ._endpoints_state import EndpointState
from ._fair_state import FairState
from ._fleet_state import FleetState
from ._fold import LogPosition
from ._freshness_state import FreshnessState
from ._joins_state import JoinState
from ._keys import KeyFold
from ._log_state import LogState, LogTail, Outbox
from ._maintenance_fold import MaintenanceFold
from ._membership_state import MembershipState
from ._overload_state import OverloadState
from ._pools import PoolFold
from ._requests import Attempt
from ._snapshots_fold import SnapshotFold
from ._snapshots_state import SnapshotState


class Tuning(msgspec.Struct, frozen=True):
    """
    Settings of the decision logic.

    :param entry_instances: number of entry instances in the fleet.
    :param default_timeout_s: timeout of requests whose caller sets none, in seconds.
    :param refused_pause_s: seconds without new attempts at an endpoint that refused one.
    :param max_tries: maximum attempts per request.
    :param list_interval_s: seconds between reads of the instance list.
    :param log_wait_s: seconds that a read of the log waits for new records.
    :param log_retry_s: seconds between reads while the log is unavailable.
    :param max_held_bytes: maximum total length of the bodies that the instance holds.
    :param key_freshness_s: keys are accepted only while the last proof that this instance knows of
        every withdrawal is at most this old, in seconds.
    :param snapshot_interval_s: seconds between snapshots.
    :param snapshot_records: records between snapshots.
    """

    entry_instances: int = 9
    default_timeout_s: float = 30.0
    refused_pause_s: float = 0.01
    max_tries: int = 3
    list_interval_s: float = 1.0
    log_wait_s: float = 1.0
    log_retry_s: float = 0.5
    max_held_bytes: int = 64 * 1024 * 1024
    key_freshness_s: float = 4.0
    snapshot_interval_s: float = 600.0
    snapshot_records: int = 2000


class Fold(msgspec.Struct):
    """
    State derived from the log alone, and therefore the same on all instances at the same offset.
    """

    position: LogPosition = msgspec.field(default_factory=LogPosition)
    config: ConfigFold = msgspec.field(default_factory=ConfigFold)
    keys: KeyFold = msgspec.field(default_factory=KeyFold)
    allowances: AllowanceFold = msgspec.field(default_factory=AllowanceFold)
    pools: PoolFold = msgspec.field(default_factory=PoolFold)
    maintenance: MaintenanceFold = msgspec.field(default_factory=MaintenanceFold)
    snapshots: SnapshotFold = msgspec.field(default_factory=SnapshotFold)


class RequestState(msgspec.Struct):
    """
    Requests at this instance.

    :param attempts: attempts in flight, by attempt id.
    :param open_tokens: ids of accepted requests, by token of the exchange.
    :param next_attempt: sequence number of the next attempt.
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
    joins: JoinState = msgspec.field(default_factory=JoinState)
    overload: OverloadState = msgspec.field(default_factory=OverloadState)
    membership: MembershipState = msgspec.field(default_factory=MembershipState)
    fleet: FleetState = msgspec.field(default_factory=FleetState)
    tail: LogTail = msgspec.field(default_factory=LogTail)
    catch_up: CatchUpState = msgspec.field(default_factory=CatchUpState)
    freshness: FreshnessState = msgspec.field(default_factory=FreshnessState)
    snapshots: SnapshotState = msgspec.field(default_factory=SnapshotState)


def new_state(identity: Identity, tuning: Tuning) -> State:
    """
    Return the initial state of an instance.

    :param identity: identity of the instance.
    :param tuning: settings of the decision logic.
    :returns: the state.
    """
    return State(identity, tuning)

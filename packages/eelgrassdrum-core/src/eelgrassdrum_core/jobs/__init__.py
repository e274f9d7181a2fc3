"""
Job scheduling as a pure reducer over the events of one instance.

`new_node` builds the state; `reduce` applies an event and returns the effects to carry out.
`pool_views` and `distrusted_by_pool` give the state of the pools for metrics, `worst_excess` how
much a neighbour slows a serving task down at worst, `config_age_s` the age of the configuration;
`is_config_too_old` tells whether calls are refused for it. `evacuated_since_s` gives the evacuated
availability zones, `waiting_records` the number of the owner's records that wait to be appended.
"""

from . import _records as records
from . import effects, events, model
from ._apart import worst_excess
from ._evacuation import evacuated_since_s
from ._intake import CHANNEL as INTAKE_CHANNEL
from ._journal import waiting_records
from ._members import STATES as MEMBER_STATES
from ._node import Identity, Moment, Node
from ._operator import config_age_s, is_config_too_old
from ._reduce import reduce
from ._replicated_state import ReplicatedState
from ._waiting import PoolView, pool_views
from ._worker_health import distrusted_by_pool

__all__ = [
    "INTAKE_CHANNEL",
    "MEMBER_STATES",
    "Identity",
    "Moment",
    "Node",
    "PoolView",
    "ReplicatedState",
    "config_age_s",
    "distrusted_by_pool",
    "effects",
    "evacuated_since_s",
    "events",
    "is_config_too_old",
    "model",
    "new_node",
    "pool_views",
    "records",
    "reduce",
    "waiting_records",
    "worst_excess",
]


def new_node(identity: Identity, bounds: model.Bounds) -> Node:
    """
    Build the state of an instance that has just started.

    :param identity: identity of the instance.
    :param bounds: time limits that the platform guarantees or requires.
    :returns: the state.
    """
    return Node(identity, bounds)

"""
State of endpoints as known to one instance.
"""

import msgspec


class Endpoint(msgspec.Struct):
    """
    State of one endpoint.

    :param in_flight: number of this instance's attempts in flight at the endpoint.
    :param leaving: whether it is leaving and gets no new work.
    :param retry_at_s: time before which it gets no new work, after a refusal or an ejection.
    :param incarnation: newest known incarnation.
    :param listed: whether the platform's instance list contains it.
    :param last_listed_s: time at which the list last contained it.
    :param active_since_s: time at which this instance first saw the incarnation.
    :param failure_rate: moving average of failed attempts, from 0 to 1.
    :param samples: number of attempts in the failure rate.
    :param ejections: number of ejections since it last recovered.
    :param trial_attempts_left: attempts that must succeed, one at a time, before it gets its full
        load.
    :param failed_probes: number of consecutive failed probes.
    :param last_probe_s: time of the last probe, or -1.
    :param first_probe_s: time of the first probe, or -1.
    :param last_healthy_probe_s: time at which the last healthy probe was sent, or -1.
    :param last_attempt_s: time of the last attempt, or -1.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    in_flight: int = 0
    leaving: bool = False
    retry_at_s: float = 0.0
    incarnation: int = 0
    listed: bool = True
    last_listed_s: float = 0.0
    active_since_s: float = 0.0
    failure_rate: float = 0.0
    samples: int = 0
    ejections: int = 0
    trial_attempts_left: int = 0
    failed_probes: int = 0
    last_probe_s: float = -1.0
    first_probe_s: float = -1.0
    last_healthy_probe_s: float = -1.0
    last_attempt_s: float = -1.0


class EndpointState(msgspec.Struct):
    """
    Endpoints by id.
    """

    endpoints: dict[str, Endpoint] = msgspec.field(default_factory=dict)

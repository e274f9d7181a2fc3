"""
State of what is known about endpoints.
"""

import msgspec


class Endpoint(msgspec.Struct):
    """
    What is known of one endpoint.

    :param in_flight: attempts that this instance has there.
    :param leaving: whether it gets no new work.
    :param retry_at_s: time before which it gets no new work, after a refusal or a failure.
    :param incarnation: newest incarnation that was seen.
    :param listed: whether the platform's list names it.
    :param last_listed_s: time at which the list last named it.
    :param active_since_s: time at which this incarnation began to get work here.
    :param failure_rate: recent share of attempts that failed, from 0 to 1.
    :param samples: attempts that the share rests on.
    :param ejections: times that it was taken out since it last worked well.
    :param trial_attempts_left: attempts that must succeed, one by one, before it gets its full work.
    :param failed_probes: probes in a row that got no answer.
    :param last_probe_s: time of the last probe, or -1.
    :param first_probe_s: time of the first probe, or -1.
    :param last_healthy_probe_s: time at which a probe was sent that showed it live, or -1.
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

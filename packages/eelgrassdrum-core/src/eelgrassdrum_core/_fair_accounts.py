"""
Accounting of each team's use of a service, at this instance and at others, as virtual time.

The cost of an attempt is the time for which it was observed to use a slot. It is charged the
median of recent run times at its start, the elapsed time while it runs longer, and the difference
at its end.
"""

from collections import deque
from collections.abc import Callable
from statistics import median

from ._fair_state import RUN_TIMES_KEPT, Charge, FairState, ServiceQueue, TeamQueue
from ._requests import Request

INITIAL_ESTIMATE_S = 0.1
# Time without demand after which a team's virtual time is raised to the service's, so that it gets
# no credit for the idle time.
IDLE_S = 1.0
# Bounds of a team's lag behind and lead over the service's virtual time, as the time in which the
# latter grows by that much.
MAX_LAG_S = 0.2
MAX_LEAD_S = 30.0
# Time constant of the moving average of the growth rate of the service's virtual time.
RATE_TIME_CONSTANT_S = 3.0


def get_team_queue(fair: FairState, service_name: str, team_name: str) -> TeamQueue:
    """
    Return a team's queue for a service, creating it if necessary.

    :param fair: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    :param team_name: ``WORKSPACE/TEAM``.
    :returns: the queue.
    """
    service = fair.services.setdefault(service_name, ServiceQueue())
    team = service.teams.get(team_name)
    if team is None:
        team = service.teams[team_name] = TeamQueue(virtual_s=service.virtual_s)
    return team


def mark_active(service: ServiceQueue, team: TeamQueue, now_s: float) -> None:
    """
    Record that a team has demand; a team that was idle gets no credit for the idle time.

    :param service: the service.
    :param team: changed in place.
    :param now_s: current time.
    """
    if now_s - team.active_at_s > IDLE_S:
        team.virtual_s = max(team.virtual_s, service.virtual_s)
    team.active_at_s = now_s


def open_charge(fair: FairState, attempt: str, req: Request, share: float, now_s: float) -> None:
    """
    Charge an attempt its estimated run time when it starts.

    :param fair: changed in place.
    :param attempt: id of the attempt.
    :param req: its request.
    :param share: weight of its team.
    :param now_s: current time.
    """
    get_team_queue(fair, req.service, req.team).share = share
    charge = Charge(req.service, req.team, req.queue, now_s, 0.0)
    fair.charges[attempt] = charge
    _charge_up_to(fair, charge, _estimate_s(fair, req.queue, req.team))


def accrue(fair: FairState, now_s: float) -> None:
    """
    Charge attempts that have run longer than the time already charged.

    :param fair: changed in place.
    :param now_s: current time.
    """
    for charge in fair.charges.values():
        elapsed_s = now_s - charge.started_s
        if elapsed_s > charge.charged_s:
            _charge_up_to(fair, charge, elapsed_s)


def close_charge(fair: FairState, attempt: str, now_s: float, *, ran: bool) -> None:
    """
    Correct the charge of an attempt to its actual run time when it ends.

    :param fair: changed in place.
    :param attempt: id of the attempt.
    :param now_s: current time.
    :param ran: whether it may have run; otherwise its cost is zero.
    """
    charge = fair.charges.pop(attempt, None)
    if charge is None:
        return
    run_s = now_s - charge.started_s if ran else 0.0
    _charge_up_to(fair, charge, run_s)
    if ran:
        key = (charge.queue, charge.team)
        fair.run_times.setdefault(key, deque(maxlen=RUN_TIMES_KEPT)).append(run_s)


def add_remote_usage(fair: FairState, service_name: str, team_name: str, cost_s: float) -> None:
    """
    Add the use of a service at other instances to a team's virtual time.

    :param fair: changed in place.
    :param service_name: ``WORKSPACE/SERVICE``.
    :param team_name: ``WORKSPACE/TEAM``.
    :param cost_s: resource-seconds; negative for a correction.
    """
    team = get_team_queue(fair, service_name, team_name)
    team.virtual_s += cost_s / team.share


def advance_virtual_time(
    service: ServiceQueue, now_s: float, is_waiting: Callable[[str, TeamQueue], bool]
) -> None:
    """
    Advance the service's virtual time to the lowest one of the waiting teams.

    The virtual times of all teams are kept within bounds around it.

    :param service: changed in place.
    :param now_s: current time.
    :param is_waiting: returns whether a team waits for slots, here or at other instances.
    """
    waiting = [team for name, team in service.teams.items() if is_waiting(name, team)]
    elapsed_s = now_s - service.advanced_at_s
    service.advanced_at_s = now_s
    if not waiting:
        # Without a queue all demand is met, so earlier use no longer counts for or against a team.
        service.virtual_s = max(
            [service.virtual_s, *(team.virtual_s for team in service.teams.values())]
        )
        for team in service.teams.values():
            team.virtual_s = service.virtual_s
        return
    system_virtual_s = max(service.virtual_s, min(team.virtual_s for team in waiting))
    if elapsed_s > 0:
        weight = min(1.0, elapsed_s / RATE_TIME_CONSTANT_S)
        growth = (system_virtual_s - service.virtual_s) / elapsed_s
        service.rate += weight * (growth - service.rate)
    service.virtual_s = system_virtual_s
    lowest_s = system_virtual_s - MAX_LAG_S * service.rate
    highest_s = system_virtual_s + MAX_LEAD_S * service.rate
    for team in service.teams.values():
        team.virtual_s = min(max(team.virtual_s, lowest_s), max(highest_s, lowest_s))


def _charge_up_to(fair: FairState, charge: Charge, cost_s: float) -> None:
    step_s = cost_s - charge.charged_s
    charge.charged_s = cost_s
    team = get_team_queue(fair, charge.service, charge.team)
    team.served_s += step_s
    team.virtual_s += step_s / team.share


def _estimate_s(fair: FairState, queue: str, team: str) -> float:
    run_times = fair.run_times.get((queue, team))
    return median(run_times) if run_times else INITIAL_ESTIMATE_S

"""
What must always hold, each rule by name, checked on the harness's world.

A check returns one text per violation. `check_running` may be called after every step, and
`check_final` once every exchange has had time to end.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from eelgrassdrum_core import refusals

from ._harness import Run, World, largest_limit

# Bounds stated by the operators, in seconds.
LEAVING_BOUND_S = 5.0
WITHDRAWAL_BOUND_S = 5.0

Check = Callable[[World], Iterator[str]]


def answered_at_most_once(world: World) -> Iterator[str]:
    """
    No exchange is told two things.

    :param world: the world.
    :returns: violations.
    """
    counts = Counter(outcome.token for outcome in world.outcomes)
    for token, count in counts.items():
        if count > 1:
            yield f"exchange {token} was told {count} outcomes"


def accepted_is_answered(world: World) -> Iterator[str]:
    """
    Every exchange at an instance that still lives was told something.

    :param world: the world.
    :returns: violations.
    """
    told = {outcome.token for outcome in world.outcomes}
    for token, submission in world.submissions.items():
        entry = world.entries[submission.instance]
        still_open = entry.alive and token in entry.state.requests.open_tokens
        if token not in told and still_open:
            yield f"exchange {token} was never answered"


def own_answer_only(world: World) -> Iterator[str]:
    """
    An answer carries the request id of the exchange that it is given to.

    :param world: the world.
    :returns: violations.
    """
    for outcome in world.outcomes:
        expected = world.submissions[outcome.token].request_id
        if outcome.answer is not None and outcome.answer != expected:
            yield f"exchange {outcome.token} of {expected} got the answer of {outcome.answer}"


def not_run_is_true(world: World) -> Iterator[str]:
    """
    A request refused as not run never runs for any exchange that was open by then.

    A later exchange of the same request may run it, for the refusal asks for just that.

    :param world: the world.
    :returns: violations.
    """
    runs: dict[str, list[Run]] = {}
    for run in world.runs:
        runs.setdefault(run.request_id, []).append(run)
    for outcome in world.outcomes:
        submission = world.submissions[outcome.token]
        refusal = outcome.refusal
        if refusal is None or refusal.code.run_state != refusals.NOT_RUN:
            continue
        for run in runs.get(submission.request_id, ()):
            opened = (world.submissions[run.token].at_s, run.token)
            if opened <= (outcome.at_s, outcome.token):
                yield f"{submission.request_id} ran, but {refusal.code.name} said not run"


def at_most_once(world: World) -> Iterator[str]:
    """
    A non-idempotent request runs at most once.

    :param world: the world.
    :returns: violations.
    """
    careful = {s.request_id for s in world.submissions.values() if not s.idempotent}
    counts = Counter(run.request_id for run in world.runs)
    for request_id, count in counts.items():
        if count > 1 and request_id in careful:
            yield f"non-idempotent {request_id} ran {count} times"


def work_for_own_team(world: World) -> Iterator[str]:
    """
    A keyed request runs only for the team whose key came with it.

    :param world: the world.
    :returns: violations.
    """
    teams: dict[str, set[str]] = {}
    for submission in world.submissions.values():
        teams.setdefault(submission.request_id, set()).add(submission.team)
    for run in world.runs:
        allowed = teams.get(run.request_id, set())
        if run.team not in allowed and "" not in allowed:
            yield f"{run.request_id} ran for {run.team}, its keys were of {sorted(allowed)}"


def withdrawn_key_stops(world: World) -> Iterator[str]:
    """
    No request that came after the bound with a withdrawn key runs.

    :param world: the world.
    :returns: violations.
    """
    ran = {run.token for run in world.runs}
    for submission in world.submissions.values():
        withdrawn_s = world.withdrawn_s.get(submission.key_id)
        if withdrawn_s is None or submission.token not in ran:
            continue
        late_s = submission.at_s - withdrawn_s
        if late_s > WITHDRAWAL_BOUND_S:
            yield f"{submission.request_id} ran, its key was withdrawn {late_s:.1f} s before"


def limit_holds(world: World) -> Iterator[str]:
    """
    No team has more running over all endpoints than the largest limit now in force anywhere, except
    for work that was sent within a limit that was in force then.

    :param world: the world.
    :returns: violations.
    """
    running: dict[str, list[Run]] = {}
    for endpoint in world.endpoints.values():
        for run in endpoint.running.values():
            running.setdefault(run.team, []).append(run)
    for team, runs in running.items():
        limit = largest_limit(world, team)
        if limit is None or len(runs) <= limit:
            continue
        runs.sort(key=lambda run: run.sent_s)
        if any(number > _limit_at_dispatch(run, limit) for number, run in enumerate(runs, 1)):
            yield f"{team} has {len(runs)} running, its limit is {limit}"


def _limit_at_dispatch(run: Run, present: int) -> int:
    return present if run.limit is None else run.limit


def leaving_gets_nothing(world: World) -> Iterator[str]:
    """
    A leaving endpoint is sent nothing once the bound has passed.

    :param world: the world.
    :returns: violations.
    """
    for run in world.runs:
        since_s = world.endpoints[run.endpoint].leaving_since_s
        if since_s is not None and run.sent_s > since_s + LEAVING_BOUND_S:
            yield f"{run.endpoint} got {run.attempt} {run.sent_s - since_s:.1f} s after leaving"


def revisions_never_revert(world: World) -> Iterator[str]:
    """
    Instances that have folded equally far have equal documents and keys.

    :param world: the world.
    :returns: violations.
    """
    seen: dict[int, tuple[str, object]] = {}
    for entry in world.entries.values():
        fold = entry.state.fold
        view = (fold.config.documents, fold.keys.granted, fold.keys.withdrawn)
        other_id, other = seen.setdefault(fold.position.next_offset, (entry.id, view))
        if other != view:
            yield f"{entry.id} and {other_id} differ at {fold.position.next_offset}"


RUNNING_CHECKS: dict[str, Check] = {
    "answered_at_most_once": answered_at_most_once,
    "own_answer_only": own_answer_only,
    "not_run_is_true": not_run_is_true,
    "at_most_once": at_most_once,
    "work_for_own_team": work_for_own_team,
    "withdrawn_key_stops": withdrawn_key_stops,
    "limit_holds": limit_holds,
    "leaving_gets_nothing": leaving_gets_nothing,
    "revisions_never_revert": revisions_never_revert,
}
FINAL_CHECKS: dict[str, Check] = {"accepted_is_answered": accepted_is_answered}


def check_running(world: World) -> list[str]:
    """
    Check everything that holds at every moment.

    :param world: the world.
    :returns: violations, each with the name of its rule.
    """
    return _run(world, RUNNING_CHECKS)


def check_final(world: World) -> list[str]:
    """
    Check everything that holds once all exchanges have had time to end.

    :param world: the world.
    :returns: violations, each with the name of its rule.
    """
    return _run(world, {**RUNNING_CHECKS, **FINAL_CHECKS})


def _run(world: World, checks: dict[str, Check]) -> list[str]:
    return [f"{name}: {text}" for name, check in checks.items() for text in check(world)]

"""
The harness itself: a fleet in memory serves, and its checks can fail.
"""

from eelgrassdrum_testing._harness import (
    QUEUE,
    Outcome,
    Run,
    World,
    advance,
    key_text,
    make_fleet,
    submit,
)
from eelgrassdrum_testing._invariants import check_final

JUDGES = "show/judges"


def make_world() -> World:
    """
    Give a fleet of three zones at rest.
    """
    return make_fleet(7)


def send(world: World, request_id: str) -> int:
    """
    Send one keyed request to the first entry instance.
    """
    entry = world.entries["entry-a0"]
    return submit(world, entry, QUEUE, request_id, key=key_text("judges"), team=JUDGES)


FIXTURES = {"world": make_world}


def test_fleet_answers_every_request(world: World) -> None:
    """
    Requests to a healthy fleet are all answered, and every rule holds.
    """
    tokens = [send(world, f"r{number}") for number in range(12)]
    advance(world, 5.0)
    answered = {outcome.token for outcome in world.outcomes if outcome.answer is not None}
    assert answered == set(tokens)
    assert check_final(world) == []


def test_checks_find_a_broken_world(world: World) -> None:
    """
    Each rule about requests is reported by name when its record of events breaks it.
    """
    token = send(world, "r1")
    advance(world, 2.0)
    run = world.runs[-1]
    world.runs.append(run._replace(attempt="other", team="show/members"))
    world.outcomes.append(Outcome(token, "r2", None, world.now_s))
    endpoint = world.endpoints["ep-a0"]
    endpoint.leaving_since_s = -10.0
    endpoint.running = {str(n): Run(str(n), "x", JUDGES, "", "ep-a0", 0, 0) for n in range(13)}
    broken = {text.partition(":")[0] for text in check_final(world)}
    assert broken >= {
        "answered_at_most_once",
        "own_answer_only",
        "at_most_once",
        "work_for_own_team",
        "limit_holds",
        "leaving_gets_nothing",
    }

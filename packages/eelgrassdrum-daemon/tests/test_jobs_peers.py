"""
Outcomes of the requests in which callers' records are forwarded to the owner.
"""

from eelgrassdrum_core.jobs import events
from eelgrassdrum_daemon._http_messages import HttpAnswer, HttpFailure
from eelgrassdrum_daemon.jobs._peers import STATUS_BY_OUTCOME, to_append_outcome


# Guards against an owner that can't be reached and counts as one that gave the records back.
def test_only_a_response_of_the_owner_is_a_refusal():
    """
    The outcome of a request of which no byte was sent differs from a refusal by the owner.
    """
    assert to_append_outcome(HttpFailure("connect", False)) == (events.UNSENT, "connect")
    assert to_append_outcome(HttpFailure("timeout", True)) == (events.UNKNOWN, "timeout")
    for outcome, status in STATUS_BY_OUTCOME.items():
        assert to_append_outcome(HttpAnswer(status, {}, b"")) == (outcome, str(status))

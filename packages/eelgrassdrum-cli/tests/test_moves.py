"""
Tests of the commands on single instances.
"""

from eelgrassdrum_cli import ExitCode
from eelgrassdrum_testing import operator_platform as fakes
from eelgrassdrum_testing.operator_platform import Platform, command

FIXTURES = {"platform": fakes.platform}


def test_a_move_names_instance_and_pool_and_its_rejection_is_reported(platform: Platform) -> None:
    """The record of a move holds the request; for an unknown instance its rejection is printed."""
    result = command(platform, "move", "i1", "fleet/judging", "--comment", "show day")
    assert result.code == ExitCode.REJECTED
    assert "invalid_move" in result.out
    record = platform.records[-1]
    assert (record["kind"], record["subject"]) == ("move.requested", "move/i1")
    body = {"instance": "i1", "pool": "fleet/judging", "author": "staff", "comment": "show day"}
    assert record["body"] == body

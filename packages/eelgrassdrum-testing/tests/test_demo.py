"""
The demonstration: when it sends its load, how it replaces an instance, and what it judges.
"""

import asyncio
from collections.abc import Iterator
from time import sleep

from eelgrassdrum_testing import _daemon, _process
from eelgrassdrum_testing._scenario import GARTENSCHAU
from eelgrassdrum_testing.demo import _changes, _fleet, _http

ONE_ZONE = GARTENSCHAU._replace(zones=("a",), services=("entries",), executors=1, entries=3)
LAST = "entry-a3"


def make_fleet() -> Iterator[_fleet.Fleet]:
    """
    Start a small fleet of the demonstration in one zone, its last instance after the others.
    """
    with _process.processes() as start:

        def start_in_turn(name: str, command: list[str]) -> _process.Process:
            if name == LAST:
                sleep(2 * _fleet.LIST_LAG_S)
            return start(name, command)

        yield _fleet.start_fleet(ONE_ZONE, start_in_turn)


FIXTURES = {"made": make_fleet}


def votes(entry: _fleet.Entry) -> bool:
    """
    Tell whether an entry instance has recovered its claims by now.
    """
    return any(_daemon.VOTING_EVENT in line for line in list(entry.process.output))


# Guards against requests that are told "unresolved" because the load comes before the votes.
def test_every_instance_votes_before_the_load(made: _fleet.Fleet) -> None:
    """
    Once the fleet is started, each entry instance votes on claims.
    """
    assert [entry.id for entry in made.entries.values() if not votes(entry)] == []


# Guards against a replacement that waits 300 s for claims of the instance that has left.
def test_replacement_keeps_the_id_and_votes(made: _fleet.Fleet) -> None:
    """
    A replaced entry instance ends with 0, and the new one has its id and votes.
    """
    before = dict(made.entries)
    changes = _changes.Changes()
    asyncio.run(_changes.replace_entry(made, _http.Client(), changes))
    assert changes.exit_code == 0
    assert made.entries.keys() == before.keys()
    [replaced] = made.replaced
    assert replaced is before[replaced.id]
    assert made.entries[replaced.id] is not replaced
    assert votes(made.entries[replaced.id])

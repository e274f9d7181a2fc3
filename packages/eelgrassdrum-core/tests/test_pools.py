"""
Pools: the planner, the forecast, and which records the fold accepts or rejects.
"""

import msgspec

from eelgrassdrum_core import Record, RecordId, StoredRecord
from eelgrassdrum_core._fleet_messages import DRAINING, IN_SERVICE, LEFT
from eelgrassdrum_core._fleet_state import DemandHistory
from eelgrassdrum_core._fold import fold_record
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._pools_forecast import (
    QUANTILE_COUNT,
    add_samples,
    forecast_utilization,
    quantiles_of,
)
from eelgrassdrum_core._pools_planner import PoolNeed, Weights, plan_moves
from eelgrassdrum_core._state import Fold

SIZE = {"min": 2, "target": 3, "max": 4}


class FoldedLog(msgspec.Struct):
    """
    A log whose records are folded as they are written.
    """

    fold: Fold = msgspec.field(default_factory=Fold)
    sequences: dict[str, int] = msgspec.field(default_factory=dict)

    def write(self, writer: str, kind: str, subject: str, **body: object) -> str:
        """
        Fold a record based on the current revision of its subject, and return the reason for its
        rejection.
        """
        base = self.fold.position.revisions.get(subject, 0)
        return self.write_on(base, writer, kind, subject, **body)

    def write_on(self, base: int, writer: str, kind: str, subject: str, **body: object) -> str:
        """
        Fold a record based on a given revision, and return the reason for its rejection.
        """
        self.sequences[writer] = self.sequences.get(writer, 0) + 1
        record = Record(RecordId(writer, 1, self.sequences[writer]), kind, subject, base, body)
        stored = StoredRecord(self.fold.position.next_offset, record)
        decision = fold_record(self.fold.position, APPLIERS, self.fold, stored)
        assert decision is not None
        return decision.reason

    def move(self, writer: str, kind: str, instance: str, **body: object) -> str:
        """
        Fold a record about moves of an instance under the current claim.
        """
        claim = self.fold.pools.claims["fleet"].offset
        fields = {"claim": claim, "down": [], "purpose": "move", **body}
        return self.write(writer, kind, f"move/{instance}", instance=instance, **fields)


def make_log() -> FoldedLog:
    """
    Build a log with two services and a spare pool of three instances each, controlled by c1.
    """
    log = FoldedLog()
    document = {
        "name": "fleet",
        "zones": ["a"],
        "measures": {"roll_out_time": 1, "buffer_cost": 1, "closeness_to_share": 1},
        "services": [
            {"name": name, "executors": 3, "max_unavailable": 1, "shared": True} for name in "xy"
        ],
        "pools": [
            {"name": name, "role": "endpoint", "service": name, "size": SIZE} for name in "xy"
        ]
        + [{"name": "spare", "role": "endpoint", "size": {**SIZE, "min": 0}, "spare": True}],
    }
    body = {"name": "fleet", "document": document, "author": "op", "comment": ""}
    assert log.write("op", "document.published", "document/fleet", **body) == ""
    for name in ("c1", "c2"):
        lease = {"zone": "a", "sent_s": 0.0, "running": {}, "lease_s": 30.0}
        log.write(name, "holder.renewed", f"holder/{name}", **lease)
    assert log.write("c1", "controller.claimed", "controller/fleet", shard="fleet") == ""
    for pool in ("x", "y", "spare"):
        for number in range(3):
            place = {"zone": "a", "rack": "r", "booted_at_s": 0.0, "pool": f"fleet/{pool}"}
            assert log.move("c1", "instance.added", f"{pool}{number}", **place) == ""
    return log


FIXTURES = {"log": make_log}


def test_an_instance_changes_its_pool_once_it_has_left(log: FoldedLog) -> None:
    """An instance stays in its old pool until it has drained and then belongs to the new one."""
    entry = log.fold.pools.instances["spare0"]
    assert log.move("c1", "move.started", "spare0", target="fleet/x") == ""
    assert (entry.pool, entry.step) == ("fleet/spare", DRAINING)
    assert log.move("c1", "move.joined", "spare0") == "wrong_step"
    assert log.move("c1", "move.left", "spare0") == ""
    assert (entry.pool, entry.step) == ("fleet/x", LEFT)
    assert log.move("c1", "move.aborted", "spare0") == "wrong_step"
    assert log.move("c1", "move.joined", "spare0") == ""
    assert (entry.pool, entry.step) == ("fleet/x", IN_SERVICE)
    assert log.fold.pools.moving == {}


def test_a_replaced_controller_can_not_continue(log: FoldedLog) -> None:
    """Once another controller has claimed the shard, steps of the previous one are rejected."""
    assert log.move("c1", "move.started", "spare0", target="fleet/x") == ""
    old = log.fold.pools.claims["fleet"].offset
    assert log.write("c2", "controller.claimed", "controller/fleet", shard="fleet") == ""
    assert log.move("c1", "move.left", "spare0", claim=old) == "not_the_controller"
    assert log.move("c1", "move.left", "spare0") == "not_the_controller"
    assert log.move("c2", "move.left", "spare0") == ""


def test_only_a_holder_of_a_lease_claims_a_shard(log: FoldedLog) -> None:
    """An instance without a lease in the log can't become a controller."""
    reason = log.write("c9", "controller.claimed", "controller/fleet", shard="fleet")
    assert reason == "not_the_controller"


def test_the_fold_enforces_the_budget(log: FoldedLog) -> None:
    """A second stop, or one besides a down instance, is rejected, but the down one may stop."""
    assert log.move("c1", "move.started", "x0", target="fleet/x") == ""
    assert log.move("c1", "move.started", "x1", target="fleet/x") == "over_budget"
    down = ["y2"]
    assert log.move("c1", "move.started", "y1", target="fleet/y", down=down) == "over_budget"
    assert log.move("c1", "move.started", "y2", target="fleet/y", down=down) == ""


# Guards against a boot from before the order that was taken for one of the round.
def test_a_boot_that_began_before_an_order_is_not_one_of_its_round(log: FoldedLog) -> None:
    """An instance that had left when a round was ordered counts as booted before the order."""
    order = {"shard": "fleet", "action": "start", "author": "op"}
    assert log.move("c1", "move.started", "spare0", target="fleet/x") == ""
    assert log.move("c1", "move.left", "spare0") == ""
    assert log.write("op", "maintenance.ordered", "maintenance/fleet", **order) == ""
    assert log.move("c1", "move.joined", "spare0") == ""
    current = log.fold.maintenance.rounds["fleet"]
    assert log.fold.pools.instances["spare0"].booted_offset < current.offset
    assert log.move("c1", "move.started", "spare0", target="fleet/x", purpose="maintenance") == ""
    assert log.move("c1", "move.left", "spare0") == ""
    assert log.move("c1", "move.joined", "spare0") == ""
    assert log.fold.pools.instances["spare0"].booted_offset > current.offset


def test_concurrent_requests_have_one_winner(log: FoldedLog) -> None:
    """Of two requests on one revision the first is accepted, and the planner may only follow it."""
    base = log.fold.position.revisions["move/spare0"]
    request = {"instance": "spare0", "author": "op", "comment": ""}
    subject = "move/spare0"
    assert log.write_on(base, "o1", "move.requested", subject, pool="fleet/x", **request) == ""
    late = log.write_on(base, "o2", "move.requested", subject, pool="fleet/y", **request)
    assert late == "stale"
    planned = log.move("c1", "move.started", "spare0", target="fleet/y")
    assert planned == "operator_wants_other_pool"
    assert log.move("c1", "move.started", "spare0", target="fleet/x") == ""


def test_pools_keep_their_size_limits(log: FoldedLog) -> None:
    """Moves respect the maximum size and the budget, both including the moves under way."""
    assert log.move("c1", "move.started", "x0", target="fleet/spare") == ""
    assert log.move("c1", "move.started", "spare0", target="fleet/y") == ""
    assert log.move("c1", "move.started", "spare1", target="fleet/y") == "pool_full"
    assert log.move("c1", "move.left", "spare0") == ""
    assert log.move("c1", "move.left", "x0") == ""
    assert log.move("c1", "move.joined", "x0") == ""
    assert log.move("c1", "move.started", "x1", target="fleet/spare") == "over_budget"


def test_a_drain_request_leads_to_the_spare_pool(log: FoldedLog) -> None:
    """After an operator's request to drain an instance, it may only move to the spare pool."""
    request = {"instance": "y0", "author": "op", "comment": ""}
    assert log.write("op", "instance.drain_requested", "instance/y0", **request) == ""
    assert log.fold.pools.instances["y0"].wanted == "fleet/spare"
    other = log.move("c1", "move.started", "y0", target="fleet/y")
    assert other == "operator_wants_other_pool"
    again = log.write("op", "instance.drain_requested", "instance/y9", **request)
    assert again == "invalid_move"


def need(name: str, size: int, used: list[float], *, spare: bool = False) -> PoolNeed:
    """
    Build a pool with a maximum size of six instances.
    """
    min_size = 0 if spare else 1
    return PoolNeed(name, "endpoint", min_size, 3, 6, spare, size, 5, used)


def test_instances_go_where_they_are_used_most() -> None:
    """The spare instance moves to the busiest pool, and no move is planned without enough gain."""
    busy, calm = need("busy", 2, [0.9] * 6), need("calm", 2, [0.9, 0.9, 0.2, 0.0, 0.0, 0.0])
    spare = need("spare", 1, [], spare=True)
    moves = plan_moves([busy, calm, spare], Weights())
    assert moves[0] == ("spare", "busy")
    balanced = [busy._replace(size=6), calm, spare._replace(size=0)]
    assert plan_moves(balanced, Weights()) == []


def test_small_gains_move_nothing() -> None:
    """Two pools with almost the same utilization don't exchange instances."""
    left, right = need("left", 3, [0.50] * 6), need("right", 3, [0.55] * 6)
    assert plan_moves([left, right], Weights()) == []


def test_the_forecast_counts_how_often_each_instance_is_used() -> None:
    """Bursts that use five instances a fifth of the time give the fifth one this utilization."""
    history = DemandHistory()
    for second in range(6000):
        add_samples(history, (5.0 if second % 10 < 2 else 0.1,), float(second))
    fractions = forecast_utilization(history, 1, 6)
    assert fractions == sorted(fractions, reverse=True)
    assert 0.12 < fractions[4] < 0.21
    assert fractions[5] < 0.01 < 0.9 < fractions[0]


def test_load_is_summarized_as_quantiles() -> None:
    """A burst in a fifth of the samples is the highest quantile, and samples without load count."""
    assert quantiles_of([], 0) == (0.0,) * QUANTILE_COUNT
    assert quantiles_of([50, 40, 45, 55], 20) == (0.0, 0.0, 0.0, 0.0, 50)
    assert quantiles_of([3] * 20, 20) == (3,) * QUANTILE_COUNT

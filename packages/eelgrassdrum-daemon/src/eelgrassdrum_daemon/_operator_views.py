"""
Operator views of the state, limited to the scope of the operator's key.
"""

from collections import Counter
from math import isinf
from typing import Any

from eelgrassdrum_core import RecordId, State, Verdict, proof_age_s, reachable_zones, refusals

from ._operator_fleet import view_pools
from ._operator_scope import Scope, sees_all, sees_name, sees_subject, sees_workspace


def view_status(state: State, scope: Scope) -> dict[str, Any]:
    """
    Return the status of the instance with its teams, queues, pools, endpoints and members.

    :param state: state of the instance.
    :param scope: scope of the operator's key.
    :returns: JSON-compatible data.
    """
    sender = state.identity.sender
    return {
        "instance": sender.instance,
        "incarnation": sender.incarnation,
        "zone": sender.zone,
        "address": state.identity.address,
        "peer_address": state.identity.peer_address,
        "revision": state.fold.position.next_offset - 1,
        "head": state.log.head,
        "caught_up": state.log.caught_up,
        "log_available": state.log.available,
        "freshness": _view_freshness(state),
        "stopping": state.stopping,
        "teams": _view_teams(state, scope),
        "queues": _view_queues(state, scope),
        "pools": view_pools(state, scope),
        "endpoints": _view_endpoints(state, scope),
        "members": _view_members(state) if sees_all(scope) else [],
    }


def _view_freshness(state: State) -> dict[str, Any]:
    age_s = proof_age_s(state)
    return {
        "proof_age_s": None if isinf(age_s) else round(age_s, 3),
        "bound_s": state.tuning.key_freshness_s,
        "zones_in_touch": sorted(reachable_zones(state)),
        "withdrawals_ahead_of_log": len(state.freshness.withdrawn),
    }


def _view_teams(state: State, scope: Scope) -> list[dict[str, Any]]:
    running = Counter(attempt.request.team for attempt in state.requests.attempts.values())
    return [
        {
            "team": team.name,
            "share": team.share,
            "limit": team.limit,
            "running_here": running[team.name],
        }
        for team in state.fold.config.teams.values()
        if sees_workspace(scope, team.workspace)
    ]


def _view_queues(state: State, scope: Scope) -> list[dict[str, Any]]:
    return [
        {
            "queue": queue.name,
            "service": queue.service,
            "waiting_here": state.fair.queued.get(queue.name, 0),
            "waiting_bytes_here": state.fair.queued_bytes.get(queue.name, 0),
        }
        for queue in state.fold.config.queues.values()
        if sees_workspace(scope, queue.workspace)
    ]


def _view_endpoints(state: State, scope: Scope) -> list[dict[str, Any]]:
    return [
        {
            "endpoint": endpoint.id,
            "service": endpoint.service,
            "zone": endpoint.zone,
            "in_flight_here": endpoint.in_flight,
            "leaving": endpoint.leaving,
        }
        for endpoint in state.endpoints.endpoints.values()
        if sees_name(scope, endpoint.service)
    ]


def _view_members(state: State) -> list[dict[str, Any]]:
    return [
        {
            "instance": peer.sender.instance,
            "incarnation": peer.sender.incarnation,
            "zone": peer.sender.zone,
            "state": peer.state,
        }
        for peer in state.membership.peers.values()
    ]


def view_documents(state: State, scope: Scope) -> dict[str, Any]:
    """
    Return the current revision of each document.

    :param state: state of the instance.
    :param scope: scope of the operator's key.
    :returns: revision, author and comment by name.
    """
    return {
        name: {
            "revision": revisions[-1].offset,
            "author": revisions[-1].author,
            "comment": revisions[-1].comment,
        }
        for name, revisions in state.fold.config.documents.items()
        if sees_workspace(scope, name)
    }


def view_document(state: State, name: str) -> dict[str, Any] | None:
    """
    Return one document with its history.

    :param state: state of the instance.
    :param name: the document's name.
    :returns: JSON-compatible data, or ``None`` when there is no such document.
    """
    revisions = state.fold.config.documents.get(name)
    if not revisions:
        return None
    history = [
        {
            "revision": revision.offset,
            "author": revision.author,
            "comment": revision.comment,
            "document": revision.document,
        }
        for revision in revisions
    ]
    return {**history[-1], "history": history}


def view_subjects(state: State, scope: Scope, prefix: str) -> dict[str, Any]:
    """
    Return subjects with the offset of their last accepted record.

    :param state: state of the instance.
    :param scope: scope of the operator's key.
    :param prefix: prefix that the subjects start with.
    :returns: JSON-compatible data.
    """
    revisions = state.fold.position.revisions
    return {
        "subjects": {
            subject: offset
            for subject, offset in revisions.items()
            if subject.startswith(prefix) and sees_subject(scope, subject)
        }
    }


def view_keys(state: State, workspace: str) -> list[dict[str, Any]]:
    """
    Return the keys of a workspace without any secrets.

    :param state: state of the instance.
    :param workspace: the workspace.
    :returns: JSON-compatible data, sorted by key id; a withdrawn key no longer has a team.
    """
    prefix = f"{workspace}/"
    shown = {
        name: {
            "team": key.team,
            "queues": key.queues,
            "state": "granted",
            "revision": key.offset,
        }
        for name, key in state.fold.keys.granted.items()
    }
    for name, offset in state.fold.keys.withdrawn.items():
        shown[name] = {"team": "", "queues": (), "state": "withdrawn", "revision": offset}
    return [
        {"key_id": name.removeprefix(prefix), **shown[name]}
        for name in sorted(shown)
        if name.startswith(prefix)
    ]


def find_decision(state: State, record_id: RecordId) -> Verdict | None:
    """
    Return the fold's decision about a record.

    :param state: state of the instance.
    :param record_id: the record's id.
    :returns: the decision, or ``None`` when it is not known here.
    """
    return state.fold.position.decisions.get(record_id)


def view_outcome(decision: Verdict | None) -> dict[str, Any]:
    """
    Return the outcome of a record as decided by the fold.

    :param decision: the decision, or ``None`` when it is not known.
    :returns: JSON-compatible data.
    """
    if decision is None:
        return {"state": "unknown", "offset": None, "reason": None, "overtaken_by": None}
    return {
        "state": "accepted" if decision.accepted else "rejected",
        "offset": decision.offset,
        "reason": decision.reason or None,
        "overtaken_by": decision.overtaken_by or None,
    }


def view_refusal(name: str) -> dict[str, Any] | None:
    """
    Return the description of an error code.

    :param name: the code, such as ``limit_reached``.
    :returns: JSON-compatible data, or ``None`` when there is no such code.
    """
    for code in refusals.ALL_CODES:
        if code.name == name:
            return {
                "error": code.name,
                "status": code.status,
                "run_state": code.run_state,
                "message": code.message,
            }
    return None

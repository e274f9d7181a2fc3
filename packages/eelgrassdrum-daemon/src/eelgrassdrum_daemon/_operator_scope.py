"""
Authorization of operator keys: which workspaces each key may read.
"""

import hmac
from typing import NamedTuple

from eelgrassdrum_core import FLEET, Credential, State

ALL_WORKSPACES = "*"
# Kinds of subjects whose second part names a workspace.
WORKSPACE_SUBJECT_KINDS = ("document", "key", "maintenance")


class Scope(NamedTuple):
    """
    Workspaces that an operator key may read.

    :param operator: name of the operator.
    :param workspaces: the workspaces, or ``*`` for all of them and for data that belongs to none.
    """

    operator: str
    workspaces: frozenset[str]


def find_scope(state: State, root_digest: str, credential: Credential | None) -> Scope | None:
    """
    Return the scope of an operator key, looked up in the current fleet document.

    :param state: state of the instance.
    :param root_digest: digest of the root operator's secret, or empty for none.
    :param credential: credential of the request, or ``None`` when it has none.
    :returns: the scope, or ``None`` when the credential is not a valid operator key.
    """
    if credential is None:
        return None
    if root_digest and hmac.compare_digest(root_digest, credential.digest):
        return Scope(credential.key_id, frozenset({ALL_WORKSPACES}))
    revisions = state.fold.config.documents.get(FLEET)
    operators = revisions[-1].document.get("operators", []) if revisions else []
    for operator in operators:
        is_same = hmac.compare_digest(operator["digest"], credential.digest)
        if is_same and operator["name"] == credential.key_id:
            return Scope(operator["name"], frozenset(operator["scopes"]))
    return None


def sees_all(scope: Scope) -> bool:
    """
    Return whether a scope covers every workspace.

    :param scope: the scope.
    :returns: whether it does.
    """
    return ALL_WORKSPACES in scope.workspaces


def sees_workspace(scope: Scope, workspace: str) -> bool:
    """
    Return whether a scope covers a workspace.

    :param scope: the scope.
    :param workspace: the workspace, or ``fleet``, which only a scope over all covers.
    :returns: whether it does.
    """
    return sees_all(scope) or workspace in scope.workspaces - {FLEET}


def sees_name(scope: Scope, name: str) -> bool:
    """
    Return whether a scope covers something named ``WORKSPACE/NAME``.

    :param scope: the scope.
    :param name: the full name.
    :returns: whether it does.
    """
    return sees_workspace(scope, name.partition("/")[0])


def sees_subject(scope: Scope, subject: str) -> bool:
    """
    Return whether a scope covers the subject of a log record.

    :param scope: the scope.
    :param subject: such as ``key/gartenschau/k7``.
    :returns: whether it does.
    """
    kind, _, rest = subject.partition("/")
    if kind in WORKSPACE_SUBJECT_KINDS:
        return sees_name(scope, rest)
    return sees_all(scope)

"""
Withdrawal of a key at this instance, which works even when the log is unavailable.
"""

from typing import TYPE_CHECKING, Any

from eelgrassdrum_core import KeyWithdrawalAsked, State, members, told_instances

if TYPE_CHECKING:
    from ._app import App

# Members in these states need not acknowledge withdrawals.
DEPARTED_STATES = ("dead", "leaving")


def withdraw(app: "App", workspace: str, key_id: str) -> None:
    """
    Withdraw a key at this instance, and start to propagate it to the other entry instances.

    :param app: the entry instance.
    :param workspace: the key's workspace.
    :param key_id: the key's id.
    """
    app.post(KeyWithdrawalAsked(workspace, key_id))


def view_propagation(state: State) -> dict[str, Any]:
    """
    Return how many other entry instances acknowledged all withdrawals known to this one.

    :param state: state of the instance.
    :returns: JSON-compatible data.
    """
    present = [member for member in members(state) if member.state not in DEPARTED_STATES]
    return {
        "instance": state.identity.sender.instance,
        "told": told_instances(state),
        "others": len(present),
        "in_log": not state.freshness.withdrawn,
    }


def is_propagated(state: State) -> bool:
    """
    Return whether every other entry instance that is not dead or leaving has the withdrawals.

    :param state: state of the instance.
    :returns: whether they have.
    """
    spread = view_propagation(state)
    return bool(spread["told"] >= spread["others"])

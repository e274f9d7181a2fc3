"""
Withdraws a key at this instance, which works without the log.
"""

from typing import TYPE_CHECKING, Any

from eelgrassdrum_core import KeyWithdrawalAsked, State, members, told_instances

if TYPE_CHECKING:
    from ._app import App

# Members in these states are not waited for.
GONE = ("dead", "leaving")


def withdraw(app: "App", workspace: str, key_id: str) -> None:
    """
    Withdraw a key here, and begin to tell the other entry instances.

    :param app: the entry instance.
    :param workspace: the key's workspace.
    :param key_id: the key's id.
    """
    app.post(KeyWithdrawalAsked(workspace, key_id))


def view_spread(state: State) -> dict[str, Any]:
    """
    Show how many other entry instances have every withdrawal that this one knows.

    :param state: state of the instance.
    :returns: plain data.
    """
    present = [member for member in members(state) if member.state not in GONE]
    return {
        "instance": state.identity.sender.instance,
        "told": told_instances(state),
        "others": len(present),
        "in_log": not state.freshness.withdrawn,
    }


def is_spread(state: State) -> bool:
    """
    Tell whether every other entry instance that is not gone has the withdrawals.

    :param state: state of the instance.
    :returns: whether they have.
    """
    spread = view_spread(state)
    return bool(spread["told"] >= spread["others"])

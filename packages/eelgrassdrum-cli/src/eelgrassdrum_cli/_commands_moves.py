"""
Commands on single instances: move.
"""

from eelgrassdrum_core._fleet_messages import MOVE_REQUESTED, move_subject

from ._commands_config import print_results
from ._publish import current_base, publish
from ._settings import NO_SETTINGS, Settings


def move(
    instance: str, pool: str, /, *, comment: str = "", settings: Settings = NO_SETTINGS
) -> int:
    """
    Request that an instance moves to a pool. The controller starts it once the budget allows.

    :param instance: the instance's id.
    :param pool: WORKSPACE/POOL; naming its current pool cancels an earlier request.
    :param comment: why.
    """
    subject = move_subject(instance)
    body = {"instance": instance, "pool": pool, "author": settings.operator, "comment": comment}
    base = current_base(settings, subject)
    return print_results(settings, [publish(settings, MOVE_REQUESTED, subject, base, body)])

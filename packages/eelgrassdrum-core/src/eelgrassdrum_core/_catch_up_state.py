"""
State of asking peers for records.
"""

import msgspec

from ._log_state import NEVER_S


class CatchUpState(msgspec.Struct):
    """
    The open question to a peer.

    :param peer: instance that was asked, or empty.
    :param requested_s: time of asking.
    :param ahead_since_s: time since which some peer has folded further, or -1.
    :param records_given: records sent to peers since the start.
    :param records_taken: records folded from peers since the start.
    """

    peer: str = ""
    requested_s: float = NEVER_S
    ahead_since_s: float = NEVER_S
    records_given: int = 0
    records_taken: int = 0

"""
State of the catch-up of records from peers.
"""

import msgspec

from ._log_state import NEVER_S


class CatchUpState(msgspec.Struct):
    """
    The open request to a peer.

    :param peer: instance that was asked for records, or empty.
    :param requested_s: time of the request.
    :param ahead_since_s: time since which a peer has folded further, or -1.
    :param records_given: records sent to peers since the start.
    :param records_taken: records folded from peers since the start.
    """

    peer: str = ""
    requested_s: float = NEVER_S
    ahead_since_s: float = NEVER_S
    records_given: int = 0
    records_taken: int = 0

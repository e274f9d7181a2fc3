"""
State of what this instance can prove about having heard of every withdrawal.
"""

import msgspec

from ._log_state import NEVER_S


class FreshnessState(msgspec.Struct):
    """
    Proofs of freshness, and withdrawals that are not known to be in the log.

    :param log_proof_s: newest moment of which is known that all records then in the log are folded.
    :param peer_proof_s: such a moment told by a peer that has folded further, or -1.
    :param peer_proof_offset: offset that has to be folded for the claim to count.
    :param all_zones_reached_s: newest moment of touch with every zone at which nobody had folded further.
    :param behind_since_s: time since which a peer may have folded further, or -1.
    :param withdrawn: withdrawals that are not known to be in the log, with the time of hearing.
    :param version: count of additions to them.
    """

    log_proof_s: float = NEVER_S
    peer_proof_s: float = NEVER_S
    peer_proof_offset: int = 0
    all_zones_reached_s: float = NEVER_S
    behind_since_s: float = NEVER_S
    withdrawn: dict[str, float] = msgspec.field(default_factory=dict)
    version: int = 0

"""
State of the proofs that this instance knows every withdrawn key.
"""

import msgspec

from ._log_state import NEVER_S


class FreshnessState(msgspec.Struct):
    """
    Proofs of freshness, and withdrawals that are not yet known to be in the log.

    :param log_proof_s: newest time such that all records then in the log are folded here, or -1.
    :param peer_proof_s: such a time reported by a peer that has folded further, or -1.
    :param peer_proof_offset: next offset that has to be reached for the peer's proof to count.
    :param all_zones_reached_s: newest time at which every zone was reachable and no peer had
        folded further, or -1.
    :param behind_since_s: time since when a peer may have folded further, or -1.
    :param withdrawn: withdrawals not yet known to be in the log, with the time of their arrival;
        the time is reset when this instance proposes the record again.
    :param version: number of additions to ``withdrawn``.
    """

    log_proof_s: float = NEVER_S
    peer_proof_s: float = NEVER_S
    peer_proof_offset: int = 0
    all_zones_reached_s: float = NEVER_S
    behind_since_s: float = NEVER_S
    withdrawn: dict[str, float] = msgspec.field(default_factory=dict)
    version: int = 0

"""
Whether an instance can carry the load of the log's owner.
"""

# Four hundred starts a second with a payload of 1.2 kB take 4 Mbit/s; the rest is for bursts.
OWNER_LINK_MBPS = 20.0
# The owner used 0.09 core at a hundred starts a second; four hundred take 0.4.
OWNER_CORES = 1.0


def weakness(link_mbps: float, cores: float) -> float:
    """
    Say how little an instance can carry the owner's load.

    :param link_mbps: megabits a second of its link.
    :param cores: its processor time, in cores of usual speed.
    :returns: 0 when it can, up to 1.
    """
    return 1.0 - min(1.0, link_mbps / OWNER_LINK_MBPS, cores / OWNER_CORES)

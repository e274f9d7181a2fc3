"""
Estimate of whether an instance can carry the load of the log's owner.
"""

# 400 starts per second with a payload of 1.2 kB take 4 Mbit/s; the rest is for bursts.
OWNER_LINK_MBPS = 20.0
# The owner used 0.09 cores at 100 starts per second; 400 per second take 0.4.
OWNER_CORES = 1.0


def weakness(link_mbps: float, cores: float) -> float:
    """
    Return the fraction of the owner's load that an instance can't carry.

    :param link_mbps: bandwidth of its link, in Mbit/s.
    :param cores: processor time available to it, in cores of usual speed.
    :returns: 0 when it can carry all of the load, up to 1.
    """
    return 1.0 - min(1.0, link_mbps / OWNER_LINK_MBPS, cores / OWNER_CORES)

"""
Stand-ins for the platform, scenarios of both fleets, and the benches.
"""

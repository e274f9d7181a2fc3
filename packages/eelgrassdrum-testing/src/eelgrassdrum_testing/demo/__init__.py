"""
The demonstration: a whole fleet on loopback, under load, with changes on the way.
"""

"""
Decisions of eelgrassdrum, with no I/O.
"""

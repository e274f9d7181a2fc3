"""
The operators' command-line client.
"""

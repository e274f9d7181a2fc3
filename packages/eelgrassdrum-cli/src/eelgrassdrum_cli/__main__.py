"""
Lets the client run as ``python -m eelgrassdrum_cli``.
"""

from . import main

main()

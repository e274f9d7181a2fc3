"""
Entry point of ``python -m eelgrassdrum_cli``.
"""

from . import main

main()

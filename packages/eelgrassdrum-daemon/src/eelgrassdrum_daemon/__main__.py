"""
Entry point that runs the entry instance: ``python -m eelgrassdrum_daemon``.
"""

from ._main import main

main()

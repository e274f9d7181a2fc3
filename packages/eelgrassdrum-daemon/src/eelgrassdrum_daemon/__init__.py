"""
The entry instance: turns input from sockets, timers and the log into events for the core.
"""


def main() -> None:
    """
    Run the entry instance until it is asked to stop.
    """
    # Imported lazily, so that other programs can import modules without loading the instance.
    from ._main import main as serve

    serve()


__all__ = ["main"]

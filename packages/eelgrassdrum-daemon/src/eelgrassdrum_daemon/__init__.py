"""
The entry instance, which turns sockets, timers and the log into events.
"""


def main() -> None:
    """
    Serve until asked to stop.
    """
    # Imported late, so that the parts that other programs use load without the whole instance.
    from ._main import main as serve

    serve()


__all__ = ["main"]

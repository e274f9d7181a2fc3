"""
Replaces functions of the product in tests, such as for the baseline of a decision.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType


@contextmanager
def replaced(module: ModuleType, name: str, value: object) -> Iterator[None]:
    """
    Replace a function of the product for a while.

    :param module: the module that it is called through.
    :param name: its name.
    :param value: what takes its place.
    :returns: nothing.
    """
    former = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, former)

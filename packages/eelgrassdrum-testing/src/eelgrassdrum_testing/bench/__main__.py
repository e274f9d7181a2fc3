"""
Runs the measurements: ``python -m eelgrassdrum_testing.bench [SUBSTRING]``.
"""

import importlib
import pkgutil
import sys
from collections.abc import Iterator

import msgspec

from . import __name__ as package_name
from . import __path__ as package_path
from ._measure import Bench

MODULE_PREFIX = "_bench_"


def discover() -> Iterator[tuple[str, Bench]]:
    """
    Find every bench.

    :returns: names and functions, in order of the modules' names.
    """
    for info in sorted(pkgutil.iter_modules(package_path), key=lambda info: info.name):
        if info.name.startswith(MODULE_PREFIX):
            module = importlib.import_module(f"{package_name}.{info.name}")
            yield from module.BENCHES.items()


def run_bench(name: str, bench: Bench) -> bool:
    """
    Run one bench and print a line for each measure.

    :param name: its name.
    :param bench: its function.
    :returns: whether every bound held.
    """
    ok = True
    try:
        for result in bench():
            print(msgspec.json.encode(result._asdict()).decode(), flush=True)
            ok = ok and result.ok
    except Exception as exc:
        failure = {"measure": name, "error": f"{type(exc).__name__}: {exc}", "ok": False}
        print(msgspec.json.encode(failure).decode(), flush=True)
        return False
    return ok


def main() -> int:
    """
    Run the benches whose name contains the first argument.

    :returns: 0 when at least one ran and all bounds held, else 1.
    """
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    results = [run_bench(name, bench) for name, bench in discover() if pattern in name]
    return 0 if results and all(results) else 1


if __name__ == "__main__":
    sys.exit(main())

"""
Runs every package's test functions through `unittest`.

A test is a plain function whose name starts with ``test_``. Its parameters name fixtures, which
are plain functions or generator functions listed in the module's ``FIXTURES`` mapping.

A test whose label starts an entry of ``KNOWN-RED.txt`` is expected to fail; if it passes, the run
fails until the entry is removed. A run of all tests also fails if an entry's label names no test.
"""

import contextlib
import importlib.util
import inspect
import signal
import sys
import unittest
from collections.abc import Callable, Iterator
from pathlib import Path
from types import ModuleType

REPOSITORY = Path(__file__).resolve().parents[4]
ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def load_module(path: Path) -> ModuleType:
    """
    Import a test file under a name of its own.

    :param path: the file.
    :returns: the module.
    """
    package = path.parents[1].name.replace("-", "_")
    name = f"{package}_tests_{path.stem}"
    spec = importlib.util.spec_from_file_location(name, path)
    if spec is None or spec.loader is None:
        raise ImportError(f"cannot load {path}")
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


def with_fixtures(function: Callable[..., None], fixtures: dict[str, Callable]) -> Callable:
    """
    Bind the fixtures that a test function names as parameters.

    :param function: the test function.
    :param fixtures: fixture functions by name; generators are closed after the test.
    :returns: a function without parameters.
    """
    names = list(inspect.signature(function).parameters)

    def run() -> None:
        with restored_signals(), contextlib.ExitStack() as stack:
            function(**{name: enter(stack, fixtures[name]) for name in names})

    return run


@contextlib.contextmanager
def restored_signals() -> Iterator[None]:
    """
    Restore the handlers of the signals that end the run, which event loops of tests replace.

    :returns: nothing.
    """
    former = {signo: signal.getsignal(signo) for signo in ENDING_SIGNALS}
    try:
        yield
    finally:
        for signo, signal_handler in former.items():
            signal.signal(signo, signal_handler)


def enter(stack: contextlib.ExitStack, fixture: Callable) -> object:
    """
    Build one fixture's value, and schedule its clean-up when it is a generator function.

    :param stack: receives the clean-up.
    :param fixture: the fixture function.
    :returns: the value handed to the test.
    """
    if inspect.isgeneratorfunction(fixture):
        return stack.enter_context(contextlib.contextmanager(fixture)())
    return fixture()


def known_red(text: str) -> frozenset[str]:
    """
    Return the labels of the tests that are known to fail.

    :param text: contents of ``KNOWN-RED.txt``; an entry about a test starts with its label and a
        colon.
    :returns: the labels, ``PACKAGE/MODULE.FUNCTION`` each.
    """
    labels = (line.partition(":")[0] for line in text.splitlines())
    return frozenset(label for label in labels if "/" in label and " " not in label)


def collect(
    paths: list[Path], pattern: str, red: frozenset[str] = frozenset()
) -> Iterator[unittest.TestCase]:
    """
    Find the test functions of the given files.

    :param paths: test files.
    :param pattern: only tests whose file and function name contain it are taken.
    :param red: labels of the tests that are expected to fail.
    :returns: one test case per function.
    """
    for path in paths:
        module = load_module(path)
        fixtures = getattr(module, "FIXTURES", {})
        for name, function in inspect.getmembers(module, inspect.isfunction):
            label = f"{path.parents[1].name}/{path.stem}.{name}"
            if not name.startswith("test_") or function.__module__ != module.__name__:
                continue
            if pattern in label:
                case = unittest.FunctionTestCase(
                    with_fixtures(function, fixtures), description=label
                )
                yield unittest.expectedFailure(case) if label in red else case


def labels_without_test(suite: unittest.TestSuite, red: frozenset[str]) -> list[str]:
    """
    Return the labels of known failures that name no test.

    :param suite: all tests, before they run.
    :param red: the labels.
    :returns: the labels in order, ``PACKAGE/MODULE.FUNCTION`` each.
    """
    labels = {case.shortDescription() for case in suite if isinstance(case, unittest.TestCase)}
    return sorted(red - labels)


def main() -> int:
    """
    Run the tests, optionally only those whose name contains the first argument.

    :returns: 0 when all passed and at least one ran, else 1.
    """
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    # The adapter of the platform is no package; it runs from the checkout.
    sys.path.insert(0, str(REPOSITORY / "platform"))
    paths = sorted(
        [
            *REPOSITORY.glob("packages/*/tests/test_*.py"),
            *REPOSITORY.glob("platform/tests/test_*.py"),
        ]
    )
    red = known_red((REPOSITORY / "KNOWN-RED.txt").read_text())
    suite = unittest.TestSuite(collect(paths, pattern, red))
    unmatched = [] if pattern else labels_without_test(suite, red)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    for case, _trace in result.expectedFailures:
        print(f"known red, failed as expected: {case.shortDescription()}")
    for case in result.unexpectedSuccesses:
        print(f"listed in KNOWN-RED.txt, but passed: {case.shortDescription()}")
    for label in unmatched:
        print(f"listed in KNOWN-RED.txt, but names no test: {label}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped - len(result.expectedFailures)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if failed == 0 and not unmatched and result.testsRun > 0 else 1


if __name__ == "__main__":
    sys.exit(main())

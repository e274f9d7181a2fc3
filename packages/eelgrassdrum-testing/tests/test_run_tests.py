"""
The runner of the tests.
"""

import contextlib
import io
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from eelgrassdrum_testing import run_tests

FAILING = """
def test_fails():
    assert False


def test_passes():
    pass
"""

REPLACING_HANDLERS = """
import signal


def test_replaces_handlers():
    for signo in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signo, signal.SIG_IGN)
"""


def run(tmp_path, red, text=FAILING):
    """
    Run the tests of a file, of which those in `red` are expected to fail.
    """
    path = Path(tmp_path) / "package" / "tests" / "test_sample.py"
    path.parent.mkdir(parents=True)
    path.write_text(text)
    result = unittest.TestResult()
    unittest.TestSuite(run_tests.collect([path], "", frozenset(red))).run(result)
    return result


def tmp_path():
    """
    Yield a folder that is removed afterwards.
    """
    with tempfile.TemporaryDirectory() as name:
        yield name


FIXTURES = {"tmp_path": tmp_path}


def test_only_entries_that_start_with_a_label_name_tests():
    """
    Entries about commands and findings name no test.
    """
    text = "# One entry each.\nmake bench (seed 1): red\na/b.test_c: seen once\nOpen finding: a/b"
    assert run_tests.known_red(text) == {"a/b.test_c"}


def test_a_listed_test_may_fail_and_an_unlisted_one_may_not(tmp_path):
    """
    The failure of a listed test does not fail the run.
    """
    result = run(tmp_path, ["package/test_sample.test_fails"])
    assert result.wasSuccessful() and len(result.expectedFailures) == 1


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    """
    An entry has to be removed as soon as its test passes.
    """
    result = run(tmp_path, ["package/test_sample.test_passes"])
    assert len(result.unexpectedSuccesses) == 1 and len(result.failures) == 1


# Guards against an entry that stays listed after its test was renamed or removed.
def test_a_listed_label_without_a_test_fails_a_run_of_all_tests(tmp_path):
    """
    A label that names no test fails a run of all tests, and not a run of some.
    """
    path = Path(tmp_path) / "packages" / "package" / "tests" / "test_sample.py"
    path.parent.mkdir(parents=True)
    path.write_text(FAILING)
    red = Path(tmp_path) / "KNOWN-RED.txt"
    for names, pattern, expected in (
        (["test_fails"], "", 0),
        (["test_fails", "test_gone"], "", 1),
        (["test_fails", "test_gone"], "test_fails", 0),
    ):
        red.write_text("".join(f"package/test_sample.{name}: seen\n" for name in names))
        output = io.StringIO()
        with (
            mock.patch.object(run_tests, "REPOSITORY", Path(tmp_path)),
            mock.patch.object(sys, "argv", ["run_tests", *([pattern] if pattern else [])]),
            mock.patch.object(sys, "path", list(sys.path)),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            assert run_tests.main() == expected, (names, pattern)
        assert ("names no test: package/test_sample.test_gone" in output.getvalue()) == expected


# Guards against a run that went on after SIGTERM, without the processes that had got it too.
def test_signals_end_the_run_after_a_test_that_replaced_their_handlers(tmp_path):
    """
    The handlers of the signals that end a run are the same after a test that replaced them.
    """
    former = [signal.getsignal(signo) for signo in (signal.SIGINT, signal.SIGTERM)]
    try:
        assert run(tmp_path, [], REPLACING_HANDLERS).wasSuccessful()
        found = [signal.getsignal(signo) for signo in (signal.SIGINT, signal.SIGTERM)]
    finally:
        signal.signal(signal.SIGINT, former[0])
        signal.signal(signal.SIGTERM, former[1])
    assert found == former

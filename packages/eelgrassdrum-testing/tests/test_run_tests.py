"""
The runner of the tests.
"""

import tempfile
import unittest
from pathlib import Path

from eelgrassdrum_testing import run_tests

FAILING = """
def test_fails():
    assert False


def test_passes():
    pass
"""


def run(tmp_path, red):
    """
    Run the tests of a file, of which those in `red` are expected to fail.
    """
    path = Path(tmp_path) / "package" / "tests" / "test_sample.py"
    path.parent.mkdir(parents=True)
    path.write_text(FAILING)
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

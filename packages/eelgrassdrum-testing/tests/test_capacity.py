"""
The arithmetic of the capacity page.
"""

from eelgrassdrum_testing.capacity._fit import Estimate, fit_line, format_row


def test_line_is_found_and_its_error_grows_with_distance() -> None:
    """
    Points on a line give it back without error; scattered points give an error that grows outwards.
    """
    exact = fit_line((1, 2, 3), (5, 7, 9), 10)
    assert (round(exact.at, 9), round(exact.slope, 9), round(exact.error, 9)) == (23, 2, 0)
    scattered = [fit_line((1, 2, 3, 4), (5, 7.5, 8.5, 11), at).error for at in (2.5, 10, 100)]
    assert 0 < scattered[0] < scattered[1] < scattered[2]


def test_two_sizes_are_not_enough() -> None:
    """
    A line through two points has no error to tell, so it is refused.
    """
    try:
        fit_line((1, 2), (5, 7), 10)
    except ValueError:
        return
    raise AssertionError("two sizes were taken")


def test_row_says_how_the_figure_was_found() -> None:
    """
    A row tells measured from extrapolated figures, and gives the error of the latter.
    """
    measured = Estimate("log", "appends", "records/s", 0.1, "instances", 144, 14.4, None, 400)
    assert "| measured |" in format_row(measured)
    extrapolated = format_row(measured._replace(error=0.5))
    assert "14.4 ± 0.5" in extrapolated
    assert "| extrapolated |" in extrapolated

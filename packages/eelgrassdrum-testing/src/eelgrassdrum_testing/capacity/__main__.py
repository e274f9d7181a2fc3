"""
Prints each role's cost at the size designed for: ``python -m eelgrassdrum_testing.capacity``.
"""

import sys

from ._fit import format_row
from ._fold_cost import estimate_fold
from ._peer_cost import estimate_peers
from ._process_cost import estimate_processes

HEADER = "| role | quantity | value | at | slope | how | budget |"
RULE = "|---|---|---|---|---|---|---|"


def main() -> int:
    """
    Measure, fit and print.

    :returns: 0 when every budget holds, else 1.
    """
    print(HEADER)
    print(RULE)
    ok = True
    for measured in (estimate_fold, estimate_peers, estimate_processes):
        for estimate in measured():
            print(format_row(estimate), flush=True)
            ok = ok and (estimate.budget is None or estimate.value <= estimate.budget)
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())

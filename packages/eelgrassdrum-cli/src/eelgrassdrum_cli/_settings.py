"""
Settings that each command reads from flags or ``EELGRASSDRUM_*`` environment variables.
"""

from typing import Literal, NamedTuple

from cyclopts import Parameter

ENVIRONMENT_PREFIX = "EELGRASSDRUM_"
DEFAULT_TIMEOUT_S = 15.0


@Parameter(name="*")
class Settings(NamedTuple):
    """
    URLs of the platform and the entry instances, and the operator's identity.

    Each flag has an environment variable of the same name, such as ``EELGRASSDRUM_LOG_URL`` for
    ``--log-url``.

    :param log_url: URL of the platform's log service.
    :param entry_url: URLs of entry instances, tried in this order; separated by spaces in the
        variable.
    :param operator: name of the operator, which goes into records.
    :param operator_key: key of the operator; preferably set by the variable.
    :param timeout_s: how long a command waits for an outcome, in seconds.
    :param output: how results are printed.
    """

    log_url: str = ""
    entry_url: tuple[str, ...] = ()
    operator: str = ""
    operator_key: str = ""
    timeout_s: float = DEFAULT_TIMEOUT_S
    output: Literal["json", "table"] = "table"


NO_SETTINGS = Settings()
"""The default of each command's parameter; flags and variables replace its fields."""

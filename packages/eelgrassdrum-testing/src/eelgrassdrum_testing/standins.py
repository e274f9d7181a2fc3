"""
Runs one stand-in for a part of the platform as a process of its own.

Each command prints one JSON line with the address that it listens on, and runs until it is told
to stop.
"""

from functools import partial
from pathlib import Path
from random import Random

import cyclopts

from ._endpoint import WORK_MS_MEDIAN, EndpointState
from ._endpoint_http import file_journal, make_endpoint_handler
from ._http_server import serve
from ._instance_list import LAG_S, make_list_handler
from ._log_http import make_log_handler
from ._log_service import APPENDS_PER_S, RETENTION_AGE_S, RETENTION_RECORDS, LogConfig
from ._machine_list import BOOT_S, make_machine_handler
from ._worker import USAGE_LAG_S, WorkerState
from ._worker_http import make_worker_handler

app = cyclopts.App(name="standins", help="Stand-ins for the platform.")


@app.command(name="log")
def run_log(
    *,
    port: int = 0,
    appends_per_s: float = APPENDS_PER_S,
    retention_records: int = RETENTION_RECORDS,
    retention_age_s: float = RETENTION_AGE_S,
) -> None:
    """
    Run the log service.

    :param port: TCP port on loopback, 0 for one that the system chooses.
    :param appends_per_s: records a second that it takes.
    :param retention_records: newest records that each stream keeps.
    :param retention_age_s: seconds that a record is kept.
    """
    cfg = LogConfig(appends_per_s, retention_records, retention_age_s)
    serve(port, partial(make_log_handler, cfg))


@app.command(name="list")
def run_list(*, port: int = 0, lag_s: float = LAG_S, boot_s: float = BOOT_S) -> None:
    """
    Run the list of instances, with the instances of pools.

    :param port: TCP port on loopback, 0 for one that the system chooses.
    :param lag_s: seconds by which answers of the list are old.
    :param boot_s: seconds that a reboot of an instance of a pool takes.
    """
    serve(
        port,
        lambda call_later: make_machine_handler(make_list_handler(lag_s, call_later), boot_s),
    )


@app.command(name="endpoint")
def run_endpoint(
    *,
    port: int = 0,
    instance_id: str = "ep-1",
    incarnation: int = 1,
    slots: int = 4,
    work_ms_median: float = WORK_MS_MEDIAN,
    seed: int = 0,
    journal: Path | None = None,
) -> None:
    """
    Run an endpoint.

    :param port: TCP port on loopback, 0 for one that the system chooses.
    :param instance_id: the instance's id.
    :param incarnation: the instance's incarnation.
    :param slots: runs at a time.
    :param work_ms_median: median of the default service times, in milliseconds.
    :param seed: seed of the default service times.
    :param journal: file to which each run is added as a JSON line before it begins.
    """
    state = EndpointState(
        id=instance_id,
        incarnation=incarnation,
        slots=slots,
        random=Random(seed),
        work_ms_median=work_ms_median,
    )
    serve(port, partial(make_endpoint_handler, state, file_journal(journal)))


@app.command(name="worker")
def run_worker(
    *,
    port: int = 0,
    instance_id: str = "worker-1",
    cores: float = 32,
    memory_gb: float = 128,
    accelerators: int = 0,
    usage_lag_s: float = USAGE_LAG_S,
) -> None:
    """
    Run a worker.

    :param port: TCP port on loopback, 0 for one that the system chooses.
    :param instance_id: the instance's id.
    :param cores: processors.
    :param memory_gb: memory.
    :param accelerators: accelerators.
    :param usage_lag_s: seconds by which reported usage is old.
    """
    state = WorkerState(
        id=instance_id,
        cores=cores,
        memory_gb=memory_gb,
        accelerators=accelerators,
        usage_lag_s=usage_lag_s,
    )
    serve(port, partial(make_worker_handler, state))


if __name__ == "__main__":
    app()

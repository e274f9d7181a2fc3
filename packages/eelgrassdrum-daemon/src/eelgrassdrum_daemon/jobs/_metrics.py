"""
Counters, gauges and latency histograms of an instance, rendered as text for scrapers.
"""

import math
from collections import Counter
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from eelgrassdrum_core.jobs import (
    MEMBER_STATES,
    Moment,
    Node,
    config_age_s,
    distrusted_by_pool,
    effects,
    evacuated_since_s,
    pool_views,
    waiting_records,
    worst_excess,
)

from .._metrics import PERCENTILES, UNIT_S, new_histogram

# Above this number of series, new labels of a name share the series `other`; this limits memory.
MAX_SERIES = 256
OVERFLOW_LABEL = "other"
PREFIX = "eelgrassdrum"
# Age of a configuration that was never read.
MAX_AGE_S = 1e6
# Fields of log lines that label their counter; the first one that a line has.
LABEL_FIELDS = ("how", "reason", "state", "cause")


class JobMetrics(msgspec.Struct, eq=False):
    """
    Counters and histograms of an instance since its start.

    :param counts: counters by name and label.
    :param durations: histograms by name and label.
    """

    counts: Counter[tuple[str, str]] = msgspec.field(default_factory=Counter)
    durations: dict[tuple[str, str], HdrHistogram] = {}


def record_duration(metrics: JobMetrics, name: str, label: str, seconds: float) -> None:
    """
    Record a duration in a histogram.

    :param metrics: the metrics.
    :param name: name of the histogram.
    :param label: label of the series, such as a queue.
    :param seconds: the duration.
    """
    key = (name, label)
    if key not in metrics.durations:
        if len(metrics.durations) >= MAX_SERIES:
            key = (name, OVERFLOW_LABEL)
        metrics.durations.setdefault(key, new_histogram())
    histogram = metrics.durations[key]
    units = max(1, min(round(seconds / UNIT_S), histogram.highest_trackable_value))
    histogram.record_value(units)


def count(metrics: JobMetrics, name: str, label: str) -> None:
    """
    Increment a counter.

    :param metrics: the metrics.
    :param name: name of the counter.
    :param label: label of the series, such as an outcome.
    """
    key = (name, label)
    if key not in metrics.counts and len(metrics.counts) >= MAX_SERIES:
        key = (name, OVERFLOW_LABEL)
    metrics.counts[key] += 1


def set_count(metrics: JobMetrics, name: str, value: int) -> None:
    """
    Set a counter that another component keeps.

    :param metrics: the metrics.
    :param name: name of the counter.
    :param value: its value.
    """
    metrics.counts[(name, "")] = value


def count_log_line(metrics: JobMetrics, line: effects.WriteLine) -> None:
    """
    Count a line of the structured log and record the durations in its fields.

    :param metrics: the metrics.
    :param line: the line.
    """
    fields: dict[str, Any] = line.fields
    label = next((fields[name] for name in LABEL_FIELDS if fields.get(name)), "")
    count(metrics, line.action.replace(".", "_"), str(label))
    queue = fields.get("queue")
    if line.action == "job.closed":
        record_duration(metrics, "job_age", str(queue), fields["age_s"])
        record_duration(metrics, "workspace_job_age", str(fields["workspace"]), fields["age_s"])
    elif line.action == "job.accepted":
        record_duration(metrics, "accept", str(queue), fields["wait_s"])
    elif line.action == "call.refused":
        _count_refusal(metrics, str(label), fields)
    elif line.action == "run.ended" and fields.get("ran_s") is not None:
        record_duration(metrics, "run", str(fields.get("how")), fields["ran_s"])


def _count_refusal(metrics: JobMetrics, label: str, fields: dict[str, Any]) -> None:
    """
    Record the retry delay of a refused call, and for which pool and workspace a job was refused.
    """
    if fields.get("retry_after_s") is not None:
        record_duration(metrics, "retry_after", label, fields["retry_after_s"])
    if "pool" in fields:
        count(metrics, "refused_by_pool", str(fields["pool"]))
        count(metrics, "refused_by_workspace", str(fields["workspace"]))


def render(metrics: JobMetrics, node: Node, at: Moment) -> bytes:
    """
    Render all metrics as text.

    :param metrics: the metrics.
    :param node: the instance's state, for the gauges.
    :param at: the time.
    :returns: one line per value, in UTF-8.
    """
    lines = [
        f'{PREFIX}_{name}_total{{label="{_escape(label)}"}} {value}'
        for (name, label), value in sorted(metrics.counts.items())
    ]
    for (name, label), histogram in sorted(metrics.durations.items()):
        text = _escape(label)
        for percentile in PERCENTILES:
            value_s = histogram.get_value_at_percentile(percentile) * UNIT_S
            quantile = f'label="{text}",quantile="{percentile / 100:g}"'
            lines.append(f"{PREFIX}_{name}_seconds{{{quantile}}} {value_s:.4f}")
        total = histogram.get_total_count()
        lines.append(f'{PREFIX}_{name}_seconds_count{{label="{text}"}} {total}')
    lines += [f"{PREFIX}_{name} {value}" for name, value in _gauges(node, at).items()]
    lines += _zone_gauges(node, at)
    lines += _pool_gauges(node, at)
    lines += _duration_gauges(node)
    return "\n".join([*lines, ""]).encode()


def _gauges(node: Node, at: Moment) -> dict[str, float]:
    return {
        "is_owner": int(node.ownership.is_owner),
        "epoch": node.replicated.epoch,
        "config_version": node.config.version if node.config else -1,
        "config_age_seconds": round(min(config_age_s(node, at.now_s), MAX_AGE_S), 3),
        "log_offset": node.replicated.offset,
        "log_caught_up": int(node.tail.is_caught_up),
        "state_age_seconds": round(at.now_s - node.tail.complete_s, 3),
        "snapshot_offset": node.snapshot_offset,
        "jobs": len(node.replicated.jobs),
        "jobs_open": len(node.replicated.open_jobs),
        "runs": sum(len(runs) for runs in node.replicated.running.values()),
        "workers": len(node.workers),
        "workers_failing": sum(worker.is_failing for worker in node.workers.values()),
        "intake_waiting": len(node.intake.waiting) + len(node.intake.batch),
        "journal_waiting": waiting_records(node),
        "neighbour_pairs": len(node.neighbours.pairs),
        "neighbour_pairs_harmful": len(node.neighbours.harmful),
        "neighbour_worst_excess": round(worst_excess(node, at), 3),
        "tasks_kept_apart": node.apart.kept,
    }


def _zone_gauges(node: Node, at: Moment) -> list[str]:
    """
    Return for each evacuated availability zone for how long this instance has known of it.
    """
    zones = sorted(evacuated_since_s(node).items())[:MAX_SERIES]
    return [
        f'{PREFIX}_zone_evacuated_seconds{{zone="{_escape(zone)}"}} {at.now_s - since_s:.3f}'
        for zone, since_s in zones
    ]


def _pool_gauges(node: Node, at: Moment) -> list[str]:
    """
    Return the gauges by pool, which only the owner of the log has. Above the limit of series, pools
    have none.
    """
    lines: list[str] = []
    for name, view in list(pool_views(node, at).items())[:MAX_SERIES]:
        pool = f'pool="{_escape(name)}"'
        lines.append(f"{PREFIX}_pool_waiting_tasks{{{pool}}} {view.waiting_tasks}")
        lines.append(f"{PREFIX}_pool_instances_moving_in{{{pool}}} {view.moving_in}")
        lines.append(f"{PREFIX}_pool_wanted{{{pool}}} {view.wanted}")
        lines.append(f"{PREFIX}_pool_needed{{{pool}}} {view.needed}")
        lines += [
            f'{PREFIX}_pool_workers{{{pool},state="{state}"}} {view.members.get(state, 0)}'
            for state in MEMBER_STATES
        ]
    for name, (flapping, unreliable) in list(distrusted_by_pool(node, at).items())[:MAX_SERIES]:
        pool = f'pool="{_escape(name)}"'
        lines.append(f"{PREFIX}_pool_workers_flapping{{{pool}}} {flapping}")
        lines.append(f"{PREFIX}_pool_workers_unreliable{{{pool}}} {unreliable}")
    return lines


def _duration_gauges(node: Node) -> list[str]:
    """
    Return what was learned of durations, by queue and step. Above the limit of series, steps have
    none.
    """
    lines: list[str] = []
    for (queue, step), learned in list(node.replicated.durations.items())[:MAX_SERIES]:
        series = f'queue="{_escape(queue)}",step="{step}"'
        values = {
            "learned_duration_seconds": math.exp(learned.ln_s),
            "learned_duration_error": learned.error,
            "declared_duration_error": learned.declared_error,
        }
        lines += [f"{PREFIX}_{name}{{{series}}} {value:.4f}" for name, value in values.items()]
    return lines


def _escape(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")

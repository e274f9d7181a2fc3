"""
The limits of workspaces: on what starts, and on what was decided to start and was not ordered yet.
"""

from . import _policies
from ._node import Node
from ._replicated_state import Job
from .model import NO_RESOURCES, Resources, Step


def within_limit(node: Node, job: Job, step: Step, count: int) -> int:
    """
    Return how many more tasks the limit of a workspace allows, beside all runs that are not known
    to have ended, and what is kept for tasks before them, as of the latest plan.

    :param node: the instance.
    :param job: the job whose tasks would start.
    :param step: the step of the tasks.
    :param count: number of tasks that would start.
    :returns: number of those tasks that the limit allows.
    """
    used = node.replicated.used.get(job.workspace, NO_RESOURCES)
    used = used.plus(node.unknown_used.get(job.workspace, NO_RESOURCES))
    used = used.plus(node.kept_used.get(job.workspace, NO_RESOURCES))
    for limit, have, need in zip(_policies.limit_of(node, job), used, step.need, strict=True):
        if limit and need:
            count = min(count, max(0, (limit - have) // need))
    return count


def unknown_usage(node: Node) -> dict[str, Resources]:
    """
    Return the resources that unknown runs of known jobs use.

    :param node: the instance, which owns the log.
    :returns: resources by workspace.
    """
    used: dict[str, Resources] = {}
    for worker in node.workers.values():
        for key in worker.unknown_runs:
            job = node.replicated.jobs.get(key.job)
            if job is None or key.step >= len(job.spec.steps):
                continue
            need = Resources(*job.spec.steps[key.step].need)
            used[job.workspace] = used.get(job.workspace, NO_RESOURCES).plus(need)
    return used


def is_exceeded(node: Node, job: Job, step: Step) -> bool:
    """
    Return whether a workspace uses more than its limit, with the runs that are not ordered yet.

    :param node: the instance, which owns the log.
    :param job: a job of the workspace.
    :param step: the step of a run; a resource that it doesn't need is not looked at.
    :returns: whether the limit was lowered since runs were decided.
    """
    used = node.replicated.used.get(job.workspace, NO_RESOURCES)
    used = used.plus(node.unknown_used.get(job.workspace, NO_RESOURCES))
    amounts = zip(_policies.limit_of(node, job), used, step.need, strict=True)
    return any(limit and need and have > limit for limit, have, need in amounts)

"""
Determines which settings apply to a job.

A job keeps the policy under which it was accepted: its attempts, and whether its starts need
tickets. The newest configuration decides how its queue is scheduled, and what its workspace may
use. Of a queue or a workspace that has been removed since, the job keeps these settings as well.
"""

import msgspec

from ._journal import write
from ._node import Moment, Node, log_line
from ._records import PolicySet
from ._replicated_state import Job
from .model import NO_RESOURCES, Config, JobPolicy, Queue, Resources

# Policy of a job whose submission doesn't tell it and whose queue is not configured.
UNKNOWN_POLICY = JobPolicy(0, 3, 1.0, 0)


def policy_of(config: Config, queue: Queue, workspace: str) -> JobPolicy:
    """
    Return the policy of a job that is accepted now.

    :param config: the configuration.
    :param queue: the queue of the job.
    :param workspace: the workspace of the job, or an empty string.
    :returns: the policy.
    """
    known = config.workspaces.get(workspace)
    limit = known.limit if known is not None else NO_RESOURCES
    return JobPolicy(
        queue.priority,
        queue.max_attempts,
        queue.slack_factor,
        queue.target_ms,
        queue.has_advice,
        (limit.millicores, limit.memory_mb, limit.accelerators),
    )


def queue_of(node: Node, job: Job) -> Queue | None:
    """
    Return the queue of a job, with the settings by which its tasks are placed.

    A queue that has been removed is rebuilt from the policy. Attempts go by `max_attempts`.

    :param node: the instance.
    :param job: the job.
    :returns: the queue, or ``None`` without a configuration.
    """
    if node.config is None:
        return None
    policy = job.policy or UNKNOWN_POLICY
    queue = node.config.queues.get(job.queue)
    if queue is None:
        return Queue(
            job.queue,
            "",
            "",
            job.service,
            policy.priority,
            policy.max_attempts,
            policy.slack_factor,
            policy.target_ms,
            False,
            policy.has_advice,
        )
    if policy.has_advice and not queue.has_advice:
        return queue._replace(has_advice=True)
    return queue


def max_attempts(node: Node, job: Job) -> int:
    """
    Return the number of failed runs after which a task fails its job.

    :param node: the instance.
    :param job: the job.
    :returns: the limit under which the job was accepted; if that is unknown, the one of its queue.
    """
    if job.policy is not None:
        return job.policy.max_attempts
    queue = node.config.queues.get(job.queue) if node.config is not None else None
    return queue.max_attempts if queue is not None else UNKNOWN_POLICY.max_attempts


def limit_of(node: Node, job: Job) -> Resources:
    """
    Return what the running tasks of a job's workspace may use.

    :param node: the instance.
    :param job: the job.
    :returns: the limit; 0 means no limit for the respective resource.
    """
    workspace = node.config.workspaces.get(job.workspace) if node.config is not None else None
    if workspace is not None:
        return workspace.limit
    return Resources(*job.policy.limit) if job.policy is not None else NO_RESOURCES


def record_missing(node: Node, at: Moment) -> None:
    """
    Record the policies of open jobs whose submissions, by a former release, don't tell them, while
    their queues are configured.

    :param node: the instance, which owns the log.
    :param at: the time.
    """
    if node.config is None:
        return
    for job in [job for job in node.replicated.open_jobs.values() if job.policy is None]:
        queue = node.config.queues.get(job.queue)
        if queue is not None:
            policy = policy_of(node.config, queue, job.workspace)
            _record(node, at, job, policy, "not_in_submission")


def require_tickets(node: Node, at: Moment, job: Job) -> None:
    """
    Record that the starts of a job need tickets, as a worker has refused one without.

    :param node: the instance, which owns the log.
    :param at: the time.
    :param job: the job.
    """
    policy = job.policy or UNKNOWN_POLICY
    if not policy.has_advice:
        policy = msgspec.structs.replace(policy, has_advice=True)
        _record(node, at, job, policy, "ticket_required")


def _record(node: Node, at: Moment, job: Job, policy: JobPolicy, reason: str) -> None:
    write(node, at, PolicySet(node.ownership.epoch, job.id, policy))
    log_line(
        node,
        "job.policy_set",
        job=job.id,
        queue=job.queue,
        reason=reason,
        max_attempts=policy.max_attempts,
        has_advice=policy.has_advice,
    )

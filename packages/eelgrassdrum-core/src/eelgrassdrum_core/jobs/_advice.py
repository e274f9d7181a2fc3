"""
Requests tickets from the advice service, which decides on which workers a step may run.

The service accepts one call at a time from each instance, and a call takes longer the more workers
it names. The decision for a step and an incarnation of a worker never changes, so a ticket is
requested once, and again only after it has expired or the worker has restarted or refused it.
"""

from . import effects, events
from ._node import Moment, Node, StepAdvice, emit, log_line
from ._replicated_state import Job
from .model import TaskKey

# Workers named in one call: enough to find a few that may run the step.
WORKERS_PER_CALL = 6
# Well below the number of calls that the service queues.
MAX_OUTSTANDING_CALLS = 8
# Delay before a failed call is retried.
RETRY_S = 0.3
# A ticket counts as expired this long before its expiry time.
EXPIRY_MARGIN_S = 0.3


def valid_ticket(node: Node, at: Moment, step: tuple[str, int, int], worker_id: str) -> str:
    """
    Return the ticket of a step for a worker.

    :param node: the instance.
    :param at: the time.
    :param step: job, occurrence and index of the step.
    :param worker_id: the worker.
    :returns: the ticket, or an empty string if there is no valid one.
    """
    advice = node.advice.get(step)
    if advice is None:
        return ""
    ticket, expires_s = advice.tickets.get(worker_id, ("", 0.0))
    return ticket if at.now_s < expires_s else ""


def prefetch_tickets(
    node: Node, at: Moment, job: Job, occurrence: int, step: int, workers: list[str]
) -> None:
    """
    Request tickets for a step that can't start yet, unless they were requested before, so that they
    are available once it can start.

    :param node: the instance.
    :param at: the time.
    :param job: the job.
    :param occurrence: number of the occurrence.
    :param step: index of the step.
    :param workers: the candidate workers, best first.
    """
    if (job.id, occurrence, step) not in node.advice:
        request_tickets(node, at, job, occurrence, step, workers)


def request_tickets(
    node: Node, at: Moment, job: Job, occurrence: int, step: int, workers: list[str]
) -> None:
    """
    Request tickets for workers on which a step would fit.

    Nothing is sent while a call for the step is outstanding or its retry delay runs, or while the
    limit of outstanding calls is reached.

    :param node: the instance.
    :param at: the time.
    :param job: the job.
    :param occurrence: number of the occurrence.
    :param step: index of the step.
    :param workers: the candidate workers, best first.
    """
    advice = node.advice.setdefault((job.id, occurrence, step), StepAdvice())
    if advice.is_asking or at.now_s < advice.retry_s:
        return
    if sum(other.is_asking for other in node.advice.values()) >= MAX_OUTSTANDING_CALLS:
        return
    candidates = [worker for worker in workers if worker not in advice.refused]
    if not candidates:
        return
    advice.is_asking = True
    emit(node, effects.Advise(job.id, occurrence, step, tuple(candidates[:WORKERS_PER_CALL])))


def on_answered(node: Node, at: Moment, event: events.AdviceAnswered) -> None:
    """
    Process an answer of the advice service.

    :param node: the instance.
    :param at: the time.
    :param event: the answer.
    """
    advice = node.advice.get((event.job, event.occurrence, event.step))
    if advice is None:
        return
    advice.is_asking = False
    if event.tickets is None:
        advice.retry_s = at.now_s + RETRY_S
        log_line(node, "advice.failed", job=event.job, step=event.step)
        return
    expires_s = at.now_s + event.valid_s - EXPIRY_MARGIN_S
    for worker in event.asked:
        if worker in event.tickets:
            advice.tickets[worker] = (event.tickets[worker], expires_s)
        else:
            advice.refused.add(worker)
    node.plan_due = True


def forget_worker(node: Node, worker_id: str) -> None:
    """
    Drop the tickets and refusals of a worker, which are those of its former incarnation.

    :param node: the instance.
    :param worker_id: the worker.
    """
    for advice in node.advice.values():
        advice.tickets.pop(worker_id, None)
        advice.refused.discard(worker_id)


def drop_ticket(node: Node, key: TaskKey, worker_id: str) -> None:
    """
    Drop a ticket that its worker has refused.

    :param node: the instance.
    :param key: the task that was to start.
    :param worker_id: the worker.
    """
    advice = node.advice.get((key.job, key.occurrence, key.step))
    if advice is not None:
        advice.tickets.pop(worker_id, None)


def prune(node: Node) -> None:
    """
    Drop the tickets of jobs that are no longer open.

    :param node: the instance.
    """
    for key in [key for key in node.advice if key[0] not in node.replicated.open_jobs]:
        del node.advice[key]

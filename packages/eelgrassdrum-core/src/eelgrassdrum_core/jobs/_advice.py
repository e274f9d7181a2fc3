"""
Tickets of the advice service, which says on which workers a step may run.

The service takes one call at a time from each instance, and a call takes longer the more workers it
names. A step's answer never changes, so each worker is asked about once; a ticket is asked for
again when it has expired.
"""

from typing import Any

from . import effects, events
from ._book import Job
from ._node import Moment, Node, StepAdvice, emit, log_line

# Workers that one call names: enough to find a few that may run the step.
WORKERS_PER_CALL = 6
# Calls that may be outstanding, well below those that the service lets wait.
MAX_CALLS = 8
# A call that failed is tried again after this.
RETRY_S = 0.3
# A ticket is not used in the last part of its time.
EXPIRY_MARGIN_S = 0.3


def valid_ticket(node: Node, at: Moment, item: Any, worker_id: str) -> str:
    """
    Give the ticket of a step for a worker.

    :param node: the instance.
    :param step_index: the time.
    :param item: the step that is to be placed.
    :param worker_id: the worker.
    :returns: the ticket, or empty when there is none that is valid.
    """
    advice = node.advice.get((item.job.id, item.occurrence, item.step_index))
    if advice is None:
        return ""
    ticket, expires_s = advice.tickets.get(worker_id, ("", 0.0))
    return ticket if at.now_s < expires_s else ""


def prefetch_tickets(
    node: Node, at: Moment, job: Job, occurrence: int, step: int, workers: list[str]
) -> None:
    """
    Ask about a step that can't start yet, if nothing is known of it, so that its tickets are there
    when it can.

    :param node: the instance.
    :param step_index: the time.
    :param job: the job.
    :param occurrence: the occurrence.
    :param step: the step.
    :param workers: the workers, the best first.
    """
    if (job.id, occurrence, step) not in node.advice:
        request_tickets(node, at, job, occurrence, step, workers)


def request_tickets(
    node: Node, at: Moment, job: Job, occurrence: int, step: int, workers: list[str]
) -> None:
    """
    Ask about workers on which a step would fit.

    :param node: the instance.
    :param step_index: the time.
    :param job: the job.
    :param occurrence: the occurrence.
    :param step: the step.
    :param workers: the workers, the best first.
    """
    advice = node.advice.setdefault((job.id, occurrence, step), StepAdvice())
    if advice.is_asking or at.now_s < advice.retry_s:
        return
    if sum(other.is_asking for other in node.advice.values()) >= MAX_CALLS:
        return
    candidates = [worker for worker in workers if worker not in advice.refused]
    if not candidates:
        return
    advice.is_asking = True
    emit(node, effects.Advise(job.id, occurrence, step, tuple(candidates[:WORKERS_PER_CALL])))


def on_answered(node: Node, at: Moment, event: events.AdviceAnswered) -> None:
    """
    Take an answer of the advice service.

    :param node: the instance.
    :param step_index: the time.
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


def prune(node: Node) -> None:
    """
    Drop what is known of steps of jobs that have ended.

    :param node: the instance.
    """
    for key in [key for key in node.advice if key[0] not in node.book.open_jobs]:
        del node.advice[key]

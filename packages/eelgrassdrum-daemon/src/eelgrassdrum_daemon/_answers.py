"""
Store of endpoint answers, which the core refers to only by attempt id.
"""

from collections import OrderedDict

import msgspec

from ._http_messages import HttpAnswer


class AnswerStore(msgspec.Struct):
    """
    Answers by attempt id, kept until they are dropped or evicted, oldest first.

    An answer is kept after delivery, so that a repeat of its request receives the same answer.

    :param max_bytes: maximum size of all stored bodies, in bytes.
    :param max_answers: maximum number of stored answers.
    :param held_bytes: current size of all stored bodies, in bytes.
    :param evicted: number of answers evicted so far.
    :param answers: stored answers by attempt id, oldest first.
    """

    max_bytes: int = 8 * 1024 * 1024
    max_answers: int = 1024
    held_bytes: int = 0
    evicted: int = 0
    answers: OrderedDict[str, HttpAnswer] = msgspec.field(default_factory=OrderedDict)


def store_answer(store: AnswerStore, attempt: str, answer: HttpAnswer) -> None:
    """
    Store an answer and evict the oldest over the limits; the newest is kept at any size.

    :param store: changed in place.
    :param attempt: id of the attempt.
    :param answer: answer to the attempt.
    """
    remove_answer(store, attempt)
    store.answers[attempt] = answer
    store.held_bytes += len(answer.body)
    while _is_over(store) and len(store.answers) > 1:
        _, oldest = store.answers.popitem(last=False)
        store.held_bytes -= len(oldest.body)
        store.evicted += 1


def _is_over(store: AnswerStore) -> bool:
    return store.held_bytes > store.max_bytes or len(store.answers) > store.max_answers


def remove_answer(store: AnswerStore, attempt: str) -> None:
    """
    Remove an answer, if it is stored.

    :param store: changed in place.
    :param attempt: id of the attempt.
    """
    answer = store.answers.pop(attempt, None)
    if answer is not None:
        store.held_bytes -= len(answer.body)

"""
Bodies of requests and answers, which the core knows only by token and attempt.
"""

from collections import OrderedDict

import msgspec

from ._http_messages import HttpAnswer


class AnswerStore(msgspec.Struct):
    """
    Answers of attempts, kept until they are dropped or the oldest have to go.

    An answer stays after it was given, so that a repeat of its request can be given it too.

    :param max_bytes: bytes of bodies kept.
    :param max_answers: answers kept.
    :param held_bytes: bytes of bodies held now.
    :param evicted: answers that had to go.
    """

    max_bytes: int = 8 * 1024 * 1024
    max_answers: int = 1024
    held_bytes: int = 0
    evicted: int = 0
    answers: OrderedDict[str, HttpAnswer] = msgspec.field(default_factory=OrderedDict)


def keep(store: AnswerStore, attempt: str, answer: HttpAnswer) -> None:
    """
    Keep an answer; the newest is kept whatever its size.

    :param store: changed in place.
    :param attempt: id of the attempt.
    :param answer: its answer.
    """
    drop(store, attempt)
    store.answers[attempt] = answer
    store.held_bytes += len(answer.body)
    while _is_over(store) and len(store.answers) > 1:
        _, oldest = store.answers.popitem(last=False)
        store.held_bytes -= len(oldest.body)
        store.evicted += 1


def _is_over(store: AnswerStore) -> bool:
    return store.held_bytes > store.max_bytes or len(store.answers) > store.max_answers


def drop(store: AnswerStore, attempt: str) -> None:
    """
    Forget an answer.

    :param store: changed in place.
    :param attempt: id of the attempt.
    """
    answer = store.answers.pop(attempt, None)
    if answer is not None:
        store.held_bytes -= len(answer.body)

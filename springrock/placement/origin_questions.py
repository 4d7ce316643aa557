"""The questions for origins of streams that this box has pending at one zone's placer."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from gevent.queue import Queue

from springrock.placement.messages import OriginFound, OriginQuestion


class OriginQuestions:
    """The questions of one box at one zone's placer, and those not sent to it yet.

    Args:
        on_update: Called when there is a question to send, which a request waits for.
    """

    def __init__(self, *, on_update: Callable[[], None]) -> None:
        self._on_update = on_update
        self._numbers = count(1)
        self._pending: dict[int, Queue[OriginFound | None]] = {}
        self._unsent: list[OriginQuestion] = []

    def ask(self, request_id: str, service: str, *, answers: Queue[OriginFound | None]) -> int:
        """Ask for the origin of a stream; its answer is put into a queue, None without one.

        Returns:
            The number of the question, to withdraw it.
        """
        question = OriginQuestion(next(self._numbers), request_id, service)
        self._pending[question.number] = answers
        self._unsent.append(question)
        self._on_update()
        return question.number

    def withdraw(self, number: int) -> None:
        """Drop a question, answered or not."""
        self._pending.pop(number, None)
        self._unsent = [question for question in self._unsent if question.number != number]

    def record_found(self, found: OriginFound) -> None:
        """Pass the placer's answer on, unless its question was withdrawn."""
        answers = self._pending.pop(found.number, None)
        if answers is not None:
            answers.put(found)

    def forget_placer(self) -> None:
        """Answer all questions with None, as the placer is lost."""
        pending, self._pending = self._pending, {}
        self._unsent.clear()
        for answers in pending.values():
            answers.put(None)

    def drain_updates(self) -> list[OriginQuestion]:
        """Return the questions to send to the placer, and clear them."""
        unsent, self._unsent = self._unsent, []
        return unsent

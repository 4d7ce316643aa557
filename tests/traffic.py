"""Sends requests steadily while a test injects faults, and checks every answer."""

from __future__ import annotations

import itertools
import threading
import time
from typing import NamedTuple

import urllib3

from tests.cluster import Cluster, Reply


class Outcome(NamedTuple):
    """The outcome of one request.

    Attributes:
        state: ``answered``, the run state of an error, ``transport`` if the connection failed, or
            ``silent`` if a stream ended early without an error.
        wrong: Whether text of the answer differs from the expected text.
    """

    box: str
    request_id: str
    at: float
    took_s: float
    state: str
    cause: str
    wrong: bool


class Traffic:
    """A context manager whose threads send streamed completions for the duration of its block.

    Args:
        cluster: The deployment to send to.
        boxes: The boxes to use in turn; all by default.
        adapters: How many adapters to use in turn.
        threads: How many requests are open at once.
        tokens: The length of each answer.
        deadline_s: The deadline of each request.
    """

    def __init__(
        self,
        cluster: Cluster,
        *,
        boxes: list[str] | None = None,
        adapters: int = 4,
        threads: int = 6,
        tokens: int = 10,
        deadline_s: float = 15.0,
    ) -> None:
        self._cluster = cluster
        self._boxes = boxes or cluster.shape.box_names
        self._adapters = adapters
        self._tokens = tokens
        self._deadline_s = deadline_s
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self._threads = [threading.Thread(target=self._send_loop) for _ in range(threads)]
        self.ended: list[Outcome] = []

    def __enter__(self) -> Traffic:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    @property
    def answered(self) -> int:
        return sum(item.state == "answered" for item in self.ended)

    @property
    def failed(self) -> list[Outcome]:
        return [item for item in self.ended if item.state != "answered"]

    @property
    def wrong_outcomes(self) -> list[Outcome]:
        """The outcomes that are wrong under any fault."""
        return [item for item in self.ended if item.wrong or item.state == "silent"]

    def _send_loop(self) -> None:
        while not self._stop.is_set():
            number = next(self._numbers)
            box = self._boxes[number % len(self._boxes)]
            self.ended.append(self._send(box, number))

    def _send(self, box: str, number: int) -> Outcome:
        adapter = number % self._adapters
        request_id = f"traffic-{number}"
        prompt = f"prompt {number}"
        began = time.monotonic()
        try:
            reply = self._cluster.complete(
                box,
                adapter,
                prompt=prompt,
                tokens=self._tokens,
                stream=True,
                headers={
                    "Springrock-Request-Id": request_id,
                    "Springrock-Deadline-Ms": str(int(self._deadline_s * 1000)),
                },
            )
        except urllib3.exceptions.HTTPError:
            time.sleep(0.05)
            took_s = time.monotonic() - began
            return Outcome(box, request_id, began, took_s, "transport", "", wrong=False)
        expected = self._cluster.expected(adapter, prompt, self._tokens)
        state, cause, wrong = _check_reply(reply, expected)
        if state != "answered":
            time.sleep(0.05)
        return Outcome(box, request_id, began, time.monotonic() - began, state, cause, wrong)


def _check_reply(reply: Reply, expected: str) -> tuple[str, str, bool]:
    if reply.status != 200:
        return reply.error["run_state"], reply.error["type"], False
    if reply.whole:
        return "answered", "", reply.streamed != expected
    wrong = not expected.startswith(reply.streamed)
    if b"event: error" not in reply.body:
        return "silent", "", wrong
    return reply.error["run_state"], reply.error["type"], wrong

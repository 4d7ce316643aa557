"""Clients of boxes that send one request after the other, in the background of a test."""

from __future__ import annotations

from collections.abc import Iterable

from tests.clients import BackgroundClients
from tests.routed.deployment import Answer, Deployment

PAUSE_S = 0.02


class Callers(BackgroundClients):
    """One client for each box and wish.

    Args:
        deployment: Where they send.
        boxes: The boxes that they call.
        wishes: What they ask for: each a path and an adapter, which may be empty.

    Attributes:
        answers: What they got.
    """

    def __init__(
        self, deployment: Deployment, boxes: Iterable[str], wishes: Iterable[tuple[str, str]]
    ) -> None:
        super().__init__()
        self._deployment = deployment
        self.answers: list[Answer] = []
        wanted = list(wishes)
        for box in boxes:
            for adapter_request in wanted:
                self.add(self._send, box, *adapter_request)

    def _send(self, box: str, path: str, adapter: str) -> None:
        while not self.stop.wait(timeout=PAUSE_S):
            self.answers.append(self._deployment.send(box, path, adapter=adapter))

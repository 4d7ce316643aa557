"""Background clients that send requests to boxes one after the other during a test."""

from __future__ import annotations

from collections.abc import Iterable

from tests.clients import BackgroundClients
from tests.routed.deployment import Answer, Deployment

PAUSE_S = 0.02


class Callers(BackgroundClients):
    """One client for each pair of box and request.

    Args:
        deployment: The deployment that the clients send to.
        boxes: The boxes that the clients call.
        requests: A path and an adapter for each request; the adapter may be empty.
        deadline_ms: The deadline of each request.

    Attributes:
        answers: All answers so far.
    """

    def __init__(
        self,
        deployment: Deployment,
        boxes: Iterable[str],
        requests: Iterable[tuple[str, str]],
        *,
        deadline_ms: int = 5000,
    ) -> None:
        super().__init__()
        self._deadline_ms = deadline_ms
        self._deployment = deployment
        self.answers: list[Answer] = []
        repeated = list(requests)
        for box in boxes:
            for request in repeated:
                self.add(self._send, box, *request)

    def _send(self, box: str, path: str, adapter: str) -> None:
        while not self.stop.wait(timeout=PAUSE_S):
            self.answers.append(
                self._deployment.send(box, path, adapter=adapter, deadline_ms=self._deadline_ms)
            )

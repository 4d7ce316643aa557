"""One open link to another box, which carries questions with their answers, and notices."""

from __future__ import annotations

from typing import Any, TypeVar

import gevent
import msgspec
from gevent.event import AsyncResult
from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection
from websockets.sync.server import ServerConnection

from springrock.errors import PeerUnreachable
from springrock.metrics import Metrics
from springrock.wire import peer as wire

A = TypeVar("A", bound=msgspec.Struct)

SOCKET_FAILURES = (OSError, WebSocketException, EOFError, TimeoutError)
"""The exceptions that sending and receiving raise when a link is broken."""


class Link:
    """One open link.

    Attributes:
        box: The name of the box at the other end.
        zone: Its availability zone.
        incarnation: The incarnation of its session.
        open: Whether the link has not been closed.
    """

    def __init__(
        self, connection: ClientConnection | ServerConnection, hello: wire.Hello, metrics: Metrics
    ) -> None:
        self._connection = connection
        self._metrics = metrics
        self._pending: dict[int, AsyncResult[Any]] = {}
        self._last_number = 0
        self.box = hello.box
        self.zone = hello.zone
        self.incarnation = hello.incarnation
        self.open = True

    def ask(self, question: wire.Question, kind: type[A], *, timeout_s: float) -> A:
        """Send a question and wait for its answer.

        Args:
            question: The question; its number is set by this method.
            kind: The expected type of the answer.
            timeout_s: How long to wait.

        Raises:
            PeerUnreachable: If the link is broken, or no answer of this type came in time.
        """
        number, result = self.send_question(question)
        return self.wait_for_answer(number, result, kind, timeout_s=timeout_s)

    def send_question(self, question: wire.Question) -> tuple[int, AsyncResult[Any]]:
        """Send a question; return its number and the result that will hold the answer."""
        self._last_number += 1
        number = self._last_number
        result: AsyncResult[Any] = AsyncResult()
        self._pending[number] = result
        try:
            self.notify(msgspec.structs.replace(question, number=number))
        except PeerUnreachable:
            del self._pending[number]
            raise
        return number, result

    def wait_for_answer(
        self, number: int, result: AsyncResult[Any], kind: type[A], *, timeout_s: float
    ) -> A:
        """Wait for the answer to a question that `send_question` has sent.

        Raises:
            PeerUnreachable: If the link is broken, or no answer of this type came in time.
        """
        try:
            answer = result.get(timeout=timeout_s)
        except gevent.Timeout:
            raise PeerUnreachable(f"{self.box} did not answer within {timeout_s:.1f} s") from None
        finally:
            self._pending.pop(number, None)
        if not isinstance(answer, kind):
            raise PeerUnreachable(f"{self.box} answered with {type(answer).__name__}")
        return answer

    def withdraw(self, number: int) -> None:
        """Notify the other box that a question needs no answer any more."""
        self._pending.pop(number, None)
        try:
            self.notify(wire.Withdraw(number))
        except PeerUnreachable:
            return

    def notify(self, message: wire.PeerMessage) -> None:
        """Send a message without waiting for an answer.

        Raises:
            PeerUnreachable: If the link is broken.
        """
        frame = wire.encode(message)
        try:
            self._connection.send(frame)
        except SOCKET_FAILURES as error:
            raise PeerUnreachable(f"{self.box}: {error}") from None
        self._metrics.peer_bytes.labels("sent").inc(len(frame))
        self._metrics.peer_messages.labels("sent").inc()

    def receive(self) -> wire.PeerMessage:
        """Wait for the next message.

        Raises:
            PeerRejected: If the message is malformed.
            UnknownKind: If a later build may have sent the message.
        """
        frame = self._connection.recv()
        self._metrics.peer_bytes.labels("received").inc(len(frame))
        self._metrics.peer_messages.labels("received").inc()
        return wire.decode(frame)

    def resolve(self, answer: wire.Answer) -> None:
        """Deliver an answer to the waiting question; return a grant that came too late."""
        result = self._pending.pop(answer.number, None)
        if result is not None:
            result.set(answer)
        elif isinstance(answer, wire.Grant):
            self.decline(answer)

    def decline(self, grant: wire.Grant) -> None:
        """Return the permit of a grant that is no longer needed."""
        try:
            self.notify(wire.Return(grant.replica, grant.permit, grant.fence, 0))
        except PeerUnreachable:
            return

    def close(self) -> None:
        """Close the link and fail all questions that wait for an answer."""
        self.open = False
        for result in list(self._pending.values()):
            result.set_exception(PeerUnreachable(f"the link to {self.box} closed"))
        self._pending.clear()
        self._connection.close()

"""One request to one replica: sent, its own answer found, and read without trusting the framing."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import Deadline
from springrock.forwarding.connection import Connection, ConnectionPool
from springrock.forwarding.dialect import Dialect, SendTerms
from springrock.forwarding.errors import (
    AnswerBroken,
    ForeignAnswer,
    ReplicaChanged,
    ReplicaFull,
    SendingForbidden,
)
from springrock.forwarding.message import AnswerHead, ClientRequest

_MAX_SURPLUS_ANSWERS = 2
"""How many answers to earlier requests are read past on one connection."""

_SURPLUS_READ_TIMEOUT_S = 0.5

OnClose = Callable[[int, int], None]
"""Takes the bytes of a request, and those of the body of its answer as far as it was read."""


def _ignore_bytes(sent: int, received: int) -> None:
    """Take what nobody counts."""


def _ignore_head(head: AnswerHead) -> None:
    """Take what nobody learns from."""


class Answer:
    """An answer whose head came and was found to belong to the request.

    Attributes:
        head: Its head, as the replica sent it.
    """

    def __init__(
        self, head: AnswerHead, connection: Connection, pool: ConnectionPool, on_close: OnClose
    ) -> None:
        self.head = head
        self._connection = connection
        self._pool = pool
        self._on_close = on_close
        self._received_bytes = 0
        self._complete = False

    def read(self, *, timeout_s: float) -> bytes:
        """Return the next bytes of the body; empty at its whole end.

        Raises:
            AnswerBroken: If the body ended early.
            AnswerSilent: If nothing came in time.
        """
        if self._complete:
            return b""
        data = self._connection.read(timeout_s=timeout_s)
        self._complete = not data
        self._received_bytes += len(data)
        return data

    def read_all(self, *, deadline: Deadline) -> bytes:
        """Return the whole body.

        Raises:
            AnswerBroken: If the body ended early.
            AnswerSilent: If it was not whole in time.
        """
        chunks: list[bytes] = []
        while True:
            data = self.read(timeout_s=deadline.left_s)
            if not data:
                return b"".join(chunks)
            chunks.append(data)

    def close(self) -> None:
        """Keep the connection if the answer was read whole, else close it."""
        self._on_close(self._connection.sent_bytes, self._received_bytes)
        if self._complete:
            self._pool.give_back(self._connection)
        else:
            self._connection.close()


def exchange(
    request: ClientRequest,
    *,
    pool: ConnectionPool,
    terms: SendTerms,
    dialect: Dialect,
    repeatable: bool,
    head_timeout_s: float,
    may_send: Callable[[], bool] = lambda: True,
    on_close: OnClose = _ignore_bytes,
    on_head: Callable[[AnswerHead], None] = _ignore_head,
) -> Answer:
    """Send a request to a replica and return its answer, to be closed by the caller.

    Args:
        request: The client's request.
        pool: The connections to the replica.
        terms: What the request carries beside.
        dialect: Writes the request and reads the answer.
        repeatable: Whether the request may run again.
        head_within_s: How long the head of the answer may take.
        may_send: Whether the replica may get the request yet, asked once a connection stands: it
            may have been waited for.
        on_close: Called once the answer is closed.
        on_head: Called with the head of the request's own answer, whatever it says.

    Raises:
        ReplicaUnreachable: If nothing was sent.
        SendingForbidden: If nothing was sent, as it may not be any more.
        ReplicaFull: If the replica did not run it.
        ReplicaChanged: If the replica is another one or lacks what the request needs.
        OutcomeUnknown: If it may have run and no answer came.
    """
    connection = pool.acquire(conservative=not repeatable, timeout_s=head_timeout_s)
    if not may_send():
        connection.close()
        raise SendingForbidden("not to be sent there any more")
    try:
        connection.send(
            method=request.method,
            target=request.target,
            headers=dialect.request_headers(request, terms),
            body=request.body,
            timeout_s=head_timeout_s,
        )
        head = _receive_own_head(connection, request, dialect, Deadline(head_timeout_s))
        on_head(head)
        answer = Answer(head, connection, pool, on_close)
        if not dialect.not_run(head):
            return answer
        answer.read_all(deadline=Deadline(_SURPLUS_READ_TIMEOUT_S))
    except BaseException:
        connection.close()
        raise
    answer.close()
    if dialect.wrong_replica(head):
        raise ReplicaChanged(f"answered {head.status}")
    raise ReplicaFull(f"answered {head.status}")


def _receive_own_head(
    connection: Connection, request: ClientRequest, dialect: Dialect, deadline: Deadline
) -> AnswerHead:
    for _ in range(_MAX_SURPLUS_ANSWERS + 1):
        head = connection.receive_head(timeout_s=deadline.left_s)
        if dialect.answers(head, request.request_id):
            return head
        _discard_answer(connection)
    raise ForeignAnswer("only answers to other requests came")


def _discard_answer(connection: Connection) -> None:
    """Read a surplus answer to its end, after which the own answer may follow."""
    deadline = Deadline(_SURPLUS_READ_TIMEOUT_S)
    while connection.read(timeout_s=deadline.left_s):
        continue
    if not connection.reusable:
        raise AnswerBroken("the connection ends after a surplus answer")

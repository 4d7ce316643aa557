"""One exchange with a replica: sends a request and finds the answer that belongs to it.

The framing of answers is not trusted: answers to other requests are discarded, and a body that ends
early is an error.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from springrock.clock import Deadline
from springrock.forwarding.connection import Connection, ConnectionPool
from springrock.forwarding.dialect import Dialect, SendTerms
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    ConnectionRefused,
    ForeignAnswer,
    OutcomeUnknown,
    ReplicaChanged,
    ReplicaFull,
    ReplicaUnreachable,
    SendingForbidden,
)
from springrock.forwarding.message import AnswerHead, BodyEnd, ClientRequest

_MAX_SURPLUS_ANSWERS = 2
"""How many answers to earlier requests are discarded on a connection."""

_REFUSAL_READ_TIMEOUT_S = 0.5
"""Time for the rest of an answer that promises that nothing ran."""

_CONFIRM_TIMEOUT_S = 0.6
"""Time for the connection that confirms an answer without length, if reading took the rest."""

_MIN_CONFIRM_TIMEOUT_S = 0.02
"""Least time to open that connection."""

_CONFIRM_PAUSE_S = 0.05
"""Pause before it is tried again, as it may fail without any wait."""

OnClose = Callable[[int, int], None]
"""Receives the bytes of the request and the bytes read of the answer's body."""


def _ignore_bytes(sent: int, received: int) -> None:
    """Do nothing: the default of `on_close`."""


def _ignore_data() -> None:
    """Do nothing: the default of `on_data`."""


def _ignore_head(head: AnswerHead) -> None:
    """Do nothing: the default of `on_head`."""


class Answer:
    """An answer whose head has arrived and belongs to the request.

    Attributes:
        head: The head as the replica sent it.
    """

    def __init__(
        self,
        head: AnswerHead,
        connection: Connection,
        pool: ConnectionPool,
        on_close: OnClose,
        on_data: Callable[[], None] = _ignore_data,
    ) -> None:
        self.head = head
        self._on_data = on_data
        self._connection = connection
        self._pool = pool
        self._on_close = on_close
        self._received_bytes = 0
        self._ended = False
        self._complete = False

    def read(self, *, timeout_s: float) -> bytes:
        """Return the next bytes of the body; empty at its complete end.

        The end of an answer without length is confirmed by another connection to the replica, which
        may take as long as opening one. If it is not confirmed within the timeout, the next call
        asks again.

        Raises:
            AnswerBroken: If the body ended early.
            AnswerSilent: If nothing arrived within the timeout, or the end was not confirmed.
            AnswerTooLarge: If the framing of the body has too many bytes.
        """
        if self._complete:
            return b""
        deadline = Deadline(timeout_s)
        data = b""
        if not self._ended:
            data = self._connection.read(timeout_s=timeout_s)
            self._received_bytes += len(data)
            self._ended = not data
        if self._ended:
            least_s = min(_CONFIRM_TIMEOUT_S, max(_MIN_CONFIRM_TIMEOUT_S, timeout_s))
            self._confirm_end(Deadline(max(least_s, deadline.left_s)))
            self._complete = True
        self._on_data()
        return data

    @property
    def complete(self) -> bool:
        """Whether the body has been read to its complete end."""
        return self._complete

    def read_kept(self, max_bytes: int, *, deadline: Deadline) -> bytes:
        """Return the whole body, or its beginning if it has more than a number of bytes.

        Raises:
            AnswerBroken: If the body ended early.
            AnswerSilent: If neither was read by the deadline.
            AnswerTooLarge: If the framing of the body has too many bytes.
        """
        kept = bytearray()
        while len(kept) <= max_bytes:
            data = self.read(timeout_s=deadline.left_s)
            if not data:
                break
            kept += data
        return bytes(kept)

    def skip(self, *, deadline: Deadline) -> None:
        """Discard the body; the connection is not used again if it did not end by the deadline."""
        try:
            self._received_bytes += self._connection.discard_body(timeout_s=deadline.left_s)
        except OutcomeUnknown:
            return
        self._complete = True

    def _confirm_end(self, deadline: Deadline) -> None:
        """Return once the replica is known to have lived on after the end of the body.

        Only a body that ends with its connection may have been broken off by a crash. A refused
        connection shows one; one that does not open, as to a paused replica, shows nothing.

        Raises:
            AnswerBroken: If the replica refuses connections.
            AnswerSilent: If no connection opened by the deadline.
        """
        if self.head.body_end is not BodyEnd.CLOSE:
            return
        while True:
            try:
                # The connection that ended is to be replaced anyway.
                self._pool.open_spare(
                    ended=self._connection,
                    timeout_s=max(_MIN_CONFIRM_TIMEOUT_S, deadline.left_s),
                )
                return
            except ConnectionRefused as error:
                raise AnswerBroken(
                    "the answer ended with its connection, and its replica accepts no other: "
                    f"{error}"
                ) from None
            except ReplicaUnreachable as error:
                if deadline.left_s <= _CONFIRM_PAUSE_S:
                    raise AnswerSilent(
                        f"the answer ended with its connection, and no other opened: {error}"
                    ) from None
            time.sleep(_CONFIRM_PAUSE_S)

    def close(self) -> None:
        """Return the connection to the pool if the answer was read completely, else close it."""
        self._on_close(self._connection.sent_bytes, self._received_bytes)
        if self._complete:
            self._pool.release(self._connection)
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
    on_data: Callable[[], None] = _ignore_data,
) -> Answer:
    """Send a request to a replica and return its answer, to be closed by the caller.

    Args:
        request: The client's request.
        pool: The connections to the replica.
        terms: What is sent in addition to the client's request.
        dialect: Writes the request and reads the answer.
        repeatable: Whether the request may run more than once.
        head_timeout_s: Timeout for the head of the answer, from now on.
        may_send: Whether the replica may still be sent the request; asked once a connection is
            open, as opening it may have taken long.
        on_close: Called when the answer is closed.
        on_head: Called with the head of the request's own answer, whatever its status.
        on_data: Called when the head or a part of the body has arrived.

    Raises:
        ReplicaUnreachable: If nothing was sent.
        SendingForbidden: If nothing was sent, as `may_send` returned False.
        ReplicaFull: If the replica did not run the request.
        ReplicaChanged: If another replica answers at the address, or this one lacks what the
            request needs.
        OutcomeUnknown: If the request may have run and no answer arrived.
    """
    deadline = Deadline(head_timeout_s)
    connection = pool.acquire(
        request.request_id, conservative=not repeatable, timeout_s=head_timeout_s
    )
    if not may_send():
        connection.close()
        raise SendingForbidden("no longer allowed to be sent to this replica")
    try:
        connection.send(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=dialect.request_headers(request, terms),
            body=request.body,
            timeout_s=deadline.left_s,
        )
        head = _receive_own_head(connection, request, dialect, deadline)
        on_data()
        on_head(head)
        answer = Answer(head, connection, pool, on_close, on_data)
        if not dialect.not_run(head):
            if head.succeeded and not dialect.is_sealed(head):
                raise AnswerBroken("a success without the seal of a replica")
            return answer
        answer.skip(deadline=Deadline(_REFUSAL_READ_TIMEOUT_S))
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
        _discard_answer(connection, deadline)
    raise ForeignAnswer("received only answers to other requests")


def _discard_answer(connection: Connection, deadline: Deadline) -> None:
    """Read an answer to another request to its end; the own answer may follow it."""
    connection.discard_body(timeout_s=deadline.left_s)
    if not connection.reusable:
        raise AnswerBroken("the connection ends after an answer to another request")

"""Answers that arrive while the request is still being sent."""

from __future__ import annotations

import socket
from collections.abc import Callable

import gevent.socket
import pytest

from springrock.clock import Deadline
from springrock.errors import AnswerCut
from springrock.forwarding import connection as connection_module
from springrock.forwarding.configuration import RouteKind
from springrock.forwarding.connection import ConnectionPool
from springrock.forwarding.errors import AnswerBroken, ReplicaFull
from springrock.forwarding.exchange import exchange
from springrock.platform.dialect import PlatformDialect
from tests.early import (
    ENDS_IN_ORDER,
    LONG_UPLOAD,
    RESETS,
    EarlyReplica,
    answering_early,
    close_unread,
)
from tests.forwarding.scripted import SUCCESS, Script, read_request
from tests.forwarding.test_exchange import TERMS
from tests.forwarding.test_passing_on import HANDLED, ScriptedPeers, make_passing_on, progress_of
from tests.forwarding.test_streaming import EVENTS, HEAD, Stream, collect
from tests.forwarding.test_values import make_request

FAILURE = SUCCESS.replace(b"200 OK", b"500 Internal Server Error")
FULL = SUCCESS.replace(b"200 OK", b"503 Full") + b"Springrock-Not-Executed: 1\r\n"

End = Callable[[socket.socket], None]
every_reset = pytest.mark.parametrize("end", RESETS)


@pytest.fixture(autouse=True, params=["cooperative", "blocking"])
def sockets(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Use the sockets of a box, and those of the system."""
    if request.param == "cooperative":
        monkeypatch.setattr(connection_module, "socket", gevent.socket)


def accept_next(connection: socket.socket) -> None:
    """Keep the connection that confirms the end of an answer open."""
    read_request(connection)


def body_of_answer_to_upload(data: bytes, end: End) -> bytes:
    """Return the whole body of an early answer to a long upload."""
    with EarlyReplica(answering_early(data, end), accept_next) as replica:
        found = exchange(
            make_request(method="POST", body=LONG_UPLOAD),
            pool=ConnectionPool(replica.address),
            terms=TERMS,
            dialect=PlatformDialect(),
            repeatable=True,
            head_timeout_s=5.0,
        )
        try:
            return found.read_kept(2**20, deadline=Deadline(2.0))
        finally:
            found.close()


@every_reset
@pytest.mark.parametrize("head", [SUCCESS, FAILURE], ids=["success", "failure"])
@pytest.mark.parametrize("body", [b"part", b""], ids=["part", "no part"])
def test_an_early_answer_without_length_that_is_reset_is_broken(
    head: bytes, body: bytes, end: End
) -> None:
    with pytest.raises(AnswerBroken):
        body_of_answer_to_upload(head + b"\r\n" + body, end)


@every_reset
def test_an_early_answer_that_is_reset_inside_its_head_is_broken(end: End) -> None:
    with pytest.raises(AnswerBroken):
        body_of_answer_to_upload(SUCCESS, end)


@pytest.mark.parametrize("end", [*RESETS, *ENDS_IN_ORDER])
@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: 5\r\n\r\nwhole",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    ],
    ids=["length", "chunks"],
)
def test_an_early_answer_whose_framing_is_complete_is_whole(framed: bytes, end: End) -> None:
    assert body_of_answer_to_upload(SUCCESS + framed, end) == b"whole"


@pytest.mark.parametrize("end", ENDS_IN_ORDER)
def test_an_early_answer_without_length_that_ends_in_order_is_whole(end: End) -> None:
    assert body_of_answer_to_upload(SUCCESS + b"\r\nwhole", end) == b"whole"


@every_reset
def test_an_early_refusal_that_is_reset_still_promises_that_nothing_ran(end: End) -> None:
    with pytest.raises(ReplicaFull):
        body_of_answer_to_upload(FULL + b"\r\nfull", end)


def unframed_events(count: int) -> bytes:
    return HEAD + b"\r\n" + b"".join(EVENTS[:count])


def upload(*scripts: Script, resumable: bool) -> tuple[list[bytes], bool]:
    """Return the events of a stream that answers a long upload, and whether it was cut."""
    with EarlyReplica(*scripts) as replica:
        stream = Stream(replica.address, replica.address, resumable=resumable)
        stream.progress.request = make_request(method="POST", deadline_s=5.0, body=LONG_UPLOAD)
        return collect(stream.events())


@every_reset
def test_an_early_stream_that_is_reset_between_two_events_is_cut(end: End) -> None:
    received, cut = upload(answering_early(unframed_events(2), end), accept_next, resumable=False)
    assert b"".join(received) == b"".join(EVENTS[:2])
    assert cut


@every_reset
def test_an_early_answer_of_another_box_that_is_reset_is_unknown(end: End) -> None:
    data = SUCCESS + HANDLED + b"\r\npart"
    progress = progress_of()
    progress.request = make_request(method="POST", deadline_s=5.0, body=LONG_UPLOAD)
    with EarlyReplica(answering_early(data, end), accept_next) as box:
        reply = make_passing_on(ScriptedPeers(box.address)).forward(progress)
    assert reply is not None
    assert (reply.head.status, reply.reason) == (502, "outcome_unknown")


def test_an_early_stream_of_another_box_that_is_reset_is_cut() -> None:
    data = HEAD + HANDLED + b"\r\n" + b"".join(EVENTS[:2])
    progress = progress_of(RouteKind.STREAMING)
    progress.request = make_request(method="POST", deadline_s=5.0, body=LONG_UPLOAD)
    with EarlyReplica(answering_early(data, close_unread), accept_next) as box:
        reply = make_passing_on(ScriptedPeers(box.address)).forward(progress)
        assert reply is not None
        with pytest.raises(AnswerCut):
            list(reply.body)

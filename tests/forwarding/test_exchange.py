"""Exchanges with replicas that break the framing, answer other requests, or stop answering."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from springrock import turn
from springrock.clock import Deadline, monotonic
from springrock.forwarding.connection import ConnectionPool
from springrock.forwarding.dialect import SendTerms
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    AnswerTooLarge,
    ConnectionRefused,
    ForeignAnswer,
    OutcomeUnknown,
    ReplicaChanged,
    ReplicaFull,
    ReplicaUnreachable,
    SendingForbidden,
)
from springrock.forwarding.exchange import Answer, exchange
from springrock.forwarding.message import ClientRequest, Headers
from springrock.platform.dialect import PlatformDialect
from tests.forwarding.scripted import SUCCESS, Script, ScriptedReplica, answer, read_request, reset
from tests.processes import wait_until

TERMS = SendTerms(instance="i-1", left_s=5.0)


def request(request_id: str = "r1", *, body: bytes = b"") -> ClientRequest:
    return ClientRequest(
        request_id=request_id,
        method="POST",
        target="/a/b?c=d",
        host="calls.example",
        headers=Headers.from_pairs([("Springrock-Request-Id", request_id)]),
        body=body,
        received_at=monotonic(),
    )


def send(pool: ConnectionPool, request_id: str = "r1", *, repeatable: bool = True) -> Answer:
    return exchange(
        request(request_id),
        pool=pool,
        terms=TERMS,
        dialect=PlatformDialect(),
        repeatable=repeatable,
        head_timeout_s=2.0,
    )


def body_of(answer: Answer) -> bytes:
    try:
        return answer.read_kept(2**20, deadline=Deadline(2.0))
    finally:
        answer.close()


def test_a_closed_answer_reports_the_bytes_of_its_request_and_body() -> None:
    reported: list[tuple[int, int]] = []

    def script(connection: socket.socket) -> None:
        received_requests.append(read_request(connection))
        connection.sendall(answer("r1", b"x" * 100))

    received_requests: list[bytes] = []
    with ScriptedReplica(script) as replica:
        found = exchange(
            request(body=b"y" * 3000),
            pool=ConnectionPool(replica.address),
            terms=TERMS,
            dialect=PlatformDialect(),
            repeatable=True,
            head_timeout_s=2.0,
            on_close=lambda sent, received: reported.append((sent, received)),
        )
        assert reported == []
        assert body_of(found) == b"x" * 100
    assert reported == [(len(received_requests[0]), 100)]


def script_sending(data: bytes) -> Script:
    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)

    return _script


def test_a_complete_answer_is_read_and_its_connection_reused() -> None:
    def _answer_twice(connection: socket.socket) -> None:
        for request_id in ("r1", "r2"):
            read_request(connection)
            connection.sendall(answer(request_id, b"body of " + request_id.encode()))
        read_request(connection)

    with ScriptedReplica(_answer_twice) as replica:
        pool = ConnectionPool(replica.address)
        assert body_of(send(pool, "r1")) == b"body of r1"
        assert body_of(send(pool, "r2")) == b"body of r2"
        assert pool.opened == 1
        pool.close()


@pytest.mark.parametrize("status", ["100 Continue", "102 Processing", "103 Early Hints"])
def test_an_interim_answer_is_not_taken_for_the_answer(status: str) -> None:
    interim = f"HTTP/1.1 {status}\r\nLink: </style.css>\r\n\r\n".encode()
    with ScriptedReplica(script_sending(interim + answer("r1", b"own"))) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"own"


def test_a_head_with_too_many_lines_is_too_large() -> None:
    head = SUCCESS + b"X-More: x\r\n" * 200 + b"\r\n"
    with ScriptedReplica(script_sending(head)) as replica, pytest.raises(AnswerTooLarge):
        send(ConnectionPool(replica.address))


def test_a_head_that_does_not_end_in_time_is_too_large() -> None:
    def _trickle(connection: socket.socket) -> None:
        read_request(connection)
        with contextlib.suppress(OSError):
            for byte in SUCCESS * 10:
                connection.sendall(bytes([byte]))
                time.sleep(0.02)

    began_at = monotonic()
    with ScriptedReplica(_trickle) as replica, pytest.raises(AnswerTooLarge):
        send(ConnectionPool(replica.address))
    assert monotonic() - began_at < 2.5


def test_a_surplus_answer_before_the_own_one_is_discarded() -> None:
    surplus = answer("old", b"of another request")
    with ScriptedReplica(script_sending(surplus + answer("r1", b"own"))) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"own"


def test_a_large_surplus_answer_does_not_cost_the_own_one() -> None:
    surplus = answer("old", b"x" * 2**22)
    with ScriptedReplica(script_sending(surplus + answer("r1", b"own"))) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"own"


def test_a_silence_inside_a_surplus_answer_does_not_end_the_own_one() -> None:
    surplus = answer("old", b"of another request")

    def _pause(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(surplus[:-3])
        time.sleep(1.2)
        connection.sendall(surplus[-3:] + answer("r1", b"own"))

    with ScriptedReplica(_pause) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"own"


def test_a_surplus_answer_that_stays_silent_ends_the_exchange_with_its_timeout() -> None:
    def _stop(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(answer("old", b"of another request")[:-3])
        time.sleep(3.0)

    began_at = monotonic()
    with ScriptedReplica(_stop) as replica, pytest.raises(AnswerSilent):
        send(ConnectionPool(replica.address))
    assert 1.9 <= monotonic() - began_at < 2.8


def test_a_connection_with_surplus_bytes_is_not_reused() -> None:
    surplus = answer("r1", b"own") + answer("r1", b"again")
    with ScriptedReplica(
        script_sending(surplus), script_sending(answer("r2", b"second"))
    ) as replica:
        pool = ConnectionPool(replica.address)
        assert body_of(send(pool, "r1")) == b"own"
        assert body_of(send(pool, "r2")) == b"second"
        assert pool.opened == 2


LACKING = answer("r1", b"no", status="421 Misdirected Request")
FULL = answer("r1", b"no", "Springrock-Not-Executed: 1", status="503 Service Unavailable")


@pytest.mark.parametrize(
    "first",
    [LACKING, FULL, answer("r1", b"x", status="500 Failed")],
    ids=["lacks the adapter", "full", "failed"],
)
def test_a_late_copy_of_an_answer_is_not_taken_for_that_of_the_request_sent_again(
    first: bytes,
) -> None:
    """Guards against a second run after a copy of the answer that nothing ran."""

    def _copy_late(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(first)
        if read_request(connection):
            connection.sendall(first + answer("r1", b"run"))

    again = script_sending(answer("r1", b"run"))
    with ScriptedReplica(_copy_late, again, concurrent=True) as replica:
        pool = ConnectionPool(replica.address)
        try:
            body_of(send(pool, repeatable=False))
        except (ReplicaChanged, ReplicaFull):
            pass
        assert body_of(send(pool, repeatable=False)) == b"run"
        pool.close()


def test_a_connection_that_carried_an_id_is_kept_for_other_requests() -> None:
    def _answer_all(connection: socket.socket) -> None:
        while received := read_request(connection):
            request_id = "r1" if b"Request-Id: r1" in received else "r2"
            connection.sendall(answer(request_id, request_id.encode()))

    with ScriptedReplica(_answer_all, _answer_all, concurrent=True) as replica:
        pool = ConnectionPool(replica.address)
        for request_id, opened in (("r1", 1), ("r1", 2), ("r2", 2), ("r2", 2)):
            assert body_of(send(pool, request_id)) == request_id.encode()
            assert pool.opened == opened
        pool.close()


def test_a_connection_ends_after_a_bounded_number_of_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("springrock.forwarding.connection._MAX_REQUESTS", 2)

    def _answer_twice(connection: socket.socket) -> None:
        for request_id in ("r1", "r2"):
            read_request(connection)
            connection.sendall(answer(request_id, b"x"))
        assert read_request(connection) == b""

    with ScriptedReplica(_answer_twice, script_sending(answer("r3", b"x"))) as replica:
        pool = ConnectionPool(replica.address)
        for request_id in ("r1", "r2", "r3"):
            assert body_of(send(pool, request_id)) == b"x"
        assert pool.opened == 2


def test_an_exchange_fails_if_only_answers_to_other_requests_arrive() -> None:
    foreign = b"".join(answer(f"other-{number}", b"x") for number in range(4))
    with ScriptedReplica(script_sending(foreign)) as replica, pytest.raises(ForeignAnswer):
        send(ConnectionPool(replica.address))


@pytest.mark.parametrize(
    "data",
    [
        answer("r1", b"0123456789")[:-1],
        SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
        SUCCESS + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n0\r\n\r\n",
    ],
    ids=["length", "no last chunk", "no chunk size"],
)
def test_an_answer_cut_short_is_broken(data: bytes) -> None:
    with ScriptedReplica(script_sending(data)) as replica:
        found = send(ConnectionPool(replica.address))
        with pytest.raises(AnswerBroken):
            body_of(found)


@pytest.mark.parametrize(
    "data",
    [
        SUCCESS,
        SUCCESS + b"Content-Len",
        SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n0005\r\nabcde\r\n00",
    ],
    ids=["between headers", "inside a header", "inside a chunk size"],
)
def test_an_answer_cut_off_inside_a_line_of_its_framing_is_broken(data: bytes) -> None:
    still_alive = script_sending(b"")
    with ScriptedReplica(script_sending(data), still_alive) as replica, pytest.raises(AnswerBroken):
        body_of(send(ConnectionPool(replica.address)))


def test_an_answer_without_length_ends_with_its_connection() -> None:
    data = SUCCESS + b"\r\nall of it"
    with ScriptedReplica(script_sending(data)) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"all of it"


def test_an_answer_without_length_is_broken_if_its_replica_is_gone_at_the_end() -> None:
    def _crash(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(SUCCESS + b"\r\npart of it")
        replica.stop_listening()

    with ScriptedReplica(_crash) as replica, pytest.raises(AnswerBroken):
        body_of(send(ConnectionPool(replica.address)))


def test_an_answer_without_length_is_broken_if_its_replica_accepts_a_connection_as_it_dies() -> (
    None
):
    part = SUCCESS + b"\r\npart of it"

    def _die(connection: socket.socket) -> None:
        replica.stop_listening()

    with ScriptedReplica(script_sending(part), _die) as replica, pytest.raises(AnswerBroken):
        body_of(send(ConnectionPool(replica.address)))


class PausedReplica:
    """Sends an answer without length, ends its connection, and then accepts none for a time.

    Its queue of connections that are not accepted yet is full, so that its system answers none.

    Args:
        paused_s: How long it is paused.
        killed: Whether it is killed after that, instead of going on.
    """

    def __init__(self, *, paused_s: float, killed: bool = False) -> None:
        self._paused_s = paused_s
        self._killed = killed
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> PausedReplica:
        self._thread.start()
        return self

    def __exit__(self, *details: object) -> None:
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            read_request(connection)
            waiting = [self._fill_queue() for _ in range(4)]
            connection.sendall(SUCCESS + b"\r\nall of it")
        time.sleep(self._paused_s)
        if self._killed:
            self._listener.close()
            return
        accepted = []
        while True:
            try:
                accepted.append(self._listener.accept())
            except OSError:
                break
        del waiting, accepted

    def _fill_queue(self) -> socket.socket:
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(self._listener.getsockname())
        return client


def test_an_answer_without_length_waits_for_a_replica_that_is_paused_at_its_end() -> None:
    """Guards against taking a connection that is not accepted in time for a crash."""
    with PausedReplica(paused_s=1.9) as replica:
        began_at = monotonic()
        found = send(ConnectionPool(replica.address))
        try:
            assert found.read_kept(2**20, deadline=Deadline(10.0)) == b"all of it"
        finally:
            found.close()
    assert monotonic() - began_at > 1.8, "the replica was not paused"


def test_a_replica_that_refuses_connections_after_a_silence_has_broken_its_answer() -> None:
    with PausedReplica(paused_s=1.0, killed=True) as replica:
        began_at = monotonic()
        found = send(ConnectionPool(replica.address))
        with pytest.raises(AnswerBroken):
            found.read_kept(2**20, deadline=Deadline(10.0))
        found.close()
    assert monotonic() - began_at < 3.0


def test_the_end_of_an_answer_that_was_not_confirmed_in_time_is_asked_for_again() -> None:
    with PausedReplica(paused_s=1.9) as replica:
        found = send(ConnectionPool(replica.address))
        assert found.read(timeout_s=2.0) == b"all of it"
        began_at = monotonic()
        with pytest.raises(AnswerSilent):
            found.read(timeout_s=0.3)
        assert monotonic() - began_at < 1.0
        assert found.read(timeout_s=5.0) == b""
        found.close()


def test_the_end_of_a_connection_to_a_replica_that_is_gone_is_no_sign_of_life() -> None:
    def _crash(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(SUCCESS + b"\r\n")
        replica.stop_listening()

    heard: list[None] = []
    with ScriptedReplica(_crash) as replica:
        found = exchange(
            request(),
            pool=ConnectionPool(replica.address),
            terms=TERMS,
            dialect=PlatformDialect(),
            repeatable=True,
            head_timeout_s=2.0,
            on_data=lambda: heard.append(None),
        )
        assert len(heard) == 1, "the head"
        with pytest.raises(AnswerBroken):
            body_of(found)
    assert len(heard) == 1


def test_the_connection_that_confirms_an_answer_without_length_carries_the_next_request() -> None:
    data = SUCCESS + b"\r\nall of it"
    with ScriptedReplica(script_sending(data), script_sending(answer("r2", b"x"))) as replica:
        pool = ConnectionPool(replica.address)
        assert body_of(send(pool)) == b"all of it"
        assert body_of(send(pool, "r2")) == b"x"
        assert pool.opened == 2


def test_a_connection_opened_to_confirm_an_answer_is_kept_no_longer_than_the_one_before() -> None:
    data = SUCCESS + b"Keep-Alive: timeout=0\r\n\r\nall of it"
    own = script_sending(answer("r2", b"x"))
    with ScriptedReplica(script_sending(data), own, own) as replica:
        pool = ConnectionPool(replica.address)
        assert body_of(send(pool)) == b"all of it"
        assert body_of(send(pool, "r2", repeatable=False)) == b"x"
        assert pool.opened == 3


def test_a_refusal_without_length_needs_no_confirmation() -> None:
    def _refuse(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(
            b"HTTP/1.1 503 Full\r\nSpringrock-Request-Id: r1\r\n"
            b"Springrock-Not-Executed: 1\r\n\r\nfull"
        )
        replica.stop_listening()

    with ScriptedReplica(_refuse) as replica:
        pool = ConnectionPool(replica.address)
        with pytest.raises(ReplicaFull):
            send(pool)
        assert pool.opened == 1


@pytest.mark.parametrize(
    "body",
    [b"Content-Length: 10\r\n\r\nfu", b"Transfer-Encoding: chunked\r\n\r\n5\r\nfu"],
    ids=["length", "chunks"],
)
def test_a_refusal_whose_body_is_cut_short_still_promises_that_nothing_ran(body: bytes) -> None:
    refusal = (
        b"HTTP/1.1 503 Full\r\nSpringrock-Request-Id: r1\r\nSpringrock-Not-Executed: 1\r\n" + body
    )
    own = script_sending(answer("r2", b"x"))
    with ScriptedReplica(script_sending(refusal), own) as replica:
        pool = ConnectionPool(replica.address)
        with pytest.raises(ReplicaFull):
            send(pool, repeatable=False)
        assert body_of(send(pool, "r2")) == b"x"
        assert pool.opened == 2


def test_an_answer_without_length_that_is_reset_is_broken() -> None:
    read = threading.Event()

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(SUCCESS + b"\r\npart")
        read.wait(5)
        reset(connection)

    with ScriptedReplica(_script) as replica:
        found = send(ConnectionPool(replica.address))
        assert found.read(timeout_s=2.0) == b"part"
        read.set()
        with pytest.raises(AnswerBroken):
            found.read(timeout_s=2.0)


def test_bytes_that_are_not_http_are_a_broken_answer() -> None:
    with (
        ScriptedReplica(script_sending(b"\x00\x01nonsense\r\n\r\n")) as replica,
        pytest.raises(AnswerBroken),
    ):
        send(ConnectionPool(replica.address))


def test_a_close_without_an_answer_leaves_the_outcome_unknown() -> None:
    with ScriptedReplica(lambda connection: None) as replica, pytest.raises(AnswerBroken):
        send(ConnectionPool(replica.address))


def test_a_timeout_is_distinguished_from_a_broken_answer() -> None:
    finished = threading.Event()

    def _never_answer(connection: socket.socket) -> None:
        read_request(connection)
        finished.wait(5)

    with ScriptedReplica(_never_answer) as replica:
        with pytest.raises(AnswerSilent):
            exchange(
                request(),
                pool=ConnectionPool(replica.address),
                terms=TERMS,
                dialect=PlatformDialect(),
                repeatable=True,
                head_timeout_s=0.1,
            )
        finished.set()


def test_a_request_to_a_closed_port_was_not_sent() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    with pytest.raises(ReplicaUnreachable):
        send(ConnectionPool(f"127.0.0.1:{port}"))


def test_a_request_is_not_sent_if_it_is_forbidden_once_the_connection_is_open() -> None:
    received_requests: list[bytes] = []

    def _read(connection: socket.socket) -> None:
        received_requests.append(read_request(connection))

    with ScriptedReplica(_read) as replica:
        pool = ConnectionPool(replica.address)
        with pytest.raises(SendingForbidden):
            exchange(
                request(),
                pool=pool,
                terms=TERMS,
                dialect=PlatformDialect(),
                repeatable=True,
                head_timeout_s=2.0,
                may_send=lambda: pool.opened == 0,
            )
        wait_until(lambda: replica.ended == 1, what="the connection is closed")
    assert received_requests == [b""]


def test_the_reasons_why_a_request_did_not_run_are_distinguished() -> None:
    full = answer("r1", b"", "Springrock-Not-Executed: 1", status="503 Service Unavailable")
    with ScriptedReplica(script_sending(full)) as replica, pytest.raises(ReplicaFull):
        send(ConnectionPool(replica.address))
    other = answer("r1", b"", "Springrock-Instance-Id: i-2", status="421 Misdirected Request")
    with ScriptedReplica(script_sending(other)) as replica, pytest.raises(ReplicaChanged):
        send(ConnectionPool(replica.address))


def test_a_failure_that_does_not_exclude_a_run_is_an_answer() -> None:
    data = answer("r1", b"", status="503 Service Unavailable")
    with ScriptedReplica(script_sending(data)) as replica:
        assert send(ConnectionPool(replica.address)).head.status == 503


def test_an_idle_connection_that_the_replica_closed_is_not_used() -> None:
    with ScriptedReplica(
        script_sending(answer("r1", b"1")), script_sending(answer("r2", b"2"))
    ) as replica:
        pool = ConnectionPool(replica.address)
        assert body_of(send(pool, "r1")) == b"1"
        wait_until(lambda: replica.ended == 1, what="the replica closes the connection")
        assert body_of(send(pool, "r2", repeatable=False)) == b"2"
        assert pool.opened == 2


def test_a_refused_connection_is_distinguished_from_an_unreachable_replica() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    with pytest.raises(ConnectionRefused):
        send(ConnectionPool(f"{host}:{port}"))


SOUND_HEADS = [
    SUCCESS + b"Date: now\r\n" + framing + b"\r\n"
    for framing in (b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n", b"")
]


@pytest.mark.parametrize("sound", SOUND_HEADS, ids=["length", "chunks", "close"])
def test_no_head_with_one_wrong_byte_makes_a_success_that_is_not_the_replica_s(
    sound: bytes,
) -> None:
    """Guards against an answer without its seal, or with the sizes of its chunks in its body."""
    body = b"4\r\nbody\r\n0\r\n\r\n" if b"chunked" in sound else b"body"
    colons = [at for at, byte in enumerate(sound) if byte == ord(":")]
    for at in [*colons, *range(len(b"HTTP/1.1 200"))]:
        spoilt = sound[:at] + b"\x1a" + sound[at + 1 :]
        with (
            ScriptedReplica(script_sending(spoilt + body), script_sending(b"")) as replica,
            pytest.raises(OutcomeUnknown),
        ):
            body_of(send(ConnectionPool(replica.address)))


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: four\r\n",
        b"Content-Length: -4\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Content-Length : 4\r\n",
        b"Content-Length: 4\r\n folded\r\n",
        b"X-One: a\rX-Two: b\r\n",
        b": 4\r\n",
    ],
)
def test_an_answer_whose_head_leaves_its_framing_in_doubt_is_broken(framing: bytes) -> None:
    data = SOUND_HEADS[2].removesuffix(b"\r\n") + framing + b"\r\nbody"
    with (
        ScriptedReplica(script_sending(data), script_sending(b"")) as replica,
        pytest.raises(AnswerBroken),
    ):
        body_of(send(ConnectionPool(replica.address)))


def test_a_success_without_its_seal_is_broken() -> None:
    data = answer("r1", b"body").replace(b"Response-Seal", b"Response-Sfal")
    with ScriptedReplica(script_sending(data)) as replica, pytest.raises(AnswerBroken):
        send(ConnectionPool(replica.address))


def test_an_interim_answer_comes_before_the_own_one() -> None:
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + answer("r1", b"body")
    with ScriptedReplica(script_sending(data)) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"body"


CHUNKED = SUCCESS + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (b"", answer("r1", b"body")),
        (SUCCESS[:30], answer("r1", b"body")[30:]),
        (answer("r1", b"body")[:-2], b"dy"),
        (CHUNKED + b"2\r\nb", b"o\r\n2\r\ndy\r\n0\r\n\r\n"),
        (CHUNKED + b"2\r\nbo\r\n", b"2\r\ndy\r\n0\r\n\r\n"),
        (CHUNKED + b"2\r\nbo\r\n2", b"\r\ndy\r\n0\r\n\r\n"),
        (CHUNKED + b"4\r\nbody\r\n", b"0\r\n\r\n"),
        (SUCCESS + b"\r\nbo", b"dy"),
    ],
    ids=[
        "before the head",
        "inside the head",
        "inside the body",
        "inside a chunk",
        "between chunks",
        "inside the size of a chunk",
        "before the last chunk",
        "inside a body without length",
    ],
)
def test_a_silence_of_the_replica_does_not_end_its_answer(before: bytes, after: bytes) -> None:
    def _pause(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(before)
        time.sleep(1.9)
        connection.sendall(after)

    with ScriptedReplica(_pause, script_sending(b"")) as replica:
        found = exchange(
            request(),
            pool=ConnectionPool(replica.address),
            terms=TERMS,
            dialect=PlatformDialect(),
            repeatable=True,
            head_timeout_s=5.0,
        )
        try:
            assert found.read_kept(2**20, deadline=Deadline(5.0)) == b"body"
        finally:
            found.close()


def test_a_kept_connection_is_reused_without_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    pauses: list[float] = []
    monkeypatch.setattr(turn.gevent, "sleep", pauses.append)
    monkeypatch.setattr(turn, "_TURN_S", 0.4)

    def _answer_twice(connection: socket.socket) -> None:
        for request_id in ("r1", "r2"):
            read_request(connection)
            connection.sendall(answer(request_id, b"body"))
        read_request(connection)

    with ScriptedReplica(_answer_twice) as replica:
        pool = ConnectionPool(replica.address)
        for request_id in ("r1", "r2"):
            assert body_of(send(pool, request_id)) == b"body"
            time.sleep(0.5)
        assert pool.opened == 1
    assert pauses == []


def test_a_replica_that_is_paused_inside_a_head_is_silent_and_sends_no_head_without_end() -> None:
    def _begin_and_pause(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(SUCCESS[:40])
        time.sleep(3.0)

    with ScriptedReplica(_begin_and_pause) as replica, pytest.raises(AnswerSilent):
        send(ConnectionPool(replica.address))


@pytest.mark.parametrize("value", ["\xb2", "9" * 400, "1.5", ""])
def test_an_idle_timeout_that_is_no_number_does_not_harm_its_answer(value: str) -> None:
    before = b"Content-Length"
    line = f"Keep-Alive: timeout={value}\r\n".encode("latin-1")
    data = answer("r1", b"own").replace(before, line + before)
    with ScriptedReplica(script_sending(data)) as replica:
        assert body_of(send(ConnectionPool(replica.address))) == b"own"

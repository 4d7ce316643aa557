"""A whole answer has one bound in time and in bytes; sound answers are read as ever."""

from __future__ import annotations

import socket
import tracemalloc
from collections.abc import Callable

import pytest
import urllib3

from springrock.strict_http import strict_pool_manager
from tests.early import (
    ENDS_IN_ORDER,
    LONG_UPLOAD,
    RESETS,
    EarlyReplica,
    answering_early,
)
from tests.endless import (
    CHUNKED,
    ENDLESS,
    FLOODS,
    SENDING_S,
    ending_within,
    endless,
    other_tasks_running,
)
from tests.forwarding.scripted import Script, ScriptedReplica, answer, read_request

TIMEOUT_S = 0.4
MAX_ANSWER_BYTES = 1_048_576
UNBOUNDED = 2**40


def get(replica: ScriptedReplica, *, max_answer_bytes: int = MAX_ANSWER_BYTES) -> bytes:
    pool = strict_pool_manager(max_answer_bytes=max_answer_bytes)
    return pool.request("GET", f"http://{replica.address}/", timeout=TIMEOUT_S).data


@pytest.mark.parametrize(("first", "block", "pause_s"), ENDLESS)
def test_an_answer_without_end_ends_by_its_deadline(
    first: bytes, block: bytes, pause_s: float
) -> None:
    with (
        ScriptedReplica(endless(first, block, pause_s)) as replica,
        ending_within(TIMEOUT_S + 0.5),
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        get(replica)


@pytest.mark.parametrize("what", ["interim heads", "early hints", "trailers"])
def test_bytes_that_are_no_body_do_not_outlast_the_deadline(what: str) -> None:
    with (
        ScriptedReplica(endless(*FLOODS[what])) as replica,
        ending_within(TIMEOUT_S + 0.5),
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        get(replica, max_answer_bytes=UNBOUNDED)


@pytest.mark.parametrize("what", FLOODS)
def test_an_answer_without_end_holds_bounded_memory(what: str) -> None:
    with ScriptedReplica(endless(*FLOODS[what])) as replica:
        tracemalloc.start()
        try:
            with pytest.raises(urllib3.exceptions.HTTPError):
                get(replica)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak_bytes < 10 * MAX_ANSWER_BYTES


@pytest.mark.parametrize("what", ["chunks", "trailers", "a body without length"])
def test_other_tasks_run_while_an_answer_keeps_coming(what: str) -> None:
    with (
        ScriptedReplica(endless(*FLOODS[what])) as replica,
        other_tasks_running(),
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        get(replica)


def test_the_error_names_the_bound_in_bytes() -> None:
    with (
        ScriptedReplica(endless(*FLOODS["chunks"])) as replica,
        pytest.raises(urllib3.exceptions.HTTPError, match=f"more than {MAX_ANSWER_BYTES} by"),
    ):
        get(replica)


@pytest.mark.parametrize("size", [2**33, 2**50, 2**63])
@pytest.mark.parametrize(
    "head",
    [
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{size:x}\r\n",
    ],
    ids=["length", "chunk"],
)
def test_an_answer_that_announces_more_than_fits_into_memory_is_too_large(
    head: str, size: int
) -> None:
    data = head.format(size=size).encode()
    with (
        ScriptedReplica(_answering(data)) as replica,
        pytest.raises(urllib3.exceptions.HTTPError, match=f"{size} bytes, of which"),
    ):
        get(replica)


def test_the_error_names_the_bound_in_time() -> None:
    with (
        ScriptedReplica(endless(CHUNKED, b"1\r\n \r\n", 0.02)) as replica,
        pytest.raises(urllib3.exceptions.ReadTimeoutError, match="timed out"),
    ):
        get(replica)


def test_the_connection_of_an_answer_without_end_is_closed() -> None:
    replica = ScriptedReplica(endless(*FLOODS["trailers"]), _answering(answer("", b"next")))
    with replica, ending_within(SENDING_S - 0.5):
        pool = strict_pool_manager(max_answer_bytes=MAX_ANSWER_BYTES)
        url = f"http://{replica.address}/"
        with pytest.raises(urllib3.exceptions.HTTPError):
            pool.request("GET", url, timeout=TIMEOUT_S)
        assert pool.request("GET", url, timeout=5.0).data == b"next"


def _answering(data: bytes) -> Script:
    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)

    return _script


LARGE = bytes(900_000)


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (answer("", LARGE), LARGE),
        (CHUNKED + b"%x\r\n%s\r\n0\r\n\r\n" % (len(LARGE), LARGE), LARGE),
        (CHUNKED + b"2\r\n{}\r\n0\r\nA: 1\r\nB: 2\r\n\r\n", b"{}"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + answer("", b"{}"), b"{}"),
        (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer("", b"{}"), b"{}"),
        (b"HTTP/1.1 200 OK\r\n\r\n" + LARGE, LARGE),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE, LARGE),
    ],
    ids=["length", "chunk", "trailers", "continue", "hints", "until the end", "closing"],
)
def test_a_sound_answer_is_whole(data: bytes, body: bytes) -> None:
    with ScriptedReplica(_answering(data)) as replica:
        assert get(replica) == body


def test_a_connection_is_reused_after_each_of_many_answers() -> None:
    opened = []

    def _script(connection: socket.socket) -> None:
        opened.append(connection)
        while read_request(connection):
            connection.sendall(b"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("", LARGE))

    with ScriptedReplica(_script, _script) as replica:
        pool = strict_pool_manager(max_answer_bytes=MAX_ANSWER_BYTES)
        for _ in range(5):
            found = pool.request("GET", f"http://{replica.address}/", timeout=5.0)
            assert found.data == LARGE
    assert len(opened) == 1


End = Callable[[socket.socket], None]


def upload(data: bytes, end: End) -> bytes:
    """Return the body of an answer that arrives while a long upload is being sent."""
    with EarlyReplica(answering_early(data, end)) as replica:
        pool = strict_pool_manager(max_answer_bytes=MAX_ANSWER_BYTES)
        url = f"http://{replica.address}/"
        return pool.request("POST", url, body=LONG_UPLOAD, timeout=5.0).data


@pytest.mark.parametrize("end", RESETS)
@pytest.mark.parametrize("body", [b"part", b""], ids=["part", "no part"])
def test_an_early_answer_without_length_that_is_reset_is_broken(body: bytes, end: End) -> None:
    with pytest.raises(urllib3.exceptions.HTTPError):
        upload(b"HTTP/1.1 200 OK\r\n\r\n" + body, end)


@pytest.mark.parametrize("end", [*RESETS, *ENDS_IN_ORDER])
@pytest.mark.parametrize(
    "data",
    [answer("", b"whole"), CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n"],
    ids=["length", "chunks"],
)
def test_an_early_answer_whose_framing_is_complete_is_whole(data: bytes, end: End) -> None:
    assert upload(data, end) == b"whole"


@pytest.mark.parametrize("end", ENDS_IN_ORDER)
def test_an_early_answer_without_length_that_ends_in_order_is_whole(end: End) -> None:
    assert upload(b"HTTP/1.1 200 OK\r\n\r\nwhole", end) == b"whole"


def test_a_reset_of_one_connection_does_not_break_answers_on_the_next() -> None:
    early = answering_early(b"HTTP/1.1 200 OK\r\n\r\npart", RESETS[0])
    with EarlyReplica(early, _answering(b"HTTP/1.1 200 OK\r\n\r\nwhole")) as replica:
        pool = strict_pool_manager(max_answer_bytes=MAX_ANSWER_BYTES)
        url = f"http://{replica.address}/"
        with pytest.raises(urllib3.exceptions.HTTPError):
            pool.request("POST", url, body=LONG_UPLOAD, timeout=5.0)
        assert pool.request("GET", url, timeout=5.0).data == b"whole"

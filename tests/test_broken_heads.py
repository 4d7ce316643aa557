"""No reader takes an answer with a broken head for one."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pytest
import urllib3

from springrock.answer_head import MalformedHead, check_lines
from springrock.clock import Deadline
from springrock.drivers.engine import EngineDriver
from springrock.drivers.service import ServiceDriver
from springrock.errors import PlatformUnavailable, StatementError, UpstreamBroke
from springrock.forwarding.configuration import RouteKind
from springrock.forwarding.connection import ConnectionPool
from springrock.forwarding.errors import OutcomeUnknown
from springrock.forwarding.exchange import exchange
from springrock.operator_client import send_statement
from springrock.placement.control import ControlUnanswered, OrderKind
from springrock.platform.dialect import PlatformDialect
from springrock.platform.engine import PlatformEngines
from springrock.platform.store import PlatformStore
from springrock.rows import RowStoreUnavailable
from springrock.settings import UpstreamSection
from springrock.strict_http import strict_pool_manager
from springrock.wire import engine as wire
from springrock.wire.operator import StatementAnswer, StatementRequest
from tests.broken_heads import (
    HEADERS,
    ODD_LINES,
    SOME_ODD_LINES,
    STATUSES,
    cut_heads,
    with_line,
    with_status,
)
from tests.forwarding.scripted import Script, ScriptedReplica, answer, read_request, reset
from tests.forwarding.test_exchange import TERMS
from tests.forwarding.test_passing_on import HANDLED, ScriptedPeers, make_passing_on, progress_of
from tests.forwarding.test_streaming import EVENTS, Stream
from tests.forwarding.test_values import make_request
from tests.platform.test_engine import order
from tests.test_http_platform import platform_at

ORDERED = wire.Order(kind="load_adapter", fence=1, adapter="a1")
STATEMENT = StatementRequest(statement="show boxes", command_id="c1", wait_s=0.0)


class Reader(NamedTuple):
    """Something that reads an answer.

    Attributes:
        read: Reads the answer from an address, and returns its body or what it holds.
        body: The body of a sound answer.
        error: What it raises if there is no answer.
        headers: What the head of a sound answer has besides.
    """

    read: Callable[[str], object]
    body: bytes
    error: type[Exception]
    headers: bytes = HEADERS


def _read_replica(address: str) -> bytes:
    found = exchange(
        make_request(),
        pool=ConnectionPool(address),
        terms=TERMS,
        dialect=PlatformDialect(),
        repeatable=True,
        head_timeout_s=2.0,
    )
    try:
        return found.read_kept(2**20, deadline=Deadline(2.0))
    finally:
        found.close()


def _read_stream(address: str) -> bytes:
    return b"".join(Stream(address, resumable=False).events())


def _read_other_box(address: str) -> bytes:
    reply = make_passing_on(ScriptedPeers(address)).forward(progress_of())
    assert reply is not None
    if reply.reason:
        raise OutcomeUnknown(reply.reason)
    return b"".join(reply.body)


def _read_stream_of_other_box(address: str) -> bytes:
    reply = make_passing_on(ScriptedPeers(address)).forward(progress_of(RouteKind.STREAMING))
    assert reply is not None
    if reply.reason:
        raise OutcomeUnknown(reply.reason)
    return b"".join(reply.body)


def _upstream(address: str) -> UpstreamSection:
    return UpstreamSection(name="u-1", availability_zone="zone-1", address=address)


def _read_pool(address: str) -> bytes:
    pool = strict_pool_manager(max_answer_bytes=1_000)
    return pool.request("GET", f"http://{address}/", timeout=2.0).data


READERS = {
    "replica": Reader(_read_replica, b"body", OutcomeUnknown),
    "stream": Reader(_read_stream, b"".join(EVENTS), OutcomeUnknown),
    "other box": Reader(_read_other_box, b"body", OutcomeUnknown, HEADERS + HANDLED),
    "stream of other box": Reader(
        _read_stream_of_other_box, b"".join(EVENTS), OutcomeUnknown, HEADERS + HANDLED
    ),
    "pool": Reader(_read_pool, b"body", urllib3.exceptions.HTTPError),
    "service": Reader(
        lambda address: ServiceDriver(_upstream(address)).call(
            "GET", "/x", body=b"", headers={}, timeout_s=2.0
        ),
        b"body",
        UpstreamBroke,
    ),
    "engine's answer to an order": Reader(
        lambda address: EngineDriver(_upstream(address)).order(ORDERED),
        msgspec.json.encode(wire.OrderAnswer(done=True, fence=1)),
        UpstreamBroke,
    ),
    "engine's adapters": Reader(
        lambda address: EngineDriver(_upstream(address)).loaded(),
        msgspec.json.encode(wire.LoadedAdapters(boot_id="b", fence=1, adapters=[], loading=[])),
        UpstreamBroke,
    ),
    "report": Reader(
        lambda address: PlatformEngines().report(address, instance="i-1"),
        b'{"sequence": 4}',
        ControlUnanswered,
    ),
    "order": Reader(
        lambda address: PlatformEngines().order(
            address, instance="i-1", order=order(OrderKind.LOAD)
        ),
        b"{}",
        ControlUnanswered,
    ),
    "changes": Reader(
        lambda address: PlatformStore(address).changes("t", after=0, wait_s=0.0),
        b'{"ver": 7, "rows": []}',
        RowStoreUnavailable,
    ),
    "write": Reader(
        lambda address: PlatformStore(address).write("t", "k", b"v", expected=0),
        b'{"ver": 7, "rows": []}',
        RowStoreUnavailable,
    ),
    "listing": Reader(
        lambda address: platform_at(address).listing(),
        b'{"entries": []}',
        PlatformUnavailable,
    ),
    "object": Reader(
        lambda address: platform_at(address).get_object("o"), b"object", PlatformUnavailable
    ),
    "statement": Reader(
        lambda address: send_statement(address, STATEMENT, key=""),
        msgspec.json.encode(StatementAnswer(text="none")),
        StatementError,
    ),
}
every_reader = pytest.mark.parametrize("reader", READERS.values(), ids=READERS)
both_parsers = pytest.mark.parametrize(
    "reader", [READERS["replica"], READERS["pool"]], ids=["replica", "pool"]
)
MAX_CONNECTIONS = 4
"""The most that a reader opens: for retries, or to confirm an end."""


def sending(data: bytes, *, then: Script | None = None) -> Script:
    def _script(connection: socket.socket) -> None:
        if read_request(connection):
            connection.sendall(data)
            if then is not None:
                then(connection)

    return _script


def read(reader: Reader, data: bytes, *, then: Script | None = None) -> object:
    with ScriptedReplica(*[sending(data, then=then)] * MAX_CONNECTIONS, concurrent=True) as peer:
        return reader.read(peer.address)


def assert_none_read(reader: Reader, data: bytes, *, then: Script | None = None) -> None:
    try:
        found = read(reader, data, then=then)
    except reader.error:
        return
    raise AssertionError(f"read {found!r} from {data!r}")


@every_reader
def test_a_sound_answer_is_read(reader: Reader) -> None:
    read(reader, with_status("200", reader.body, headers=reader.headers))


@every_reader
@pytest.mark.parametrize("status", STATUSES)
def test_an_answer_with_a_status_that_is_none_is_broken(reader: Reader, status: str) -> None:
    assert_none_read(reader, with_status(status, reader.body, headers=reader.headers))


@both_parsers
@pytest.mark.parametrize("status", STATUSES)
def test_an_interim_answer_with_a_status_that_is_none_breaks_the_answer(
    reader: Reader, status: str
) -> None:
    interim = f"HTTP/1.1 {status} X\r\n\r\n".encode()
    assert_none_read(reader, interim + with_status("200", reader.body, headers=reader.headers))


@every_reader
@pytest.mark.parametrize("line", SOME_ODD_LINES)
def test_an_answer_with_an_odd_name_in_its_head_is_broken(reader: Reader, line: bytes) -> None:
    for data in with_line(line, reader.body, headers=reader.headers):
        assert_none_read(reader, data)


@both_parsers
def test_no_byte_that_names_may_not_have_passes_in_one(reader: Reader) -> None:
    for line in ODD_LINES:
        for data in with_line(line, reader.body):
            assert_none_read(reader, data)


@both_parsers
@pytest.mark.parametrize("line", SOME_ODD_LINES)
def test_an_odd_name_in_the_head_of_an_interim_answer_breaks_the_answer(
    reader: Reader, line: bytes
) -> None:
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + b"\r\n"
    assert_none_read(reader, interim + with_status("200", reader.body, headers=reader.headers))


@every_reader
@pytest.mark.parametrize("line", [b"\nX-Odd: 1\r\n", b"X Odd: 1\r\n"])
def test_an_odd_name_in_the_head_of_an_answer_without_length_breaks_it(
    reader: Reader, line: bytes
) -> None:
    head = b"HTTP/1.1 200 OK\r\n" + reader.headers + line + b"\r\n"
    assert_none_read(reader, head + reader.body)


@pytest.mark.parametrize("then", [None, reset], ids=["closed", "reset"])
@every_reader
def test_an_answer_cut_off_inside_its_head_is_broken(reader: Reader, then: Script | None) -> None:
    for data in cut_heads(headers=reader.headers):
        assert_none_read(reader, data, then=then)


@both_parsers
def test_an_answer_cut_off_inside_the_head_of_an_interim_answer_is_broken(reader: Reader) -> None:
    head = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    for size in range(len(head) + 1):
        assert_none_read(reader, head[:size])


CHUNKED = b"HTTP/1.1 200 OK\r\n" + HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
BROKEN_CHUNKS = {
    "prefix": b"0x4\r\nbody\r\n0\r\n\r\n",
    "sign": b"+4\r\nbody\r\n0\r\n\r\n",
    "underscore": b"0_4\r\nbody\r\n0\r\n\r\n",
    "blank before": b" 4\r\nbody\r\n0\r\n\r\n",
    "form feed": b"4\x0c\r\nbody\r\n0\r\n\r\n",
    "negative": b"-4\r\nbody\r\n0\r\n\r\n",
    "last with a sign": b"2\r\nbo\r\n-0\r\n\r\ndy\r\n",
    "last with a prefix": b"2\r\nbo\r\n0x0\r\n\r\ndy\r\n",
    "no end of a chunk": b"4\r\nbodyXX0\r\n\r\n",
    "a size that is too small": b"2\r\nbody0\r\n\r\n",
    "a line feed after a chunk": b"4\r\nbody\n0\r\n\r\n",
}


@both_parsers
@pytest.mark.parametrize("body", BROKEN_CHUNKS.values(), ids=BROKEN_CHUNKS)
def test_an_answer_with_broken_chunks_is_broken(reader: Reader, body: bytes) -> None:
    assert_none_read(reader, CHUNKED + body)


@pytest.mark.parametrize("body", BROKEN_CHUNKS.values(), ids=BROKEN_CHUNKS)
def test_an_answer_that_is_read_in_parts_with_broken_chunks_is_broken(body: bytes) -> None:
    def _read_in_parts(address: str) -> bytes:
        pool = strict_pool_manager(max_answer_bytes=1_000)
        response = pool.request("GET", f"http://{address}/", timeout=2.0, preload_content=False)
        return b"".join(response.stream(3))

    assert_none_read(READERS["pool"]._replace(read=_read_in_parts), CHUNKED + body)


@both_parsers
@pytest.mark.parametrize(
    "body",
    [
        b"4\r\nbody\r\n0\r\n\r\n",
        b"2\r\nbo\r\n02\r\ndy\r\n000\r\n\r\n",
        b"4 ;name=value\r\nbody\r\n0;last\r\n\r\n",
        b"1\r\nb\r\n3\r\nody\r\n0\r\nTrailer: 1\r\n\r\n",
        b"4\nbody\r\n0\n\n",
    ],
    ids=["one", "two", "extensions", "trailer", "line feeds"],
)
def test_an_answer_in_chunks_is_read(reader: Reader, body: bytes) -> None:
    assert read(reader, CHUNKED + body) == b"body"


@both_parsers
def test_an_answer_whose_lines_all_end_with_a_line_feed_is_whole(reader: Reader) -> None:
    assert read(reader, with_status("200", b"body").replace(b"\r\n", b"\n")) == b"body"


@pytest.mark.parametrize(
    "lines",
    [
        [b"HTTP/1.1 200 OK\r\n", b"A: 1\n", b"\r\n"],
        [b"HTTP/1.1 200 OK\n", b"A: 1\r\n", b"\n"],
        [b"HTTP/1.1 200 OK\r\n", b"A: 1\r\n", b"\n"],
        [b"HTTP/1.1 200 OK\n", b"A: 1\n", b"\r\n"],
        [b"HTTP/1.1 103 Hints\n", b"\n", b"HTTP/1.1 200 OK\r\n", b"\n"],
    ],
)
def test_the_lines_of_a_head_end_alike(lines: list[bytes]) -> None:
    with pytest.raises(MalformedHead):
        check_lines(lines)


def test_each_head_has_line_ends_of_its_own() -> None:
    check_lines([b"HTTP/1.1 103 Hints\n", b"\n", b"HTTP/1.1 200 OK\r\n", b"A: 1\r\n", b"\r\n"])


def test_the_answer_of_scripted_replicas_is_sound() -> None:
    """Guards the other tests, which change it in one place."""
    assert read(READERS["replica"], answer("r1", b"body")) == b"body"

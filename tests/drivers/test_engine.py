"""The driver of engines: streams, orders and reports that do not end."""

from __future__ import annotations

import socket
import threading
import time
import tracemalloc

import msgspec
import pytest

from springrock.drivers.engine import EngineDriver, EngineStream
from springrock.errors import SpringrockError, UpstreamBroke
from springrock.settings import UpstreamSection
from springrock.wire import engine as wire
from tests.endless import (
    CHUNKED,
    FLOODS,
    SENDING_S,
    TRICKLE_PAUSE_S,
    ending_within,
    endless,
    other_tasks_running,
)
from tests.forwarding.scripted import Script, ScriptedReplica, answer, read_request

REQUEST = wire.EngineRequest(
    model="base", request_id="r1", max_tokens=100, prompt="p", repeatable=True
)
TIMEOUT_S = 0.4
REPORT_TIMEOUT_S = 2.0
MAX_EVENT_BYTES = 1_048_576


def driver_for(replica: ScriptedReplica) -> EngineDriver:
    section = UpstreamSection(name="engine-1", availability_zone="zone-1", address=replica.address)
    return EngineDriver(section)


def event(position: int, *, is_last: bool = False) -> bytes:
    choice = wire.Choice(text="t", finish_reason="stop" if is_last else None)
    return wire.encode_event(msgspec.json.encode(wire.Chunk("r1", "base", position, [choice])))


def in_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_all(stream: EngineStream) -> list[bytes]:
    return [event.raw for event in stream]


def sending(*parts: bytes, pause_s: float = 0.0) -> Script:
    def _script(connection: socket.socket) -> None:
        while read_request(connection):
            for part in parts:
                connection.sendall(part)
                time.sleep(pause_s)

    return _script


@pytest.mark.parametrize(
    "what", ["interim heads", "early hints", "a status line", "a header", "a head, trickled"]
)
def test_a_stream_whose_head_does_not_end_is_broken_in_time(what: str) -> None:
    parts = FLOODS.get(what, (b"HTTP/1.1 200 OK\r\nName: ", b"x"))
    script = endless(*parts, TRICKLE_PAUSE_S if what.endswith("trickled") else 0.0)
    with (
        ScriptedReplica(script) as replica,
        ending_within(TIMEOUT_S + 0.5),
        pytest.raises(UpstreamBroke),
    ):
        driver_for(replica).begin(REQUEST, timeout_s=TIMEOUT_S)


FRAMINGS = {
    "an event": (CHUNKED, in_chunk(b"x" * 4096)),
    "an event without chunks": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 4096),
    "a chunk size": (CHUNKED, b"0" * 1000),
    "trailers": (CHUNKED + in_chunk(event(0)) + b"0\r\n", b"Name: value\r\n" * 100),
}


@pytest.mark.parametrize("what", FRAMINGS)
def test_a_stream_without_the_end_of_an_event_is_broken(what: str) -> None:
    with ScriptedReplica(endless(*FRAMINGS[what])) as replica:
        tracemalloc.start()
        try:
            with ending_within(SENDING_S - 0.5), other_tasks_running():
                stream = driver_for(replica).begin(REQUEST)
                with pytest.raises(UpstreamBroke):
                    read_all(stream)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak_bytes < 8 * MAX_EVENT_BYTES


@pytest.mark.parametrize(
    ("block", "pause_s"),
    [
        (in_chunk(event(0)) * 100, 0.0),
        (in_chunk(event(0)), TRICKLE_PAUSE_S),
        (in_chunk(b"x") * 1000, 0.0),
        (in_chunk(b"x"), TRICKLE_PAUSE_S),
    ],
    ids=["events", "slow events", "chunks of one byte", "slow chunks of one byte"],
)
def test_a_stream_that_keeps_coming_ends_when_it_is_aborted(block: bytes, pause_s: float) -> None:
    """Guards against a connection that is shut down, and read while bytes keep coming."""
    with ScriptedReplica(endless(CHUNKED, block, pause_s)) as replica:
        stream = driver_for(replica).begin(REQUEST)
        timer = threading.Timer(TIMEOUT_S, stream.abort)
        timer.start()
        with ending_within(TIMEOUT_S + 0.5), pytest.raises(UpstreamBroke):
            read_all(stream)
        timer.join()


def test_a_stream_that_goes_on_after_its_closing_event_is_whole_and_its_connection_closed() -> None:
    whole = in_chunk(event(0, is_last=True) + wire.encode_event(wire.DONE))
    chatty = endless(CHUNKED + whole + b"0\r\n", b"Name: value\r\n" * 100)
    sound = sending(CHUNKED + whole + b"0\r\n\r\n")
    with ScriptedReplica(chatty, sound) as replica, ending_within(SENDING_S - 0.5):
        driver = driver_for(replica)
        for _ in range(2):
            stream = driver.begin(REQUEST)
            assert len(read_all(stream)) == 2
            with ending_within(0.5):
                stream.close()


def test_a_stream_that_stays_open_after_its_closing_event_is_whole() -> None:
    def _stay_open(connection: socket.socket) -> None:
        read_request(connection)
        whole = event(0, is_last=True) + wire.encode_event(wire.DONE)
        connection.sendall(CHUNKED + in_chunk(whole))
        connection.settimeout(SENDING_S)
        connection.recv(1)

    with ScriptedReplica(_stay_open) as replica:
        stream = driver_for(replica).begin(REQUEST)
        assert len(read_all(stream)) == 2
        with ending_within(0.5):
            stream.close()


@pytest.mark.parametrize("what", FLOODS)
def test_a_report_without_end_is_none_in_time(what: str) -> None:
    with (
        ScriptedReplica(endless(*FLOODS[what])) as replica,
        ending_within(REPORT_TIMEOUT_S + 0.5),
        pytest.raises(UpstreamBroke),
    ):
        driver_for(replica).loaded()


@pytest.mark.parametrize("what", ["interim heads", "chunks", "trailers"])
def test_an_answer_without_end_confirms_no_cancellation(what: str) -> None:
    with (
        ScriptedReplica(endless(*FLOODS[what])) as replica,
        ending_within(REPORT_TIMEOUT_S + 0.5),
    ):
        assert not driver_for(replica).cancel("r1")


@pytest.mark.parametrize(
    ("block", "pause_s"), [(b" " * 10_000, 0.0), (b" ", TRICKLE_PAUSE_S)], ids=["flood", "trickle"]
)
def test_the_reason_of_a_refusal_is_not_waited_for_without_end(
    block: bytes, pause_s: float
) -> None:
    head = b"HTTP/1.1 500 Failed\r\n\r\n"
    with (
        ScriptedReplica(endless(head, block, pause_s)) as replica,
        ending_within(REPORT_TIMEOUT_S + 0.5),
        pytest.raises(UpstreamBroke, match="status 500"),
    ):
        driver_for(replica).begin(REQUEST)


def test_a_sound_stream_is_whole() -> None:
    tokens = [event(position) for position in range(20)]
    last = event(20, is_last=True) + wire.encode_event(wire.DONE)
    answers = [
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n" + CHUNKED,
        in_chunk(b"".join(tokens[:10])),
        *[in_chunk(token) for token in tokens[10:]],
        in_chunk(last[:-1]),
        in_chunk(last[-1:]),
        b"0\r\nName: value\r\nOther: value\r\n\r\n",
    ]
    script = sending(*answers, pause_s=0.01)
    with ScriptedReplica(script, script) as replica:
        driver = driver_for(replica)
        for _ in range(2):
            stream = driver.begin(REQUEST, timeout_s=5.0)
            assert len(read_all(stream)) == 22
            stream.close()


def test_a_stream_without_chunks_and_the_largest_event_are_read() -> None:
    choice = wire.Choice(text="t" * (MAX_EVENT_BYTES - 200), finish_reason="stop")
    large = wire.encode_event(msgspec.json.encode(wire.Chunk("r1", "base", 0, [choice])))
    data = large + wire.encode_event(wire.DONE)
    for head, body in (
        (CHUNKED, in_chunk(data) + b"0\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", data),
    ):

        def _script(connection: socket.socket, *, sent: bytes = head + body) -> None:
            read_request(connection)
            connection.sendall(sent)

        with ScriptedReplica(_script) as replica:
            assert read_all(driver_for(replica).begin(REQUEST))[0] == large


def test_the_reason_of_a_refusal_is_read() -> None:
    data = answer("", b'{"reason": "adapter not loaded"}', status="409 Conflict")
    with (
        ScriptedReplica(sending(data)) as replica,
        pytest.raises(SpringrockError, match="adapter not loaded"),
    ):
        driver_for(replica).begin(REQUEST)

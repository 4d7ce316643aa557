"""Calls to the platform's engines, and the notices in their answers."""

from __future__ import annotations

import gzip
import json
import socket
import tracemalloc

import pytest

from springrock.forwarding.dialect import ReplicaNotice
from springrock.forwarding.message import AdapterKey
from springrock.placement.control import ControlUnanswered, Order, OrderAnswer, OrderKind
from springrock.platform.engine import PlatformEngines
from tests.endless import ENDLESS, FLOODS, ending_within, endless, other_tasks_running
from tests.forwarding.scripted import Script, ScriptedReplica, answer, read_request

REPORT = b'{"sequence": 4}'
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.12


@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
def test_the_answer_to_a_report_call_announces_that_the_engine_leaves(status: str) -> None:
    reported: list[tuple[str, ReplicaNotice]] = []

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(answer("", REPORT, "Server-Leaving: 1", status=status))

    engines = PlatformEngines(
        notice_handler_for=lambda replica_id: lambda notice: reported.append((replica_id, notice))
    )
    with ScriptedReplica(_script) as replica:
        if status.startswith("200"):
            assert engines.report(replica.address, instance="i-1").sequence == 4
        else:
            with pytest.raises(ControlUnanswered):
                engines.report(replica.address, instance="i-1")
    assert reported == [("i-1", ReplicaNotice(leaving=True))]


DONE = answer("", b"{}")
ACCEPTED = answer("", b"{}", status="202 Accepted")


def order(kind: OrderKind) -> Order:
    return Order(kind, AdapterKey("base", "a1"), 1, 4, "box-1", 7)


def copying_late(first: bytes, then: bytes) -> Script:
    """Return a script that sends its first answer again before the second one."""

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(first)
        if read_request(connection):
            connection.sendall(first + then)

    return _script


def answering(data: bytes) -> Script:
    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(data)

    return _script


@pytest.mark.parametrize("first", [OrderKind.LOAD, OrderKind.UNLOAD])
def test_a_late_copy_of_an_answer_does_not_pass_for_that_to_an_order_to_unload(
    first: OrderKind,
) -> None:
    """Guards against a place that is taken for free while its adapter is still used."""
    scripts = (copying_late(DONE, ACCEPTED), answering(ACCEPTED))
    with ScriptedReplica(*scripts, concurrent=True) as replica:
        engines = PlatformEngines()
        answers = [
            engines.order(replica.address, instance="i-1", order=order(kind))
            for kind in (first, OrderKind.UNLOAD)
        ]
    assert answers == [OrderAnswer.DONE, OrderAnswer.ACCEPTED]


def test_an_unload_a_load_and_its_confirmation_in_turn_need_two_connections() -> None:
    opened = []

    def _script(connection: socket.socket) -> None:
        opened.append(connection)
        is_first = len(opened) == 1
        while received := read_request(connection):
            accepted = is_first and b'"operation":"load"' in received
            connection.sendall(ACCEPTED if accepted else DONE)

    with ScriptedReplica(*[_script] * 4, concurrent=True) as replica:
        engines = PlatformEngines()
        for _ in range(5):
            answers = [
                engines.order(replica.address, instance="i-1", order=order(kind))
                for kind in (OrderKind.UNLOAD, OrderKind.LOAD, OrderKind.LOAD)
            ]
            assert answers == [OrderAnswer.DONE, OrderAnswer.ACCEPTED, OrderAnswer.DONE]
    assert len(opened) == 2


def test_a_late_copy_of_a_report_does_not_pass_for_the_answer_to_an_order() -> None:
    report = answer("", REPORT)
    scripts = (copying_late(report, ACCEPTED), answering(ACCEPTED))
    with ScriptedReplica(*scripts, concurrent=True) as replica:
        engines = PlatformEngines()
        assert engines.report(replica.address, instance="i-1").sequence == 4
        answered = engines.order(replica.address, instance="i-1", order=order(OrderKind.LOAD))
    assert answered is OrderAnswer.ACCEPTED


def test_an_answer_with_a_malformed_head_is_none() -> None:
    spoilt = DONE.replace(b"Content-Length:", b"Content-Length\x1a")
    with ScriptedReplica(answering(spoilt)) as replica, pytest.raises(ControlUnanswered):
        PlatformEngines().order(replica.address, instance="i-1", order=order(OrderKind.UNLOAD))


@pytest.mark.parametrize(("first", "block", "pause_s"), ENDLESS)
def test_a_report_without_end_is_none_in_time(first: bytes, block: bytes, pause_s: float) -> None:
    with (
        ScriptedReplica(endless(first, block, pause_s)) as replica,
        ending_within(REPORT_TIMEOUT_S + 0.5),
        pytest.raises(ControlUnanswered),
    ):
        PlatformEngines().report(replica.address, instance="i-1")


@pytest.mark.parametrize("what", ["interim heads", "trailers", "chunks"])
def test_an_answer_to_an_order_without_end_is_none_in_time(what: str) -> None:
    with (
        ScriptedReplica(endless(*FLOODS[what])) as replica,
        ending_within(ORDER_TIMEOUT_S + 0.5),
        pytest.raises(ControlUnanswered),
    ):
        PlatformEngines().order(replica.address, instance="i-1", order=order(OrderKind.UNLOAD))


def test_other_tasks_run_while_a_report_keeps_coming() -> None:
    with (
        ScriptedReplica(endless(*FLOODS["chunks"])) as replica,
        other_tasks_running(),
        pytest.raises(ControlUnanswered),
    ):
        PlatformEngines().report(replica.address, instance="i-1")


def test_a_compressed_report_does_not_grow_in_memory() -> None:
    packed = gzip.compress(bytes(50_000_000))
    data = answer("", packed, "Content-Encoding: gzip")
    with ScriptedReplica(answering(data)) as replica:
        tracemalloc.start()
        try:
            with pytest.raises(ControlUnanswered):
                PlatformEngines().report(replica.address, instance="i-1")
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
    assert peak_bytes < 5_000_000


def test_a_long_report_is_read_in_one_piece() -> None:
    adapters = [f"adapter-{number:06}@1" for number in range(20_000)]
    model = {"name": "base", "version": 1, "adapters": adapters}
    report = json.dumps({"sequence": 4, "models": [model]}).encode()
    with ScriptedReplica(answering(answer("", report))) as replica:
        state = PlatformEngines().report(replica.address, instance="i-1")
    assert len(state.adapters) >= len(adapters)

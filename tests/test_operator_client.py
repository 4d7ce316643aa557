"""The operator's client is not held by a box whose answer does not end."""

from __future__ import annotations

import socket

import msgspec
import pytest

from springrock.errors import StatementError
from springrock.operator_client import send_statement
from springrock.wire.operator import StatementAnswer, StatementRequest
from tests.endless import CHUNKED, FLOODS, TRICKLE_PAUSE_S, ending_within, endless
from tests.forwarding.scripted import ScriptedReplica, answer, read_request

TIMEOUT_S = 0.3
ATTEMPTS = 3
REQUEST = StatementRequest(statement="show boxes", command_id="c1", wait_s=0.0)


@pytest.mark.parametrize(
    ("first", "block", "pause_s"),
    [
        (*FLOODS["interim heads"], 0.0),
        (*FLOODS["trailers"], 0.0),
        (CHUNKED, b"1\r\n \r\n", TRICKLE_PAUSE_S),
    ],
    ids=["interim heads", "trailers", "trickled chunks"],
)
def test_an_answer_without_end_is_an_error_in_time(
    first: bytes, block: bytes, pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("springrock.operator_client._TIMEOUT_S", TIMEOUT_S)
    script = endless(first, block, pause_s)
    with (
        ScriptedReplica(*[script] * ATTEMPTS, concurrent=True) as box,
        ending_within(ATTEMPTS * TIMEOUT_S + 0.5),
        pytest.raises(StatementError),
    ):
        send_statement(box.address, REQUEST, key="")


def test_a_long_answer_is_read() -> None:
    found = StatementAnswer(columns=["box"], rows=[[f"box-{number}"] for number in range(100_000)])

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(answer("", msgspec.json.encode(found)))

    with ScriptedReplica(_script) as box:
        assert send_statement(box.address, REQUEST, key="") == found

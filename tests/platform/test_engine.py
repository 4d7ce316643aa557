"""Calls to the platform's engines, and the notices in their answers."""

from __future__ import annotations

import socket

import pytest

from springrock.forwarding.dialect import ReplicaNotice
from springrock.placement.control import ControlUnanswered
from springrock.platform.engine import PlatformEngines
from tests.forwarding.scripted import ScriptedReplica, answer, read_request

REPORT = b'{"sequence": 4}'


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

"""Plain services that refuse calls and state for how long they want a backoff."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest
from expression import Result

from springrock.coordination.claims import Claims
from springrock.drivers.service import ServiceAnswer
from springrock.errors import Cause, Refusal, RunState
from springrock.log import Log
from springrock.serving.services import Services
from springrock.settings import PoolSection, UpstreamSection
from springrock.wire.caller import Terms
from tests.forwarding.scripted import ScriptedReplica, answer, read_request

POOL = "rosters"
BACKOFF_S = 30.0
TERMS = Terms("r1", "calls", 5.0, 1.0, 0, True)


class Service:
    """A service that gives the same answer to every call, and counts the calls."""

    def __init__(self, status: str, *headers: str) -> None:
        self._answer = answer("r1", b"{}", "Connection: close", *headers, status=status)
        self.calls = 0
        self.replica = ScriptedReplica(*[self._serve] * 20)

    def _serve(self, connection: socket.socket) -> None:
        if read_request(connection):
            self.calls += 1
            connection.sendall(self._answer)


@pytest.fixture
def backing_off() -> Iterator[Service]:
    service = Service("503 Service Unavailable", f"Retry-After: {BACKOFF_S}")
    with service.replica:
        yield service


@pytest.fixture
def serving() -> Iterator[Service]:
    service = Service("200 OK")
    with service.replica:
        yield service


def make_services(*scripted: Service) -> Services:
    # The first replica is in the box's own zone, so that it is called first.
    replicas = [
        UpstreamSection(
            name=f"r-{number}", availability_zone=f"zone-{number}", address=service.replica.address
        )
        for number, service in enumerate(scripted, start=1)
    ]
    return Services(
        zone="zone-1",
        pools=[PoolSection(name=POOL, driver="service", replicas=replicas)],
        claims=cast(Claims, None),
        out_of_service=lambda name: False,
        log=Log("services", "box-1"),
    )


def call(services: Services) -> Result[ServiceAnswer, Refusal]:
    arguments: dict[str, Any] = {
        "body": b"",
        "content_type": "application/json",
        "request_id": "r1",
    }
    return services.call(POOL, "POST", "/x", terms=TERMS, **arguments)


def test_a_service_that_requested_a_backoff_is_not_called_again(
    backing_off: Service, serving: Service
) -> None:
    services = make_services(backing_off, serving)
    assert all(call(services).is_ok() for _ in range(5))
    assert backing_off.calls == 1
    assert serving.calls == 5


def test_calls_are_refused_with_the_time_left_while_all_replicas_back_off(
    backing_off: Service,
) -> None:
    services = make_services(backing_off)
    refusals = [call(services).error for _ in range(3)]
    assert backing_off.calls == 1
    for refusal in refusals:
        assert refusal.cause is Cause.UPSTREAM_REFUSED
        assert refusal.run_state is RunState.NOT_RUN
        assert BACKOFF_S - 5.0 < refusal.retry_after_s <= BACKOFF_S


def test_a_service_that_states_no_valid_backoff_is_called_again() -> None:
    service = Service("503 Service Unavailable", "Retry-After: soon")
    with service.replica:
        services = make_services(service)
        assert call(services).is_error()
        before = service.calls
        assert call(services).is_error()
        assert service.calls > before

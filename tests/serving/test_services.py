"""Plain services that turn calls away and say for how long they want rest."""

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
REST_S = 30.0
TERMS = Terms("r1", "calls", 5.0, 1.0, 0, True)


class Service:
    """A service that answers every call alike, and counts them."""

    def __init__(self, status: str, *headers: str) -> None:
        self._answer = answer("r1", b"{}", "Connection: close", *headers, status=status)
        self.calls = 0
        self.replica = ScriptedReplica(*[self._serve] * 20)

    def _serve(self, connection: socket.socket) -> None:
        if read_request(connection):
            self.calls += 1
            connection.sendall(self._answer)


@pytest.fixture
def resting() -> Iterator[Service]:
    service = Service("503 Service Unavailable", f"Retry-After: {REST_S}")
    with service.replica:
        yield service


@pytest.fixture
def serving() -> Iterator[Service]:
    service = Service("200 OK")
    with service.replica:
        yield service


def make_services(*of: Service) -> Services:
    # The zone of the first is the box's own, so that it is tried first.
    replicas = [
        UpstreamSection(
            name=f"r-{number}", availability_zone=f"zone-{number}", address=service.replica.address
        )
        for number, service in enumerate(of, start=1)
    ]
    return Services(
        zone="zone-1",
        pools=[PoolSection(name=POOL, driver="service", replicas=replicas)],
        claims=cast(Claims, None),
        out_of_service=lambda name: False,
        log=Log("services", "box-1"),
    )


def call(services: Services) -> Result[ServiceAnswer, Refusal]:
    more: dict[str, Any] = {"body": b"", "content_type": "application/json", "request_id": "r1"}
    return services.call(POOL, "POST", "/x", terms=TERMS, **more)


def test_a_service_that_asked_for_rest_is_called_once(resting: Service, serving: Service) -> None:
    services = make_services(resting, serving)
    assert all(call(services).is_ok() for _ in range(5))
    assert resting.calls == 1
    assert serving.calls == 5


def test_where_all_ask_for_rest_a_call_is_refused_at_once_and_told_when_it_is_over(
    resting: Service,
) -> None:
    services = make_services(resting)
    refusals = [call(services).error for _ in range(3)]
    assert resting.calls == 1
    for refusal in refusals:
        assert refusal.cause is Cause.UPSTREAM_REFUSED
        assert refusal.run_state is RunState.NOT_RUN
        assert REST_S - 5.0 < refusal.retry_after_s <= REST_S


def test_a_service_that_names_no_time_is_tried_again() -> None:
    service = Service("503 Service Unavailable", "Retry-After: soon")
    with service.replica:
        services = make_services(service)
        assert call(services).is_error()
        before = service.calls
        assert call(services).is_error()
        assert service.calls > before

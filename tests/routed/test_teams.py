"""Teams and their keys with separate processes: who is served, and for how long after a removal."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from springrock.clock import monotonic
from springrock.forwarding.configuration import Team
from springrock.quotas.shares import QuotaTerms, limits_of_zone
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, ROUTES, ZONES, Answer, Deployment, route

REVOKE_S = 3.0
KEYS = (
    "key-of-one-4f1d",
    "key-of-two-93ab",
    "key-that-goes-77c0",
    "key-of-few-51ce",
    "key-of-nobody-0b1e",
)
ONE, TWO, GOES, FEW, NOBODY = KEYS
FEW_PER_S = 8
TENANTS = [
    {"name": "one", "apiKeys": [ONE, GOES], "priority": 1},
    {"name": "two", "apiKeys": [TWO]},
    {"name": "few", "apiKeys": [FEW], "ratePerS": FEW_PER_S, "burst": FEW_PER_S},
    {"name": "idle", "apiKeys": []},
]
ALL_ROUTES = [*ROUTES, route("open", "safe", "rosters", public=True)]


class Teams(Deployment):
    """A deployment with teams, whose keys may be taken away."""

    def send_as(self, key: str | None, path: str = "/lookup/x", **options: Any) -> Answer:
        headers = {} if key is None else {"Api-Key": key}
        headers["Springrock-Tenant"] = "whoever-the-client-says"
        box = options.pop("box", "box-1")
        return self.send(box, path, more_headers=headers, **options)

    def allow(self, *, goes: bool) -> None:
        """Write a configuration with or without the key that is taken away."""
        first, *others = TENANTS
        keys = [ONE, GOES] if goes else [ONE]
        self.tenants = [{**first, "apiKeys": keys}, *others]
        self.configure(ALL_ROUTES)

    def wait_served(self, key: str, *, box: str = "box-1") -> None:
        wait_until(
            lambda: self.send_as(key, box=box).status == 200, what=f"a key is served by {box}"
        )


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Teams]:
    settings = {"keys": {"revoke_s": REVOKE_S}}
    with Teams(tmp_path_factory.mktemp("teams"), more_settings=settings) as deployment:
        deployment.allow(goes=True)
        deployment.wait_ready(replicas=REPLICAS)
        yield deployment
        assert deployment.violations() == {}


@pytest.fixture(autouse=True)
def _healed(deployment: Teams) -> Iterator[None]:
    yield
    for name in deployment.addresses:
        deployment.fault(name)
    deployment.allow(goes=True)
    for box in deployment.clients:
        deployment.wait_served(GOES, box=box)


def test_a_replica_is_told_the_team_of_the_key_whatever_the_client_says(
    deployment: Teams,
) -> None:
    for key, team in ((ONE, "one"), (TWO, "two")):
        request_id = deployment.new_id()
        assert deployment.send_as(key, request_id=request_id).status == 200
        assert deployment.team_told(request_id) == team


def test_a_stream_that_is_resumed_stays_with_its_team(deployment: Teams) -> None:
    headers = {"Api-Key": TWO}
    deployment.served("box-1", "/items/x", adapter="a1", more_headers=headers)
    for engine in deployment.holders("a1"):
        deployment.fault(engine, cut_after=2)
    request_id = deployment.new_id()
    answer = deployment.send_as(TWO, "/items/x", adapter="a1", request_id=request_id)
    assert answer.event_ids == [1, 2, 3, 4, 5]
    assert deployment.team_told(request_id) == "two"


@pytest.mark.parametrize("key", [None, NOBODY])
def test_without_a_known_key_nothing_runs(deployment: Teams, key: str | None) -> None:
    request_id = deployment.new_id()
    answer = deployment.send_as(key, request_id=request_id)
    assert (answer.status, answer.headers.get("Retry-After")) == (401, None)
    assert deployment.runs(request_id) == 0


def test_two_keys_are_malformed(deployment: Teams) -> None:
    connection = deployment.connect("box-1")
    connection.putrequest("GET", "/lookup/x")
    connection.putheader("Springrock-Request-Id", deployment.new_id())
    connection.putheader("Api-Key", ONE)
    connection.putheader("Api-Key", TWO)
    connection.endheaders()
    assert connection.getresponse().status == 400


def test_a_public_route_needs_no_key(deployment: Teams) -> None:
    for key, team in ((None, ""), (NOBODY, ""), (ONE, "one")):
        request_id = deployment.new_id()
        assert deployment.send_as(key, "/open/x", request_id=request_id).status == 200
        assert deployment.team_told(request_id) == team


def test_a_key_that_is_taken_away_is_rejected_and_one_that_is_added_is_served(
    deployment: Teams,
) -> None:
    deployment.allow(goes=False)
    for box in deployment.clients:
        wait_until(
            lambda box=box: deployment.send_as(GOES, box=box).status == 401,
            what=f"{box} rejects the key",
        )
    deployment.wait_served(ONE)


def test_a_box_that_cannot_read_the_store_stops_serving_keys_and_goes_on_with_public_routes(
    deployment: Teams,
) -> None:
    deployment.fault("store", busy=True)
    deployment.allow(goes=False)
    taken_away_at = monotonic()
    statuses: dict[str, set[int]] = {box: set() for box in deployment.clients}
    while monotonic() < taken_away_at + REVOKE_S + 0.5:
        for box in deployment.clients:
            sent_at = monotonic()
            status = deployment.send_as(GOES, box=box).status
            statuses[box].add(status)
            assert status != 200 or sent_at <= taken_away_at + REVOKE_S
        time.sleep(0.05)
    assert all(503 in seen for seen in statuses.values())
    assert deployment.send_as(None, "/open/x").status == 200
    deployment.fault("store")
    wait_until(lambda: deployment.send_as(GOES).status == 401, what="the removal is known")
    deployment.wait_served(ONE)


def test_a_box_that_stood_still_does_not_serve_a_key_that_was_taken_away(
    deployment: Teams,
) -> None:
    deployment.wait_served(GOES)
    frozen = "box-1"
    deployment.processes.signal(frozen, signal.SIGSTOP)
    deployment.allow(goes=False)
    time.sleep(REVOKE_S)
    request_id = deployment.new_id()
    answers: list[Answer] = []
    client = threading.Thread(
        target=lambda: answers.append(deployment.send_as(GOES, request_id=request_id))
    )
    client.start()
    time.sleep(0.1)
    deployment.processes.signal(frozen, signal.SIGCONT)
    client.join()
    assert answers[0].status in (401, 503)
    assert deployment.runs(request_id) == 0


def most_in(seconds: float) -> float:
    """What the team may be served in a span of time, at all boxes together."""
    team = Team(name="few", rate=FEW_PER_S, burst=FEW_PER_S)
    part = limits_of_zone(team, QuotaTerms(window_s=8.0, overage=0.0, slack=0.0, zones=len(ZONES)))
    return len(ZONES) * (part.depth + part.rate * seconds)


def press(deployment: Teams, *, for_s: float) -> tuple[list[Answer], float]:
    """Send far more than a team may, at all boxes; return the answers and how long it took."""
    answers: list[Answer] = []
    began_at = monotonic()

    def _press(box: str) -> None:
        while monotonic() < began_at + for_s:
            answers.append(deployment.send_as(FEW, box=box))

    clients = [threading.Thread(target=_press, args=(box,)) for box in deployment.clients]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    return answers, monotonic() - began_at


def test_a_team_beyond_its_quota_is_told_when_to_come_back(deployment: Teams) -> None:
    deployment.wait_served(FEW)
    answers, took_s = press(deployment, for_s=3.0)
    served = sum(answer.status == 200 for answer in answers)
    assert served <= most_in(took_s)
    assert served >= FEW_PER_S * 2, "what flows in is handed out, whichever zone has it"
    over = [answer for answer in answers if answer.status == 429]
    assert len(over) == len(answers) - served
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in over)
    deployment.wait_served(ONE)


def test_a_placer_that_stands_still_hands_out_nothing_twice(deployment: Teams) -> None:
    placer, other = deployment.placer_and_other("zone-1")
    deployment.wait_served(FEW, box=other)
    deployment.processes.signal(placer, signal.SIGSTOP)
    answers: list[Answer] = []
    began_at = monotonic()

    def _is_counted() -> bool:
        answers.append(deployment.send_as(FEW, box=other))
        return sum(answer.status == 200 for answer in answers) > FEW_PER_S

    try:
        wait_until(_is_counted, what="others count for the zone")
    finally:
        deployment.processes.signal(placer, signal.SIGCONT)
    more, _ = press(deployment, for_s=1.0)
    served = sum(answer.status == 200 for answer in [*answers, *more])
    assert 0 < served <= most_in(monotonic() - began_at)
    deployment.wait_served(ONE, box=placer)


def test_a_stop_of_the_store_ends_the_count_with_the_lease(deployment: Teams) -> None:
    deployment.wait_served(FEW)
    deployment.fault("store", busy=True)
    wait_until(lambda: deployment.send_as(FEW).status == 503, what="nobody may count")
    request_id = deployment.new_id()
    answer = deployment.send_as(FEW, request_id=request_id)
    assert answer.headers["Retry-After"]
    assert deployment.runs(request_id) == 0


def test_no_key_stands_in_any_output(deployment: Teams, tmp_path: Path) -> None:
    for key in KEYS:
        deployment.send_as(key)
        deployment.send_as(key, "/items/x", adapter="a2")
    outputs = [deployment.log(name) for name in (*deployment.clients, *deployment.addresses)]
    outputs += [deployment.metrics_page(box) for box in deployment.clients]
    assert all(key not in output for key in KEYS for output in outputs)
    assert any("Did not admit a request." in output for output in outputs)

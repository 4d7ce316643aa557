"""Teams, their keys and quotas with separate processes, including the removal of keys."""

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

KEY_REVOCATION_S = 3.0
KEYS = (
    "key-of-one-4f1d",
    "key-of-two-93ab",
    "key-that-goes-77c0",
    "key-of-few-51ce",
    "key-of-nobody-0b1e",
)
ONE, TWO, REMOVABLE, FEW, UNKNOWN = KEYS
FEW_PER_S = 8
TENANTS = [
    {"name": "one", "apiKeys": [ONE, REMOVABLE], "priority": 1},
    {"name": "two", "apiKeys": [TWO]},
    {"name": "few", "apiKeys": [FEW], "ratePerS": FEW_PER_S, "burst": FEW_PER_S},
    {"name": "idle", "apiKeys": []},
]
ALL_ROUTES = [*ROUTES, route("open", "safe", "rosters", public=True)]


class TeamsDeployment(Deployment):
    """A deployment with teams and a key that can be removed."""

    def send_as(self, key: str | None, path: str = "/lookup/x", **options: Any) -> Answer:
        headers = {} if key is None else {"Api-Key": key}
        headers["Springrock-Tenant"] = "whoever-the-client-says"
        box = options.pop("box", "box-1")
        return self.send(box, path, extra_headers=headers, **options)

    def configure_teams(self, *, with_removable: bool) -> None:
        """Write a configuration with or without the removable key."""
        first, *others = TENANTS
        keys = [ONE, REMOVABLE] if with_removable else [ONE]
        self.tenants = [{**first, "apiKeys": keys}, *others]
        self.configure(ALL_ROUTES)

    def wait_served(self, key: str, *, box: str = "box-1") -> None:
        wait_until(
            lambda: self.send_as(key, box=box).status == 200, what=f"a key is served by {box}"
        )


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TeamsDeployment]:
    settings = {"keys": {"revoke_s": KEY_REVOCATION_S}}
    with TeamsDeployment(tmp_path_factory.mktemp("teams"), box_settings=settings) as deployment:
        deployment.configure_teams(with_removable=True)
        deployment.wait_ready(replicas=REPLICAS)
        yield deployment
        assert deployment.violations() == {}


@pytest.fixture(autouse=True)
def _clear_faults(deployment: TeamsDeployment) -> Iterator[None]:
    yield
    for name in deployment.addresses:
        deployment.fault(name)
    deployment.configure_teams(with_removable=True)
    for box in deployment.clients:
        deployment.wait_served(REMOVABLE, box=box)


def test_replicas_get_the_team_of_the_key_whatever_the_client_names(
    deployment: TeamsDeployment,
) -> None:
    for key, team in ((ONE, "one"), (TWO, "two")):
        request_id = deployment.new_id()
        assert deployment.send_as(key, request_id=request_id).status == 200
        assert deployment.team_of_run(request_id) == team


def test_a_stream_that_is_resumed_stays_with_its_team(deployment: TeamsDeployment) -> None:
    headers = {"Api-Key": TWO}
    deployment.earn_retry("box-1", "/items/x", adapter="a2", extra_headers=headers)
    deployment.send_until_served("box-1", "/items/x", adapter="a1", extra_headers=headers)
    for engine in deployment.holders("a1"):
        deployment.fault(engine, cut_after=2)
    request_id = deployment.new_id()
    answer = deployment.send_as(TWO, "/items/x", adapter="a1", request_id=request_id)
    assert answer.event_ids == [1, 2, 3, 4, 5]
    assert deployment.team_of_run(request_id) == "two"


@pytest.mark.parametrize("key", [None, UNKNOWN])
def test_without_a_known_key_nothing_runs(deployment: TeamsDeployment, key: str | None) -> None:
    request_id = deployment.new_id()
    answer = deployment.send_as(key, request_id=request_id)
    assert (answer.status, answer.headers.get("Retry-After")) == (401, None)
    assert deployment.runs(request_id) == 0


def test_a_request_with_two_keys_is_malformed(deployment: TeamsDeployment) -> None:
    connection = deployment.connect("box-1")
    connection.putrequest("GET", "/lookup/x")
    connection.putheader("Springrock-Request-Id", deployment.new_id())
    connection.putheader("Api-Key", ONE)
    connection.putheader("Api-Key", TWO)
    connection.endheaders()
    assert connection.getresponse().status == 400


def test_a_public_route_needs_no_key(deployment: TeamsDeployment) -> None:
    for key, team in ((None, ""), (UNKNOWN, ""), (ONE, "one")):
        request_id = deployment.new_id()
        assert deployment.send_as(key, "/open/x", request_id=request_id).status == 200
        assert deployment.team_of_run(request_id) == team


def test_a_removed_key_is_rejected_and_an_added_one_is_served(
    deployment: TeamsDeployment,
) -> None:
    deployment.configure_teams(with_removable=False)
    for box in deployment.clients:
        wait_until(
            lambda box=box: deployment.send_as(REMOVABLE, box=box).status == 401,
            what=f"{box} rejects the key",
        )
    deployment.wait_served(ONE)


def test_a_box_that_cannot_read_the_store_serves_public_routes_but_no_keys(
    deployment: TeamsDeployment,
) -> None:
    deployment.fault("store", busy=True)
    deployment.configure_teams(with_removable=False)
    removed_at = monotonic()
    statuses: dict[str, set[int]] = {box: set() for box in deployment.clients}
    while monotonic() < removed_at + KEY_REVOCATION_S + 0.5:
        for box in deployment.clients:
            sent_at = monotonic()
            status = deployment.send_as(REMOVABLE, box=box).status
            statuses[box].add(status)
            assert status != 200 or sent_at <= removed_at + KEY_REVOCATION_S
        time.sleep(0.05)
    assert all(503 in seen for seen in statuses.values())
    assert deployment.send_as(None, "/open/x").status == 200
    deployment.fault("store")
    wait_until(
        lambda: deployment.send_as(REMOVABLE).status == 401, what="box-1 rejects the removed key"
    )
    deployment.wait_served(ONE)


def test_a_suspended_box_does_not_serve_a_key_removed_meanwhile(
    deployment: TeamsDeployment,
) -> None:
    deployment.wait_served(REMOVABLE)
    suspended_box = "box-1"
    deployment.processes.signal(suspended_box, signal.SIGSTOP)
    deployment.configure_teams(with_removable=False)
    time.sleep(KEY_REVOCATION_S)
    request_id = deployment.new_id()
    answers: list[Answer] = []
    client = threading.Thread(
        target=lambda: answers.append(deployment.send_as(REMOVABLE, request_id=request_id))
    )
    client.start()
    time.sleep(0.1)
    deployment.processes.signal(suspended_box, signal.SIGCONT)
    client.join()
    assert answers[0].status in (401, 503)
    assert deployment.runs(request_id) == 0


def max_served_in(seconds: float) -> float:
    """Return the maximum number of requests served to the team in a time, at all boxes together."""
    team = Team(name="few", rate=FEW_PER_S, burst=FEW_PER_S)
    zone_limits = limits_of_zone(
        team, QuotaTerms(window_s=8.0, overage=0.0, slack=0.0, zones=len(ZONES))
    )
    return len(ZONES) * (zone_limits.depth + zone_limits.rate * seconds)


def overload(deployment: TeamsDeployment, *, for_s: float) -> tuple[list[Answer], float]:
    """Send far more than the quota allows at all boxes; return the answers and the duration."""
    answers: list[Answer] = []
    started_at = monotonic()

    def _send_repeatedly(box: str) -> None:
        while monotonic() < started_at + for_s:
            answers.append(deployment.send_as(FEW, box=box))

    clients = [threading.Thread(target=_send_repeatedly, args=(box,)) for box in deployment.clients]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    return answers, monotonic() - started_at


def test_a_team_beyond_its_quota_is_told_when_to_come_back(deployment: TeamsDeployment) -> None:
    deployment.wait_served(FEW)
    answers, duration_s = overload(deployment, for_s=3.0)
    served = sum(answer.status == 200 for answer in answers)
    assert served <= max_served_in(duration_s)
    assert served >= FEW_PER_S * 2, "refilled quota is granted, whichever zone holds it"
    refused = [answer for answer in answers if answer.status == 429]
    assert len(refused) == len(answers) - served
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)
    deployment.wait_served(ONE)


def test_a_suspended_placer_grants_no_quota_twice(deployment: TeamsDeployment) -> None:
    placer, other = deployment.placer_and_other("zone-1")
    deployment.wait_served(FEW, box=other)
    deployment.processes.signal(placer, signal.SIGSTOP)
    answers: list[Answer] = []
    started_at = monotonic()

    def _is_counted() -> bool:
        answers.append(deployment.send_as(FEW, box=other))
        return sum(answer.status == 200 for answer in answers) > FEW_PER_S

    try:
        wait_until(_is_counted, what="other boxes count the quota of the zone")
    finally:
        deployment.processes.signal(placer, signal.SIGCONT)
    later_answers, _ = overload(deployment, for_s=1.0)
    served = sum(answer.status == 200 for answer in [*answers, *later_answers])
    assert 0 < served <= max_served_in(monotonic() - started_at)
    deployment.wait_served(ONE, box=placer)


def test_without_the_store_quotas_are_granted_only_until_the_lease_expires(
    deployment: TeamsDeployment,
) -> None:
    deployment.wait_served(FEW)
    deployment.fault("store", busy=True)
    wait_until(lambda: deployment.send_as(FEW).status == 503, what="no box may grant quota")
    request_id = deployment.new_id()
    answer = deployment.send_as(FEW, request_id=request_id)
    assert answer.headers["Retry-After"]
    assert deployment.runs(request_id) == 0


def test_no_output_contains_a_key(deployment: TeamsDeployment, tmp_path: Path) -> None:
    for key in KEYS:
        deployment.send_as(key)
        deployment.send_as(key, "/items/x", adapter="a2")
    outputs = [deployment.log(name) for name in (*deployment.clients, *deployment.addresses)]
    outputs += [deployment.metrics_page(box) for box in deployment.clients]
    assert all(key not in output for key in KEYS for output in outputs)
    assert any("Did not admit a request." in output for output in outputs)

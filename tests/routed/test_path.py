"""The routed path from client to replica in separate processes, with replica and store faults."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.processes import wait_until
from tests.routed.deployment import HOST, REPLICAS, ROUTES, Deployment, route


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("routed")) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        yield deployment
        assert deployment.violations() == {}


@pytest.fixture(autouse=True)
def _clear_faults(deployment: Deployment) -> Iterator[None]:
    yield
    for name in deployment.addresses:
        deployment.fault(name)


def test_method_path_query_and_body_reach_the_replica(deployment: Deployment) -> None:
    answer = deployment.send("box-1", "/join/a%20b/c?d=e", body=b"12345")
    assert answer.status == 200
    assert answer.body == b"POST /join/a b/c 5"
    assert answer.headers["Springrock-Response-Seal"].startswith("seal-of-")


def test_client_connections_are_kept_open(deployment: Deployment) -> None:
    connection = deployment.connect("box-1")
    for _ in range(3):
        answer = deployment.send("box-1", "/lookup/x", method="GET", connection=connection)
        assert answer.status == 200
        assert connection.sock is not None


def test_a_request_without_a_route_gets_404_and_does_not_run(deployment: Deployment) -> None:
    request_id = deployment.new_id()
    assert deployment.send("box-1", "/nowhere/x", request_id=request_id).status == 404
    assert deployment.runs(request_id) == 0


def test_the_log_names_the_configuration_by_which_a_request_got_404(
    deployment: Deployment,
) -> None:
    request_id = deployment.new_id()
    deployment.send("box-1", "/nowhere/x", request_id=request_id)

    def _logged() -> dict[str, object] | None:
        lines = [json.loads(line) for line in deployment.log("box-1").splitlines()]
        return next((line for line in lines if line.get("request") == request_id), None)

    line = wait_until(_logged, what="the refusal is logged")
    assert line["configuration"] == deployment.version
    assert line["table_version"]
    assert line["table_stale_ms"] is not None


def test_an_adapter_is_loaded_for_a_stream(deployment: Deployment) -> None:
    for box in deployment.clients:
        answer = deployment.send_until_served(box, "/items/x", adapter="a1")
        assert answer.is_complete
        assert answer.event_ids == [1, 2, 3, 4, 5]


def test_more_adapters_than_places_are_served_in_turn(deployment: Deployment) -> None:
    for number in range(2, 10):
        answer = deployment.send_until_served("box-2", "/minutes/x", adapter=f"a{number}")
        assert answer.event_ids == [1, 2, 3, 4, 5]
    assert deployment.violations() == {}


def test_a_resumable_stream_continues_at_the_next_event(deployment: Deployment) -> None:
    deployment.earn_retry("box-1", "/items/x", adapter="a2")
    deployment.send_until_served("box-1", "/items/x", adapter="a1")
    request_id = deployment.new_id()
    for engine in deployment.holders("a1"):
        deployment.fault(engine, cut_after=2)
    answer = deployment.send("box-1", "/items/x", adapter="a1", request_id=request_id)
    assert answer.status == 200
    assert answer.is_complete
    assert answer.event_ids == [1, 2, 3, 4, 5]
    assert deployment.runs(request_id) == 2


def test_a_cut_of_an_unrepeatable_stream_reaches_the_client(deployment: Deployment) -> None:
    deployment.send_until_served("box-1", "/minutes/x", adapter="a1")
    request_id = deployment.new_id()
    for engine in deployment.holders("a1"):
        deployment.fault(engine, cut_after=2)
    answer = deployment.send("box-1", "/minutes/x", adapter="a1", request_id=request_id)
    assert not answer.is_complete
    assert answer.event_ids == [1, 2]
    assert deployment.runs(request_id) == 1


def test_a_failed_request_is_retried_only_if_it_is_repeatable(
    deployment: Deployment,
) -> None:
    deployment.earn_retry("box-1", "/lookup/x", method="GET")
    deployment.fault("rosters-1", fail=True)
    deployment.fault("rosters-2", fail=True)
    safe, unsafe = deployment.new_id(), deployment.new_id()
    answer = deployment.send("box-1", "/lookup/x", method="GET", request_id=safe)
    assert (answer.status, answer.body) == (500, b"failed")
    assert deployment.runs(safe) == 2
    answer = deployment.send("box-1", "/join/x", request_id=unsafe)
    assert (answer.status, answer.body) == (500, b"failed")
    assert deployment.runs(unsafe) == 1


def test_a_request_that_all_replicas_refuse_does_not_run(deployment: Deployment) -> None:
    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name, refuse=True)
    request_id = deployment.new_id()
    answer = deployment.send("box-1", "/join/x", request_id=request_id)
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert deployment.runs(request_id) == 0


def test_a_newer_configuration_is_applied_and_an_older_one_is_not(
    deployment: Deployment,
) -> None:
    added = [*ROUTES, route("added", "safe", "rosters")]
    version = deployment.configure(added)
    for box in deployment.clients:
        deployment.send_until_served(box, "/added/x", method="GET")
    deployment.configure(ROUTES, version=version - 1)
    deployment.version = version
    newer = deployment.configure([*added, route("newest", "safe", "rosters")])
    for box in deployment.clients:
        deployment.send_until_served(box, "/newest/x", method="GET")
        assert deployment.send(box, "/added/x", method="GET").status == 200
        in_force = deployment.metric(box, "springrock_forwarding_configuration_version")
        assert in_force == newer


def test_requests_are_served_while_the_store_is_down(deployment: Deployment) -> None:
    deployment.fault("store", busy=True)
    wait_until(lambda: "Lost the table" in deployment.log("box-1"), what="box-1 sees the outage")
    assert deployment.send("box-1", "/lookup/x", method="GET").status == 200
    assert deployment.is_ready("box-1")


def test_the_table_is_read_again_after_the_change_history_is_lost(deployment: Deployment) -> None:
    deployment.fault("store", forget_history=True)
    version = deployment.configure([*ROUTES, route("after", "safe", "rosters")])
    deployment.send_until_served("box-1", "/after/x", method="GET")
    deployment.send_until_served("box-2", "/after/x", method="GET")
    assert version == deployment.version


def test_a_malformed_request_is_refused_by_type(deployment: Deployment) -> None:
    connection = deployment.connect("box-1")
    connection.request("POST", "/join/x", body=b"", headers={"Host": HOST})
    response = connection.getresponse()
    assert response.status == 400
    assert response.read() == b'{"error":"malformed_request"}'


def test_a_leaving_replica_gets_no_new_work(deployment: Deployment) -> None:
    deployment.fault("rosters-1", leaving=True)
    instance = deployment.counters("rosters-1")["instance"]

    def _reported(box: str) -> bool:
        lines = deployment.log(box).splitlines()
        return any("is leaving" in line and instance in line for line in lines)

    for box in deployment.clients:
        wait_until(lambda box=box: _reported(box), what=f"{box} knows that the replica is leaving")
    before = sum(deployment.counters("rosters-1")["runs"].values())
    for _ in range(10):
        assert deployment.send("box-1", "/lookup/x", method="GET").status == 200
    assert sum(deployment.counters("rosters-1")["runs"].values()) == before


def test_another_box_takes_over_from_a_killed_placer(deployment: Deployment) -> None:
    placer, other = deployment.placer_and_other("zone-1")
    deployment.processes.kill(placer)
    expected_placers = {"zone-1": other, "zone-2": other}
    wait_until(
        lambda: deployment.placers() == expected_placers, what="the other box places both zones"
    )
    for number in range(70, 78):
        answer = deployment.send_until_served(other, "/items/x", adapter=f"a{number}")
        assert answer.event_ids == [1, 2, 3, 4, 5]
    deployment.start_box(placer)
    deployment.wait_ready()


def test_another_box_takes_over_although_the_store_answered_later_versions(
    deployment: Deployment,
) -> None:
    placer, other = deployment.placer_and_other("zone-1")
    deployment.fault("store", later_versions=True)
    written = 'springrock_store_calls_total{answer="done",call="write",table="springrock"}'
    before = deployment.metric(placer, written)
    wait_until(
        # The placer announces each renewal at once. Two renewals, as it may place both zones.
        lambda: deployment.metric(placer, written) > before + 2,
        what="the placer has renewed and announced the version it was answered",
    )
    deployment.processes.kill(placer)
    expected_placers = {"zone-1": other, "zone-2": other}
    wait_until(
        lambda: deployment.placers() == expected_placers, what="the other box places both zones"
    )
    deployment.fault("store")
    deployment.start_box(placer)
    deployment.wait_ready()


def test_a_zone_gets_its_own_placer_back(deployment: Deployment) -> None:
    deployment.processes.kill("box-2")
    only_box_1 = {"zone-1": "box-1", "zone-2": "box-1"}
    wait_until(lambda: deployment.placers() == only_box_1, what="box-1 places both zones")
    deployment.start_box("box-2")
    one_per_zone = {"zone-1": "box-1", "zone-2": "box-2"}
    wait_until(
        lambda: deployment.placers() == one_per_zone, what="each zone has a placer of its own"
    )
    assert deployment.send_until_served("box-1", "/items/x", adapter="a79").event_ids == [
        1,
        2,
        3,
        4,
        5,
    ]


def test_a_graceful_stop_cuts_no_stream(deployment: Deployment) -> None:
    deployment.send_until_served("box-2", "/items/x", adapter="a1")
    answers = []
    sent = threading.Thread(
        target=lambda: answers.append(
            deployment.send_until_served("box-2", "/items/x", adapter="a1")
        )
    )
    sent.start()
    process = deployment.processes["box-2"]
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not deployment.is_ready("box-2"), what="box-2 is not ready")
    sent.join()
    assert answers[0].is_complete
    assert answers[0].event_ids == [1, 2, 3, 4, 5]
    assert process.wait(timeout=20) == 0
    deployment.start_box("box-2")
    deployment.wait_ready()


def test_a_reload_does_not_reset_the_retry_budget(deployment: Deployment) -> None:
    def _send_all(count: int) -> int:
        """Send requests that fail on every replica; return their total number of runs."""
        ids = [deployment.new_id() for _ in range(count)]
        for request_id in ids:
            deployment.send("box-1", "/lookup/x", method="GET", request_id=request_id)
        return sum(deployment.runs(request_id) for request_id in ids)

    for name in ("rosters-1", "rosters-2"):
        deployment.fault(name, fail=True)
    try:
        assert _send_all(30) < 60
        reloads = deployment.log("box-1").count('"box: Reload."')
        deployment.processes.signal("box-1", signal.SIGHUP)
        wait_until(
            lambda: deployment.log("box-1").count('"box: Reload."') > reloads, what="box-1 reloads"
        )
        # Two retries: each request earns a fifth of one, and so do those sent during the wait.
        assert _send_all(5) <= 5 + 2
    finally:
        for name in ("rosters-1", "rosters-2"):
            deployment.fault(name)


def test_invalid_settings_are_rejected_on_reload(deployment: Deployment) -> None:
    path: Path = deployment.folder / "box-1.jsonc"
    path.write_text('{"box": 3}')
    deployment.processes["box-1"].send_signal(signal.SIGHUP)
    wait_until(
        lambda: "Kept the old settings" in deployment.log("box-1"),
        what="box-1 rejects the settings",
    )
    assert deployment.send("box-1", "/lookup/x", method="GET").status == 200


def test_every_box_counts_the_boxes_that_share_the_allowance(deployment: Deployment) -> None:
    for box in ("box-1", "box-2"):
        wait_until(
            lambda box=box: deployment.metric(box, "springrock_placement_boxes") == 2.0,
            what=f"{box} counts both boxes",
        )


def test_a_suspended_placer_resumes_serving(deployment: Deployment) -> None:
    placer, other = deployment.placer_and_other("zone-1")
    process = deployment.processes[placer]
    process.send_signal(signal.SIGSTOP)
    wait_until(lambda: deployment.is_placer("zone-1", at=other), what="the other box places")
    process.send_signal(signal.SIGCONT)
    for number in range(80, 86):
        answer = deployment.send_until_served(placer, "/items/x", adapter=f"a{number}")
        assert answer.event_ids == [1, 2, 3, 4, 5]
    assert process.poll() is None
    assert deployment.violations() == {}

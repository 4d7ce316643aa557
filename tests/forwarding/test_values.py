"""The value types of forwarding: routes, headers, events, budgets, health, progress of requests."""

from __future__ import annotations

import random

import msgspec
import pytest

from springrock.clock import monotonic
from springrock.forwarding import budget as budget_module
from springrock.forwarding import health as health_module
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.budget import RetryBudget, RetryDecision, RetryLimits
from springrock.forwarding.configuration import (
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    Share,
)
from springrock.forwarding.directory import Directory, LeavingSource, ReplicaRecord
from springrock.forwarding.events import EventSplitter
from springrock.forwarding.health import Health
from springrock.forwarding.message import ClientRequest, Headers
from springrock.forwarding.reply import own_reply
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.log import Log
from tests.factories import make_routing_state


def make_route(prefix: str = "/a/", **more: object) -> Route:
    fields = {
        "name": prefix,
        "host": "h.example",
        "path_prefix": prefix,
        "kind": RouteKind.SAFE,
        "shares": (Share("s", 1.0),),
        **more,
    }
    return Route(**fields)  # type: ignore[arg-type]


def make_request(**more: object) -> ClientRequest:
    fields = {
        "request_id": "r1",
        "method": "GET",
        "target": "/a/b",
        "host": "h.example",
        "headers": Headers(),
        "body": b"",
        "received_at": monotonic(),
        **more,
    }
    return ClientRequest(**fields)  # type: ignore[arg-type]


# Routes.


def test_the_longest_prefix_of_the_host_wins() -> None:
    routes = (make_route("/"), make_route("/a/"), make_route("/a/b/"))
    table = RouteTable(Configuration(version=1, routes=routes))
    found = table.find("H.Example:8080", "/a/b/c")
    assert found is not None
    assert found.name == "/a/b/"
    assert table.find("h.example", "/other") == routes[0]
    assert table.find("else.example", "/a/") is None


def test_a_split_follows_its_weights() -> None:
    route = make_route(shares=(Share("s", 90), Share("t", 10)))
    chance = random.Random(1)
    picked = [route.pick_service(chance) for _ in range(1_000)]
    assert 850 < picked.count("s") < 950


def test_only_safe_and_resumable_requests_may_run_again() -> None:
    assert make_route().repeatable
    assert not make_route(kind=RouteKind.UNSAFE).repeatable
    assert not make_route(kind=RouteKind.STREAMING).repeatable
    assert make_route(kind=RouteKind.STREAMING, resumable=True).repeatable


# Headers.


def test_headers_of_a_single_connection_are_not_forwarded() -> None:
    headers = Headers.from_pairs(
        [("Connection", "close, X-Mine"), ("x-mine", "1"), ("TE", "trailers"), ("X-Other", "2")]
    )
    assert headers.end_to_end() == Headers.from_pairs([("X-Other", "2")])


# Events.


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_only_complete_events_are_returned_however_the_bytes_arrive(size: int) -> None:
    data = b"id: 1\ndata: a\n\nversions: 2\nid: 2\ndata: b\n\nid: 3\nda"
    splitter = EventSplitter()
    events = [
        event for at in range(0, len(data), size) for event in splitter.feed(data[at : at + size])
    ]
    assert [event.event_id for event in events] == ["1", "2"]
    assert b"".join(event.raw for event in events) + splitter.drain_incomplete() == data
    assert splitter.drain_incomplete() == b""


# Replicas.


def test_a_replica_that_another_box_reports_as_leaving_is_leaving() -> None:
    directory = Directory(Log("directory", "box"))
    record = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="z")
    directory.update(record)
    assert directory.leaving() == ()
    directory.record_leaving("i-1", LeavingSource.BOX)
    directory.record_leaving("i-2", LeavingSource.BOX)
    assert directory.leaving() == ("i-1",)
    directory.update(record)
    directory.update(msgspec.structs.replace(record, instance="i-2"))
    assert directory.leaving() == ("i-1", "i-2")


# Retries.


def test_retries_stay_within_a_share_of_the_window(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 100.0
    monkeypatch.setattr(budget_module, "monotonic", lambda: now)
    budget = RetryBudget(lambda: RetryLimits(ratio=0.2, allowance=2.5, window_s=10.0))
    assert [budget.try_spend() for _ in range(4)] == [True, True, False, False]
    for _ in range(20):
        budget.record_request()
    assert [budget.try_spend() for _ in range(5)].count(True) == 3
    now += 11.0
    assert [budget.try_spend() for _ in range(4)] == [True, True, False, False]


def test_spent_retries_still_count_when_the_limits_change() -> None:
    limits = RetryLimits(ratio=0.2, allowance=2.5, window_s=10.0)
    budget = RetryBudget(lambda: limits)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    limits = RetryLimits(ratio=0.2, allowance=5.0, window_s=10.0)
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]
    limits = RetryLimits(ratio=0.2, allowance=2.5, window_s=10.0)
    assert not budget.try_spend()


def test_each_decision_on_a_retry_names_what_it_was_made_by() -> None:
    decisions: list[RetryDecision] = []
    budget = RetryBudget(
        lambda: RetryLimits(ratio=0.2, allowance=1.5, window_s=10.0), on_decision=decisions.append
    )
    budget.record_request()
    budget.try_spend(request="r-1")
    budget.try_spend(request="r-2")
    assert decisions == [
        RetryDecision("r-1", allowed=True, requests=1, retries=0, allowance=1.5),
        RetryDecision("r-2", allowed=False, requests=1, retries=1, allowance=1.5),
    ]


def test_a_request_that_may_have_run_runs_again_only_within_its_attempts() -> None:
    progress = RequestProgress(make_request(), make_route(attempts=2), "s")
    first = progress.start_attempt("i-1", record_age_s=0.0)
    first.outcome = AttemptOutcome.FULL
    assert progress.may_run_again
    assert progress.arrivals == 1
    second = progress.start_attempt("i-2", record_age_s=0.0)
    second.outcome = AttemptOutcome.BROKEN
    assert progress.may_run_again
    third = progress.start_attempt("i-3", record_age_s=0.0)
    third.outcome = AttemptOutcome.BROKEN
    assert not progress.may_run_again


def test_an_unsafe_request_that_may_have_run_never_runs_again() -> None:
    progress = RequestProgress(make_request(), make_route(kind=RouteKind.UNSAFE, attempts=5), "s")
    attempt = progress.start_attempt("i-1", record_age_s=0.0)
    attempt.outcome = AttemptOutcome.UNREACHABLE
    assert progress.may_run_again
    assert progress.arrivals == 0
    attempt.outcome = AttemptOutcome.SILENT
    assert not progress.may_run_again


def test_the_route_bounds_the_deadline_and_the_wait_for_the_first_event() -> None:
    request = make_request(deadline_s=15.0)
    route = make_route(
        kind=RouteKind.STREAMING, timeout_s=12.0, target_s=1.0, gap_s=0.4, resumable=True
    )
    progress = RequestProgress(request, route, "s")
    assert progress.ends_at == request.received_at + 12.0
    assert progress.first_event_deadline == request.received_at + 4.0


# Replicas.


def test_a_failing_replica_cools_down_for_increasing_times(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 100.0
    monkeypatch.setattr(health_module, "monotonic", lambda: now)
    health = Health()
    health.record_failure()
    assert not health.resting
    health.record_failure()
    cool_downs = []
    for _ in range(5):
        assert health.resting
        cool_downs.append(health.rest_left_s)
        now += health.rest_left_s
        assert not health.resting
        health.record_unreachable()
    assert cool_downs == sorted(cool_downs)
    assert cool_downs[-1] <= 4.0
    now += 5.0
    health.record_success()
    health.record_unreachable()
    assert health.rest_left_s == pytest.approx(0.3)


def make_directory() -> Directory:
    return Directory(Log("directory", "test"))


def make_record(instance: str, **more: object) -> ReplicaRecord:
    fields = {
        "instance": instance,
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "z1",
        **more,
    }
    return ReplicaRecord(**fields)  # type: ignore[arg-type]


def test_a_replica_that_was_leaving_is_never_added_again() -> None:
    directory = make_directory()
    directory.update(make_record("i-1", leaving=True))
    directory.update(make_record("i-1"))
    directory.remove("i-1")
    directory.update(make_record("i-1"))
    assert directory.count == 0
    directory.update(make_record("i-2"))
    assert directory.count == 1


def test_a_full_list_removes_the_replicas_that_it_lacks() -> None:
    directory = make_directory()
    directory.replace([make_record("i-1"), make_record("i-2")])
    directory.replace([make_record("i-2")])
    assert directory.find("i-1") is None
    assert directory.find("i-2") is not None


def test_the_balancer_prefers_idle_near_and_healthy_replicas() -> None:
    directory = make_directory()
    directory.replace([make_record("near"), make_record("far", zone="z2")])
    balancer = Balancer(routing_state=lambda: make_routing_state("z1"), rng=random.Random(1))
    near, far = directory.find("near"), directory.find("far")
    assert near is not None
    assert far is not None
    assert balancer.choose([near, far]) is near
    near.running = 2
    assert balancer.choose([near, far]) is far
    near.running = 0
    near.health.record_unreachable()
    assert balancer.choose([near, far]) is far
    assert balancer.choose([near, far], tried={"far"}) is None
    assert balancer.choose([near, far], tried={"far"}, allow_resting=True) is near


def test_a_reply_of_the_box_has_a_retry_after_header() -> None:
    reply = own_reply(503, "no_replica", retry_after_s=0.254)
    assert reply.head.headers.get("retry-after") == "0.26"
    assert b"".join(reply.body) == b'{"error":"no_replica"}'

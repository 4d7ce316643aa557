"""Requests that another box passed on, and what this box must know to handle them."""

from __future__ import annotations

import pytest

from springrock.errors import BadRequest
from springrock.forwarding import passed_on as passed_on_module
from springrock.forwarding.configuration import Configuration, RouteTable
from springrock.forwarding.dialect import Handling, SendTerms
from springrock.forwarding.errors import BehindOtherBox
from springrock.forwarding.message import ClientRequest, Header, Headers, Knowledge
from springrock.forwarding.reply import own_reply, rejection_reply
from springrock.forwarding.suspects import Suspects
from springrock.platform import names
from springrock.platform.dialect import PlatformDialect
from tests.factories import make_passed_on
from tests.forwarding.scripted import ScriptedReplica
from tests.forwarding.test_passing_on import SERVED, Script, ScriptedPeers, make_passing_on
from tests.forwarding.test_software_versions import Box
from tests.forwarding.test_values import make_request, make_route

DIALECT = PlatformDialect()
CLIENT_HEADERS = Headers(
    [
        Header("Host", "h.example"),
        Header(names.REQUEST_ID, "r1"),
        Header(names.MODEL, "base/a1"),
        Header("X-Other", "kept"),
    ]
)


def requiring(required: Knowledge | None) -> ClientRequest:
    return make_request(model="base", adapter="a1", passed_on=True, required=required)


def read(headers: Headers) -> ClientRequest:
    return DIALECT.read_request(
        method="GET", target="/a/b", headers=headers, body=b"", received_at=0.0
    )


def passed_on(required: Knowledge) -> Headers:
    return DIALECT.passed_on_headers(read(CLIENT_HEADERS), left_s=1.0, required=required)


def test_the_other_box_reads_the_client_s_request_and_what_it_must_know() -> None:
    sent = passed_on(Knowledge(configuration=7, adapter=3))
    assert sent.get("host") == names.PASSED_ON_AUTHORITY
    received = read(sent)
    assert received.passed_on
    assert received.required == Knowledge(configuration=7, adapter=3)
    assert received.host == "h.example"
    to_replica = DIALECT.request_headers(received, SendTerms("i-1", 1.0))
    assert [value for name, value in to_replica if name.lower() == "host"] == ["h.example"]
    assert to_replica.get("X-Other") == "kept"
    for name in (names.CONFIGURATION, names.EXPECT_VERSION, names.PASSED_ON_HOST, names.PASSED_ON):
        assert to_replica.get(name) is None


def test_a_version_of_a_client_s_own_is_not_passed_on() -> None:
    forged = Headers(
        [*CLIENT_HEADERS, Header(names.CONFIGURATION, "99"), Header(names.EXPECT_VERSION, "99")]
    )
    assert read(forged).required is None
    sent = DIALECT.passed_on_headers(read(forged), left_s=1.0, required=Knowledge(7))
    assert read(sent).required == Knowledge(7)


def test_a_box_of_the_previous_release_requires_nothing() -> None:
    request = read(Headers([*CLIENT_HEADERS, Header(names.PASSED_ON, "1")]))
    assert request.passed_on
    assert request.required is None
    make_passed_on().check(request, 1)
    reply = own_reply(503, "no_replica")
    assert make_passed_on().mark(request, reply, 1) == reply


@pytest.mark.parametrize("version", ["-1", "1.5", "x", "9" * 19, "\u0663"])
def test_a_malformed_version_is_refused(version: str) -> None:
    sent = passed_on(Knowledge(7)).without((names.CONFIGURATION,))
    with pytest.raises(BadRequest):
        read(Headers([*sent, Header(names.CONFIGURATION, version)]))


@pytest.mark.parametrize(
    ("required", "is_behind"),
    [
        (None, False),
        (Knowledge(6), False),
        (Knowledge(7), False),
        (Knowledge(8), True),
        (Knowledge(7, 3), False),
        (Knowledge(7, 4), True),
        (Knowledge(6, 4), True),
    ],
)
def test_a_request_is_handled_only_by_what_is_at_least_as_new(
    required: Knowledge | None, is_behind: bool
) -> None:
    requests = make_passed_on(adapter_version=3)
    if not is_behind:
        requests.check(requiring(required), 7)
        return
    with pytest.raises(BehindOtherBox):
        requests.check(requiring(required), 7)


def test_the_store_is_read_at_once_when_behind_but_not_for_each_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 100.0
    reads = []
    monkeypatch.setattr(passed_on_module, "monotonic", lambda: now)
    requests = make_passed_on(refresh=lambda: reads.append(now))
    for _ in range(40):
        now += 0.05
        with pytest.raises(BehindOtherBox):
            requests.check(requiring(Knowledge(99)), 7)
    assert 1 <= len(reads) <= 2
    assert reads[0] == 100.05


def test_the_reply_says_whether_the_request_was_handled_and_by_which_configuration() -> None:
    request, requests = requiring(Knowledge(7)), make_passed_on()
    for reply, handling in (
        (own_reply(404, "no_route"), Handling.HANDLED),
        (own_reply(503, "no_replica"), Handling.HANDLED),
        (rejection_reply(BehindOtherBox()), Handling.BEHIND),
    ):
        stated = DIALECT.passed_on_reply(requests.mark(request, reply, 8).head)
        assert (stated.handling, stated.configuration) == (handling, 8)
        assert stated.head == reply.head


def test_a_box_that_is_behind_refuses_before_it_looks_for_a_route() -> None:
    """Guards against 404 for a route that only the first box knows yet."""
    box = Box(make_route())
    request = make_request(target="/added/x", passed_on=True, required=Knowledge(2))
    reply = box.forwarder.forward(request)
    assert (reply.head.status, reply.reason) == (503, BehindOtherBox.reason)
    assert DIALECT.passed_on_reply(reply.head).handling is Handling.BEHIND
    table = RouteTable(Configuration(version=2, routes=(make_route("/added/"),)))
    box.forwarder._routes = lambda: table
    assert DIALECT.passed_on_reply(box.forwarder.forward(request).head).handling is Handling.HANDLED


class _Quarantine:
    """Quarantines everything; implements `choosing.Quarantine`."""

    def quarantined_for_s(self, suspects: Suspects) -> float | None:
        return 60.0

    def may_be_retried(self, suspects: Suspects) -> bool:
        return False


def test_a_request_that_this_box_knows_to_crash_replicas_is_not_passed_on() -> None:
    """Guards against a run by a box that has not read of the crashes yet."""
    other = Script(SERVED)
    with ScriptedReplica(other) as replica:
        box = Box(make_route())
        box.forwarder._passing_on = make_passing_on(ScriptedPeers(replica.address))
        box.chooser._quarantine = _Quarantine()
        reply = box.forwarder.forward(make_request(deadline_s=2.0))
    assert (reply.head.status, reply.reason) == (503, "crashes_replicas")
    assert not other.received

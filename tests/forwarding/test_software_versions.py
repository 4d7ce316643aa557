"""Streams go on only at the software version that began them."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import msgspec
import pytest

from springrock.clock import monotonic
from springrock.errors import AnswerCut
from springrock.forwarding import software_history
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.budget import RetryBudget, RetryLimits
from springrock.forwarding.choosing import ReplicaChooser
from springrock.forwarding.configuration import (
    Configuration,
    Route,
    RouteKind,
    RouteTable,
    Share,
    Team,
)
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.forwarder import Forwarder
from springrock.forwarding.keys import KeyGate, KeyTerms
from springrock.forwarding.passing_on import PassingOn
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.sending import Sender
from springrock.forwarding.software_history import STREAM_LIFE_S, SoftwareHistory
from springrock.forwarding.stream_origins import Origin, OriginBook, StreamOrigins
from springrock.forwarding.streaming import StreamRelay
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.choice import NoPermits
from springrock.platform.dialect import PlatformDialect
from springrock.topology import Topology
from tests.factories import (
    make_crash_detector,
    make_notices,
    make_passed_on,
    make_reach,
    make_routing_state,
    make_warmup,
)
from tests.forwarding.scripted import SUCCESS, Script, ScriptedReplica, read_request
from tests.forwarding.test_choosing import ScriptedAdapters
from tests.forwarding.test_passing_on import ScriptedPeers
from tests.forwarding.test_values import make_request, make_route

HEAD = (
    SUCCESS + b"Content-Type: text/event-stream\r\n"
    b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
)
GREETING = b": welcome\n\n"
LAST_EVENT = 4
TERMS = KeyTerms(revoke_s=1.0, fail_closed=True)
ROUTE = make_route(kind=RouteKind.STREAMING, attempts=3, resumable=True)


def event(number: int, software: str) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (number, software.encode())


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def first_number(request: bytes) -> int:
    for line in request.split(b"\r\n"):
        name, _, value = line.partition(b": ")
        if name == b"Last-Event-Id":
            return int(value) + 1
    return 1


def writing(
    software: str, *, breaks_after: int = 0, greeted: threading.Event | None = None
) -> Script:
    """Return a replica's script: it writes the rest of a stream, or breaks off after an event.

    Args:
        software: What it writes.
        breaks_after: The number of the event after which it breaks off; 0 for none.
        greeted: If given, it first writes an event without an id, and goes on once this is set.
    """

    def script(connection: socket.socket) -> None:
        request = read_request(connection)
        if not request:
            return
        connection.sendall(HEAD)
        if greeted is not None:
            connection.sendall(chunk(GREETING))
            greeted.wait()
        for number in range(first_number(request), LAST_EVENT + 1):
            connection.sendall(chunk(event(number, software)))
            if number == breaks_after:
                return
        connection.sendall(b"0\r\n\r\n")

    return script


class NoCharging:
    """Charges nothing; implements `QuotaCharger`."""

    def charge(self, team: Team | None, *, tokens: int | None, request: str) -> NoCharging:
        return self

    def refund(self) -> None:
        """Do nothing."""


class ScriptedBoxes:
    """Other boxes that know given origins; implements `OtherBoxes`."""

    def __init__(self) -> None:
        self.known: dict[str, Origin] = {}
        self.asked: list[str] = []

    def tell_origin(self, request_id: str, origin: Origin) -> None:
        self.known[request_id] = origin

    def told_origin(self, request_id: str) -> Origin | None:
        return None

    def ask_origin(self, request_id: str, service: str) -> Origin | None:
        self.asked.append(request_id)
        return self.known.get(request_id)

    def stored_origin(self, request_id: str) -> Origin | None:
        return None


class Box:
    """The parts of a box that forward streams to the replicas in its directory."""

    def __init__(self, route: Route = ROUTE) -> None:
        log = Log("test", "box-1")
        self.directory = Directory(log)
        self.chooser = ReplicaChooser(
            configuration=Configuration,
            directory=self.directory,
            balancer=Balancer(routing_state=make_routing_state, rng=random.Random()),
            adapters=ScriptedAdapters(waits=0),
            budget_of=lambda service: RetryBudget(lambda: RetryLimits(0.1, 10.0, 10.0)),
            permits=NoPermits(),
        )
        sender = Sender(
            dialect=PlatformDialect(),
            adapters=ScriptedAdapters(waits=0),
            warmup=make_warmup(),
            crash_detector=make_crash_detector(),
            notices=make_notices(self.directory),
            reach=make_reach(),
            may_send=lambda progress, chosen: True,
            log=log,
            byte_counters=CrossZoneBytes(ForwardingMetrics(), Topology(home="zone-1")),
        )
        self.row_age_s = 0.0
        self.history = SoftwareHistory(age_s=lambda: self.row_age_s)
        self.directory.on_change.append(self.history.apply_record)
        self.others = ScriptedBoxes()
        self.refresh_replicas: Callable[[], bool] = lambda: True
        self.origins = StreamOrigins(
            own=OriginBook(),
            history=self.history,
            refresh_replicas=lambda: self.refresh_replicas(),
            other_boxes=self.others,
            log=log,
        )
        self.relay = StreamRelay(
            chooser=self.chooser, sender=sender, log=log, on_begun=self.origins.record_begun
        )
        table = RouteTable(Configuration(version=1, routes=(route,)))
        self.forwarder = Forwarder(
            routes=lambda: table,
            gate=KeyGate(routes=lambda: table, staleness_s=lambda: 0.0, terms=lambda: TERMS),
            charging=NoCharging(),
            chooser=self.chooser,
            sender=sender,
            relay=self.relay,
            passing_on=PassingOn(
                reach=make_reach(), peers=ScriptedPeers(), dialect=PlatformDialect(), log=log
            ),
            passed_on=make_passed_on(),
            origins=self.origins,
            log=log,
        )

    def add(self, instance: str, replica: ScriptedReplica, software: str) -> None:
        self.directory.update(
            ReplicaRecord(
                instance=instance,
                service="s",
                address=replica.address,
                zone="zone-1",
                software=software,
            )
        )

    def stream(self) -> Iterator[bytes]:
        progress = RequestProgress(make_request(deadline_s=5.0), ROUTE, "s")
        _, run = self.relay.open(progress, until=progress.ends_at)
        yield from self.relay.relay(progress, run)


@contextmanager
def box_with(*replicas: tuple[str, Script], route: Route = ROUTE) -> Iterator[Box]:
    """Yield a box; each replica is given by its software version and its script."""
    box = Box(route)
    with ExitStack() as stack:
        for number, (software, script) in enumerate(replicas, 1):
            scripted = stack.enter_context(ScriptedReplica(script, script, script))
            box.add(f"i-{number}", scripted, software)
        yield box


def test_a_broken_stream_goes_on_only_at_the_version_that_began_it() -> None:
    for _ in range(12):
        with box_with(
            ("v1", writing("v1", breaks_after=2)),
            ("v2", writing("v2", breaks_after=2)),
            ("v1", writing("v1", breaks_after=2)),
            ("v2", writing("v2", breaks_after=2)),
        ) as box:
            received = b"".join(box.stream())
        assert received in [
            b"".join(event(number, software) for number in range(1, LAST_EVENT + 1))
            for software in ("v1", "v2")
        ]


def test_a_broken_stream_is_cut_if_no_other_replica_has_its_version() -> None:
    received = []
    with box_with(
        ("v1", writing("v1", breaks_after=2)),
        ("v2", writing("v2", breaks_after=2)),
    ) as box:
        stream = box.stream()
        with pytest.raises(AnswerCut):
            for data in stream:
                received.append(data)
    assert b"".join(received) in [
        event(1, software) + event(2, software) for software in ("v1", "v2")
    ]


def test_a_stream_that_begins_with_an_event_without_an_id_goes_on_only_at_its_version() -> None:
    received = []
    greeted = threading.Event()
    with box_with(
        ("v1", writing("v1", breaks_after=2, greeted=greeted)),
        ("v2", writing("v2", breaks_after=2, greeted=greeted)),
    ) as box:
        stream = box.stream()
        with pytest.raises(AnswerCut):
            for data in stream:
                received.append(data)
                greeted.set()
    assert received[0] == GREETING
    assert b"".join(received[1:]) in [
        event(1, software) + event(2, software) for software in ("v1", "v2")
    ]


def test_a_stream_of_an_unknown_version_is_refused_while_several_versions_serve() -> None:
    with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
        reply = box.forwarder.forward(
            make_request(request_id="r1", resumes="r0", last_event_id="2", deadline_s=5.0)
        )
    assert reply.head.status == 503
    assert reply.head.headers.get("Retry-After") is not None
    assert b"".join(reply.body) == b'{"error":"stream_origin_unknown"}'


def take_up(box: Box, **fields: object) -> tuple[int, bytes]:
    """Return the status and the body of the reply to a client that takes a stream up."""
    request = make_request(
        **{"request_id": "r1", "resumes": "r0", "last_event_id": "2", "deadline_s": 5.0, **fields}
    )
    reply = box.forwarder.forward(request)
    return reply.head.status, b"".join(reply.body)


def rest_from(software: str) -> bytes:
    return event(3, software) + event(4, software)


@pytest.mark.parametrize("software", ["v1", "v2"])
def test_a_stream_of_this_box_is_taken_up_at_the_version_that_began_it(software: str) -> None:
    other = "v2" if software == "v1" else "v1"
    for _ in range(6):
        with box_with((other, writing(other)), (software, writing(software))) as box:
            progress = RequestProgress(make_request(request_id="r0"), ROUTE, "s")
            box.origins.record_begun(progress, software)
            assert take_up(box) == (200, rest_from(software))
            assert box.others.asked == []


def test_a_stream_of_another_box_is_taken_up_at_the_version_that_it_knows() -> None:
    for _ in range(6):
        with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
            box.others.known["r0"] = Origin("s", "v2")
            assert take_up(box) == (200, rest_from("v2"))


def test_a_stream_that_is_taken_up_again_is_known_by_its_first_request() -> None:
    with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
        box.others.known["r0"] = Origin("s", "v2")
        take_up(box)
        box.others.known.clear()
        assert take_up(box, last_event_id="3") == (200, event(4, "v2"))


def test_what_is_known_of_another_service_does_not_decide() -> None:
    with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
        box.others.known["r0"] = Origin("other", "v2")
        assert take_up(box)[0] == 503


def test_a_stream_of_a_split_route_goes_on_at_the_service_that_began_it() -> None:
    route = msgspec.structs.replace(ROUTE, shares=(Share("s", 1e-9), Share("t", 1.0)))
    with box_with(("v1", writing("v1")), ("v2", writing("v2")), route=route) as box:
        box.others.known["r0"] = Origin("s", "v2")
        assert take_up(box) == (200, rest_from("v2"))


def test_a_stream_whose_version_is_gone_is_refused_at_once() -> None:
    with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
        box.others.known["r0"] = Origin("s", "v3")
        began_at = monotonic()
        status, body = take_up(box)
        assert (status, body) == (503, b'{"error":"other_software"}')
        assert monotonic() - began_at < 1.0


def test_a_stream_without_a_first_request_goes_on_only_while_one_version_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for versions, status in ((("v1", "v1"), 200), (("v1", "v2"), 503)):
        with box_with(*((software, writing(software)) for software in versions)) as box:
            box.history.update()
            with monkeypatch.context() as patched:
                later = monotonic() + STREAM_LIFE_S
                patched.setattr(software_history, "monotonic", lambda at=later: at)
                assert take_up(box, resumes="")[0] == status
            assert box.others.asked == []


@contextmanager
def one_version_known(monkeypatch: pytest.MonkeyPatch, box: Box) -> Iterator[None]:
    """Let a box have known the versions in its directory for the life of a stream."""
    box.history.update()
    with monkeypatch.context() as patched:
        later = monotonic() + STREAM_LIFE_S
        patched.setattr(software_history, "monotonic", lambda: later)
        yield


def test_a_box_that_is_out_of_step_does_not_decide_by_the_versions_that_it_has_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stream of a new version that goes on at the only one this box knows."""
    with box_with(("v1", writing("v1"))) as box, one_version_known(monkeypatch, box):
        box.refresh_replicas = lambda: False
        box.others.known["r0"] = Origin("s", "v2")
        assert take_up(box) == (503, b'{"error":"other_software"}')
        box.others.known.clear()
        assert take_up(box) == (503, b'{"error":"stream_origin_unknown"}')
        assert take_up(box, resumes="") == (503, b'{"error":"stream_origin_unknown"}')


def test_a_new_version_is_read_before_a_stream_is_taken_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with (
        ScriptedReplica(writing("v2")) as new,
        box_with(("v1", writing("v1"))) as box,
        one_version_known(monkeypatch, box),
    ):

        def _read_new() -> bool:
            box.add("i-2", new, "v2")
            return True

        box.refresh_replicas = _read_new
        box.others.known["r0"] = Origin("s", "v2")
        assert take_up(box) == (200, rest_from("v2"))


def test_a_stream_of_this_box_needs_no_new_reading() -> None:
    with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
        box.refresh_replicas = lambda: False
        progress = RequestProgress(make_request(request_id="r0"), ROUTE, "s")
        box.origins.record_begun(progress, "v2")
        assert take_up(box) == (200, rest_from("v2"))


def test_a_request_that_takes_nothing_up_needs_no_origin() -> None:
    with box_with(("v1", writing("v1")), ("v2", writing("v2"))) as box:
        assert take_up(box, resumes="", last_event_id="")[0] == 200

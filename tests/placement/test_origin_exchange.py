"""Boxes that keep the origins of streams for each other, through the placers of zones."""

from __future__ import annotations

from collections.abc import Iterable

import gevent
import msgspec
import pytest
from gevent.queue import Queue

from springrock.clock import monotonic
from springrock.forwarding import software_history
from springrock.forwarding.configuration import RouteKind
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.errors import StreamOriginUnknown
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.software_history import (
    STREAM_LIFE_S,
    KnownVersions,
    SoftwareHistory,
)
from springrock.forwarding.stream_origins import Origin, OriginBook, StreamOrigins
from springrock.log import Log
from springrock.placement.messages import BegunStreams, Demand, OriginFound, encode
from springrock.placement.origin_exchange import OriginExchange
from springrock.placement.origin_questions import OriginQuestions
from springrock.placement.origin_rows import OriginRows
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import PlacerRow, key_of
from springrock.rows import Row
from springrock.store_clock import StoreClock
from tests.forwarding.test_values import make_request, make_route
from tests.placement.test_origin_rows import RowsStore

V1, V2 = Origin("s", "v1"), Origin("s", "v2")


class Box:
    """One box with its part of the exchange; it may be the placer of zones."""

    def __init__(self, *versions: str, store: RowsStore | None = None) -> None:
        self.own = OriginBook()
        self.history = SoftwareHistory(age_s=lambda: 0.0)
        for number, software in enumerate(versions):
            record = ReplicaRecord(
                instance=f"i-{number}", service="s", address="h:1", zone="z", software=software
            )
            self.history.apply_record(record, record.instance)
        self.links: dict[str, Link] = {}
        self.board = PlacerBoard(age_s=lambda: 0.0)
        clock = StoreClock()
        clock.record(monotonic(), sent_at=monotonic(), received_at=monotonic())
        told = OriginBook()
        self.store = store or RowsStore()
        self.rows = OriginRows(self.store, book=told, clock=clock, log=Log("origins", "box"))
        self.exchange = OriginExchange(
            own=self.own,
            of_others=told,
            rows=self.rows,
            history=self.history,
            links=lambda: dict(self.links),
            board=self.board,
            clock=clock,
        )

    def begin(self, request_id: str, origin: Origin) -> None:
        self.own.record(request_id, origin)
        self.exchange.tell_origin(request_id, origin)

    def version_for(self, resumes: str) -> str | None:
        """Return the version that a client's request for a stream is restricted to."""
        origins = StreamOrigins(
            own=self.own,
            history=self.history,
            refresh_replicas=lambda: True,
            other_boxes=self.exchange,
            log=Log("test", "box"),
        )
        request = make_request(resumes=resumes, last_event_id="2")
        progress = RequestProgress(request, make_route(kind=RouteKind.STREAMING), "s")
        origins.bind(progress)
        return progress.bounds.software


class Link:
    """A link to the box that places a zone; implements `PlacerLink`."""

    def __init__(self, placer: Box, *, answers: bool = True) -> None:
        self._placer = placer
        self._answers = answers
        self.keeps_origins = True
        self.placing = False
        self.placer = f"box-{id(placer)}"
        self.told: list[str] = []
        self.questions = OriginQuestions(on_update=lambda: gevent.spawn(self._deliver) and None)

    def tell(self, origins: Iterable[tuple[str, Origin]]) -> None:
        for request_id, origin in origins:
            self.told.append(request_id)
            self._placer.exchange.keep(BegunStreams(*origin, [request_id]), zone="zone-1")

    def _deliver(self) -> None:
        for question in self.questions.drain_updates():
            if self._answers:
                self.questions.record_found(self._placer.exchange.answer(question))


def linked(box: Box, placers: Iterable[Box]) -> Box:
    box.links = {f"zone-{number}": Link(placer) for number, placer in enumerate(placers)}
    return box


def test_two_placers_are_told_and_any_box_finds_a_stream_by_either() -> None:
    placers = [Box("v1", "v2") for _ in range(3)]
    first = linked(Box("v1", "v2"), placers)
    first.begin("r0", V2)
    assert [link.told for link in first.links.values()] == [["r0"], ["r0"], []]
    for lost in placers[:2]:
        other = linked(Box("v1", "v2"), [placer for placer in placers if placer is not lost])
        assert other.exchange.ask_origin("r0", "s") == V2


def test_an_unknown_stream_is_answered_as_unknown_by_placers_that_know_several_versions() -> None:
    box = linked(Box(), [Box("v1", "v2"), Box("v1", "v2")])
    assert box.exchange.ask_origin("r0", "s") is None


def test_a_placer_whose_rows_lag_does_not_decide_against_one_that_was_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started_at = monotonic()
    lagging, told = Box("v1"), Box("v1", "v2")
    lagging.history.update()
    monkeypatch.setattr(software_history, "monotonic", lambda: started_at + STREAM_LIFE_S + 1)
    told.exchange.keep(BegunStreams("s", "v2", ["r0"]), zone="zone-1")
    for box in (Box("v1"), Box("v1", "v2")):
        assert linked(box, [lagging, told]).exchange.ask_origin("r0", "s") == V2


def test_a_placer_whose_rows_lag_does_not_decide_for_a_box_that_knows_another_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started_at = monotonic()
    lagging = Box("v1")
    lagging.history.update()
    monkeypatch.setattr(software_history, "monotonic", lambda: started_at + STREAM_LIFE_S + 1)
    assert linked(Box("v1", "v2"), [lagging]).exchange.ask_origin("r0", "s") is None


def test_a_placer_that_vouches_for_one_version_answers_for_a_box_that_has_just_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started_at = monotonic()
    placer = Box("v1")
    placer.history.update()
    monkeypatch.setattr(software_history, "monotonic", lambda: started_at + STREAM_LIFE_S + 1)
    box = linked(Box("v1"), [placer])
    assert box.exchange.ask_origin("r0", "s") == V1


def test_what_a_box_was_told_decides_before_rows_that_do_not_show_the_version_yet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started_at = monotonic()
    box = Box("v1")
    box.history.update()
    monkeypatch.setattr(software_history, "monotonic", lambda: started_at + STREAM_LIFE_S + 1)
    box.exchange.keep(BegunStreams("s", "v2", ["r0"]), zone="zone-1")
    assert box.version_for("r0") == "v2"


def test_nothing_is_told_while_a_service_has_one_version_and_all_of_it_once_it_has_two(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    started_at = monotonic()
    placer, box = Box("v1"), Box("v1")
    linked(box, [placer])
    box.history.update()
    monkeypatch.setattr(software_history, "monotonic", lambda: started_at + STREAM_LIFE_S + 1)
    box.begin("r0", V1)
    box.exchange.update()
    assert box.links["zone-0"].told == []
    second = ReplicaRecord(instance="i-9", service="s", address="h:1", zone="z", software="v2")
    box.history.apply_record(second, "i-9")
    box.exchange.update()
    box.exchange.update()
    assert box.links["zone-0"].told == ["r0"]


def test_a_placer_that_was_lost_is_told_everything_once_it_is_linked_again() -> None:
    box = linked(Box("v1", "v2"), [Box("v1", "v2")])
    link = box.links["zone-0"]
    box.begin("r0", V1)
    box.exchange.forget_placer("zone-0")
    box.begin("r1", V2)
    assert sorted(link.told) == ["r0", "r0", "r1"]


def test_two_boxes_are_told_where_one_of_them_places_several_zones() -> None:
    placer, other = Box("v1", "v2"), Box("v1", "v2")
    box = linked(Box("v1", "v2"), [placer, placer, other])
    box.begin("r0", V1)
    assert [link.told for link in box.links.values()] == [["r0"], [], ["r0"]]


def test_a_zone_takes_the_place_of_one_that_was_lost() -> None:
    box = linked(Box("v1", "v2"), [Box("v1", "v2") for _ in range(3)])
    box.begin("r0", V1)
    box.links["zone-0"].keeps_origins = False
    box.exchange.update()
    assert box.links["zone-2"].told == ["r0"]


def test_boxes_that_all_start_again_know_from_the_placers_rows_what_served_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for versions, known in ((("v1",), "v1"), (("v1", "v2"), None)):
        with monkeypatch.context() as patched:
            began_at = monotonic()
            placer = Box(*versions)
            placer.history.update()
            patched.setattr(
                software_history, "monotonic", lambda at=began_at: at + STREAM_LIFE_S + 1
            )
            report = placer.exchange.report()
            assert report is not None
            row = PlacerRow(box="b", incarnation="", address="", fence=1, software=report)
            started = Box("v1")
            started.board.replace([Row(key_of("zone-0"), msgspec.json.encode(row), 1)])
            started.exchange.update()
            assert started.history.only_version("s") == known


def test_a_report_from_long_before_the_start_shows_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    began_at = monotonic()
    box = Box("v1")
    monkeypatch.setattr(software_history, "monotonic", lambda: began_at + 100)
    box.history.update()
    box.history.apply_report(KnownVersions(began_at + 89, {"s": ["v1"]}))
    assert box.history.only_version("s") is None
    box.history.apply_report(KnownVersions(began_at + 91, {"s": ["v1"]}))
    assert box.history.only_version("s") == "v1"


def test_a_box_that_does_not_know_enough_reports_nothing() -> None:
    assert Box("v1").exchange.report() is None


def test_what_placers_are_told_outlives_all_boxes() -> None:
    placer = Box("v1", "v2")
    linked(Box("v1", "v2"), [placer]).begin("r0", V2)
    placer.rows.save()
    assert len(placer.store.rows) == 1
    started_again = Box("v1", "v2", store=placer.store)
    assert started_again.version_for("r0") == "v2"
    with pytest.raises(StreamOriginUnknown):
        started_again.version_for("r1")


def test_the_only_placer_saves_its_own_streams() -> None:
    box = Box("v1", "v2")
    box.links = {"zone-1": Link(box)}
    box.links["zone-1"].keeps_origins = False
    box.links["zone-1"].placing = True
    box.begin("r0", V2)
    box.rows.save()
    assert Box("v1", "v2", store=box.store).version_for("r0") == "v2"


def test_silent_placers_delay_a_request_only_briefly() -> None:
    box = Box("v1", "v2")
    box.links = {"zone-0": Link(Box(), answers=False), "zone-1": Link(Box(), answers=False)}
    began_at = monotonic()
    assert box.exchange.ask_origin("r0", "s") is None
    assert monotonic() - began_at < 0.5


def test_a_lost_placer_answers_its_questions_with_unknown() -> None:
    answers: Queue[OriginFound | None] = Queue()
    questions = OriginQuestions(on_update=lambda: None)
    questions.ask("r0", "s", answers=answers)
    questions.forget_placer()
    assert answers.get_nowait() is None
    assert questions.drain_updates() == []


def test_a_stream_costs_few_bytes_to_tell() -> None:
    requests = [f"{number:016x}" for number in range(1000)]
    told = len(encode(Demand(begun=[BegunStreams("kati84a", "v1.2", requests)])))
    assert told < 20 * len(requests)

"""What a box takes for a crash, and which of its requests it reports."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine import crash_detector as crash_detector_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.crash_detector import CrashDetector
from springrock.quarantine.report import MAX_REQUESTS
from springrock.quarantine.terms import QuarantineTerms
from tests.worlds import NoReports, make_crash_detector

RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
GUILTY = Fingerprint("a" * 32)
OTHER = Fingerprint("b" * 32)
CONFIRMATION_S = 0.02


class Scene:
    """A witness with a book and a place for its reports; one crash convicts."""

    def __init__(self) -> None:
        terms = QuarantineTerms(crashes=1)
        self.book = CrashBook(terms=lambda: terms, log=Log("quarantine", "box-1"))
        self.reports = NoReports()
        self.crash_detector: CrashDetector = make_crash_detector(self.book, self.reports)

    def is_held(self, fingerprint: Fingerprint) -> bool:
        return self.book.quarantined_for_s(fingerprint) is not None

    def settle(self) -> list[list[str]]:
        gevent.sleep(2 * CONFIRMATION_S)
        return [item.requests for item in self.reports.published]


@pytest.fixture
def scene(monkeypatch: pytest.MonkeyPatch) -> Iterator[Scene]:
    monkeypatch.setattr(crash_detector_module, "_CRASH_CONFIRMATION_S", CONFIRMATION_S)
    yield Scene()


def test_all_that_broke_at_a_replica_is_held_at_once_and_reported_together(scene: Scene) -> None:
    for fingerprint in (GUILTY, OTHER, GUILTY):
        scene.crash_detector.record_break(fingerprint, RECORD)
    assert scene.is_held(GUILTY) and scene.is_held(OTHER)
    assert scene.settle() == [[GUILTY, OTHER]]
    assert scene.reports.published[0].instance == "i-1"
    assert scene.is_held(GUILTY)


def test_a_replica_that_answers_a_later_request_has_not_crashed(scene: Scene) -> None:
    scene.crash_detector.record_break(GUILTY, RECORD)
    scene.crash_detector.record_answered("i-1", sent_at=monotonic())
    assert not scene.is_held(GUILTY)
    assert scene.settle() == []


def test_an_answer_to_an_earlier_request_shows_nothing(scene: Scene) -> None:
    sent_at = monotonic()
    scene.crash_detector.record_break(GUILTY, RECORD)
    scene.crash_detector.record_answered("i-1", sent_at=sent_at)
    scene.crash_detector.record_answered("i-2", sent_at=monotonic() + 1.0)
    assert scene.settle() == [[GUILTY]]


def test_a_replica_that_is_out_of_reach_may_live(scene: Scene) -> None:
    scene.crash_detector.record_break(GUILTY, RECORD)
    scene.crash_detector.record_unreachable("i-1")
    assert not scene.is_held(GUILTY)
    assert scene.settle() == []


def test_the_end_of_a_leaving_replica_accuses_nobody(scene: Scene) -> None:
    scene.crash_detector.record_break(GUILTY, msgspec.structs.replace(RECORD, leaving=True))
    assert not scene.is_held(GUILTY)
    assert scene.settle() == []


def test_what_breaks_later_at_the_same_incarnation_makes_another_report(scene: Scene) -> None:
    scene.crash_detector.record_break(GUILTY, RECORD)
    scene.settle()
    scene.crash_detector.record_break(OTHER, RECORD)
    assert scene.settle() == [[GUILTY], [OTHER]]


def test_a_report_holds_no_more_than_the_last_so_many(scene: Scene) -> None:
    for number in range(MAX_REQUESTS + 5):
        scene.crash_detector.record_break(Fingerprint(f"{number:032x}"), RECORD)
    [requests] = scene.settle()
    assert len(requests) == MAX_REQUESTS
    assert requests[-1] == f"{MAX_REQUESTS + 4:032x}"

"""What a box treats as a crash, and which of its requests it reports."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import msgspec
import pytest

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.suspects import Suspects
from springrock.log import Log
from springrock.quarantine import crash_detector as crash_detector_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.crash_detector import CrashDetector
from springrock.quarantine.report import MAX_REQUESTS
from springrock.quarantine.terms import QuarantineTerms
from tests.factories import RecordingPublisher, make_crash_detector

RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-1")
CRASHING = Fingerprint("a" * 32)
OTHER = Fingerprint("b" * 32)
PART, OTHER_PART = Fingerprint("c" * 32), Fingerprint("d" * 32)
CONFIRMATION_S = 0.02


class Setup:
    """A detector with a book and its published reports; one crash is enough for a quarantine."""

    def __init__(self) -> None:
        terms = QuarantineTerms(crashes=1)
        self.book = CrashBook(terms=lambda: terms, log=Log("quarantine", "box-1"))
        self.reports = RecordingPublisher()
        self.out_of_reach: set[str] = set()
        self.crash_detector: CrashDetector = make_crash_detector(
            self.book, self.reports, is_out_of_reach=self.out_of_reach.__contains__
        )

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        return self.book.quarantined_for_s(Suspects(fingerprint)) is not None

    def wait_for_reports(self) -> list[list[str]]:
        gevent.sleep(2 * CONFIRMATION_S)
        return [item.requests for item in self.reports.published]


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> Iterator[Setup]:
    monkeypatch.setattr(crash_detector_module, "_CRASH_CONFIRMATION_S", CONFIRMATION_S)
    yield Setup()


def test_failed_requests_count_at_once_and_are_reported_together(
    setup: Setup,
) -> None:
    for fingerprint in (CRASHING, OTHER, CRASHING):
        setup.crash_detector.record_break(Suspects(fingerprint), RECORD, is_writing=False)
    assert setup.is_quarantined(CRASHING) and setup.is_quarantined(OTHER)
    assert setup.wait_for_reports() == [[CRASHING, OTHER]]
    assert setup.reports.published[0].instance == "i-1"
    assert setup.is_quarantined(CRASHING)


def test_a_replica_that_is_out_of_reach_once_its_connections_broke_has_not_crashed(
    setup: Setup,
) -> None:
    setup.out_of_reach.add(RECORD.address)
    setup.crash_detector.record_break(Suspects(CRASHING), RECORD, is_writing=False)
    assert setup.is_quarantined(CRASHING)
    assert setup.wait_for_reports() == []
    assert not setup.is_quarantined(CRASHING)


def test_a_replica_that_answers_a_later_request_has_not_crashed(setup: Setup) -> None:
    setup.crash_detector.record_break(Suspects(CRASHING), RECORD, is_writing=False)
    setup.crash_detector.record_answered("i-1", sent_at=monotonic())
    assert not setup.is_quarantined(CRASHING)
    assert setup.wait_for_reports() == []


def test_an_answer_to_an_earlier_request_is_ignored(setup: Setup) -> None:
    sent_at = monotonic()
    setup.crash_detector.record_break(Suspects(CRASHING), RECORD, is_writing=False)
    setup.crash_detector.record_answered("i-1", sent_at=sent_at)
    setup.crash_detector.record_answered("i-2", sent_at=monotonic() + 1.0)
    assert setup.wait_for_reports() == [[CRASHING]]


def test_an_unreachable_replica_is_not_reported(setup: Setup) -> None:
    setup.crash_detector.record_break(Suspects(CRASHING), RECORD, is_writing=False)
    setup.crash_detector.record_unreachable("i-1")
    assert not setup.is_quarantined(CRASHING)
    assert setup.wait_for_reports() == []


def test_the_end_of_a_leaving_replica_is_no_crash(setup: Setup) -> None:
    setup.crash_detector.record_break(
        Suspects(CRASHING), msgspec.structs.replace(RECORD, leaving=True), is_writing=False
    )
    assert not setup.is_quarantined(CRASHING)
    assert setup.wait_for_reports() == []


def test_a_later_failure_at_the_same_incarnation_makes_another_report(setup: Setup) -> None:
    setup.crash_detector.record_break(Suspects(CRASHING), RECORD, is_writing=False)
    setup.wait_for_reports()
    setup.crash_detector.record_break(Suspects(OTHER), RECORD, is_writing=False)
    assert setup.wait_for_reports() == [[CRASHING], [OTHER]]


def test_a_report_holds_only_the_latest_requests(setup: Setup) -> None:
    for number in range(MAX_REQUESTS + 5):
        setup.crash_detector.record_break(
            Suspects(Fingerprint(f"{number:032x}")), RECORD, is_writing=False
        )
    [requests] = setup.wait_for_reports()
    assert len(requests) == MAX_REQUESTS
    assert requests[-1] == f"{MAX_REQUESTS + 4:032x}"


def test_a_crash_counts_against_the_parts_of_requests_without_an_answer_only(setup: Setup) -> None:
    detector = setup.crash_detector
    detector.record_break(Suspects(CRASHING, (PART,)), RECORD, is_writing=False)
    detector.record_break(Suspects(OTHER, (OTHER_PART,)), RECORD, is_writing=True)
    assert setup.wait_for_reports() == [[CRASHING, OTHER]]
    assert setup.reports.published[0].shared == [PART]


def test_a_part_that_goes_well_before_the_report_is_not_in_it(setup: Setup) -> None:
    suspects = Suspects(CRASHING, (PART, OTHER_PART))
    setup.crash_detector.record_break(suspects, RECORD, is_writing=False)
    setup.crash_detector.record_writing([OTHER_PART])
    setup.wait_for_reports()
    assert setup.reports.published[0].shared == [PART]


def test_a_part_that_went_well_before_the_crash_is_not_reported(setup: Setup) -> None:
    setup.crash_detector.record_writing([OTHER_PART])
    suspects = Suspects(CRASHING, (PART, OTHER_PART))
    setup.crash_detector.record_break(suspects, RECORD, is_writing=False)
    setup.wait_for_reports()
    assert setup.reports.published[0].shared == [PART]

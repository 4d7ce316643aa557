"""Which requests are quarantined, by what was reported of crashes."""

from __future__ import annotations

import msgspec
import pytest

from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine import book as book_module
from springrock.quarantine.book import MAX_REPORTS, CrashBook
from springrock.quarantine.report import CrashReport
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Row

GUILTY = Fingerprint("a" * 32)
OTHER = Fingerprint("b" * 32)
TERMS = QuarantineTerms(crashes=3, for_s=900.0)


class Clock:
    """A clock that tests move."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(book_module, "monotonic", clock)
    return clock


@pytest.fixture
def book(clock: Clock) -> CrashBook:
    return CrashBook(terms=lambda: TERMS, log=Log("quarantine", "box-1"))


def report(instance: str, *requests: Fingerprint) -> CrashReport:
    return CrashReport("box-2", instance, [str(item) for item in requests])


def row(number: int, *requests: Fingerprint, instance: str = "") -> Row:
    value = msgspec.json.encode(report(instance or f"i-{number}", *requests))
    return Row(f"crash/{number}", value, 100 + number)


def test_a_request_is_quarantined_with_the_third_crash_and_no_other_is(book: CrashBook) -> None:
    for number in range(2):
        book.change(row(number, GUILTY, OTHER))
    assert book.quarantined_for_s(GUILTY) is None
    book.change(row(2, GUILTY))
    assert book.quarantined_for_s(GUILTY) == TERMS.for_s
    assert book.quarantined_for_s(OTHER) is None
    assert book.quarantined_count == 1


def test_what_one_more_crash_would_convict_gets_no_retry(book: CrashBook) -> None:
    assert book.may_be_retried(GUILTY)
    book.change(row(0, GUILTY))
    assert book.may_be_retried(GUILTY)
    book.change(row(1, GUILTY))
    assert not book.may_be_retried(GUILTY)
    assert book.quarantined_for_s(GUILTY) is None, "a new try may run once"


def test_a_crash_that_several_boxes_saw_is_one(book: CrashBook) -> None:
    for number in range(5):
        book.change(row(number, GUILTY, instance="i-1"))
    book.change(row(5, GUILTY, instance="i-2"))
    assert book.quarantined_for_s(GUILTY) is None


def test_what_this_box_saw_counts_at_once_and_not_again_when_its_row_is_read(
    book: CrashBook,
) -> None:
    for number in range(2):
        book.hold(f"crash/{number}", report(f"i-{number}", GUILTY))
        book.change(row(number, GUILTY))
    assert book.quarantined_for_s(GUILTY) is None
    book.hold("crash/2", report("i-2", GUILTY))
    assert book.quarantined_for_s(GUILTY) is not None


def test_what_is_withdrawn_was_no_crash(book: CrashBook) -> None:
    for number in range(3):
        book.hold(f"crash/{number}", report(f"i-{number}", GUILTY))
    book.withdraw("crash/1")
    assert book.quarantined_for_s(GUILTY) is None


def test_it_is_tried_again_when_so_many_crashes_have_lapsed(book: CrashBook, clock: Clock) -> None:
    for number in range(4):
        book.change(row(number, GUILTY))
        clock.now += 100.0
    # With the second of four lapsed two are left.
    assert book.quarantined_for_s(GUILTY) == TERMS.for_s - 300.0
    clock.now += TERMS.for_s - 300.0
    assert book.quarantined_for_s(GUILTY) is None
    assert book.quarantined_count == 0


def test_a_run_to_a_good_end_takes_back_what_was_held_against_it(book: CrashBook) -> None:
    rows = [row(number, OTHER) for number in range(2)]
    book.replace(rows)
    book.record_completion(OTHER)
    rows.append(row(2, OTHER))
    book.replace(rows)
    assert book.quarantined_for_s(OTHER) is None, "reading the table again brings nothing back"
    for number in (3, 4):
        book.change(row(number, OTHER))
    assert book.quarantined_for_s(OTHER) is not None, "it crashes what runs it since"


def test_what_comes_often_and_runs_well_is_accused_only_by_two_crashes_in_a_row(
    book: CrashBook,
) -> None:
    book.record_completion(OTHER)
    assert [book.consume_completion(OTHER), book.consume_completion(GUILTY)] == [True, False]
    assert [book.consume_completion(OTHER), book.consume_completion(GUILTY)] == [False, False]
    book.record_completion(OTHER)
    assert book.consume_completion(OTHER)


def test_a_row_that_an_operator_removes_releases_its_requests(book: CrashBook) -> None:
    for number in range(3):
        book.change(row(number, GUILTY))
    book.remove("crash/1")
    assert book.quarantined_for_s(GUILTY) is None
    book.remove("crash/unknown")


def test_a_whole_table_forgets_what_is_gone_but_not_what_is_yet_to_be_written(
    book: CrashBook,
) -> None:
    for number in range(2):
        book.change(row(number, GUILTY))
    book.hold("crash/9", report("i-9", GUILTY))
    book.replace([row(1, GUILTY)])
    book.change(row(2, GUILTY))
    assert book.quarantined_for_s(GUILTY) is not None, "i-1, i-2 and i-9"
    book.replace([])
    assert book.quarantined_for_s(GUILTY) is None


@pytest.mark.parametrize("value", [b"\xff", b"{}", b'{"box":1,"instance":"i","requests":["x"]}'])
def test_a_row_that_is_no_report_accuses_nobody(book: CrashBook, value: bytes) -> None:
    book.change(Row("crash/1", value, 7))
    book.replace([Row("crash/1", value, 7)])
    assert book.quarantined_count == 0


def test_a_box_holds_no_more_than_so_many_reports(
    book: CrashBook, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(book_module, "_MAX_HELD", 3)
    for number in range(3):
        book.hold(f"crash/{number}", report(f"i-{number}", GUILTY))
    assert book.quarantined_for_s(GUILTY) is not None
    book.hold("crash/3", report("i-3", OTHER))
    assert book.quarantined_for_s(GUILTY) is None, "the oldest went"


def test_old_rows_and_those_beyond_the_bound_may_go(book: CrashBook, clock: Clock) -> None:
    book.change(row(0, GUILTY))
    clock.now += 50.0
    for number in range(1, MAX_REPORTS + 3):
        book.change(row(number, OTHER))
    book.hold("crash/unwritten", report("i", GUILTY))
    assert [item.key for item in book.stale(older_than_s=100.0)] == [
        f"crash/{number}" for number in range(3)
    ]
    clock.now += 60.0
    [first, *_] = book.stale(older_than_s=100.0)
    assert (first.key, first.version) == ("crash/0", 100)
    clock.now += 50.0
    assert len(book.stale(older_than_s=100.0)) == MAX_REPORTS + 3

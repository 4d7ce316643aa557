"""Which requests are quarantined, given the reports of crashes."""

from __future__ import annotations

import msgspec
import pytest

from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.suspects import Suspects
from springrock.log import Journal, Log
from springrock.quarantine import book as book_module
from springrock.quarantine import exemptions as exemptions_module
from springrock.quarantine import trials as trials_module
from springrock.quarantine.book import MAX_REPORTS, CrashBook
from springrock.quarantine.report import CrashReport
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Row

CRASHING = Fingerprint("a" * 32)
OTHER = Fingerprint("b" * 32)
PART, OTHER_PART = Fingerprint("c" * 32), Fingerprint("d" * 32)
TERMS = QuarantineTerms(crashes=3, for_s=900.0)


class Clock:
    """A clock set by hand."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (book_module, exemptions_module, trials_module):
        monkeypatch.setattr(module, "monotonic", clock)
    return clock


@pytest.fixture
def book(clock: Clock) -> CrashBook:
    return CrashBook(terms=lambda: TERMS, log=Log("quarantine", "box-1"))


def report(instance: str, *requests: Fingerprint) -> CrashReport:
    return CrashReport("box-2", instance, [str(item) for item in requests])


def shared_row(number: int, *shared: Fingerprint) -> Row:
    """Return the row of a crash of which different requests are suspected, with the same parts."""
    request = f"{number:032x}"
    value = CrashReport("box-2", f"i-{number}", [request], [str(item) for item in shared])
    return Row(f"crash/{number}", msgspec.json.encode(value), 100 + number)


def cleared_row(number: int, *cleared: Fingerprint) -> Row:
    value = CrashReport("box-3", "", [], cleared=[str(item) for item in cleared])
    return Row(f"crash/{number}", msgspec.json.encode(value), 100 + number)


def holds(book: CrashBook, *shared: Fingerprint) -> bool:
    """Whether a new request with some shared suspects is quarantined."""
    return book.quarantined_for_s(Suspects(Fingerprint("9" * 32), shared)) is not None


def row(number: int, *requests: Fingerprint, instance: str = "") -> Row:
    value = msgspec.json.encode(report(instance or f"i-{number}", *requests))
    return Row(f"crash/{number}", value, 100 + number)


def test_a_request_is_quarantined_with_the_third_crash_and_no_other_is(book: CrashBook) -> None:
    for number in range(2):
        book.change(row(number, CRASHING, OTHER))
    assert book.quarantined_for_s(Suspects(CRASHING)) is None
    book.change(row(2, CRASHING))
    assert book.quarantined_for_s(Suspects(CRASHING)) == TERMS.for_s
    assert book.quarantined_for_s(Suspects(OTHER)) is None
    assert book.quarantined_count == 1


def test_a_request_that_one_more_crash_would_quarantine_is_not_retried(book: CrashBook) -> None:
    assert book.may_be_retried(Suspects(CRASHING))
    book.change(row(0, CRASHING))
    assert book.may_be_retried(Suspects(CRASHING))
    book.change(row(1, CRASHING))
    assert not book.may_be_retried(Suspects(CRASHING))
    assert book.quarantined_for_s(Suspects(CRASHING)) is None, "a new request may run once"


def test_a_crash_that_several_boxes_report_counts_once(book: CrashBook) -> None:
    for number in range(5):
        book.change(row(number, CRASHING, instance="i-1"))
    book.change(row(5, CRASHING, instance="i-2"))
    assert book.quarantined_for_s(Suspects(CRASHING)) is None


def test_an_own_report_counts_at_once_and_not_again_when_its_row_is_read(
    book: CrashBook,
) -> None:
    for number in range(2):
        book.add_own(f"crash/{number}", report(f"i-{number}", CRASHING))
        book.change(row(number, CRASHING))
    assert book.quarantined_for_s(Suspects(CRASHING)) is None
    book.add_own("crash/2", report("i-2", CRASHING))
    assert book.quarantined_for_s(Suspects(CRASHING)) is not None


def test_a_withdrawn_report_does_not_count(book: CrashBook) -> None:
    for number in range(3):
        book.add_own(f"crash/{number}", report(f"i-{number}", CRASHING))
    book.withdraw("crash/1")
    assert book.quarantined_for_s(Suspects(CRASHING)) is None


def test_the_quarantine_ends_when_enough_crashes_have_expired(
    book: CrashBook, clock: Clock
) -> None:
    for number in range(4):
        book.change(row(number, CRASHING))
        clock.now += 100.0
    # Two are left once the second of the four has expired.
    assert book.quarantined_for_s(Suspects(CRASHING)) == TERMS.for_s - 300.0
    clock.now += TERMS.for_s - 300.0
    assert book.quarantined_for_s(Suspects(CRASHING)) is None
    assert book.quarantined_count == 0


def test_a_completed_run_clears_the_crashes_counted_so_far(book: CrashBook) -> None:
    rows = [row(number, OTHER) for number in range(2)]
    book.replace(rows)
    book.record_completion(OTHER)
    rows.append(row(2, OTHER))
    book.replace(rows)
    assert book.quarantined_for_s(Suspects(OTHER)) is None, (
        "reading the table again restores nothing"
    )
    for number in (3, 4):
        book.change(row(number, OTHER))
    assert book.quarantined_for_s(Suspects(OTHER)) is not None, (
        "it has crashed replicas since it completed"
    )


def test_each_completion_exempts_a_request_from_one_crash(
    book: CrashBook,
) -> None:
    book.record_completion(OTHER)
    assert [book.consume_completion(OTHER), book.consume_completion(CRASHING)] == [True, False]
    assert [book.consume_completion(OTHER), book.consume_completion(CRASHING)] == [False, False]
    book.record_completion(OTHER)
    assert book.consume_completion(OTHER)


def test_removing_a_row_releases_its_requests(book: CrashBook) -> None:
    for number in range(3):
        book.change(row(number, CRASHING))
    book.remove("crash/1")
    assert book.quarantined_for_s(Suspects(CRASHING)) is None
    book.remove("crash/unknown")


def test_a_full_read_drops_reports_that_are_gone_but_not_unwritten_ones(
    book: CrashBook,
) -> None:
    for number in range(2):
        book.change(row(number, CRASHING))
    book.add_own("crash/9", report("i-9", CRASHING))
    book.replace([row(1, CRASHING)])
    book.change(row(2, CRASHING))
    assert book.quarantined_for_s(Suspects(CRASHING)) is not None, "i-1, i-2 and i-9"
    book.replace([])
    assert book.quarantined_for_s(Suspects(CRASHING)) is None


@pytest.mark.parametrize("value", [b"\xff", b"{}", b'{"box":1,"instance":"i","requests":["x"]}'])
def test_a_malformed_row_is_ignored(book: CrashBook, value: bytes) -> None:
    book.change(Row("crash/1", value, 7))
    book.replace([Row("crash/1", value, 7)])
    assert book.quarantined_count == 0


def test_a_box_holds_a_limited_number_of_reports(
    book: CrashBook, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(book_module, "_MAX_HELD", 3)
    for number in range(3):
        book.add_own(f"crash/{number}", report(f"i-{number}", CRASHING))
    assert book.quarantined_for_s(Suspects(CRASHING)) is not None
    book.add_own("crash/3", report("i-3", OTHER))
    assert book.quarantined_for_s(Suspects(CRASHING)) is None, "the oldest was dropped"


def test_old_rows_and_those_beyond_the_limit_are_stale(book: CrashBook, clock: Clock) -> None:
    book.change(row(0, CRASHING))
    clock.now += 50.0
    for number in range(1, MAX_REPORTS + 3):
        book.change(row(number, OTHER))
    book.add_own("crash/unwritten", report("i", CRASHING))
    assert [item.key for item in book.stale(older_than_s=100.0)] == [
        f"crash/{number}" for number in range(3)
    ]
    clock.now += 60.0
    [first, *_] = book.stale(older_than_s=100.0)
    assert (first.key, first.version) == ("crash/0", 100)
    clock.now += 50.0
    assert len(book.stale(older_than_s=100.0)) == MAX_REPORTS + 3


def test_requests_with_a_part_are_quarantined_with_its_third_crash(book: CrashBook) -> None:
    for number in range(2):
        book.change(shared_row(number, PART, OTHER_PART))
    assert not holds(book, PART)
    book.change(shared_row(2, PART))
    assert holds(book, PART) and holds(book, OTHER_PART, PART)
    assert not holds(book, OTHER_PART)


def test_a_request_with_a_part_that_one_more_crash_would_quarantine_is_not_retried(
    book: CrashBook,
) -> None:
    suspects = Suspects(Fingerprint("9" * 32), (PART,))
    book.change(shared_row(0, PART))
    assert book.may_be_retried(suspects)
    book.change(shared_row(1, PART))
    assert not book.may_be_retried(suspects)


def test_what_ran_beside_a_known_cause_may_be_retried(book: CrashBook) -> None:
    for number in range(4):
        book.change(shared_row(number, PART, *(OTHER_PART,) * (number < 2)))
    assert book.may_be_retried(Suspects(Fingerprint("9" * 32), (OTHER_PART,)))


def test_an_answer_with_a_part_clears_it(book: CrashBook) -> None:
    for number in range(3):
        book.change(shared_row(number, PART))
    book.record_writing([PART])
    assert not holds(book, PART)


def test_a_part_that_went_well_is_exempt_from_one_burst_of_crashes(
    book: CrashBook, clock: Clock
) -> None:
    book.record_writing([PART])
    for number in range(5):
        clock.now += 0.1
        book.change(shared_row(number, PART))
    assert not holds(book, PART), "replicas of a zone that is lost end together"
    for number in range(5, 10):
        clock.now += 1.0
        book.change(shared_row(number, PART))
    assert not holds(book, PART), "what went well needs more crashes"
    book.change(shared_row(10, PART))
    assert holds(book, PART)


@pytest.mark.parametrize(("crashes", "told"), [(1, []), (2, [PART]), (3, [PART])])
def test_a_box_tells_what_it_has_cleared_if_one_more_crash_would_count(
    book: CrashBook, crashes: int, told: list[Fingerprint]
) -> None:
    cleared: list[Fingerprint] = []
    book.on_cleared = cleared.append
    for number in range(crashes):
        book.change(shared_row(number, PART))
    book.record_writing([PART, OTHER_PART])
    book.record_writing([PART])
    assert cleared == told


def test_what_another_box_has_cleared_counts_only_crashes_since(book: CrashBook) -> None:
    rows = [shared_row(number, PART) for number in range(3)]
    for item in rows:
        book.change(item)
    book.change(cleared_row(3, PART))
    assert not holds(book, PART)
    for number in range(4, 7):
        book.change(shared_row(number, PART))
    assert holds(book, PART)


def test_a_box_that_starts_applies_clearances_to_earlier_crashes_only(book: CrashBook) -> None:
    rows = [shared_row(number, PART, OTHER_PART) for number in range(6)]
    book.replace([cleared_row(6, PART), *reversed(rows), shared_row(7, PART)])
    assert holds(book, OTHER_PART)
    assert not holds(book, PART)


def test_a_report_of_the_previous_release_counts_against_requests_alone(book: CrashBook) -> None:
    for number in range(3):
        value = {"box": "box-4", "instance": f"i-{number}", "requests": [str(CRASHING)]}
        book.change(Row(f"crash/{number}", msgspec.json.encode(value), 100 + number))
    assert book.quarantined_for_s(Suspects(CRASHING)) is not None
    assert not holds(book, PART)


def test_a_new_cause_is_logged_with_its_crashes_and_the_boxes_that_reported_them(
    clock: Clock,
) -> None:
    journal = Journal()
    book = CrashBook(terms=lambda: TERMS, log=Log("quarantine", "box-1", journal))
    for number in range(3):
        book.change(shared_row(number, PART))
    book.add_own("crash/own", CrashReport("box-1", "i-2", [], [str(PART)]))
    [line] = journal.lines_with("for_s", 900)  # type: ignore[arg-type]
    assert line.text == "quarantine: Requests are quarantined."
    assert line.fields["suspects"] == [PART.short]
    assert line.fields["instances"] == ["i-0", "i-1", "i-2"]
    assert line.fields["reported_by"] == ["box-2"]


@pytest.mark.parametrize(("box", "tries"), [("box-2", 1), ("box-1", 0)])
def test_one_box_sends_one_request_with_a_quarantined_part_after_some_seconds(
    clock: Clock, box: str, tries: int
) -> None:
    book = CrashBook(box=box, terms=lambda: TERMS, log=Log("quarantine", box))
    for number in range(3):
        book.change(shared_row(number, PART))
    requests = [Suspects(Fingerprint(f"{number:032x}"), (PART,)) for number in range(90, 95)]

    def _sent() -> list[Suspects]:
        return [item for item in requests if book.quarantined_for_s(item) is None]

    assert _sent() == []
    old = CrashReport("box-0", "i-0", [str(CRASHING)])
    book.change(Row("crash/old", msgspec.json.encode(old), 99))
    clock.now += 20.0
    sent = _sent()
    assert len(sent) == tries
    assert _sent() == sent, "the same request may be asked for again"
    assert not any(book.may_be_retried(item) for item in sent)
    book.change(shared_row(3, PART))
    clock.now += 79.0
    assert _sent() == []
    clock.now += 1.0
    assert len(_sent()) == tries


def test_a_part_is_released_by_the_answer_to_its_trial(clock: Clock) -> None:
    book = CrashBook(box="box-2", terms=lambda: TERMS, log=Log("quarantine", "box-2"))
    cleared: list[Fingerprint] = []
    book.on_cleared = cleared.append
    for number in range(3):
        book.change(shared_row(number, PART))
    clock.now += 20.0
    assert not holds(book, PART)
    book.record_writing([PART])
    assert cleared == [PART]
    assert book.quarantined_count == 0


def test_a_quarantined_request_that_shares_nothing_is_not_tried(clock: Clock) -> None:
    book = CrashBook(box="box-2", terms=lambda: TERMS, log=Log("quarantine", "box-2"))
    for number in range(3):
        book.change(row(number, CRASHING))
    clock.now += 20.0
    assert book.quarantined_for_s(Suspects(CRASHING)) is not None


def test_a_trial_without_a_crash_is_repeated_after_the_same_time(clock: Clock) -> None:
    book = CrashBook(box="box-2", terms=lambda: TERMS, log=Log("quarantine", "box-2"))
    for number in range(3):
        book.change(shared_row(number, PART))
    sent = []
    for number in range(50):
        suspects = Suspects(Fingerprint(f"{number:032x}"), (PART,))
        if book.quarantined_for_s(suspects) is None:
            sent.append(number)
        clock.now += 1.0
    assert sent == [20, 40]


@pytest.mark.parametrize("kind", ["whole", "shared"])
def test_a_withdrawn_report_leaves_nothing_of_a_version_that_another_replaced(
    book: CrashBook, kind: str
) -> None:
    """Guards against a `KeyError` at every later request with a suspect that fell out."""

    def _own(number: int, suspect: Fingerprint) -> CrashReport:
        if kind == "whole":
            return CrashReport("box-1", f"i-{number}", [str(suspect)])
        return CrashReport("box-1", f"i-{number}", [f"{number:032x}"], [str(suspect)])

    for number in range(TERMS.crashes):
        for suspect in (CRASHING, OTHER):
            book.add_own(f"crash/{number}", _own(number, suspect))
        book.withdraw(f"crash/{number}")
    for suspect in (CRASHING, OTHER):
        suspects = Suspects(suspect, (suspect,))
        assert book.quarantined_for_s(suspects) is None
        assert book.may_be_retried(suspects)
    assert book.quarantined_count == 0

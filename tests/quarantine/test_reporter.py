"""How crash reports are written to the store, and removed from it."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import pytest

from springrock.forwarding.fingerprint import Fingerprint
from springrock.log import Log
from springrock.quarantine import reporter as reporter_module
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import CrashReport, report_from
from springrock.quarantine.reporter import Reporter
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import ABSENT_VERSION, Row, RowConflict, RowStoreUnavailable
from tests.processes import wait_until

TABLE = "springrock"
REPORT = CrashReport("box-1", "i-1", ["a" * 32])


class ScriptedStore:
    """Keeps rows; fails `fails` times before and `loses_answers` times after a write."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.fails = 0
        self.loses_answers = 0
        self.calls = 0

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        self._expect(key, expected)
        self.rows[key] = Row(key, value, self.calls)
        self._lose_answer()
        return self.calls

    def remove(self, table: str, key: str, *, expected: int) -> None:
        self._expect(key, expected)
        del self.rows[key]
        self._lose_answer()

    def _expect(self, key: str, expected: int) -> None:
        self.calls += 1
        if self.fails:
            self.fails -= 1
            raise RowStoreUnavailable("scripted")
        existing = self.rows.get(key)
        if (existing.version if existing else ABSENT_VERSION) != expected:
            raise RowConflict(existing)

    def _lose_answer(self) -> None:
        if self.loses_answers:
            self.loses_answers -= 1
            raise RowStoreUnavailable("the answer is lost")


class Setup:
    def __init__(self) -> None:
        self.store = ScriptedStore()
        terms = QuarantineTerms(for_s=0.0)
        self.book = CrashBook(terms=lambda: terms, log=Log("quarantine", "box-1"))
        self.reporter = Reporter(
            self.store,
            box="box-1",
            table=TABLE,
            book=self.book,
            terms=lambda: terms,
            log=Log("q", "box-1"),
        )
        self.reporter.start()


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> Iterator[Setup]:
    monkeypatch.setattr(reporter_module, "_FIRST_RETRY_S", 0.01)
    setup = Setup()
    yield setup
    setup.reporter.stop()


def wait_for_rows(setup: Setup, count: int) -> None:
    import gevent

    def _is_written() -> bool:
        gevent.sleep(0.01)
        return len(setup.store.rows) == count and not setup.reporter._waiting

    wait_until(_is_written, within_s=5.0, what=f"{count} reports are written")


def test_a_written_report_decodes_to_the_same_report(setup: Setup) -> None:
    setup.reporter.publish("crash/1", REPORT)
    wait_for_rows(setup, 1)
    assert report_from(setup.store.rows["crash/1"]) == REPORT


@pytest.mark.parametrize("fault", ["fails", "loses_answers"])
def test_a_report_is_written_once_however_often_the_store_fails(setup: Setup, fault: str) -> None:
    setattr(setup.store, fault, 3)
    for number in range(3):
        setup.reporter.publish(f"crash/{number}", REPORT)
    wait_for_rows(setup, 3)


def test_if_too_many_reports_wait_the_oldest_are_dropped(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reporter_module, "_MAX_WAITING", 2)
    for number in range(4):
        setup.reporter.publish(f"crash/{number}", REPORT)
    wait_for_rows(setup, 2)
    assert set(setup.store.rows) == {"crash/2", "crash/3"}


def test_own_reports_that_a_restored_store_has_lost_are_written_again_at_once(setup: Setup) -> None:
    for number in (1, 2):
        setup.reporter.publish(f"crash/{number}", REPORT)
    wait_for_rows(setup, 2)
    setup.book.replace([setup.store.rows["crash/1"]])
    lost = [setup.store.rows.pop(key) for key in ("crash/1", "crash/2")]
    setup.reporter.write_again(lost[:1])
    wait_for_rows(setup, 2)


def test_lost_reports_of_a_box_that_is_gone_are_written_again_by_another(
    setup: Setup, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reporter_module, "_MIN_REWRITE_DELAY_S", 0.1)
    monkeypatch.setattr(reporter_module, "_MAX_REWRITE_DELAY_S", 0.2)
    value = msgspec.json.encode(CrashReport("box-gone", "i-2", []))
    lost = [Row(f"crash/{number}", value, number) for number in (1, 2)]
    setup.book.replace(lost)
    setup.reporter.write_again(lost)
    # The second one is read before this box's delay has passed.
    setup.book.change(Row("crash/2", value, 9))
    wait_for_rows(setup, 1)
    assert set(setup.store.rows) == {"crash/1"}


def test_old_rows_are_removed_whoever_wrote_them(setup: Setup) -> None:
    fingerprint = str(Fingerprint("b" * 32))
    value = msgspec.json.encode(CrashReport("box-gone", "i-2", [fingerprint]))
    for number in (1, 2):
        setup.store.rows[f"crash/{number}"] = Row(f"crash/{number}", value, number)
    setup.book.replace(list(setup.store.rows.values()))
    setup.store.rows.pop("crash/1")
    setup.store.fails = 1
    setup.reporter.sweep()
    assert set(setup.store.rows) == {"crash/2"}, "the store did not answer"
    setup.reporter.sweep()
    assert setup.store.rows == {}, "a row that another box has removed is no error"

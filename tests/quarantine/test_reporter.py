"""How reports come into the store, and go from it."""

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
    """Keeps rows; fails as often as it is told, before or after it has written."""

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


class Scene:
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
def scene(monkeypatch: pytest.MonkeyPatch) -> Iterator[Scene]:
    monkeypatch.setattr(reporter_module, "_FIRST_RETRY_S", 0.01)
    scene = Scene()
    yield scene
    scene.reporter.stop()


def settled(scene: Scene, count: int) -> None:
    import gevent

    def _is_written() -> bool:
        gevent.sleep(0.01)
        return len(scene.store.rows) == count and not scene.reporter._waiting

    wait_until(_is_written, within_s=5.0, what=f"{count} reports are written")


def test_a_report_is_written_as_it_is_read(scene: Scene) -> None:
    scene.reporter.publish("crash/1", REPORT)
    settled(scene, 1)
    assert report_from(scene.store.rows["crash/1"]) == REPORT


@pytest.mark.parametrize("fault", ["fails", "loses_answers"])
def test_a_report_is_written_once_however_often_the_store_fails(scene: Scene, fault: str) -> None:
    setattr(scene.store, fault, 3)
    for number in range(3):
        scene.reporter.publish(f"crash/{number}", REPORT)
    settled(scene, 3)


def test_of_too_many_that_wait_the_oldest_are_given_up(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reporter_module, "_MAX_WAITING", 2)
    for number in range(4):
        scene.reporter.publish(f"crash/{number}", REPORT)
    settled(scene, 2)
    assert set(scene.store.rows) == {"crash/2", "crash/3"}


def test_own_reports_that_a_returned_store_lacks_are_written_again_at_once(scene: Scene) -> None:
    for number in (1, 2):
        scene.reporter.publish(f"crash/{number}", REPORT)
    settled(scene, 2)
    scene.book.replace([scene.store.rows["crash/1"]])
    lost = [scene.store.rows.pop(key) for key in ("crash/1", "crash/2")]
    scene.reporter.write_again(lost[:1])
    settled(scene, 2)


def test_reports_of_a_box_that_is_gone_are_written_again_by_another(
    scene: Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reporter_module, "_MIN_REWRITE_DELAY_S", 0.1)
    monkeypatch.setattr(reporter_module, "_MAX_REWRITE_DELAY_S", 0.2)
    value = msgspec.json.encode(CrashReport("box-gone", "i-2", []))
    lost = [Row(f"crash/{number}", value, number) for number in (1, 2)]
    scene.book.replace(lost)
    scene.reporter.write_again(lost)
    # The second is read again before it is this box's turn.
    scene.book.change(Row("crash/2", value, 9))
    settled(scene, 1)
    assert set(scene.store.rows) == {"crash/1"}


def test_old_rows_are_removed_whoever_wrote_them(scene: Scene) -> None:
    fingerprint = str(Fingerprint("b" * 32))
    value = msgspec.json.encode(CrashReport("box-gone", "i-2", [fingerprint]))
    for number in (1, 2):
        scene.store.rows[f"crash/{number}"] = Row(f"crash/{number}", value, number)
    scene.book.replace(list(scene.store.rows.values()))
    scene.store.rows.pop("crash/1")
    scene.store.fails = 1
    scene.reporter.sweep()
    assert set(scene.store.rows) == {"crash/2"}, "the store did not answer"
    scene.reporter.sweep()
    assert scene.store.rows == {}, "that another box was first is no matter"

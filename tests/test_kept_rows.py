"""Rows that a box keeps after the store was restored from an older copy, and for how long."""

from __future__ import annotations

import json
from collections.abc import Callable

import msgspec
import pytest

from springrock import unconfirmed_rows
from springrock.clock import monotonic
from springrock.eras import version_in
from springrock.forwarding.directory import Directory
from springrock.forwarding.evacuations import Evacuations
from springrock.kept_rows import operator_row_retention, own_row_retention, replica_retention
from springrock.log import Log
from springrock.platform.tables import OperatorTable, ReplicaTable
from springrock.quarantine.book import CrashBook
from springrock.quarantine.report import CrashReport
from springrock.quarantine.terms import QuarantineTerms
from springrock.rows import Change, Removed, Row, RowStore, TableListener, TableReading
from springrock.table_follower import TableFollower
from springrock.topology import Topology
from springrock.unconfirmed_rows import RetentionPeriods

LOG = Log("test", "box")


class Table:
    """A follower that gets readings of two eras."""

    def __init__(
        self, listener: TableListener, retention_of: Callable[[str], RetentionPeriods]
    ) -> None:
        store: RowStore = None  # type: ignore[assignment]
        self.follower = TableFollower(
            store, "table", listener, pause_s=0.0, retention_of=retention_of, log=LOG
        )
        full = TableReading("table", 0, version_in(1, 0), [], is_full_table=True)
        self.follower.apply_copy(full, newest_at=monotonic())

    def apply(self, version: int, *changes: Change) -> None:
        after = self.follower.version
        self.follower.apply_reading(TableReading("table", after, version, changes))

    def restore(self, *rows: Row) -> None:
        full = TableReading("table", 0, version_in(2, 1), rows, is_full_table=True)
        self.follower.apply_reading(full)


@pytest.fixture
def pass_s(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Advances the clock of followers."""
    offset_s = 0.0

    def _pass(seconds: float) -> None:
        nonlocal offset_s
        offset_s += seconds

    monkeypatch.setattr(unconfirmed_rows, "monotonic", lambda: monotonic() + offset_s)
    return _pass


def replica_row(key: str, version: int, state: str = "ready") -> Row:
    value = {
        "service": "calls",
        "address": "10.0.0.1:80",
        "zone": "zone-1",
        "slots": 2,
        "state": state,
    }
    return Row(key, json.dumps(value).encode(), version)


def evacuations() -> Evacuations:
    return Evacuations(Topology(home="zone-1", zones=("zone-1", "zone-2")), log=LOG)


def operator_table(evacuated: Evacuations) -> OperatorTable:
    return OperatorTable(
        on_configuration=lambda configuration: None,
        on_unreadable=lambda: None,
        on_version=lambda key, version: None,
        evacuations=evacuated,
        log=LOG,
    )


def test_a_zone_stays_evacuated_while_the_operator_may_write_it_again(
    pass_s: Callable[[float], None],
) -> None:
    evacuated = evacuations()
    table = Table(operator_table(evacuated), operator_row_retention)
    table.apply(version_in(1, 5), Row("evacuate/zone-1", b"{}", version_in(1, 5)))
    table.restore()
    assert evacuated.announced == {"zone-1"}
    pass_s(9.0)
    table.apply(version_in(2, 2))
    assert evacuated.announced == {"zone-1"}
    pass_s(2.0)
    table.apply(version_in(2, 3))
    assert evacuated.announced == frozenset(), "the store's state applies in the end"


def test_a_replica_that_left_is_not_restored_with_the_copy(
    pass_s: Callable[[float], None],
) -> None:
    directory = Directory(LOG)
    table = Table(
        ReplicaTable(
            directory, knows_zone=lambda zone: True, count_fault=lambda fault: None, log=LOG
        ),
        replica_retention,
    )
    table.apply(
        version_in(1, 5),
        replica_row("i-gone", version_in(1, 3)),
        replica_row("i-leaving", version_in(1, 4)),
        replica_row("i-young", version_in(1, 5)),
    )
    table.apply(
        version_in(1, 7),
        Removed("i-gone", version_in(1, 6)),
        replica_row("i-leaving", version_in(1, 7), state="draining"),
    )
    table.restore(
        replica_row("i-gone", version_in(2, 1)), replica_row("i-leaving", version_in(2, 1))
    )
    assert directory.find("i-gone") is None
    assert directory.leaving() == ("i-leaving",)
    assert directory.find("i-young") is not None, "its row was written after the copy was made"
    pass_s(2.5)
    table.apply(version_in(2, 2))
    assert directory.find("i-young") is None, "it has not written its row again"
    assert directory.find("i-gone") is not None, "its row was not removed again"


def test_a_request_stays_quarantined_and_a_removed_report_stays_removed(
    pass_s: Callable[[float], None],
) -> None:
    book = CrashBook(terms=lambda: QuarantineTerms(crashes=1, for_s=60.0), log=LOG)
    table = Table(book, own_row_retention)
    table.apply(version_in(1, 2), report_row("lost", "a"), report_row("swept", "b"))
    table.apply(version_in(1, 3), Removed("crash/swept", version_in(1, 3)))
    table.restore(report_row("swept", "b")._replace(version=version_in(2, 1)))
    assert book.quarantined_count == 1
    pass_s(3600.0)
    again = report_row("lost", "a")._replace(version=version_in(2, 2))
    table.follower.apply_reading(TableReading("table", version_in(2, 1), version_in(2, 2), [again]))
    assert book.version("crash/lost") == version_in(2, 2)
    assert book.version("crash/swept") == 0


def report_row(name: str, digit: str) -> Row:
    report = CrashReport("box-1", f"i-{name}", [digit * 32])
    return Row(f"crash/{name}", msgspec.json.encode(report), version_in(1, 2))

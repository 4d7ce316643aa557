"""The view of all boxes, and how often the session rows of all zones are read."""

from __future__ import annotations

import msgspec
import pytest

from springrock.coordination import members as members_module
from springrock.coordination.members import Members
from springrock.coordination.session import SESSION_PREFIX, SessionValue
from springrock.log import Journal, Log
from springrock.settings import LeaseSection
from springrock.wire.platform import Row

LEASE = LeaseSection()


class ScriptedTable:
    """A table of session rows that records the times at which the rows of all zones were read."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, Row] = {}
        self.full_reads_at: list[float] = []
        self.now = 100.0

    def add(self, box: str, zone: str) -> None:
        value = SessionValue(
            box=box, zone=zone, incarnation=f"of-{box}", peer_address="a:1", renewal=0
        )
        key = f"{SESSION_PREFIX}{zone}/{box}"
        self.rows_by_key[key] = Row(key=key, value=msgspec.json.encode(value), version=1)

    def rows(self, prefix: str) -> list[Row]:
        if prefix == SESSION_PREFIX:
            self.full_reads_at.append(self.now)
        return [row for key, row in self.rows_by_key.items() if key.startswith(prefix)]


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> ScriptedTable:
    table = ScriptedTable()
    monkeypatch.setattr(members_module, "monotonic", lambda: table.now)
    return table


def scan_repeatedly(table: ScriptedTable, members: Members, *, duration_s: float) -> None:
    """Scan as often as the background task does while the zone has no fault."""
    ends_at = table.now + duration_s
    while table.now < ends_at:
        members.scan()
        table.now += members.pause_s


def make_members(table: ScriptedTable) -> Members:
    return Members(
        table,  # type: ignore[arg-type]
        LEASE,
        zone="zone-2",
        is_scan_urgent=lambda: False,
        log=Log("members", "zone-2-b"),
    )


def test_boxes_of_other_zones_that_start_together_soon_find_each_other(
    table: ScriptedTable,
) -> None:
    """Two boxes that start together may each read the rows before the other has written its own.

    Without a link between them, they find each other only by reading the rows of all zones. When
    these were read only every 30 s, one box kept taking a paused box for the loads steward, and
    loaded at its own share of the rate, one adapter in 4 s.
    """
    table.add("zone-2-b", "zone-2")
    members = make_members(table)
    members.scan()
    table.add("zone-1-b", "zone-1")
    scan_repeatedly(table, members, duration_s=3.0)
    assert members.find("zone-1-b") is not None


def test_all_zones_are_read_less_often_the_longer_a_box_runs(table: ScriptedTable) -> None:
    table.add("zone-2-b", "zone-2")
    members = make_members(table)
    began_at = table.now
    scan_repeatedly(table, members, duration_s=300.0)
    early = [at for at in table.full_reads_at if at < began_at + 32.0]
    assert len(early) <= 7
    assert len(table.full_reads_at) - len(early) <= 300.0 / LEASE.all_zones_scan_every_s


@pytest.mark.parametrize("value", [b"no JSON", b'{"box":1}', b'{"more":' + b"[" * 100_000])
def test_a_malformed_row_hides_no_other_box_and_is_logged_once(value: bytes) -> None:
    table = ScriptedTable()
    table.add("zone-2-a", "zone-2")
    key = f"{SESSION_PREFIX}zone-2/odd"
    table.rows_by_key[key] = Row(key=key, value=value, version=1)
    journal = Journal()
    members = Members(
        table,  # type: ignore[arg-type]
        LEASE,
        zone="zone-2",
        log=Log("members", "zone-2-b", journal),
    )
    members.scan()
    members.scan()
    assert [member.box for member in members.live()] == ["zone-2-a"]
    assert len(journal.lines_with("key", key)) == 1

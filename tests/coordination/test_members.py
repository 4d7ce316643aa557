"""Which boxes a box knows, and when it reads of those of other zones."""

from __future__ import annotations

import msgspec
import pytest

from springrock.coordination import members as members_module
from springrock.coordination.members import Members
from springrock.coordination.session import SESSION_PREFIX, SessionValue
from springrock.log import Log
from springrock.settings import LeaseSection
from springrock.wire.platform import Row

LEASE = LeaseSection()


class ScriptedTable:
    """The session rows, and how often all of them were read."""

    def __init__(self) -> None:
        self.rows_of: dict[str, Row] = {}
        self.whole_reads_at: list[float] = []
        self.now = 100.0

    def add(self, box: str, zone: str) -> None:
        value = SessionValue(
            box=box, zone=zone, incarnation=f"of-{box}", peer_address="a:1", renewal=0
        )
        key = f"{SESSION_PREFIX}{zone}/{box}"
        self.rows_of[key] = Row(key=key, value=msgspec.json.encode(value), version=1)

    def rows(self, prefix: str) -> list[Row]:
        if prefix == SESSION_PREFIX:
            self.whole_reads_at.append(self.now)
        return [row for key, row in self.rows_of.items() if key.startswith(prefix)]


@pytest.fixture
def table(monkeypatch: pytest.MonkeyPatch) -> ScriptedTable:
    table = ScriptedTable()
    monkeypatch.setattr(members_module, "monotonic", lambda: table.now)
    return table


def follow(table: ScriptedTable, members: Members, *, for_s: float) -> None:
    """Scan as often as the task would while all is calm."""
    ends_at = table.now + for_s
    while table.now < ends_at:
        members.scan()
        table.now += members.pause_s


def make(table: ScriptedTable) -> Members:
    return Members(
        table,  # type: ignore[arg-type]
        LEASE,
        zone="zone-2",
        hurry=lambda: False,
        log=Log("members", "zone-2-b"),
    )


def test_a_box_soon_knows_those_of_other_zones_that_started_with_it(table: ScriptedTable) -> None:
    """Two boxes that start together may each read the rows just before the other's is there.

    No link tells them then, and while all is calm other zones were read every 30 s only. The one
    took a paused box for the steward meanwhile and loaded at its own share, one adapter in 4 s.
    """
    table.add("zone-2-b", "zone-2")
    members = make(table)
    members.scan()
    table.add("zone-1-b", "zone-1")
    follow(table, members, for_s=3.0)
    assert members.find("zone-1-b") is not None


def test_the_longer_it_runs_the_less_often_it_reads_of_all_zones(table: ScriptedTable) -> None:
    table.add("zone-2-b", "zone-2")
    members = make(table)
    began_at = table.now
    follow(table, members, for_s=300.0)
    early = [at for at in table.whole_reads_at if at < began_at + 32.0]
    assert len(early) <= 7
    assert len(table.whole_reads_at) - len(early) <= 300.0 / LEASE.all_zones_scan_every_s

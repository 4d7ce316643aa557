"""Evacuations by rows of the operator's table: which zones are announced and when they are cut."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from springrock.clock import monotonic
from springrock.forwarding import evacuations as evacuations_module
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.evacuations import Evacuations
from springrock.log import Log
from springrock.platform.tables import OperatorTable
from springrock.rows import Removed, Row, TableReading
from springrock.store_clock import StoreClock
from springrock.table_follower import TableFollower
from springrock.topology import Topology
from tests.test_table_follower import ScriptedStore

ZONES = ("z-1", "z-2", "z-3")
WITHIN_S = 5.0


class Clock:
    """A clock that tests advance, and the staleness of the change that is applied."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.staleness_s = 0.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(evacuations_module, "monotonic", lambda: clock.now)
    yield clock


def make_evacuations(clock: Clock | None = None, *, within_s: float = WITHIN_S) -> Evacuations:
    """Return the evacuations of a box; without a clock the staleness of changes is unknown."""
    return Evacuations(
        Topology(home="z-1", zones=ZONES),
        within_s=lambda: within_s,
        staleness_s=lambda: float("inf") if clock is None else clock.staleness_s,
        log=Log("test", "box-1"),
    )


def make_table(evacuations: Evacuations) -> OperatorTable:
    return OperatorTable(
        on_configuration=lambda configuration: None,
        on_unreadable=lambda: None,
        on_version=lambda key, version: None,
        evacuations=evacuations,
        log=Log("test", "box-1"),
    )


def evacuate(zone: str, version: int = 1) -> Row:
    return Row(f"evacuate/{zone}", b"{}", version)


def test_a_row_evacuates_a_zone_and_its_removal_ends_the_evacuation() -> None:
    evacuations = make_evacuations()
    reported: list[tuple[str, bool]] = []
    evacuations.on_change.append(lambda zone, evacuated: reported.append((zone, evacuated)))
    table = make_table(evacuations)
    table.change(evacuate("z-2"))
    table.change(evacuate("z-2"))
    assert evacuations.cut_zones == {"z-2"}
    table.remove("evacuate/z-2")
    table.remove("evacuate/z-2")
    assert evacuations.cut_zones == frozenset()
    assert evacuations.ended_at("z-2") is not None
    assert reported == [("z-2", True), ("z-2", False)]


def test_a_full_table_replaces_the_evacuations_of_all_zones() -> None:
    evacuations = make_evacuations()
    table = make_table(evacuations)
    table.replace([evacuate("z-2"), evacuate("z-3")])
    assert evacuations.cut_zones == {"z-2", "z-3"}
    table.replace([evacuate("z-3")])
    assert evacuations.cut_zones == {"z-3"}
    table.replace([])
    assert evacuations.cut_zones == frozenset()


def test_an_unreadable_row_evacuates_its_zone() -> None:
    evacuations = make_evacuations()
    make_table(evacuations).change(Row("evacuate/z-2", b"\xff{", 1))
    assert evacuations.cut_zones == {"z-2"}


def test_an_unknown_zone_is_ignored() -> None:
    evacuations = make_evacuations()
    evacuations.begin("elsewhere")
    evacuations.end("elsewhere")
    assert evacuations.cut_zones == frozenset()
    assert evacuations.ended_at("elsewhere") is None


def test_a_fresh_evacuation_is_announced_for_two_fifths_of_the_bound(clock: Clock) -> None:
    clock.staleness_s = 0.6
    evacuations = make_evacuations(clock)
    evacuations.begin("z-2")
    assert (evacuations.announced, evacuations.cut_zones) == ({"z-2"}, frozenset())
    clock.now += 0.4 * WITHIN_S - 0.001
    assert evacuations.cut_zones == frozenset()
    clock.now += 0.001
    assert (evacuations.announced, evacuations.cut_zones) == ({"z-2"}, {"z-2"})


@pytest.mark.parametrize(
    "staleness_s, announced_s", [(2.0, 2.0), (3.0, 1.0), (3.75, 0.25), (4.0, 0.0), (60.0, 0.0)]
)
def test_an_evacuation_that_may_be_old_is_cut_before_the_bound(
    clock: Clock, staleness_s: float, announced_s: float
) -> None:
    clock.staleness_s = staleness_s
    evacuations = make_evacuations(clock)
    evacuations.begin("z-2")
    assert evacuations.cut_in_s("z-2") == announced_s
    clock.now += announced_s
    assert evacuations.cut_zones == {"z-2"}


def test_a_full_table_cuts_new_evacuations_at_once_but_not_announced_ones(clock: Clock) -> None:
    evacuations = make_evacuations(clock)
    table = make_table(evacuations)
    table.change(evacuate("z-2"))
    table.replace([evacuate("z-2"), evacuate("z-3")])
    assert evacuations.announced == {"z-2", "z-3"}
    assert evacuations.cut_zones == {"z-3"}
    clock.now += 2.0
    assert evacuations.cut_zones == {"z-2", "z-3"}


def test_a_repeated_evacuation_of_a_zone_has_its_own_bound(
    clock: Clock,
) -> None:
    evacuations = make_evacuations(clock)
    evacuations.begin("z-2")
    clock.now += 3.0
    evacuations.end("z-2")
    assert evacuations.announced == evacuations.cut_zones == frozenset()
    clock.now += 0.5
    evacuations.begin("z-2")
    assert evacuations.cut_zones == frozenset()
    clock.now += 2.0
    assert evacuations.cut_zones == {"z-2"}


def test_listeners_are_notified_of_a_cut_once_and_not_after_the_evacuation_ended() -> None:
    clock = Clock()
    evacuations = make_evacuations(clock, within_s=0.05)
    cut: list[str] = []
    evacuations.on_cut.append(cut.append)
    evacuations.begin("z-2")
    evacuations.begin("z-3")
    evacuations.end("z-3")
    assert cut == []
    with gevent.Timeout(10):
        while not cut:
            gevent.sleep(0.005)
    assert evacuations.cut_zones == {"z-2"}
    clock.staleness_s = 60.0
    evacuations.begin("z-1")
    assert cut == ["z-2", "z-1"]


# With a follower of the operator's table.


def test_a_box_knows_evacuations_before_it_has_a_configuration() -> None:
    evacuations = make_evacuations()
    zones_at_configuration: list[frozenset[str]] = []

    def _record_zones(configuration: Configuration) -> None:
        zones_at_configuration.append(evacuations.cut_zones)

    table = OperatorTable(
        on_configuration=_record_zones,
        on_unreadable=lambda: None,
        on_version=lambda key, version: None,
        evacuations=evacuations,
        log=Log("test", "box-1"),
    )
    configuration = Row("config", b'{"version": 1, "routes": [], "services": []}', 1)
    table.replace([configuration, evacuate("z-2", 2)])
    assert zones_at_configuration == [frozenset({"z-2"})]


def test_a_partial_reading_of_another_box_does_not_count_as_the_full_table() -> None:
    evacuations = make_evacuations()
    follower = make_follower(evacuations)
    follower.apply_reading(TableReading("op", 4, 5, [Row("config", b"{}", 5)]))
    assert follower.age_s == float("inf")


def make_follower(evacuations: Evacuations, *, clock: StoreClock | None = None) -> TableFollower:
    """Return a follower of the operator's table that has not started to read."""
    return TableFollower(
        ScriptedStore(),
        "op",
        make_table(evacuations),
        pause_s=0.0,
        clock=clock,
        log=Log("test", "box-1"),
    )


def read_full_table(evacuations: Evacuations, *, clock: StoreClock | None = None) -> TableFollower:
    follower = make_follower(evacuations, clock=clock)
    follower.start()
    with gevent.Timeout(10):
        while follower.read_at is None:
            gevent.sleep(0.005)
    follower.stop()
    return follower


def test_relayed_readings_are_applied_in_the_order_of_the_store() -> None:
    evacuations = make_evacuations()
    follower = read_full_table(evacuations)
    gone = Removed("evacuate/z-2", 3)
    readings = [
        TableReading("op", 1, 2, [evacuate("z-2", 2)]),
        TableReading("op", 2, 3, [gone]),
        TableReading("op", 1, 2, [evacuate("z-2", 2)]),
        TableReading("op", 3, 4, [evacuate("z-2", 4)]),
        TableReading("op", 2, 3, [gone]),
        TableReading("op", 0, 5, [], is_full_table=True),
        TableReading("op", 0, 4, [evacuate("z-2", 4)], is_full_table=True),
    ]
    seen = []
    for reading in readings:
        follower.apply_reading(reading)
        seen.append(bool(evacuations.announced))
    assert seen == [True, False, False, True, True, False, False]


def test_a_gap_between_two_readings_is_not_skipped() -> None:
    evacuations = make_evacuations()
    follower = read_full_table(evacuations)
    follower.apply_reading(TableReading("op", 1, 2, [evacuate("z-2", 2)]))
    follower.apply_reading(TableReading("op", 3, 4, [Row("version/m.a", b"{}", 4)]))
    assert evacuations.announced == {"z-2"}
    follower.apply_reading(TableReading("op", 2, 4, [Removed("evacuate/z-2", 3)]))
    assert evacuations.announced == frozenset()


def test_the_age_of_a_relayed_evacuation_counts_from_the_staleness_before_it_arrived() -> None:
    # The announcement would take two fifths of the bound, but the latest time of the cut, at four
    # fifths, is over when the relayed reading arrives.
    evacuations = Evacuations(
        Topology(home="z-1", zones=ZONES),
        within_s=lambda: 0.25,
        staleness_s=lambda: follower.staleness_s,
        log=Log("test", "box-1"),
    )
    clock = StoreClock()
    clock.record(monotonic(), sent_at=monotonic(), received_at=monotonic())
    follower = read_full_table(evacuations, clock=clock)
    gevent.sleep(0.25)
    as_of_s = clock.earliest_store(monotonic())
    follower.apply_reading(TableReading("op", 1, 2, [evacuate("z-2", 2)], as_of_s=as_of_s))
    assert follower.staleness_s < 0.1, "the table counts as fresh afterwards"
    assert evacuations.cut_zones == {"z-2"}

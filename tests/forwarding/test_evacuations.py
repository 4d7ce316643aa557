"""Which zones are evacuated, as the operator's rows tell it, and from when on they get nothing."""

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
    """A clock that tests move, and the age of the news that is handed on."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.staleness_s = 0.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    clock = Clock()
    monkeypatch.setattr(evacuations_module, "monotonic", lambda: clock.now)
    yield clock


def make_evacuations(clock: Clock | None = None, *, within_s: float = WITHIN_S) -> Evacuations:
    """Return the evacuations of a box; without a clock it never knows how old news is."""
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


def test_a_row_evacuates_a_zone_and_its_removal_takes_it_back() -> None:
    evacuations = make_evacuations()
    reported: list[tuple[str, bool]] = []
    evacuations.on_change.append(lambda zone, evacuated: reported.append((zone, evacuated)))
    table = make_table(evacuations)
    table.change(evacuate("z-2"))
    table.change(evacuate("z-2"))
    assert evacuations.zones == {"z-2"}
    table.remove("evacuate/z-2")
    table.remove("evacuate/z-2")
    assert evacuations.zones == frozenset()
    assert evacuations.ended_at("z-2") is not None
    assert reported == [("z-2", True), ("z-2", False)]


def test_a_whole_table_tells_of_every_zone() -> None:
    evacuations = make_evacuations()
    table = make_table(evacuations)
    table.replace([evacuate("z-2"), evacuate("z-3")])
    assert evacuations.zones == {"z-2", "z-3"}
    table.replace([evacuate("z-3")])
    assert evacuations.zones == {"z-3"}
    table.replace([])
    assert evacuations.zones == frozenset()


def test_a_row_that_cannot_be_read_evacuates_its_zone_all_the_same() -> None:
    evacuations = make_evacuations()
    make_table(evacuations).change(Row("evacuate/z-2", b"\xff{", 1))
    assert evacuations.zones == {"z-2"}


def test_an_unknown_zone_is_passed_over() -> None:
    evacuations = make_evacuations()
    evacuations.begin("elsewhere")
    evacuations.end("elsewhere")
    assert evacuations.zones == frozenset()
    assert evacuations.ended_at("elsewhere") is None


def test_fresh_news_is_announced_for_two_fifths_of_the_bound(clock: Clock) -> None:
    clock.staleness_s = 0.6
    evacuations = make_evacuations(clock)
    evacuations.begin("z-2")
    assert (evacuations.announced, evacuations.zones) == ({"z-2"}, frozenset())
    clock.now += 0.4 * WITHIN_S - 0.001
    assert evacuations.zones == frozenset()
    clock.now += 0.001
    assert (evacuations.announced, evacuations.zones) == ({"z-2"}, {"z-2"})


@pytest.mark.parametrize(
    "staleness_s, announced_s", [(2.0, 2.0), (3.0, 1.0), (3.75, 0.25), (4.0, 0.0), (60.0, 0.0)]
)
def test_news_that_may_be_old_is_cut_before_the_bound(
    clock: Clock, staleness_s: float, announced_s: float
) -> None:
    clock.staleness_s = staleness_s
    evacuations = make_evacuations(clock)
    evacuations.begin("z-2")
    assert evacuations.cut_in_s("z-2") == announced_s
    clock.now += announced_s
    assert evacuations.zones == {"z-2"}


def test_what_a_whole_table_tells_is_cut_at_once_unless_it_was_announced(clock: Clock) -> None:
    evacuations = make_evacuations(clock)
    table = make_table(evacuations)
    table.change(evacuate("z-2"))
    table.replace([evacuate("z-2"), evacuate("z-3")])
    assert evacuations.announced == {"z-2", "z-3"}
    assert evacuations.zones == {"z-3"}
    clock.now += 2.0
    assert evacuations.zones == {"z-2", "z-3"}


def test_evacuated_again_right_after_it_was_taken_back_a_zone_has_a_bound_of_its_own(
    clock: Clock,
) -> None:
    evacuations = make_evacuations(clock)
    evacuations.begin("z-2")
    clock.now += 3.0
    evacuations.end("z-2")
    assert evacuations.announced == evacuations.zones == frozenset()
    clock.now += 0.5
    evacuations.begin("z-2")
    assert evacuations.zones == frozenset()
    clock.now += 2.0
    assert evacuations.zones == {"z-2"}


def test_who_listens_is_told_of_the_cut_once_and_not_after_it_was_taken_back() -> None:
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
    assert evacuations.zones == {"z-2"}
    clock.staleness_s = 60.0
    evacuations.begin("z-1")
    assert cut == ["z-2", "z-1"]


# With the follower of the operator's table.


def test_a_box_knows_evacuations_before_it_has_a_configuration() -> None:
    evacuations = make_evacuations()
    cut_then: list[frozenset[str]] = []

    def _take(configuration: Configuration) -> None:
        cut_then.append(evacuations.zones)

    table = OperatorTable(
        on_configuration=_take,
        on_unreadable=lambda: None,
        on_version=lambda key, version: None,
        evacuations=evacuations,
        log=Log("test", "box-1"),
    )
    configuration = Row("config", b'{"version": 1, "routes": [], "services": []}', 1)
    table.replace([configuration, evacuate("z-2", 2)])
    assert cut_then == [frozenset({"z-2"})]


def test_a_box_that_has_read_nothing_takes_no_word_of_another_one_for_the_whole_table() -> None:
    evacuations = make_evacuations()
    follower = make_follower(evacuations)
    follower.apply_reading(TableReading("op", 4, 5, [Row("config", b"{}", 5)]))
    assert follower.age_s == float("inf")


def make_follower(evacuations: Evacuations, *, clock: StoreClock | None = None) -> TableFollower:
    """Return a follower of the operator's table that has not begun to read."""
    return TableFollower(
        ScriptedStore(),
        "op",
        make_table(evacuations),
        pause_s=0.0,
        clock=clock,
        log=Log("test", "box-1"),
    )


def read_whole(evacuations: Evacuations, *, clock: StoreClock | None = None) -> TableFollower:
    follower = make_follower(evacuations, clock=clock)
    follower.start()
    with gevent.Timeout(10):
        while follower.read_at is None:
            gevent.sleep(0.005)
    follower.stop()
    return follower


def test_what_one_box_reads_takes_a_zone_back_at_another_in_the_order_of_the_store() -> None:
    evacuations = make_evacuations()
    follower = read_whole(evacuations)
    gone = Removed("evacuate/z-2", 3)
    readings = [
        TableReading("op", 1, 2, [evacuate("z-2", 2)]),
        TableReading("op", 2, 3, [gone]),
        TableReading("op", 1, 2, [evacuate("z-2", 2)]),
        TableReading("op", 3, 4, [evacuate("z-2", 4)]),
        TableReading("op", 2, 3, [gone]),
        TableReading("op", 0, 5, [], whole=True),
        TableReading("op", 0, 4, [evacuate("z-2", 4)], whole=True),
    ]
    seen = []
    for reading in readings:
        follower.apply_reading(reading)
        seen.append(bool(evacuations.announced))
    assert seen == [True, False, False, True, True, False, False]


def test_what_is_missing_between_two_readings_is_never_passed_over() -> None:
    evacuations = make_evacuations()
    follower = read_whole(evacuations)
    follower.apply_reading(TableReading("op", 1, 2, [evacuate("z-2", 2)]))
    follower.apply_reading(TableReading("op", 3, 4, [Row("version/m.a", b"{}", 4)]))
    assert evacuations.announced == {"z-2"}
    follower.apply_reading(TableReading("op", 2, 4, [Removed("evacuate/z-2", 3)]))
    assert evacuations.announced == frozenset()


def test_what_is_told_counts_from_what_was_known_before_it_was_told() -> None:
    # Two fifths of the bound are announced, and four fifths are over when the news comes.
    evacuations = Evacuations(
        Topology(home="z-1", zones=ZONES),
        within_s=lambda: 0.25,
        staleness_s=lambda: follower.staleness_s,
        log=Log("test", "box-1"),
    )
    clock = StoreClock()
    clock.record(monotonic(), sent_at=monotonic(), received_at=monotonic())
    follower = read_whole(evacuations, clock=clock)
    gevent.sleep(0.25)
    as_of_s = clock.earliest_store(monotonic())
    follower.apply_reading(TableReading("op", 1, 2, [evacuate("z-2", 2)], as_of_s=as_of_s))
    assert follower.staleness_s < 0.1, "from now on it is known to be fresh"
    assert evacuations.zones == {"z-2"}

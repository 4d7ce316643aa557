"""Which box acquires a free lease, and how often boxes that start together write for it."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest
from gevent.event import Event

from springrock.clock import monotonic
from springrock.log import Log
from springrock.placement import election as election_module
from springrock.placement.election import Election
from springrock.placement.lease import PlacerLease
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import key_of
from springrock.placement.settings import PlacementSettings
from springrock.placement.succession import HandoverTarget, Successor
from springrock.rows import Row
from tests.placement.test_lease import Store

ZONE = "zone-1"


class CountingStore(Store):
    """A store that counts writes and passes each row to all boards a few ms later."""

    def __init__(self) -> None:
        super().__init__()
        self.writes = 0
        self.boards: list[PlacerBoard] = []

    def write(self, table: str, key: str, value: bytes, *, expected: int) -> int:
        self.writes += 1
        gevent.sleep(0.002)
        version = super().write(table, key, value, expected=expected)
        gevent.spawn_later(0.002, self._notify, Row(key, value, version))
        return version

    def _notify(self, row: Row) -> None:
        for board in self.boards:
            board.change(row)


class NoLinks:
    """The client and links of a box that no box is linked to; any placer accepts it."""

    has_reaching_box = True

    def __init__(self) -> None:
        self.linked = False
        self.lost = Event()

    def link(self, address: str, *, incarnation: str) -> bool:
        self.linked = True
        return True

    def has_linked_box(self, home_zone: str, *, for_s: float, strength: float = 0.0) -> bool:
        return False

    def handover_target(self, home_zone: str) -> HandoverTarget | None:
        return None


class RecordingRole:
    """A role that records which boxes place."""

    def __init__(self, box: str, placing: list[str]) -> None:
        self._box = box
        self._placing = placing

    def begin_placing(self) -> None:
        self._placing.append(self._box)

    def end_placing(self) -> None:
        """Do nothing."""

    def send_heartbeat(self) -> None:
        """Do nothing, as no box is linked."""

    def send_successor(self, successor: Successor) -> None:
        """Do nothing, as no box is linked."""


def start_box(
    store: CountingStore,
    box: str,
    placing: list[str],
    *,
    strength: float = 2.0,
    lease_s: float = 3.0,
    cut_off: Callable[[], bool] = lambda: False,
    links: NoLinks | None = None,
    needs_placer: Callable[[], bool] | None = None,
) -> PlacerLease:
    """Start a box's part in the election before it has read the rows; return its lease.

    A box with `needs_placer` is being stopped.
    """
    board = PlacerBoard(age_s=lambda: 0.0)
    store.boards.append(board)
    links = links or NoLinks()
    lease = PlacerLease(
        store,
        zone=ZONE,
        box=box,
        address="127.0.0.1:1",
        incarnation=box,
        lease_s=lease_s,
        checks_fence=True,
        rows=board,
        log=Log("lease", box),
    )
    election = Election(
        ZONE,
        settings=PlacementSettings(box, ZONE, "127.0.0.1:1", lease_s, True, 1.0, 2.0, strength),
        lease=lease,
        board=board,
        client=links,  # type: ignore[arg-type]
        links=links,  # type: ignore[arg-type]
        incarnation=box,
        role=RecordingRole(box, placing),
        cut_off=cut_off,
    )
    if needs_placer is not None:
        election.stop(needs_placer=needs_placer)
    gevent.spawn(election.run)
    return lease


def wait_until(condition: Callable[[], bool]) -> None:
    """Run the boxes until a condition holds."""
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.01)


class ControlledSleeps:
    """Replaces `gevent` by sleeps that each last until a test ends them."""

    def __init__(self) -> None:
        self.pending: list[Event] = []

    def sleep(self, seconds: float) -> None:
        event = Event()
        self.pending.append(event)
        event.wait()


def test_only_one_of_many_boxes_that_start_together_writes_for_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sleeps = ControlledSleeps()
    monkeypatch.setattr(election_module, "gevent", sleeps)
    store = CountingStore()
    placing: list[str] = []
    for number in range(20):
        start_box(store, f"box-{number}", placing)
    gevent.sleep(0.01)
    for event in sleeps.pending:
        event.set()
    for board in store.boards:
        board.replace([])
    wait_until(lambda: len(sleeps.pending) == 20)
    for event in list(sleeps.pending):
        event.set()
        wait_until(lambda: bool(placing))
        wait_until(lambda: all(board.current_row(key_of(ZONE)) for board in store.boards))
    assert len(placing) == 1
    assert store.writes == 1


def test_no_box_acquires_a_lease_before_it_has_read_the_rows() -> None:
    store = CountingStore()
    placing: list[str] = []
    start_box(store, "one", placing)
    gevent.sleep(0.3)
    assert placing == []
    store.boards[0].replace([])
    wait_until(lambda: placing == ["one"])


def test_a_placer_that_is_cut_off_leaves_its_lease_no_sooner_than_a_lease_after_taking_it() -> None:
    """Else two boxes that lose the same engines take turns, and order at one engine in turns."""
    lease_s = 1.0
    store = CountingStore()
    placing: list[str] = []
    lease = start_box(store, "box-1", placing, lease_s=lease_s, cut_off=lambda: bool(placing))
    for board in store.boards:
        board.replace([])
    wait_until(lambda: lease.held)
    taken_at = monotonic()
    # It takes the lease again at once, as no other box is there.
    wait_until(lambda: len(placing) > 1)
    assert monotonic() - taken_at >= lease_s


def test_a_box_that_is_being_stopped_dials_no_placer_that_it_does_not_need() -> None:
    """Its process may end within the handshake, which the placer takes for a broken link."""
    store = CountingStore()
    placing: list[str] = []
    links = NoLinks()
    needed: list[str] = []
    start_box(store, "box-1", placing)
    start_box(store, "box-2", placing, links=links, needs_placer=lambda: bool(needed))
    for board in store.boards:
        board.replace([])
    wait_until(lambda: placing == ["box-1"])
    gevent.sleep(1.0)
    assert not links.linked
    needed.append("a request")
    wait_until(lambda: links.linked)
    assert placing == ["box-1"]

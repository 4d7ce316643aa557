"""The loads steward: the box that schedules the adapter loads of the whole deployment.

The weight store serves only one load at full speed, so the steward lets few loads run at once. The
steward is the first live box in rendezvous order. Its turns are advisory: a box that cannot reach
it loads at its share of the deployment's load rate, which costs only time.
"""

from __future__ import annotations

import itertools

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.coordination.link import Link
from springrock.coordination.members import Members
from springrock.coordination.peers import Peers
from springrock.errors import PeerUnreachable
from springrock.ids import rendezvous_order
from springrock.log import Log
from springrock.wire import peer as wire

_TURN_LIFETIME_S = 5.0
_TURN_TIMEOUT_S = 30.0


class QueuedLoad:
    """A load that waits at the steward for its turn.

    Attributes:
        replica: The replica that is to load the adapter.
        adapter: ``ADAPTER@VERSION``.
        value: How valuable the load is; the highest value goes first.
        order: The order of arrival.
        granted: Set when the load has its turn.
    """

    def __init__(self, replica: str, adapter: str, value: float, order: int) -> None:
        self.replica = replica
        self.adapter = adapter
        self.value = value
        self.order = order
        self.granted = Event()


class LoadQueue:
    """The steward's queue of waiting loads, and the turns that it has granted.

    Args:
        max_turns: How many loads may run at once.
        turn_lifetime_s: How long a turn lasts if its end is not reported.
    """

    def __init__(self, *, max_turns: int = 1, turn_lifetime_s: float = _TURN_LIFETIME_S) -> None:
        self._max_turns = max_turns
        self._turn_lifetime_s = turn_lifetime_s
        self._order = itertools.count()
        self._waiting: list[QueuedLoad] = []
        self._turn_ends: dict[str, float] = {}

    def add(self, replica: str, adapter: str, value: float) -> QueuedLoad:
        """Add a load to the queue, in place of an earlier waiting load of the same replica."""
        self._waiting = [load for load in self._waiting if load.replica != replica]
        load = QueuedLoad(replica, adapter, value, next(self._order))
        self._waiting.append(load)
        self.grant_turns()
        return load

    def withdraw(self, load: QueuedLoad) -> None:
        """Remove a waiting load from the queue."""
        if load in self._waiting:
            self._waiting.remove(load)

    def end_turn(self, replica: str) -> None:
        """End the turn of a replica whose load is over, and grant free turns."""
        self._turn_ends.pop(replica, None)
        self.grant_turns()

    def grant_turns(self) -> None:
        """Grant free turns to the loads of the highest value, the oldest among equals first."""
        now = monotonic()
        self._turn_ends = {
            name: ends_at for name, ends_at in self._turn_ends.items() if ends_at > now
        }
        while self._waiting and len(self._turn_ends) < self._max_turns:
            best = max(self._waiting, key=lambda load: (load.value, -load.order))
            self._waiting.remove(best)
            self._turn_ends[best.replica] = now + self._turn_lifetime_s
            best.granted.set()

    @property
    def next_expiry_s(self) -> float:
        """Seconds until the first granted turn expires."""
        now = monotonic()
        return max(0.01, min((ends_at - now for ends_at in self._turn_ends.values()), default=0.01))

    def __len__(self) -> int:
        return len(self._waiting)


class Steward:
    """Gets turns from the loads steward, and acts as the steward if this box has the role.

    Args:
        box: The name of this box.
        zone: Its availability zone.
        loads_per_s: The load rate of the whole deployment.
        members: The view of all boxes, from which the steward is chosen.
        peers: The links to the other boxes.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        box: str,
        zone: str,
        loads_per_s: float,
        members: Members,
        peers: Peers,
        log: Log,
    ) -> None:
        self._box = box
        self._zone = zone
        self._loads_per_s = loads_per_s
        self._members = members
        self._peers = peers
        self._log = log
        self._next_share_at = 0.0
        self.queue = LoadQueue()
        peers.handle(wire.LoadBid, self._on_load_bid)
        peers.handle(wire.LoadOver, self._on_load_over)

    @property
    def name(self) -> str:
        """The name of the box that is the steward in this box's view."""
        boxes = [member.box for member in self._members.live()]
        return next(iter(rendezvous_order("loads steward", boxes)), self._box)

    def wait_for_turn(self, replica: str, adapter: str, value: float) -> None:
        """Wait until a load may start.

        Args:
            replica: The replica that is to load the adapter.
            adapter: ``ADAPTER@VERSION``.
            value: How valuable the load is; the steward grants the highest value first.
        """
        steward = self.name
        if steward == self._box:
            self._wait_in_queue(replica, adapter, value)
            return
        try:
            link = self._peers.link_to(steward)
            question = wire.LoadBid(0, replica, adapter, value)
            link.ask(question, wire.LoadTurn, timeout_s=_TURN_TIMEOUT_S)
        except PeerUnreachable:
            self._wait_for_share()

    def end_turn(self, replica: str) -> None:
        """Notify the steward that a replica's load is over."""
        steward = self.name
        if steward == self._box:
            self.queue.end_turn(replica)
            return
        try:
            self._peers.link_to(steward).notify(wire.LoadOver(replica))
        except PeerUnreachable:
            return

    def _wait_in_queue(self, replica: str, adapter: str, value: float) -> None:
        load = self.queue.add(replica, adapter, value)
        try:
            while not load.granted.wait(timeout=self.queue.next_expiry_s):
                self.queue.grant_turns()
        finally:
            self.queue.withdraw(load)

    def _wait_for_share(self) -> None:
        """Wait until this box may load at its share: twice the load rate over zones and boxes."""
        zones = len({member.zone for member in self._members.live()}) or 1
        boxes = len(self._members.live(self._zone)) or 1
        now = monotonic()
        starts_at = max(now, self._next_share_at)
        self._next_share_at = starts_at + zones * boxes / self._loads_per_s / 2
        self._log.info("Cannot reach the loads steward; loading at this box's share of the rate.")
        gevent.sleep(starts_at - now)

    def _on_load_bid(self, _: Link, question: wire.LoadBid) -> wire.LoadTurn:
        self._wait_in_queue(question.replica, question.adapter, question.value)
        return wire.LoadTurn(question.number, _TURN_LIFETIME_S)

    def _on_load_over(self, _: Link, notice: wire.LoadOver) -> None:
        self.queue.end_turn(notice.replica)

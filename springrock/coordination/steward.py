"""The loads steward: orders the adapter loads of the whole deployment, so that few run at once.

The weight store runs only one load at full speed. The steward is the first live box by
rendezvous; it only advises. When it cannot be reached, a zone falls back to its share of the
rate, and the cost is time alone.
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

_TURN_LIFE_S = 5.0
_BID_TIMEOUT_S = 30.0


class Bid:
    """A wish to load, waiting at the steward."""

    def __init__(self, replica: str, adapter: str, value: float, order: int) -> None:
        self.replica = replica
        self.adapter = adapter
        self.value = value
        self.order = order
        self.given = Event()


class TurnTable:
    """The steward's book: who waits, and who has the turn.

    Args:
        turns: How many loads may run at once.
        turn_life_s: After this a turn that was not given back is over.
    """

    def __init__(self, *, turns: int = 1, turn_life_s: float = _TURN_LIFE_S) -> None:
        self._turns = turns
        self._turn_life_s = turn_life_s
        self._order = itertools.count()
        self._waiting: list[Bid] = []
        self._given: dict[str, float] = {}

    def bid(self, replica: str, adapter: str, value: float) -> Bid:
        """Enter a wish; a replica's earlier wish is replaced."""
        self._waiting = [bid for bid in self._waiting if bid.replica != replica]
        bid = Bid(replica, adapter, value, next(self._order))
        self._waiting.append(bid)
        self.give()
        return bid

    def withdraw(self, bid: Bid) -> None:
        """Take a wish back."""
        if bid in self._waiting:
            self._waiting.remove(bid)

    def over(self, replica: str) -> None:
        """Note that a replica's load is over."""
        self._given.pop(replica, None)
        self.give()

    def give(self) -> None:
        """Give free turns to the most valuable wishes, the oldest among equals."""
        now = monotonic()
        self._given = {name: until for name, until in self._given.items() if until > now}
        while self._waiting and len(self._given) < self._turns:
            best = max(self._waiting, key=lambda bid: (bid.value, -bid.order))
            self._waiting.remove(best)
            self._given[best.replica] = now + self._turn_life_s
            best.given.set()

    @property
    def next_expiry_s(self) -> float:
        """Seconds until the first given turn is over by itself."""
        now = monotonic()
        return max(0.01, min((until - now for until in self._given.values()), default=0.01))

    def __len__(self) -> int:
        return len(self._waiting)


class Steward:
    """This box's side of the loads steward, whichever box holds the role.

    Args:
        box: The name of this box.
        zone: Its availability zone.
        loads_per_s: The deployment's load rate.
        members: Tells which box is the steward.
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
        self._alone_until = 0.0
        self.turns = TurnTable()
        peers.handle(wire.LoadBid, self._on_bid)
        peers.handle(wire.LoadOver, self._on_over)

    @property
    def name(self) -> str:
        """The box that holds the role, as this box sees it."""
        boxes = [member.box for member in self._members.live()]
        return next(iter(rendezvous_order("loads steward", boxes)), self._box)

    def wait_for_turn(self, replica: str, adapter: str, value: float) -> None:
        """Wait until a load may begin."""
        steward = self.name
        if steward == self._box:
            self._wait_here(replica, adapter, value)
            return
        try:
            link = self._peers.link_to(steward)
            bid = wire.LoadBid(0, replica, adapter, value)
            link.ask(bid, wire.LoadTurn, timeout_s=_BID_TIMEOUT_S)
        except PeerUnreachable:
            self._wait_for_share()

    def end_turn(self, replica: str) -> None:
        """Tell the steward that a load is over."""
        steward = self.name
        if steward == self._box:
            self.turns.over(replica)
            return
        try:
            self._peers.link_to(steward).notify(wire.LoadOver(replica))
        except PeerUnreachable:
            return

    def _wait_here(self, replica: str, adapter: str, value: float) -> None:
        bid = self.turns.bid(replica, adapter, value)
        try:
            while not bid.given.wait(timeout=self.turns.next_expiry_s):
                self.turns.give()
        finally:
            self.turns.withdraw(bid)

    def _wait_for_share(self) -> None:
        """Keep this box to its part of its zone's part of the load rate."""
        zones = len({member.zone for member in self._members.live()}) or 1
        boxes = len(self._members.live(self._zone)) or 1
        now = monotonic()
        begin = max(now, self._alone_until)
        self._alone_until = begin + zones * boxes / self._loads_per_s / 2
        self._log.say("The steward is out of reach; loading at this box's share.")
        gevent.sleep(begin - now)

    def _on_bid(self, _: Link, question: wire.LoadBid) -> wire.LoadTurn:
        self._wait_here(question.replica, question.adapter, question.value)
        return wire.LoadTurn(question.number, _TURN_LIFE_S)

    def _on_over(self, _: Link, notice: wire.LoadOver) -> None:
        self.turns.over(notice.replica)

"""Acting as an owner while nobody in the zone can reach the table.

A takeover needs the table, and only boxes of the zone may take over. So an owner whose lease
cannot be renewed may go on while every peer of its zone that it can reach agrees, freshly, that
it cannot reach the table either and knows no newer fence. The agreement is short: it ends before
a challenger's direct probe of this box can time out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.coordination.link import Link
from springrock.coordination.peers import Peers
from springrock.coordination.permits import HeldBook
from springrock.coordination.session import Session
from springrock.errors import PeerUnreachable
from springrock.log import Log
from springrock.wire import peer as wire

AGREEMENT_LIFE_S = 2.0
PROBE_TIMEOUT_S = 3.0
_ASK_EVERY_S = 0.5
_ASK_TIMEOUT_S = 1.0


class Standalone:
    """Finds out whether this box may act without a lease.

    Args:
        session: This box's session.
        peers: The links to the other boxes.
        held: Knows the highest fences.
        table_out_after_s: The table counts as out when it was not seen for this long; must be
            well under the lease, so that there is no gap between lease and agreement.
        zone: This box's availability zone.
        owned: Returns the replicas that this box owns, with their fences.
        log: The log to write to.
    """

    def __init__(
        self,
        session: Session,
        peers: Peers,
        held: HeldBook,
        *,
        table_out_after_s: float,
        zone: str,
        owned: Callable[[], dict[str, int]],
        log: Log,
    ) -> None:
        self._session = session
        self._peers = peers
        self._held = held
        self._table_out_after_s = table_out_after_s
        self._zone = zone
        self._owned = owned
        self._log = log
        self._agreed_until = 0.0
        self._task: gevent.Greenlet[..., Any] | None = None
        peers.handle(wire.Probe, self._on_probe)

    def start(self) -> None:
        """Begin asking whenever the lease is in danger."""
        self._task = gevent.spawn(self._ask_loop)

    def stop(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.kill()
        self._agreed_until = 0.0

    def may_act(self) -> bool:
        """Whether this box may act as an owner at this moment."""
        return self._session.held or monotonic() < self._agreed_until

    @property
    def agreed(self) -> bool:
        """Whether the peers agree at this moment that the table is out."""
        return monotonic() < self._agreed_until

    def _ask_loop(self) -> None:
        while True:
            gevent.sleep(_ASK_EVERY_S)
            if self._session.renewed_at and self._session.table_seen_s > self._table_out_after_s:
                self._ask_zone()

    def _ask_zone(self) -> None:
        asked_at = monotonic()
        owned = self._owned()
        names = sorted(owned)
        tasks = [
            gevent.spawn(self._agrees, link, names, owned) for link in self._peers.links(self._zone)
        ]
        gevent.joinall(tasks)
        if all(task.value for task in tasks):
            if not self.agreed:
                self._log.say("The zone agrees that the table is out.", peers=len(tasks))
            self._agreed_until = asked_at + AGREEMENT_LIFE_S

    def _agrees(self, link: Link, names: list[str], owned: dict[str, int]) -> bool:
        """Return whether a peer agrees; one that cannot be reached does not count."""
        try:
            answer = link.ask(wire.Probe(0, names), wire.ProbeAnswer, timeout_s=_ASK_TIMEOUT_S)
        except PeerUnreachable:
            return True
        known = dict(zip(names, answer.fences, strict=False))
        no_newer = all(known.get(name, 0) <= fence for name, fence in owned.items())
        return answer.table_seen_s > self._table_out_after_s and no_newer

    def _on_probe(self, _: Link, probe: wire.Probe) -> wire.ProbeAnswer:
        fences = [self._held.fence_of(name) for name in probe.replicas]
        return wire.ProbeAnswer(probe.number, round(self._session.table_seen_s, 2), fences)

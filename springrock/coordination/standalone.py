"""Decides whether an owner may continue to act when no box of its zone can reach the table.

A takeover needs the table, and only boxes of the zone may take over. So an owner that cannot renew
its lease may continue while every reachable peer of its zone agrees: the peer cannot reach the
table either, and knows no higher fence of the owner's replicas. An agreement is short-lived: it
ends before a challenger's direct probe of this box can time out.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import monotonic
from springrock.coordination.link import Link
from springrock.coordination.peers import Peers
from springrock.coordination.permits import HeldPermitBook
from springrock.coordination.session import Session
from springrock.errors import PeerUnreachable
from springrock.log import Log
from springrock.wire import peer as wire

AGREEMENT_LIFETIME_S = 2.0
PROBE_TIMEOUT_S = 3.0
_ASK_INTERVAL_S = 0.5
_ASK_TIMEOUT_S = 1.0


class Standalone:
    """Determines whether this box may act as an owner without a lease.

    Args:
        session: This box's session.
        peers: The links to the other boxes.
        held: The book that knows the highest fence of each replica.
        table_unreachable_after_s: How long after the last confirmed renewal the table counts as
            unreachable. It must be well below the lease time, so that an agreement can be reached
            before the lease ends.
        zone: This box's availability zone.
        owned: Returns the fences of the replicas that this box owns, by replica.
        log: The log to write to.
    """

    def __init__(
        self,
        session: Session,
        peers: Peers,
        held: HeldPermitBook,
        *,
        table_unreachable_after_s: float,
        zone: str,
        owned: Callable[[], dict[str, int]],
        log: Log,
    ) -> None:
        self._session = session
        self._peers = peers
        self._held = held
        self._table_unreachable_after_s = table_unreachable_after_s
        self._zone = zone
        self._owned = owned
        self._log = log
        self._agreement_valid_until = 0.0
        self._task: gevent.Greenlet[..., Any] | None = None
        peers.handle(wire.Probe, self._on_probe)

    def start(self) -> None:
        """Start the background task that asks the peers while the table is unreachable."""
        self._task = gevent.spawn(self._ask_loop)

    def stop(self) -> None:
        """Stop asking, and drop the current agreement."""
        if self._task is not None:
            self._task.kill()
        self._agreement_valid_until = 0.0

    def may_act(self) -> bool:
        """Whether this box may act as an owner now, by its lease or by agreement."""
        return self._session.held or monotonic() < self._agreement_valid_until

    @property
    def has_agreement(self) -> bool:
        """Whether the last agreement of the peers is still valid."""
        return monotonic() < self._agreement_valid_until

    def _ask_loop(self) -> None:
        while True:
            gevent.sleep(_ASK_INTERVAL_S)
            if (
                self._session.renewed_at
                and self._session.table_answer_age_s > self._table_unreachable_after_s
            ):
                self._ask_zone()

    def _ask_zone(self) -> None:
        asked_at = monotonic()
        owned = self._owned()
        names = sorted(owned)
        tasks = [
            gevent.spawn(self._peer_agrees, link, names, owned)
            for link in self._peers.links(self._zone)
        ]
        gevent.joinall(tasks)
        if all(task.value for task in tasks):
            if not self.has_agreement:
                self._log.info(
                    "All reachable peers of the zone agree that the table cannot be reached.",
                    peers=len(tasks),
                )
            self._agreement_valid_until = asked_at + AGREEMENT_LIFETIME_S

    def _peer_agrees(self, link: Link, names: list[str], owned: dict[str, int]) -> bool:
        """Whether a peer agrees; a peer that cannot be reached counts as agreeing."""
        try:
            answer = link.ask(wire.Probe(0, names), wire.ProbeAnswer, timeout_s=_ASK_TIMEOUT_S)
        except PeerUnreachable:
            return True
        known_fences = dict(zip(names, answer.fences, strict=False))
        no_higher_fence = all(known_fences.get(name, 0) <= fence for name, fence in owned.items())
        return answer.table_answer_age_s > self._table_unreachable_after_s and no_higher_fence

    def _on_probe(self, _: Link, probe: wire.Probe) -> wire.ProbeAnswer:
        fences = [self._held.highest_fence(name) for name in probe.replicas]
        return wire.ProbeAnswer(probe.number, round(self._session.table_answer_age_s, 2), fences)

"""One box's participation in the election of a zone's placer."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

from springrock.clock import monotonic
from springrock.placement.lease import PlacerLease
from springrock.placement.link_client import PlacerClient
from springrock.placement.link_server import BoxLinks
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.placer_row import PlacerRow, key_of
from springrock.placement.settings import PlacementSettings
from springrock.placement.succession import HandoverTarget, Successor

_HEARTBEAT_S = 0.4
_FIRST_POLL_SPREAD_S = 0.1
"""Boxes delay their first poll by a random time up to this after they have read the rows. The first
box to acquire a free lease is known to the others a few ms later; without the delay 195 boxes wrote
150 to 260 times."""

_POLL_INTERVAL_S = 0.6
_POLL_INTERVAL_GROWTH = 1.4
_MAX_POLL_INTERVAL_S = 0.9
"""Longest pause before a placer that could not be linked to is dialed again if its row does not
change. Such a placer has most likely just stopped, and its successor is about to be announced."""

_RENEWALS_PER_LEASE = 3
_OTHER_ZONE_DELAY_S = 1.5
"""Extra delay before a box of another zone takes over an expired lease, so that boxes of the zone
itself come first."""

_HAND_BACK_DELAY_S = 2.0
"""How long a box of the zone itself must have been linked before the lease is given back to it."""

_STRONGER_BOX_RATIO = 1.5
"""Ratio of processor cores from which another box is a better placer. A smaller gain is not worth a
change of the placer."""

_SUFFICIENT_CORES = 1.0
"""Cores from which a box does not defer to stronger ones: the placer of 15 engines and 75 boxes
uses less than half of that."""

_WEAKEST_BOX_DELAY_S = 1.2
"""Takeover delay at zero cores; it decreases linearly to 0 at `_SUFFICIENT_CORES`.
A box of half a core waits 0.6 s, as boxes that start together do so within 0.3 s. Without the delay
a stronger box would take over later, and a change of the placer breaks the links of all boxes."""


_CUT_OFF_DELAY_S = 3.0
"""How much longer a box that reaches no replica leaves a free lease to others."""


class PlacerRole(Protocol):
    """Places the zone's adapters while this box holds the lease."""

    def begin_placing(self) -> None:
        """Begin placing after the lease was acquired."""

    def end_placing(self) -> None:
        """Stop placing after the lease was lost."""

    def send_heartbeat(self) -> None:
        """Send a heartbeat to all linked boxes."""

    def send_successor(self, successor: Successor) -> None:
        """Announce to all linked boxes which box takes over from this one."""


class Election:
    """Links this box to the zone's placer, or makes it the placer by acquiring the lease.

    Args:
        zone: The availability zone.
        settings: The settings of placement.
        lease: The lease of the zone.
        board: The last known placer rows of all zones.
        client: This box's link to the placer.
        links: The boxes that are linked to this one as the placer.
        incarnation: The id of this process.
        role: Places the zone's adapters while this box holds the lease.
        cut_off: Returns whether this box reaches no replica.
    """

    def __init__(
        self,
        zone: str,
        *,
        settings: PlacementSettings,
        lease: PlacerLease,
        board: PlacerBoard,
        client: PlacerClient,
        links: BoxLinks,
        incarnation: str,
        role: PlacerRole,
        cut_off: Callable[[], bool],
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._lease = lease
        self._board = board
        self._client = client
        self._links = links
        self._incarnation = incarnation
        self._role = role
        self._cut_off = cut_off
        self._poll_interval_s = _POLL_INTERVAL_S
        self._stopping = False
        self._needs_placer: Callable[[], bool] = lambda: True
        self._wake = Event()

    def run(self) -> None:
        """Take part in the election until the task is killed.

        After `stop` this box does not acquire the lease again.
        """
        self._board.wait_known()
        gevent.sleep(random.uniform(0.0, _FIRST_POLL_SPREAD_S))
        while True:
            if self._lease.held:
                self._hold()
                self._poll_interval_s = _POLL_INTERVAL_S
            elif self._client.linked:
                self._client.lost.wait()
                self._poll_interval_s = _POLL_INTERVAL_S
            else:
                self._find_placer()

    def stop(self, *, needs_placer: Callable[[], bool]) -> None:
        """Stop being the placer once another box can take over, and stay linked to that box.

        Args:
            needs_placer: Returns whether this box may still need a placer; without it no placer is
                dialed, as the process might end within the handshake.
        """
        self._needs_placer = needs_placer
        self._stopping = True
        self._wake.set()

    def end(self) -> None:
        """Hand the lease over if this box still holds it; the target may itself be stopping."""
        handover_target = self._links.handover_target(self._zone, exclude_stopping=False)
        if self._lease.held and handover_target is not None:
            self._leave(reason="the process is ending", handover_target=handover_target)

    def adopt(self, handover: Successor) -> None:
        """Take over from a placer that hands its lease over to this box."""
        if self._lease.adopt(handover):
            # Wakes `run`, which waits for the link to be lost and then starts placing.
            self._client.close()

    def has_better_box(self) -> bool:
        """Whether a linked box of the zone itself is a better placer than this one.

        That is the case if this box is in another zone or has far fewer processor cores. If this
        box reaches no replica, any box that does is better.
        """
        settings = self._settings
        if self._cut_off():
            return self._links.has_reaching_box
        if settings.zone != self._zone:
            return self._links.has_linked_box(self._zone, for_s=_HAND_BACK_DELAY_S)
        if settings.strength >= _SUFFICIENT_CORES:
            return False
        needed = settings.strength * _STRONGER_BOX_RATIO
        return self._links.has_linked_box(self._zone, for_s=_HAND_BACK_DELAY_S, strength=needed)

    def takeover_delay_s(self) -> float:
        """Return how long this box leaves a free lease to boxes that are better placers."""
        settings = self._settings
        missing_fraction = max(0.0, 1.0 - settings.strength / _SUFFICIENT_CORES)
        takeover_delay_s = 0.0 if settings.zone == self._zone else _OTHER_ZONE_DELAY_S
        takeover_delay_s += _CUT_OFF_DELAY_S if self._cut_off() else 0.0
        return takeover_delay_s + missing_fraction * _WEAKEST_BOX_DELAY_S

    def _leave_unless_irreplaceable(self) -> None:
        """Leave the lease as this box stops, unless no other box could take over.

        No box could if the store does not answer and there is no handover target.
        """
        handover_target = self._links.handover_target(self._zone)
        if handover_target is None and self._lease.store_is_silent:
            return
        self._leave(reason="a planned stop", handover_target=handover_target)

    def _leave(self, *, reason: str, handover_target: HandoverTarget | None) -> None:
        """Release the lease, or hand it over if the store does not answer."""
        successor = self._links.has_linked_box(self._zone, for_s=0.0)
        handover = self._lease.release(
            reason=reason, successor=successor, handover_target=handover_target
        )
        if handover is not None:
            self._role.send_successor(handover)

    def _hold(self) -> None:
        """Place the zone's adapters and renew the lease until it is lost."""
        self._role.begin_placing()
        if not self._lease.confirmed:
            self._lease.renew()
        renew_every_s = self._settings.lease_s / _RENEWALS_PER_LEASE
        began_at = renewed_at = monotonic()
        while self._lease.held:
            self._role.send_heartbeat()
            self._wake.wait(timeout=_HEARTBEAT_S)
            self._wake.clear()
            if self._lease.held and monotonic() - renewed_at >= renew_every_s:
                renewed_at = monotonic()
                self._lease.renew()
            if self._lease.held and self._stopping:
                self._leave_unless_irreplaceable()
            elif (
                self._lease.held
                # Boxes that lose the same engines would take turns within a lease.
                and monotonic() - began_at >= self._settings.lease_s
                and self.has_better_box()
            ):
                self._leave(
                    reason="another box is a better placer",
                    handover_target=self._links.handover_target(self._zone),
                )
        # Links are closed only now: a box that then loses its link finds the lease free or knows
        # the successor.
        self._role.end_placing()

    def _find_placer(self) -> None:
        existing = self._lease.known_row()
        holder = self._board.holder(key_of(self._zone))
        if (
            holder is not None
            and self._is_other(holder)
            and self._needs_placer()
            and self._link_to(holder)
        ):
            return
        takeover_delay_s = self.takeover_delay_s()
        if not self._stopping and self._lease.challenge(
            existing, takeover_delay_s=takeover_delay_s
        ):
            return
        self._pause_before_poll(existing)

    def _pause_before_poll(self, existing: PlacerRow | None) -> None:
        """Wait until the row changes, but not beyond the expiry of the lease."""
        free_in_s = self._lease.free_in_s(existing)
        pause_s = random.uniform(self._poll_interval_s / 2, self._poll_interval_s)
        self._poll_interval_s = min(
            _MAX_POLL_INTERVAL_S, self._poll_interval_s * _POLL_INTERVAL_GROWTH
        )
        timeout_s = min(pause_s, max(_FIRST_POLL_SPREAD_S, free_in_s))
        self._board.wait(key_of(self._zone), timeout_s=timeout_s)

    def _link_to(self, holder: PlacerRow | Successor) -> bool:
        return self._client.link(holder.address, incarnation=holder.incarnation)

    def _is_other(self, holder: PlacerRow | Successor) -> bool:
        return holder.incarnation != self._incarnation

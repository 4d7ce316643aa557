"""The election of a zone's placer, as one box takes part in it."""

from __future__ import annotations

import random
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
"""Over this time after they know the rows the boxes spread their first look: the first to take a
free lease is known to the others a few ms later. Without it 195 boxes wrote 150 to 260 times."""

_LOOK_S = 0.6
_POLL_INTERVAL_GROWTH = 1.4
_MAX_POLL_INTERVAL_S = 0.9
"""A placer that could not be linked to is dialed again this often, without news of its row: it has
most likely just left, and news of its successor are on their way."""

_RENEWALS_PER_LEASE = 3
_OTHER_ZONE_DELAY_S = 1.5
"""How much longer a lapsed lease is left to the boxes of the zone itself."""

_HAND_BACK_DELAY_S = 2.0
"""How long a box of the zone itself must have been linked before it is trusted with the lease."""

_MUCH_STRONGER = 1.5
"""A box with so many times the processor does better as the placer; less is not worth a change."""

_AMPLE_STRENGTH = 1.0
"""Cores with which a box need not leave the lease to stronger ones: the placer of 15 engines and
75 boxes takes under half of that."""

_WEAKNESS_S = 1.2
"""How much longer a box without any processor would leave a free lease to stronger ones. A box of
half a core leaves it for 0.6 s, as boxes that start together do so within 0.3 s; a change of the
placer later cuts the links of all boxes."""


class Holder(Protocol):
    """Who places while this box holds the lease."""

    def begin_placing(self) -> None:
        """Begin, as the lease was taken."""

    def end_placing(self) -> None:
        """End, as the lease was lost."""

    def send_heartbeat(self) -> None:
        """Tell all linked boxes that the placer lives."""

    def send_successor(self, successor: Successor) -> None:
        """Tell all linked boxes who goes on in this one's stead."""


class Election:
    """Looks for the zone's placer and links to it, or takes the lease and keeps it.

    Args:
        zone: The availability zone.
        settings: What placement takes from the settings.
        lease: The lease of the zone.
        board: The placers' rows as far as they are known.
        client: The link to the placer.
        links: The boxes that are linked to this one as the placer.
        incarnation: This process.
        holder: Places under the lease.
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
        holder: Holder,
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._lease = lease
        self._board = board
        self._client = client
        self._links = links
        self._incarnation = incarnation
        self._holder = holder
        self._poll_interval_s = _LOOK_S
        self._stopping = False
        self._wake = Event()

    def run(self) -> None:
        """Take part until the task is killed; a box that stops takes no lease any more."""
        self._board.wait_known()
        gevent.sleep(random.uniform(0.0, _FIRST_POLL_SPREAD_S))
        while True:
            if self._lease.held:
                self._hold()
                self._poll_interval_s = _LOOK_S
            elif self._client.linked:
                self._client.lost.wait()
                self._poll_interval_s = _LOOK_S
            else:
                self._find_placer()

    def stop(self) -> None:
        """Be no placer any more as soon as another box can be, and stay linked to that one."""
        self._stopping = True
        self._wake.set()

    def end(self) -> None:
        """Leave the role, if this box still has it, to whoever ends a little later."""
        handover_target = self._links.handover_target(self._zone, staying=False)
        if self._lease.held and handover_target is not None:
            self._leave(reason="the end", handover_target=handover_target)

    def adopt(self, handover: Successor) -> None:
        """Go on in the stead of a placer that hands its role over to this box."""
        if self._lease.adopt(handover):
            # What waits for the link to be lost places from now on.
            self._client.close()

    def has_better_box(self) -> bool:
        """Whether a box of the zone itself can place it, while this one stands elsewhere or is
        much weaker."""
        settings = self._settings
        if settings.zone != self._zone:
            return self._links.has_linked_box(self._zone, for_s=_HAND_BACK_DELAY_S)
        if settings.strength >= _AMPLE_STRENGTH:
            return False
        needed = settings.strength * _MUCH_STRONGER
        return self._links.has_linked_box(self._zone, for_s=_HAND_BACK_DELAY_S, strength=needed)

    def takeover_delay_s(self) -> float:
        """Return how much longer a free lease is left to boxes that do better as the placer."""
        settings = self._settings
        weakness = max(0.0, 1.0 - settings.strength / _AMPLE_STRENGTH)
        takeover_delay_s = 0.0 if settings.zone == self._zone else _OTHER_ZONE_DELAY_S
        return takeover_delay_s + weakness * _WEAKNESS_S

    def _leave_if_followed(self) -> None:
        """Leave the role as this box stops, unless nobody could take it."""
        handover_target = self._links.handover_target(self._zone)
        if handover_target is None and self._lease.store_is_silent:
            return
        self._leave(reason="a planned stop", handover_target=handover_target)

    def _leave(self, *, reason: str, handover_target: HandoverTarget | None) -> None:
        """Give the lease up, or hand it over while the store takes nothing back."""
        successor = self._links.has_linked_box(self._zone, for_s=0.0)
        handover = self._lease.give_up(
            reason=reason, successor=successor, handover_target=handover_target
        )
        if handover is not None:
            self._holder.send_successor(handover)

    def _hold(self) -> None:
        """Place under the lease, and renew it, until it is lost."""
        self._holder.begin_placing()
        if not self._lease.confirmed:
            self._lease.renew()
        renew_every_s = self._settings.lease_s / _RENEWALS_PER_LEASE
        renewed_at = monotonic()
        while self._lease.held:
            self._holder.send_heartbeat()
            self._wake.wait(timeout=_HEARTBEAT_S)
            self._wake.clear()
            if self._lease.held and monotonic() - renewed_at >= renew_every_s:
                renewed_at = monotonic()
                self._lease.renew()
            if self._lease.held and self._stopping:
                self._leave_if_followed()
            elif self._lease.held and self.has_better_box():
                self._leave(
                    reason="another box does better",
                    handover_target=self._links.handover_target(self._zone),
                )
        # Only now: who loses the link finds the lease free, or knows who goes on.
        self._holder.end_placing()

    def _find_placer(self) -> None:
        existing = self._lease.known_row()
        holder = self._board.holder(key_of(self._zone))
        if holder is not None and self._is_other(holder) and self._link_to(holder):
            return
        takeover_delay_s = self.takeover_delay_s()
        if not self._stopping and self._lease.challenge(
            existing, takeover_delay_s=takeover_delay_s
        ):
            return
        self._pause_before_poll(existing)

    def _pause_before_poll(self, existing: PlacerRow | None) -> None:
        """Wait for news of the row, but not beyond the time at which the lease lapses."""
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

"""The boxes that reach replicas, to which a box that is cut off passes requests on."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.topology import Distance

_VALID_S = 3.0
"""How long after a heartbeat the boxes that it names count as reaching replicas."""

_FAILED_S = 2.0
"""How long a box that could not be reached is left out."""


class _Reported(NamedTuple):
    addresses: tuple[str, ...]
    heard_at: float


class PeerBoxes:
    """The boxes that placers' heartbeats name as reaching replicas.

    Args:
        own_address: The address at which this box serves clients.
        distance: Returns how far a zone is from this box's own.
    """

    def __init__(self, own_address: str, *, distance: Callable[[str], Distance]) -> None:
        self._own_address = own_address
        self._distance = distance
        self._reported: dict[str, _Reported] = {}
        self._failed_at: dict[str, float] = {}

    def record(self, zone: str, addresses: Sequence[str]) -> None:
        """Record the addresses that the heartbeat of a zone's placer names."""
        self._reported[zone] = _Reported(tuple(addresses), monotonic())

    def record_failed(self, address: str) -> None:
        """Record that a box could not be reached."""
        now = monotonic()
        self._failed_at = {
            known: at for known, at in self._failed_at.items() if now - at < _FAILED_S
        }
        self._failed_at[address] = now

    @property
    def any_usable(self) -> bool:
        """Whether some other box may be passed requests."""
        return self.pick() is not None

    def pick(self, *, besides: Collection[str] = ()) -> str | None:
        """Return the address of a box in the nearest zone that has one; None if there is none.

        Args:
            besides: Addresses of boxes that are not wanted.
        """
        usable = {
            zone: [item for item in self._usable_in(reported) if item not in besides]
            for zone, reported in self._reported.items()
        }
        zones = [zone for zone, addresses in usable.items() if addresses]
        if not zones:
            return None
        nearest = min(self._distance(zone) for zone in zones)
        return random.choice(
            [item for zone in zones if self._distance(zone) == nearest for item in usable[zone]]
        )

    def _usable_in(self, reported: _Reported) -> list[str]:
        now = monotonic()
        if now - reported.heard_at >= _VALID_S:
            return []
        return [
            address
            for address in reported.addresses
            if address != self._own_address
            and now - self._failed_at.get(address, float("-inf")) >= _FAILED_S
        ]

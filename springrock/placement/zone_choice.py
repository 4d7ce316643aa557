"""Which zone's placer is to bring an adapter: the same on every box that sees the same."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from springrock.forwarding.message import AdapterKey
from springrock.ids import rendezvous_score

_SCORE_RANGE = 2.0**64


class ZoneView(NamedTuple):
    """A zone with engines as one box sees it.

    Attributes:
        engines: How many engines stand there that do not leave.
        can_load: Whether one of them holds a base model, and so can load adapters.
        reachable: Whether its placer hears what this box wants.
        room: How many more adapters its engines could take.
    """

    name: str
    engines: int
    can_load: bool
    reachable: bool
    room: int


def choose_zone(
    key: AdapterKey,
    zones: Iterable[ZoneView],
    *,
    prefer: Collection[str] = (),
    avoid: Collection[str] = (),
    never: Collection[str] = (),
    at_hand: Collection[str] = (),
) -> str | None:
    """Return the zone that is to bring an adapter; None if there is none to ask.

    A hash gives each adapter a zone, weighted by engines; the next one serves if that has no room.
    An engine that restarts keeps its weight: otherwise adapters would move and be loaded again.

    Args:
        key: The adapter.
        zones: The zones with engines.
        prefer: Zones to be chosen if one of them can load adapters.
        avoid: Zones to be chosen only if there is no other.
        never: Zones not to be chosen.
        at_hand: Zones where an engine loads the adapter without the weight store, to be chosen
            among those with room.
    """
    candidates = [zone for zone in zones if zone.reachable and zone.name not in never]
    if not candidates:
        return None
    candidates = [zone for zone in candidates if zone.can_load] or candidates
    preferred = [zone for zone in candidates if zone.name in prefer]
    if preferred:
        return max(preferred, key=lambda zone: _preference(key, zone)).name
    candidates = [zone for zone in candidates if zone.name not in avoid] or candidates
    candidates = [zone for zone in candidates if zone.room > 0] or candidates
    candidates = [zone for zone in candidates if zone.name in at_hand] or candidates
    return max(candidates, key=lambda zone: _preference(key, zone)).name


def _preference(key: AdapterKey, zone: ZoneView) -> float:
    """Return a weighted rendezvous score, equal on every box."""
    drawn = (rendezvous_score(str(key), zone.name) + 1) / (_SCORE_RANGE + 1)
    return -zone.engines / math.log(drawn)

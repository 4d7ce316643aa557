"""Chooses the zone that loads an adapter; boxes with the same view of zones choose the same one."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from springrock.forwarding.message import AdapterKey
from springrock.ids import rendezvous_score
from springrock.topology import Distance

_SCORE_RANGE = 2.0**64

_MAX_EXTRA_WAIT_S = 0.15
"""How much longer a first event may wait in a zone than in the best one before the zone is avoided:
less than a load takes, and far more than the latency to another zone of the region."""


_MIN_ENGINE_SHARE = 0.5
"""A zone with less than this share of the average zone's engines does not prefer itself: the hash,
weighted by engines, chooses the zone. When its boxes request many new adapters at once, reports of
its full places arrive too late to hold the requests back."""


class ZoneView(NamedTuple):
    """A zone with engines as one box sees it.

    Attributes:
        engines: The number of engines in the zone that are not leaving.
        can_load: Whether one of them holds a base model, and so can load adapters.
        reachable: Whether this box's demand reaches the zone's placer.
        room: How many more adapters the engines could load.
        distance: The distance of the zone from the box.
        pressure: The decayed request count of the adapters that would be evicted next; 0 while
            places are free.
        wait_s: How long a first event would wait at a typical engine of the zone.
    """

    name: str
    engines: int
    can_load: bool
    reachable: bool
    room: int
    distance: Distance = Distance.OWN_REGION
    pressure: float = 0.0
    wait_s: float = 0.0


def choose_zone(
    key: AdapterKey,
    zones: Iterable[ZoneView],
    *,
    prefer: Collection[str] = (),
    avoid: Collection[str] = (),
    never: Collection[str] = (),
    cached_in: Collection[str] = (),
    home_advantage: float = 0.0,
) -> str | None:
    """Return the zone that loads an adapter; None if no zone is a candidate.

    The box's own region comes first while one of its zones has room. Within the region the box's
    own zone comes first while its pressure is little higher than elsewhere. Crowded zones are
    avoided. Otherwise a hash that is weighted by engines assigns each adapter a zone. An engine
    that restarts keeps its weight, as adapters would otherwise move and be loaded again.

    Args:
        key: The adapter.
        zones: The zones with engines.
        prefer: Zones to choose from, the nearest first, if one of them can load adapters.
        avoid: Zones to choose only if there is no other.
        never: Zones not to choose.
        cached_in: Zones in which an engine has cached the adapter's weights and loads it without
            the weight store; preferred among those with room.
        home_advantage: By how much the pressure of the own zone may exceed that of another and
            the own zone is still chosen: the cost of sending the requests there, in loads.
    """
    candidates = [zone for zone in zones if zone.reachable and zone.name not in never]
    if not candidates:
        return None
    candidates = [zone for zone in candidates if zone.can_load] or candidates
    preferred = [zone for zone in candidates if zone.name in prefer]
    if preferred:
        preferred = _nearest(_uncrowded(_of_own_region(preferred) or preferred))
        return max(preferred, key=lambda zone: _preference(key, zone)).name
    candidates = [zone for zone in candidates if zone.name not in avoid] or candidates
    candidates = [zone for zone in candidates if zone.room > 0] or candidates
    candidates = _of_own_region(candidates) or candidates
    candidates = [zone for zone in candidates if zone.name in cached_in] or candidates
    candidates = _uncrowded(candidates)
    lowest = min(zone.pressure for zone in candidates)
    candidates = [zone for zone in candidates if zone.pressure <= lowest + home_advantage]
    home = [zone for zone in candidates if zone.distance is Distance.OWN_ZONE]
    if home and _has_enough_engines(home[0], candidates):
        return home[0].name
    return max(candidates, key=lambda zone: _preference(key, zone)).name


def _has_enough_engines(home: ZoneView, zones: list[ZoneView]) -> bool:
    """Whether the box's own zone has enough engines for the requests of its boxes."""
    average = sum(zone.engines for zone in zones) / len(zones)
    return home.engines >= average * _MIN_ENGINE_SHARE


def _nearest(zones: list[ZoneView]) -> list[ZoneView]:
    """Return the zones at the smallest distance."""
    nearest = min((zone.distance for zone in zones), default=Distance.OWN_ZONE)
    return [zone for zone in zones if zone.distance is nearest]


def _uncrowded(zones: list[ZoneView]) -> list[ZoneView]:
    """Return the zones where a first event waits little longer than in the best of them."""
    shortest_s = min(zone.wait_s for zone in zones)
    return [zone for zone in zones if zone.wait_s <= shortest_s + _MAX_EXTRA_WAIT_S]


def _of_own_region(zones: list[ZoneView]) -> list[ZoneView]:
    return [zone for zone in zones if zone.distance is not Distance.OTHER_REGION]


def _preference(key: AdapterKey, zone: ZoneView) -> float:
    """Return a weighted rendezvous score, which is the same on every box."""
    unit_score = (rendezvous_score(str(key), zone.name) + 1) / (_SCORE_RANGE + 1)
    return -zone.engines / math.log(unit_score)

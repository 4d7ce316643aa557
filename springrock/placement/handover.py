"""What was asked for in an evacuated zone is brought to the zones that remain."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple, Protocol

import gevent

from springrock.clock import monotonic
from springrock.forwarding.eligibility import World, may_be_loaded
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.placement.demand import DemandBook
from springrock.placement.handover_messages import AskedFor, Handover
from springrock.placement.planner import CombinedWant, unasked
from springrock.placement.popularity import Popularity
from springrock.placement.residency import Residency
from springrock.placement.zone_choice import ZoneView, choose_zone

_TELL_EVERY_S = 0.5
"""While an evacuation is announced its placer tells so often what was asked for: a box that became
the placer of another zone meanwhile is told too."""

_PLACER_HEARD_S = 0.5
"""A placer that told nothing for so long after its zone was evacuated is dead or cut off."""

_HANDED_AT_MOST = 400
"""Adapters in one message: more than the remaining zones bring before the cut."""

_WANTED_AT_MOST = 40
"""Adapters handed to one plan: as many as are ever under way at once. Each costs a look at every
engine, several times a second."""

_LEAST_ASKED = 0.25
"""Asked for once within the last two half-lives."""

_KEPT_S = 8.0
"""So long adapters are brought that nobody asks for: through the announcement, which is some
seconds, and for as long again and more. What was not asked for since is not worth a load."""


def handover_of(popularity: Popularity) -> Handover:
    """Return what was asked for at a zone's placer, the most asked for first."""
    ranked = popularity.ranked(least=_LEAST_ASKED)[:_HANDED_AT_MOST]
    return Handover([AskedFor(*key, round(asked, 2)) for key, asked in ranked])


class _Taken(NamedTuple):
    """What a zone took over of an evacuated one.

    Attributes:
        left: How often what is not here yet was asked for.
        brought: What came, or was here already.
    """

    left: dict[AdapterKey, float]
    brought: set[AdapterKey]


class PrefetchWants:
    """The adapters that one zone's placer brings although nobody asked for them here.

    Args:
        zone: The zone.
        popularity: How often adapters are asked for in the zone; learns of what is taken over.
        log: The log to write to.
        metrics: The metrics to show what is left in.
        on_update: Called when there is something new to bring.
    """

    def __init__(
        self,
        zone: str,
        *,
        popularity: Popularity,
        log: Log,
        metrics: ForwardingMetrics,
        on_update: Callable[[], None],
    ) -> None:
        self._on_update = on_update
        self._zone = zone
        self._popularity = popularity
        self._log = log
        self._left_gauge = metrics.ahead_adapters.labels(zone)
        self._taken: dict[str, _Taken] = {}
        self._ends_at: dict[str, float] = {}

    @property
    def pending(self) -> bool:
        """Whether there is something to bring."""
        return any(taken.left for taken in self._taken.values())

    def add(self, from_zone: str, asked_for: Iterable[AskedFor]) -> None:
        """Take over what was asked for in an evacuated zone; what was taken before is passed over.

        Args:
            from_zone: The evacuated zone.
            asked_for: What to bring, the most asked for first.
        """
        taken = self._taken.get(from_zone, _Taken({}, set()))
        missing = [item for item in asked_for if item.key not in taken.brought]
        new = [item for item in missing if item.key not in taken.left]
        for item in missing:
            # Its placer may be heard only after what its engines held was taken.
            taken.left[item.key] = max(item.asked, taken.left.get(item.key, 0.0))
            self._popularity.raise_to(item.key, item.asked)
        if not new:
            return
        self._taken[from_zone] = taken
        self._ends_at.setdefault(from_zone, monotonic() + _KEPT_S)
        self._log.say(
            "Brings adapters of an evacuated zone.",
            zone=self._zone,
            from_zone=from_zone,
            count=len(new),
            first=[str(item.key) for item in new[:3]],
        )
        self._on_update()

    def wants(self, is_there: Callable[[AdapterKey], bool], now: float) -> list[CombinedWant]:
        """Return what is to be brought next, the most asked for first.

        Args:
            is_there: Whether an adapter stands in the zone, is on its way in or is at hand there.
            now: The time on the local monotonic clock.
        """
        for from_zone in [zone for zone, ends_at in self._ends_at.items() if ends_at <= now]:
            self.drop(from_zone)
        asked: dict[AdapterKey, float] = {}
        for taken in self._taken.values():
            for key in [key for key in taken.left if is_there(key)]:
                del taken.left[key]
                taken.brought.add(key)
            asked.update(taken.left)
        self._left_gauge.set(len(asked))
        ranked = sorted(asked, key=lambda key: -asked[key])[:_WANTED_AT_MOST]
        return [unasked(key, now) for key in ranked]

    def handle_cut(self, from_zone: str) -> None:
        """Learn that an evacuated zone gets nothing any more."""
        taken = self._taken.get(from_zone)
        if taken is None:
            return
        self._log.say(
            "Adapters of an evacuated zone at its cut.",
            zone=self._zone,
            from_zone=from_zone,
            brought=len(taken.brought),
            left=len(taken.left),
        )

    def drop(self, from_zone: str) -> None:
        """Bring no more of a zone, as it was taken back or that was told long ago."""
        self._ends_at.pop(from_zone, None)
        taken = self._taken.pop(from_zone, None)
        if taken is None:
            return
        self._left_gauge.set(sum(len(other.left) for other in self._taken.values()))
        self._log.say(
            "Brings no more adapters of an evacuated zone.",
            zone=self._zone,
            from_zone=from_zone,
            brought=len(taken.brought),
            left=len(taken.left),
        )

    def clear(self) -> None:
        """Forget all, as when the lease is lost."""
        self._taken.clear()
        self._ends_at.clear()
        self._left_gauge.set(0)


class HandingZone(Protocol):
    """A zone as one box sees it, as far as adapters are handed over.

    Attributes:
        prefetch: What the zone brings of evacuated ones, while this box places it.
        demand: What this box wants and uses of the zone's engines.
    """

    prefetch: PrefetchWants
    demand: DemandBook

    @property
    def placing(self) -> bool:
        """Whether this box is the zone's placer now."""

    def send_handover(self, boxes: Collection[str]) -> None:
        """Tell boxes what was asked for in the zone."""


class HandoverCoordinator:
    """Hands over what was asked for in evacuated zones, for all zones of one box.

    Args:
        zones: Returns the zones of this box.
        views: Returns the zones with engines that requests may go to, as they are now.
        placers: Returns the boxes that place a zone.
        residency: What stands where.
        world: Returns what is known beside the replicas.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        zones: Callable[[], Mapping[str, HandingZone]],
        views: Callable[[], list[ZoneView]],
        placers: Callable[[], Collection[str]],
        residency: Residency,
        world: Callable[[], World],
        log: Log,
    ) -> None:
        self._zones = zones
        self._views = views
        self._placers = placers
        self._residency = residency
        self._world = world
        self._log = log
        self._reported_at: dict[str, float] = {}

    def handle_change(self, zone: str, evacuated: bool) -> None:
        """Learn that a zone is evacuated, or was taken back."""
        if evacuated:
            self._move_requesters(zone, but_for=lambda key: self._stands_in(key, zone))
            gevent.spawn(self._send_while_announced, zone)
            gevent.spawn_later(_PLACER_HEARD_S, self._hand_over_unreported, zone)
            return
        for other in self._zones().values():
            other.prefetch.drop(zone)

    def handle_cut(self, zone: str) -> None:
        """Learn that a zone gets nothing any more."""
        self._move_requesters(zone, but_for=lambda key: False)
        for other in self._zones().values():
            other.prefetch.handle_cut(zone)

    def apply(self, zone: str, handover: Handover) -> None:
        """Learn what was asked for in a zone; each zone that this box places takes its part.

        The zone's placer may know of the evacuation before this box does.
        """
        known = self._world()
        world = known._replace(announced=known.announced | {zone})
        self._reported_at[zone] = monotonic()
        views = self._remaining(zone, world)
        missing = [item for item in handover.adapters if not self._stands(item.key, world)]
        for name, other in self._zones().items():
            if other.placing and name not in world.announced:
                mine = [item for item in missing if choose_zone(item.key, views) == name]
                other.prefetch.add(zone, mine)

    def _send_while_announced(self, zone: str) -> None:
        while True:
            placed = self._zones().get(zone)
            if placed is not None and placed.placing:
                placed.send_handover(self._placers())
            gevent.sleep(_TELL_EVERY_S)
            world = self._world()
            if zone not in world.announced or zone in world.evacuated:
                return

    def _hand_over_unreported(self, zone: str) -> None:
        """Go by what the engines of a zone were said to hold, if its placer told nothing."""
        # Its placer may have told a little before this box learnt of the evacuation.
        heard_s = monotonic() - self._reported_at.get(zone, float("-inf"))
        if heard_s < 2 * _PLACER_HEARD_S or zone not in self._world().announced:
            return
        keys = self._residency.held_in(zone)
        self._log.say("Heard no placer of an evacuated zone.", zone=zone, held=len(keys))
        held = [AskedFor(*key, 0.0) for key in keys[:_HANDED_AT_MOST]]
        self.apply(zone, Handover(held))

    def _remaining(self, zone: str, world: World) -> list[ZoneView]:
        """Return the zones among which what was asked for in a zone is divided.

        They are those of its region, if there are any. All count as having room: boxes know of it
        at different times, and are to divide alike.
        """
        views = [view for view in self._views() if view.name not in world.announced]
        region = world.topology.region_of(zone)
        near = [view for view in views if world.topology.region_of(view.name) == region]
        return [view._replace(room=1) for view in near or views]

    def _stands(self, key: AdapterKey, world: World) -> bool:
        """Whether an adapter stands in a zone that remains."""
        holders = self._residency.holders(key)
        return any(may_be_loaded(replica.record, world=world) for replica in holders)

    def _stands_in(self, key: AdapterKey, zone: str) -> bool:
        holders = self._residency.holders(key)
        return any(replica.record.zone == zone for replica in holders)

    def _move_requesters(self, zone: str, *, but_for: Callable[[AdapterKey], bool]) -> None:
        placed = self._zones().get(zone)
        if placed is not None:
            placed.demand.ask_elsewhere(but_for=but_for)

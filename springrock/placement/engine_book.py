"""What the placer knows of the adapter places of one engine."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import Enum
from typing import NamedTuple

from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.directory import HeldAdapter, ReplicaRecord
from springrock.forwarding.message import AdapterKey
from springrock.placement.control import EngineState
from springrock.placement.late_orders import LateOrders
from springrock.placement.residency import LATELY_KEPT

_REPORTS_LAG_S = 1.0
"""A report shows what was ordered longer ago than this, whatever its sequence."""


class PlaceState(Enum):
    """How an adapter occupies its place."""

    LOADING = "coming"
    READY = "ready"
    UNLOADING = "leaving"


class Place(Struct, kw_only=True):
    """An occupied place.

    Attributes:
        since: When it came into its state, on the local monotonic clock.
        expected_at: When one that is coming should be there.
        cold: Whether one that is coming comes from the weight store.
        unanswered: Whether it is leaving by an order without an answer, which may be carried out
            yet, or never.
    """

    version: int
    state: PlaceState
    since: float
    expected_at: float = 0.0
    cold: bool = False
    unanswered: bool = False


class CompletedLoad(NamedTuple):
    """An adapter that came, and how long that took.

    Attributes:
        cold: Whether it came from the weight store.
    """

    key: AdapterKey
    seconds: float
    cold: bool


class EngineBook:
    """The places of one engine, all orders of this placer included.

    A place is free only once the engine shows it; one that an order has asked for is taken.

    Args:
        record: What the engine says of itself.
        slots: How many adapters it holds.
        late_orders: The placer's orders without an answer; none if they are not told.
    """

    def __init__(
        self, record: ReplicaRecord, *, slots: int, late_orders: LateOrders | None = None
    ) -> None:
        self.record = record
        self.slots = slots
        self.late_orders = LateOrders() if late_orders is None else late_orders
        self.places: dict[AdapterKey, Place] = {}
        self.assigned: dict[AdapterKey, float] = {}
        self.completed_loads: list[CompletedLoad] = []
        self.sequence: int | None = None
        self.ordered_at = 0.0
        self.reachable = False
        self.busy = False
        self.models = record.models
        self._cached: OrderedDict[AdapterKey, int] = OrderedDict()

    @property
    def instance(self) -> str:
        """The engine's incarnation."""
        return self.record.instance

    @property
    def free(self) -> int:
        """Places that nothing occupies, nor an order to an earlier start may come to occupy."""
        reserved = self.late_orders.pending_loads(self.record, self.sequence)
        return self.slots - len(self.places) - reserved

    @property
    def loading_count(self) -> int:
        """How many adapters are on their way in."""
        return sum(place.state is PlaceState.LOADING for place in self.places.values())

    @property
    def unplaced_assignments(self) -> int:
        """How many adapters are assigned to the engine and have no place there yet."""
        return sum(key not in self.places for key in self.assigned)

    @property
    def available_places(self) -> int:
        """Places that are free or being given up, less those spoken for by assignments.

        Below zero it says how many adapters have yet to give up their places.
        """
        leaving = sum(place.state is PlaceState.UNLOADING for place in self.places.values())
        return self.free + leaving - self.unplaced_assignments

    @property
    def all_ready(self) -> bool:
        """Whether nothing is on its way in or out."""
        return all(place.state is PlaceState.READY for place in self.places.values())

    def ready(self) -> list[HeldAdapter]:
        """Return the adapters that requests can use."""
        return [
            HeldAdapter(key.model, key.adapter, place.version)
            for key, place in self.places.items()
            if place.state is PlaceState.READY
        ]

    def is_ready(self, key: AdapterKey, *, version: int) -> bool:
        """Whether requests can use an adapter of a version or a newer one."""
        place = self.places.get(key)
        return place is not None and place.state is PlaceState.READY and place.version >= version

    def is_outdated(self, key: AdapterKey, *, version: int) -> bool:
        """Whether an adapter stands ready in a version that is older than the newest."""
        place = self.places.get(key)
        return place is not None and place.state is PlaceState.READY and place.version < version

    def is_cached(self, key: AdapterKey, *, version: int) -> bool:
        """Whether the engine can load an adapter again without the weight store."""
        return self._cached.get(key, -1) >= version

    def cached_adapters(self) -> Collection[AdapterKey]:
        """Return the adapters that the engine may load again without the weight store."""
        return self._cached.keys()

    def load_executed(
        self,
        key: AdapterKey,
        *,
        version: int,
        sent_at: float | None = None,
        expected_s: float = 0.0,
        cold: bool = False,
    ) -> None:
        """Note that the engine took an order to load.

        Args:
            key: The adapter.
            version: Its version; 0 for the newest.
            sent_at: When it was sent, if that is told: counted from its answer, which may come
                late, a load would look faster than any is.
            expected_s: When it should be there, in seconds from now.
            cold: Whether it comes from the weight store.
        """
        known = self.places.get(key)
        if known is not None and known.state is PlaceState.LOADING:
            return
        now = monotonic()
        self.places[key] = Place(
            version=version,
            state=PlaceState.LOADING,
            since=now if sent_at is None else sent_at,
            expected_at=now + expected_s,
            cold=cold,
        )

    def unload_started(self, key: AdapterKey) -> None:
        """Note that an order to unload is about to be sent: no request is granted the adapter."""
        place = self.places.get(key)
        if place is not None and place.state is PlaceState.READY:
            place.state = PlaceState.UNLOADING

    def unload_unanswered(self, key: AdapterKey) -> None:
        """Note that an order to unload got no answer.

        The engine may carry it out at any moment, so the adapter is granted to nobody until the
        order was given again and answered, or the adapter is seen to be gone.
        """
        place = self.places.get(key)
        if place is not None and place.state is PlaceState.UNLOADING:
            place.unanswered = True

    @property
    def unanswered_unloads(self) -> list[AdapterKey]:
        """The adapters whose orders to unload got no answer and are to be given again."""
        return [key for key, place in self.places.items() if place.unanswered]

    def unload_failed(self, key: AdapterKey) -> None:
        """Note that the engine did not take an order to unload."""
        place = self.places.get(key)
        if place is not None and place.state is PlaceState.UNLOADING:
            place.state = PlaceState.READY
            place.unanswered = False

    def unload_executed(self, key: AdapterKey) -> None:
        """Note that the engine took an order to unload."""
        place = self.places.get(key)
        if place is not None:
            self._remember(key, place.version)
            place.state = PlaceState.UNLOADING
            place.unanswered = False
            place.since = monotonic()

    def loaded(self, key: AdapterKey, *, version: int = 0) -> None:
        """Note that the engine says that it holds an adapter."""
        place = self.places.get(key)
        if place is None:
            place = Place(version=version, state=PlaceState.LOADING, since=monotonic())
            self.places[key] = place
        if place is not None and place.state is PlaceState.LOADING:
            self.completed_loads.append(CompletedLoad(key, monotonic() - place.since, place.cold))
            place.state = PlaceState.READY
            place.since = monotonic()
            self._remember(key, place.version)

    def unloaded(self, key: AdapterKey) -> None:
        """Note that the engine says that an adapter is gone."""
        place = self.places.pop(key, None)
        if place is not None:
            self._remember(key, place.version)

    def apply_report(self, state: EngineState) -> bool:
        """Take what the engine reports; return whether the report is new enough to count."""
        all_ready = monotonic() - self.ordered_at > _REPORTS_LAG_S
        if self.sequence is not None and state.sequence < self.sequence and not all_ready:
            return False
        self.sequence = state.sequence
        self.models = state.models
        self.busy = state.busy
        self._apply_listed(state.adapters, PlaceState.READY)
        self._apply_listed(state.coming, PlaceState.LOADING)
        listed = {held.key for held in (*state.adapters, *state.coming)}
        for key in [key for key in self.places if key not in listed]:
            self.unloaded(key)
        return True

    def _apply_listed(self, listed: Iterable[HeldAdapter], state: PlaceState) -> None:
        for held in listed:
            place = self.places.get(held.key)
            if place is None:
                self.places[held.key] = Place(version=held.version, state=state, since=monotonic())
            elif state is PlaceState.READY:
                place.version = held.version
                self.loaded(held.key)
            if state is PlaceState.READY:
                self._remember(held.key, held.version)

    def _remember(self, key: AdapterKey, version: int) -> None:
        self._cached[key] = version
        self._cached.move_to_end(key)
        while len(self._cached) > LATELY_KEPT:
            self._cached.popitem(last=False)

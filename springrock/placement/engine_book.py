"""The placer's account of the adapter places of one engine.

A place is an adapter slot of the engine. The account joins the engine's reports with the orders
that the placer sent after them.
"""

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
from springrock.placement.residency import MAX_CACHED_ADAPTERS

_REPORTS_LAG_S = 1.0
"""Age of the last order above which a report is applied whatever its sequence.

By then every report includes the order. This corrects a book whose sequence is above the engine's.
"""


class PlaceState(Enum):
    """The state of the adapter in an occupied place."""

    LOADING = "coming"
    READY = "ready"
    UNLOADING = "leaving"


class Place(Struct, kw_only=True):
    """An occupied place.

    Attributes:
        version: The adapter's version; 0 if the newest was ordered and no report named it yet.
        since: When the place entered its state, on the local monotonic clock.
        expected_at: When a loading adapter should be ready.
        cold: Whether a loading adapter comes from the weight store.
        unanswered: Whether its unload order got no answer, so that it may be executed later or
            never.
    """

    version: int
    state: PlaceState
    since: float
    expected_at: float = 0.0
    cold: bool = False
    unanswered: bool = False


class CompletedLoad(NamedTuple):
    """A load that finished, and its duration.

    Attributes:
        cold: Whether the adapter came from the weight store.
    """

    key: AdapterKey
    seconds: float
    cold: bool


class EngineBook:
    """The places of one engine, including the effect of this placer's orders.

    An order to load occupies a place at once. A place becomes free only when the engine confirms
    it.

    Args:
        record: The engine's own record.
        slots: Number of adapters that the engine holds.
        late_orders: The placer's unanswered load orders; an empty record of its own by default.

    Attributes:
        places: The occupied places, by adapter.
        assigned: The adapters that the planner assigned, with the time of the assignment.
        completed_loads: Loads that finished since this list was last cleared.
        sequence: The engine's sequence, incremented here at each executed order; None before its
            first report.
        ordered_at: When the last order was executed.
        reachable: Whether the engine answered the last request for its report.
        busy: Whether the engine is executing an order, as of its last report.
        models: The base models that the engine has loaded.
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
        """Number of places without an adapter, less those that late orders may still occupy."""
        reserved = self.late_orders.pending_loads(self.record, self.sequence)
        return self.slots - len(self.places) - reserved

    @property
    def loading_count(self) -> int:
        """Number of adapters that are loading."""
        return sum(place.state is PlaceState.LOADING for place in self.places.values())

    @property
    def unplaced_assignments(self) -> int:
        """Number of adapters that are assigned to the engine and have no place yet."""
        return sum(key not in self.places for key in self.assigned)

    @property
    def available_places(self) -> int:
        """Number of places that are free or being freed, less the assignments without a place.

        If negative, that many adapters have yet to be evicted.
        """
        leaving = sum(place.state is PlaceState.UNLOADING for place in self.places.values())
        return self.free + leaving - self.unplaced_assignments

    @property
    def all_ready(self) -> bool:
        """Whether no adapter is loading or being unloaded."""
        return all(place.state is PlaceState.READY for place in self.places.values())

    def ready(self) -> list[HeldAdapter]:
        """Return the adapters that requests can use, with their versions."""
        return [
            HeldAdapter(key.model, key.adapter, place.version)
            for key, place in self.places.items()
            if place.state is PlaceState.READY
        ]

    def is_ready(self, key: AdapterKey, *, version: int) -> bool:
        """Whether requests can use an adapter in at least the given version."""
        place = self.places.get(key)
        return place is not None and place.state is PlaceState.READY and place.version >= version

    def is_outdated(self, key: AdapterKey, *, version: int) -> bool:
        """Whether an adapter is ready in a version older than the given one."""
        place = self.places.get(key)
        return place is not None and place.state is PlaceState.READY and place.version < version

    def is_cached(self, key: AdapterKey, *, version: int) -> bool:
        """Whether the engine can load an adapter from its cache, without the weight store."""
        return self._cached.get(key, -1) >= version

    def cached_adapters(self) -> Collection[AdapterKey]:
        """Return the adapters that the engine has in its cache, in any version."""
        return self._cached.keys()

    def withdraw_assignments(self) -> None:
        """Drop the assignments that are not loading, so that the planner can decide again."""
        for key in list(self.assigned):
            place = self.places.get(key)
            if place is None or place.state is not PlaceState.LOADING:
                del self.assigned[key]

    def load_executed(
        self,
        key: AdapterKey,
        *,
        version: int,
        sent_at: float | None = None,
        expected_s: float = 0.0,
        cold: bool = False,
    ) -> None:
        """Record that the engine accepted an order to load.

        Args:
            key: The adapter.
            version: Its version; 0 for the newest.
            sent_at: When the order was sent; now by default. The load is timed from here, as a
                late answer would make it look faster than it was.
            expected_s: Seconds until the adapter should be ready.
            cold: Whether the adapter comes from the weight store.
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
        """Record that an order to unload is about to be sent: no request is granted the adapter."""
        place = self.places.get(key)
        if place is not None and place.state is PlaceState.READY:
            place.state = PlaceState.UNLOADING

    def unload_unanswered(self, key: AdapterKey) -> None:
        """Record that an order to unload got no answer.

        The engine may execute it at any moment. So the adapter is granted to no request until the
        order is repeated and answered, or a report shows that the adapter is gone.
        """
        place = self.places.get(key)
        if place is not None and place.state is PlaceState.UNLOADING:
            place.unanswered = True

    @property
    def unanswered_unloads(self) -> list[AdapterKey]:
        """The adapters whose orders to unload got no answer and must be repeated."""
        return [key for key, place in self.places.items() if place.unanswered]

    def unload_failed(self, key: AdapterKey) -> None:
        """Record that the engine rejected an order to unload."""
        place = self.places.get(key)
        if place is not None and place.state is PlaceState.UNLOADING:
            place.state = PlaceState.READY
            place.unanswered = False

    def unload_executed(self, key: AdapterKey) -> None:
        """Record that the engine accepted an order to unload."""
        place = self.places.get(key)
        if place is not None:
            self._remember(key, place.version)
            place.state = PlaceState.UNLOADING
            place.unanswered = False
            place.since = monotonic()

    def loaded(self, key: AdapterKey, *, version: int = 0) -> None:
        """Record that the engine confirmed that it holds an adapter."""
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
        """Record that the engine confirmed that it no longer holds an adapter."""
        place = self.places.pop(key, None)
        if place is not None:
            self._remember(key, place.version)

    def apply_report(self, state: EngineState) -> bool:
        """Apply a report of the engine unless it is outdated; return whether it was applied."""
        lag_is_over = monotonic() - self.ordered_at > _REPORTS_LAG_S
        if self.sequence is not None and state.sequence < self.sequence and not lag_is_over:
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
        while len(self._cached) > MAX_CACHED_ADAPTERS:
            self._cached.popitem(last=False)

"""Bounds how many requests brittle replicas may have to turn away, whatever room they have.

A replica that is brittle falls over when it turns more requests away in a second than it names.
Nobody knows how many it takes at once, so each request that is sent may be one that it turns away.
A request holds a place in the replica's window until its answer shows that it was admitted; one
that was turned away holds its place until it cannot count together with a later one.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

from springrock.bounded_dict import BoundedDict
from springrock.permits.messages import PermitStage
from springrock.permits.terms import PERMIT_LIFE_S

_WINDOW_S = 1.0
"""The window in which a replica counts the requests that it turns away; set by the platform."""

_ARRIVAL_DELAY_S = 0.25
"""The largest delay assumed between the sending of a request and its refusal at the replica."""

HELD_S = _WINDOW_S + PERMIT_LIFE_S + _ARRIVAL_DELAY_S
"""How long a request holds its place unless an answer shows that it was admitted. Two requests that
take their places at least this long apart cannot be turned away in one window."""

_COUNTED_FRACTION = 0.75
"""The fraction of the bound that the placer counts out. The rest is for boxes that reach no placer,
and for requests that were sent before a box learned that the replica is brittle."""

_PROBES_FRACTION = 0.5
"""The fraction of the places that may be spent on finding out whether a replica has more room."""

_ROOM_GROWTH = 0.125
"""By which fraction the assumed room grows with each probe, and by at least one request."""

_MAX_ROOM = 1000.0
"""From here on the room is taken for unknown."""

_MAX_RUN_S = 60.0
"""How long a request counts as running at most, as the report of its end may be lost."""

_MAX_REPLICAS = 10_000


def counted_places(per_s: float) -> int:
    """Return how many places the placer counts out for a replica.

    At least one: a replica that receives nothing sends no answers, so that the end of its
    brittleness would never be detected.

    Args:
        per_s: How many requests the replica may turn away in a second.
    """
    return max(1, math.floor(per_s * _COUNTED_FRACTION))


def uncounted_places(per_s: float, *, boxes: int) -> int:
    """Return how many places each of some boxes may take while no placer counts."""
    rest = math.floor(per_s) - counted_places(per_s)
    return max(0, rest) // boxes if boxes else 0


class _Place(Struct):
    """A place that a request holds.

    Attributes:
        request: The name of the request.
        taken_at: When it took the place.
        refused: Whether it is known that the replica turned it away.
    """

    request: str
    taken_at: float
    refused: bool = False


class RefusalWindow:
    """The requests to one brittle replica: those that it may have turned away, and those that run.

    The places are the bound. In addition the window learns from refusals how many requests the
    replica takes at once, so that places are not spent on requests that it would turn away; the
    bound does not depend on that. All times are on the same monotonic clock and do not decrease.

    Args:
        closed_until: Until when there is no place, as a previous placer may have given them.
    """

    def __init__(self, *, closed_until: float = 0.0) -> None:
        self._closed_until = closed_until
        self._held: list[_Place] = []
        self._running: dict[str, float] = {}
        self._admitted: deque[float] = deque()
        self._room: float | None = None
        self._room_at = 0.0

    def room_in_s(self, places: int, *, now: float) -> float:
        """Return the seconds until a place is expected to be free; 0 if one is free now.

        Args:
            places: How many places there are.
            now: The current time.
        """
        self._drop_old(now)
        if now < self._closed_until:
            return self._closed_until - now
        self._raise_room(places, now)
        has_room = self._room is None or self._at_once < math.floor(self._room)
        if has_room and len(self._held) < places:
            return 0.0
        return 1 / self.rate(places, now=now)

    def rate(self, places: int, *, now: float) -> float:
        """Return how many places a second are free, judged by the requests admitted of late."""
        self._drop_old(now)
        return (max(1, places) + len(self._admitted)) / HELD_S

    def take(self, request: str, *, now: float) -> None:
        """Let a request hold a place; the caller checks that one is free."""
        self._held.append(_Place(request, now))

    def record(self, request: str, stage: PermitStage, *, now: float) -> None:
        """Record what became of a request; no effect if it holds no place any more."""
        self._drop_old(now)
        if stage is PermitStage.ENDED:
            self._running.pop(request, None)
            return
        place = next((item for item in self._held if item.request == request), None)
        if place is None or place.refused:
            return
        if stage is PermitStage.REFUSED:
            place.refused = True
            room = max(1.0, self._at_once)
            self._room = room if self._room is None else min(self._room, room)
            self._room_at = now
            return
        self._held.remove(place)
        self._running[request] = now
        self._admitted.append(now)

    @property
    def _at_once(self) -> int:
        """How many requests run, as far as known, or were sent without an answer yet."""
        return len(self._running) + sum(not place.refused for place in self._held)

    def _raise_room(self, places: int, now: float) -> None:
        """Assume more room some time after a refusal, as the replica may have more again."""
        interval_s = HELD_S / max(1.0, places * _PROBES_FRACTION)
        while self._room is not None and now >= self._room_at + interval_s:
            self._room += max(1.0, self._room * _ROOM_GROWTH)
            self._room_at += interval_s
            if self._room > _MAX_ROOM:
                self._room = None

    def _drop_old(self, now: float) -> None:
        while self._held and self._held[0].taken_at <= now - HELD_S:
            del self._held[0]
        while self._admitted and self._admitted[0] <= now - HELD_S:
            self._admitted.popleft()
        for request, since in list(self._running.items()):
            if since > now - _MAX_RUN_S:
                break
            del self._running[request]


class RefusalWindows:
    """The windows of all replicas, by incarnation."""

    def __init__(self) -> None:
        self._closed_until = 0.0
        self._windows: BoundedDict[RefusalWindow] = BoundedDict(at_most=_MAX_REPLICAS)

    def reset(self, *, now: float) -> None:
        """Start anew after another box counted: its places are out until they end."""
        self._windows.clear()
        self._closed_until = now + HELD_S

    def of(self, instance: str) -> RefusalWindow:
        """Return the window of a replica, creating it if needed."""
        window = self._windows.get(instance)
        if window is None:
            window = RefusalWindow(closed_until=self._closed_until)
        self._windows.record(instance, window)
        return window

"""Converts between the local clock and the store's, so that boxes can exchange times.

Boxes share no clock of their own. Each answer of the store contains the time on the store's steady
clock, which was read between the sending of the request and the arrival of the answer. This gives a
lower and an upper bound on the offset of the two clocks. Conversions use the safe bound: a time
from another box may be converted to an earlier one, but never to a later one, however long its
message was delayed.
"""

from __future__ import annotations

from springrock.clock import monotonic
from springrock.eras import UNKNOWN_ERA

_DRIFT = 0.0005
"""Assumed drift between two steady clocks, in seconds per second: ten times that of crystals."""

_TOLERANCE_S = 0.005
"""Bounds that contradict each other by more than this come from different clocks. It covers the
store clock's resolution of a millisecond and its drift."""


class StoreClock:
    """Bounds on the offset of the local clock from the store's, from this box's own calls."""

    def __init__(self) -> None:
        self._era = UNKNOWN_ERA
        self._min_offset_s: float | None = None
        self._max_offset_s = 0.0
        self._recorded_at = 0.0

    @property
    def era(self) -> int:
        """The store's era that the bounds are of."""
        return self._era

    def record(
        self, store_s: float, *, sent_at: float, received_at: float, era: int = UNKNOWN_ERA
    ) -> None:
        """Update the bounds from one call.

        Args:
            store_s: The time on the store's clock that the answer contained.
            sent_at: A time before the request was sent, on the local monotonic clock.
            received_at: A time after the answer had arrived, on the same clock.
            era: The store's era; the bounds of another era are dropped, as its clock may differ.
        """
        if era != self._era:
            self._era = era
            self._min_offset_s = None
        min_s, max_s = sent_at - store_s, received_at - store_s
        if self._min_offset_s is not None:
            drift_s = _DRIFT * max(0.0, received_at - self._recorded_at)
            known_min_s, known_max_s = self._min_offset_s - drift_s, self._max_offset_s + drift_s
            if known_min_s <= max_s + _TOLERANCE_S and min_s <= known_max_s + _TOLERANCE_S:
                min_s, max_s = max(min_s, known_min_s), min(max_s, known_max_s)
        self._min_offset_s, self._max_offset_s = min_s, max(min_s, max_s)
        self._recorded_at = received_at

    def earliest_local(self, store_s: float, *, era: int = UNKNOWN_ERA) -> float | None:
        """Return the earliest local time at which the store's clock can have shown a time.

        Args:
            store_s: The time on the store's clock.
            era: The store's era at that time.

        Returns:
            The time on the local monotonic clock; None if unknown.
        """
        if self._min_offset_s is None or era != self._era:
            return None
        return store_s + self._min_offset_s - self._drift_since_record_s()

    def earliest_store(self, local: float) -> float | None:
        """Return the earliest time on the store's clock at a local time; None if unknown."""
        if self._min_offset_s is None:
            return None
        return local - self._max_offset_s - self._drift_since_record_s()

    def _drift_since_record_s(self) -> float:
        return _DRIFT * max(0.0, monotonic() - self._recorded_at)

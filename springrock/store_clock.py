"""The store's steady clock as this box knows it, so that moments can be told between boxes.

Boxes share no clock of their own. Each answer of the store names the store's clock, which read so
at some moment between the question and the answer. From that follow two bounds, and only the safe
one of them is ever used: a moment that another box tells is taken for earlier than it was, never
for later, however long the message was on its way.
"""

from __future__ import annotations

from springrock.clock import monotonic
from springrock.eras import UNKNOWN_ERA

_DRIFT = 0.0005
"""How far two steady clocks may part, in seconds a second: ten times what crystals do."""

_JUMP_S = 0.005
"""By more than this the bounds of one steady clock never cross, its grain of a millisecond and
its drift included."""


class StoreClock:
    """Bounds of the store's clock, learnt from this box's own calls."""

    def __init__(self) -> None:
        self._era = UNKNOWN_ERA
        self._least_ahead: float | None = None
        self._most_ahead = 0.0
        self._recorded_at = 0.0

    def record(
        self, store_s: float, *, sent_at: float, received_at: float, era: int = UNKNOWN_ERA
    ) -> None:
        """Learn from one call.

        Args:
            store_s: What the store's clock read in the answer.
            sent_at: Before the question was sent, on the local monotonic clock.
            received_at: After the answer had come.
            era: The store's era; another one may have another clock.
        """
        if era != self._era:
            self._era = era
            self._least_ahead = None
        least, most = sent_at - store_s, received_at - store_s
        if self._least_ahead is not None:
            wider_s = _DRIFT * max(0.0, received_at - self._recorded_at)
            known_least, known_most = self._least_ahead - wider_s, self._most_ahead + wider_s
            if known_least <= most + _JUMP_S and least <= known_most + _JUMP_S:
                least, most = max(least, known_least), min(most, known_most)
        self._least_ahead, self._most_ahead = least, max(least, most)
        self._recorded_at = received_at

    def earliest_local(self, store_s: float, *, era: int = UNKNOWN_ERA) -> float | None:
        """Return the local time before which the store's clock had not read so; None if unknown.

        Args:
            store_s: What the clock read.
            era: The store's era then.
        """
        if self._least_ahead is None or era != self._era:
            return None
        return store_s + self._least_ahead - self._drift_s()

    def earliest_store(self, local: float) -> float | None:
        """Return what the store's clock had read at least at a local time; None if unknown."""
        if self._least_ahead is None:
            return None
        return local - self._most_ahead - self._drift_s()

    def _drift_s(self) -> float:
        return _DRIFT * max(0.0, monotonic() - self._recorded_at)

"""How many boxes a deployment has, as the heartbeats of placers tell."""

from __future__ import annotations

from springrock.clock import monotonic


class BoxCount:
    """The most boxes that placers reported, and the same from the boxes of the home zone.

    Counts never fall, as boxes behind a network cut still spend their part of common budgets. A
    placer that is cut off from other zones has only the boxes of its own zone linked. The home
    zone's boxes times the zones bound the part of a box in that case, too.

    Args:
        zones: The number of zones; 0 if unknown.
    """

    def __init__(self, zones: int) -> None:
        self._zones = zones
        self._most_linked = 1
        self._most_home = 0
        self._first_heard_at: float | None = None

    def record(self, linked: int, *, home: int) -> None:
        """Record the numbers of a heartbeat.

        Args:
            linked: The boxes linked to a placer, its own included.
            home: How many of them are in this box's zone; 0 if the heartbeat does not say.
        """
        if self._first_heard_at is None:
            self._first_heard_at = monotonic()
        self._most_linked = max(self._most_linked, linked)
        self._most_home = max(self._most_home, home)

    @property
    def most(self) -> int:
        """The most boxes linked to one placer so far; at least 1, for this box."""
        return self._most_linked

    @property
    def most_home(self) -> int:
        """The most boxes of the home zone that were linked to one placer so far; 0 if unknown."""
        return self._most_home

    def sharing(self, *, heard_for_s: float) -> int | None:
        """Return the number of boxes that common budgets are divided by.

        Args:
            heard_for_s: How long ago the first heartbeat must have come. After a start of many
                boxes, or a new election, a placer reports only those that have linked so far.

        Returns:
            None if no heartbeat came, or the first one later than that.
        """
        heard_at = self._first_heard_at
        if heard_at is None or monotonic() - heard_at < heard_for_s:
            return None
        return max(self._most_linked, self._zones * self._most_home)

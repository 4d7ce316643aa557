"""Which boxes the engines of a zone have asked for rest, and until when."""

from __future__ import annotations

from springrock.clock import monotonic


class Backoffs:
    """The rests that are not over: an engine is not granted to a box that it asked for one."""

    def __init__(self) -> None:
        self._until: dict[str, dict[str, float]] = {}

    def note(self, box: str, instance: str, *, seconds: float) -> None:
        """Note that an engine wants nothing from a box for so long."""
        rests = self._standing(box)
        rests[instance] = max(rests.get(instance, 0.0), monotonic() + seconds)
        self._until[box] = rests

    def of(self, box: str) -> frozenset[str]:
        """Return the engines that want nothing from a box now."""
        if box not in self._until:
            return frozenset()
        self._until[box] = self._standing(box)
        return frozenset(self._until[box])

    def forget_box(self, box: str) -> None:
        """Forget the rests of a box, which tells what it avoids when it asks again."""
        self._until.pop(box, None)

    def _standing(self, box: str) -> dict[str, float]:
        now = monotonic()
        rests = self._until.get(box, {})
        return {instance: until for instance, until in rests.items() if until > now}

"""The back-offs that the engines of a zone have requested from boxes."""

from __future__ import annotations

from springrock.backoff import Backoff


class Backoffs:
    """The active back-offs: an engine is not granted to a box from which it requested one."""

    def __init__(self) -> None:
        self._by_box: dict[str, dict[str, Backoff]] = {}

    def record(self, box: str, instance: str, *, seconds: float) -> None:
        """Record that an engine must get no requests from a box for some time."""
        existing = {name: self._by_box[box][name] for name in self.of(box)}
        existing.setdefault(instance, Backoff()).extend(seconds)
        self._by_box[box] = existing

    def of(self, box: str) -> frozenset[str]:
        """Return the engines that must get no requests from a box now."""
        backoffs = self._by_box.get(box, {})
        return frozenset(instance for instance, backoff in backoffs.items() if backoff.active)

    def forget_box(self, box: str) -> None:
        """Drop the back-offs of a box; its next request names the engines that it avoids."""
        self._by_box.pop(box, None)

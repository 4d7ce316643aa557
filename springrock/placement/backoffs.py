"""Which boxes the engines of a zone have asked for rest, and until when."""

from __future__ import annotations

from springrock.backoff import Backoff


class Backoffs:
    """The rests that are not over: an engine is not granted to a box that it asked for one."""

    def __init__(self) -> None:
        self._by_box: dict[str, dict[str, Backoff]] = {}

    def record(self, box: str, instance: str, *, seconds: float) -> None:
        """Note that an engine wants nothing from a box for so long."""
        existing = {name: self._by_box[box][name] for name in self.of(box)}
        existing.setdefault(instance, Backoff()).extend(seconds)
        self._by_box[box] = existing

    def of(self, box: str) -> frozenset[str]:
        """Return the engines that want nothing from a box now."""
        backoffs = self._by_box.get(box, {})
        return frozenset(instance for instance, backoff in backoffs.items() if backoff.active)

    def forget_box(self, box: str) -> None:
        """Forget the rests of a box, which tells what it avoids when it asks again."""
        self._by_box.pop(box, None)

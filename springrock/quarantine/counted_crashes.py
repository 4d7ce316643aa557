"""Which crash reports count against which suspects."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from springrock.forwarding.fingerprint import Fingerprint


class CountedCrashes:
    """The keys of the reports that count against each suspect of one kind."""

    def __init__(self) -> None:
        self._keys: dict[Fingerprint, set[str]] = {}

    def keys(self, suspect: Fingerprint) -> Iterable[str]:
        """Return the keys of the reports that count against a suspect."""
        return self._keys.get(suspect, ())

    def add(self, suspect: Fingerprint, key: str) -> None:
        """Count a report against a suspect."""
        self._keys.setdefault(suspect, set()).add(key)

    def count(self, suspect: Fingerprint) -> int:
        """Return how many reports count against a suspect, also of one crash or expired."""
        return len(self._keys.get(suspect, ()))

    def discard(self, suspect: Fingerprint, key: str) -> None:
        """Count a report against a suspect no more, if it did."""
        keys = self._keys.get(suspect)
        if keys is None:
            return
        keys.discard(key)
        if not keys:
            del self._keys[suspect]

    def clear(self, suspect: Fingerprint) -> None:
        """Count no report against a suspect."""
        self._keys.pop(suspect, None)

    def with_at_least(self, count: int) -> Iterator[Fingerprint]:
        """Yield the suspects against which so many reports count."""
        return (suspect for suspect, keys in self._keys.items() if len(keys) >= count)

"""Which software versions the replicas of a service can have had lately."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord

STREAM_LIFE_S = 60.0
"""How long a stream may be taken up after its first event; requests have shorter deadlines."""

_FRESH_S = 3.0
"""Age of the replicas' rows from which unknown replicas may be serving."""


_MAX_GAP_S = 10.0
"""Longest time between a report and this box's first reading of the rows. A box that served longer
in between would have become the placer and reported anew."""


class KnownVersions(NamedTuple):
    """The software versions that replicas had within the life of a stream.

    Attributes:
        as_of: When they were known, on the local monotonic clock.
        versions: The versions of each service.
    """

    as_of: float
    versions: dict[str, list[str]]


class SoftwareHistory:
    """The software versions of each service's replicas within the life of a stream.

    Versions are vouched for only while the rows are read without a longer break: another box may
    have used replicas that this one never saw.

    Args:
        age_s: Returns the seconds since the replicas' rows were last known to be current.
    """

    def __init__(self, age_s: Callable[[], float]) -> None:
        self._age_s = age_s
        self._present: dict[str, tuple[str, str]] = {}
        self._gone_at: dict[tuple[str, str], float] = {}
        self._known_since: float | None = None

    def apply_record(self, record: ReplicaRecord | None, instance: str) -> None:
        """Apply a new or changed record, or the removal of an incarnation."""
        before = self._present.get(instance)
        after = None if record is None else (record.service, record.software)
        if before == after:
            return
        if before is not None:
            del self._present[instance]
            self._gone_at[before] = monotonic()
        if after is not None:
            self._present[instance] = after

    def update(self) -> None:
        """Check the age of the rows; to be called more often than they can become outdated."""
        now = monotonic()
        if self._age_s() > _FRESH_S:
            self._known_since = None
        elif self._known_since is None:
            self._known_since = now
        self._gone_at = {
            version: at for version, at in self._gone_at.items() if now - at < STREAM_LIFE_S
        }

    @property
    def covers_stream_life(self) -> bool:
        """Whether no replica can have served unseen within the life of a stream."""
        self.update()
        since = self._known_since
        return since is not None and monotonic() - since >= STREAM_LIFE_S

    def known_versions(self) -> KnownVersions | None:
        """Return the versions of all services; None if replicas can have served unseen."""
        if not self.covers_stream_life:
            return None
        versions: dict[str, list[str]] = {}
        for service, software in sorted({*self._present.values(), *self._gone_at}):
            versions.setdefault(service, []).append(software)
        return KnownVersions(monotonic() - self._age_s(), versions)

    def apply_report(self, known: KnownVersions) -> None:
        """Apply what another box knew, if this box's own readings follow closely on it."""
        if self._known_since is None or known.as_of < self._known_since - _MAX_GAP_S:
            return
        for service, versions in known.versions.items():
            for software in versions:
                at = max(known.as_of, self._gone_at.get((service, software), known.as_of))
                self._gone_at[(service, software)] = at
        self._known_since = min(self._known_since, known.as_of - STREAM_LIFE_S)

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions that replicas of a service are known to have had lately."""
        known: Iterable[tuple[str, str]] = (*self._present.values(), *self._gone_at)
        return frozenset(software for name, software in known if name == service)

    def only_version(self, service: str) -> str | None:
        """Return the version of every stream of a service that may go on; None if not certain."""
        if not self.covers_stream_life:
            return None
        versions = self.versions(service)
        return next(iter(versions)) if len(versions) == 1 else None

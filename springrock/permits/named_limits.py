"""The rate limits that replicas name in their answers: which is in force, and who reports it.

A limit bounds the sum over all boxes, so the placer of the replica's zone counts the requests. All
boxes learn of each limit, including those that have not had an answer from the replica yet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.log import Log
from springrock.permits.messages import LimitReport, NamedLimit

_MAX_REMEMBERED = 10_000
"""How many incarnations that have named a limit are remembered."""

_REPORT_DELAY_S = 0.25
"""The largest delay assumed for reports of other boxes. A report that a replica names no limit any
more ends a limit only if its request was sent at least this long after the limit was named."""

_REPEAT_INTERVAL_S = 0.5
"""How often a limit that is still named is reported again."""

_PLACER_REPORT_VALID_S = 10.0
"""How long a placer's limits remain valid after its last heartbeat, as a limit may outlive a
placer."""


class _StoredLimit(NamedTuple):
    """What answers have said about the limit of one replica.

    Attributes:
        per_s: The limit; None if the replica no longer names one.
        at: When the last answer that named the limit arrived; if the replica no longer names one,
            when the request of the answer that showed this was sent.
    """

    per_s: float | None
    at: float


class _PlacerLimits(NamedTuple):
    """The limits in the last heartbeat of a zone's placer.

    Attributes:
        per_s: The limits by instance.
        since: When the unbroken series of heartbeats that report each limit began.
        at: When the heartbeat arrived.
    """

    per_s: dict[str, float]
    since: dict[str, float]
    at: float


class NamedLimits:
    """The limits of replicas, by incarnation, as one box knows them.

    Args:
        log: The log to write to.
        kind: What the replicas name, for logs.

    Attributes:
        on_limit_report: Called with each report that is to be sent to other boxes.
    """

    def __init__(self, log: Log, *, kind: str = "limit") -> None:
        self._log = log
        self._kind = kind
        self._limits: BoundedDict[_StoredLimit] = BoundedDict(at_most=_MAX_REMEMBERED)
        self._repeated_at: BoundedDict[float] = BoundedDict(at_most=_MAX_REMEMBERED)
        self._from_placers: dict[str, _PlacerLimits] = {}
        self.on_limit_report: list[Callable[[LimitReport], None]] = []

    @property
    def empty(self) -> bool:
        """Whether no limit has ever been named, nor is one reported by a placer."""
        return not self._limits and not self._from_placers

    def per_s(self, instance: str) -> float | None:
        """Return the limit of a replica: the stricter of those from answers and from its placer."""
        if self.empty:
            return None
        stored = self._limits.get(instance)
        found = [
            from_placer
            for from_placer in (self._placer_limit(instance, stored),)
            if from_placer is not None
        ]
        if stored is not None and stored.per_s is not None:
            found.append(stored.per_s)
        return min(found, default=None)

    def has_report(self, instance: str) -> bool:
        """Whether answers have named a limit of a replica, even if it has ended."""
        return instance in self._limits

    @property
    def count(self) -> int:
        """How many replicas have a limit in force."""
        instances = {
            *self._limits,
            *(name for reported in self._from_placers.values() for name in reported.per_s),
        }
        return sum(self.per_s(instance) is not None for instance in instances)

    # From answers of replicas.

    def record_limit_named(self, instance: str, per_s: float, *, sent_at: float) -> None:
        """Record that an answer names a limit.

        Args:
            instance: The replica's incarnation.
            per_s: The limit, in requests a second.
            sent_at: When the request of that answer was sent.
        """
        now = monotonic()
        known = self._limits.get(instance)
        if known is not None and _is_stricter(known, per_s) and sent_at < known.at:
            # Both requests were in flight at once, so the order of their answers is unknown.
            return
        before = self.per_s(instance)
        self._limits.record(instance, _StoredLimit(per_s, now))
        if per_s != before:
            self._log_change("A replica names its limit.", instance, per_s=per_s, before=before)
        if per_s == before and now < self._repeated_at.get(instance, 0.0) + _REPEAT_INTERVAL_S:
            return
        self._repeated_at.record(instance, now)
        self._notify(LimitReport(instance, per_s))

    def record_limit_absent(self, instance: str, *, sent_at: float) -> None:
        """Record that an answer names no limit.

        Args:
            instance: The replica's incarnation.
            sent_at: When the request of that answer was sent.
        """
        before = self.per_s(instance)
        if before is None or sent_at <= self._learned_at(instance):
            return
        self._limits.record(instance, _StoredLimit(None, sent_at))
        self._log_change("A replica no longer names a limit.", instance, per_s=None, before=before)
        self._notify(LimitReport(instance, None, round(1000 * (monotonic() - sent_at))))

    def _learned_at(self, instance: str) -> float:
        """Return when this box last learned of the limit in force, from answers or placers."""
        stored = self._limits.get(instance)
        times = [reported.since.get(instance, 0.0) for reported in self._from_placers.values()]
        return max(times, default=0.0) if stored is None else max([stored.at, *times])

    # From other boxes, through the placer of the replica's zone.

    def reports_for(self, instances: Iterable[str]) -> list[LimitReport]:
        """Return what answers have said about some replicas, for a new placer."""
        if not self._limits:
            return []
        now = monotonic()
        known = [(name, self._limits[name]) for name in instances if name in self._limits]
        return [
            LimitReport(name, stored.per_s, round(1000 * (now - stored.at)))
            for name, stored in known
        ]

    def apply_limit_report(self, report: LimitReport) -> None:
        """Apply the limit that another box read in an answer, unless a newer one is known."""
        at = monotonic() - report.age_ms / 1000
        known = self._limits.get(report.instance)
        if known is None:
            outdated = report.per_s is None
        elif report.per_s is None or _is_stricter(known, report.per_s):
            outdated = known.per_s is None or at <= known.at + _REPORT_DELAY_S
        else:
            outdated = at < known.at - _REPORT_DELAY_S
        if outdated:
            return
        self._limits.record(report.instance, _StoredLimit(report.per_s, at))
        before = None if known is None else known.per_s
        if before != report.per_s:
            self._log_change(
                "A box reports a replica's limit.",
                report.instance,
                per_s=report.per_s,
                before=before,
            )

    def in_force(self, instances: Iterable[str]) -> tuple[NamedLimit, ...]:
        """Return the limits of some replicas that are in force according to answers."""
        return tuple(
            NamedLimit(report.instance, report.per_s)
            for report in self.reports_for(instances)
            if report.per_s is not None
        )

    def apply_placer_limits(self, zone: str, limits: Iterable[NamedLimit]) -> None:
        """Replace the limits that a zone's placer reports by those of its new heartbeat."""
        per_s = {limit.instance: limit.per_s for limit in limits}
        known = self._from_placers.get(zone)
        if not per_s:
            self._from_placers.pop(zone, None)
            return
        now = monotonic()
        since = {} if known is None else known.since
        self._from_placers[zone] = _PlacerLimits(
            per_s, {name: since.get(name, now) for name in per_s}, now
        )

    def _placer_limit(self, instance: str, stored: _StoredLimit | None) -> float | None:
        """Return the limit that a placer reports, unless a later answer named none."""
        now = monotonic()
        for reported in self._from_placers.values():
            since = reported.since.get(instance)
            if since is None or now >= reported.at + _PLACER_REPORT_VALID_S:
                continue
            if stored is None or stored.per_s is not None or stored.at <= since:
                return reported.per_s[instance]
        return None

    def _notify(self, report: LimitReport) -> None:
        for listener in self.on_limit_report:
            listener(report)

    def _log_change(
        self, message: str, instance: str, *, per_s: float | None, before: float | None
    ) -> None:
        self._log.info(message, instance=instance, kind=self._kind, per_s=per_s, before=before)


def _is_stricter(known: _StoredLimit, per_s: float) -> bool:
    """Whether a stored limit is lower than a given one."""
    return known.per_s is not None and known.per_s < per_s

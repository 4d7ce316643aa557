"""The limits that replicas name in their answers: which one stands, and who is told of it.

A limit binds the sum over all boxes, so the placer of the replica's zone counts; all boxes learn
of it, also those that have had no answer of the replica yet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.log import Log
from springrock.permits.messages import LimitReport, NamedLimit
from springrock.remembered import Remembered

_LIMITS_KEPT = 10_000
"""So many incarnations are remembered that have ever named a limit."""

_CROSSING_S = 0.25
"""How much later than a limit was named a request must have been sent whose answer, got by another
box, names none any more: what boxes tell each other is late by up to so much."""

_REPEAT_S = 0.5
"""How often others are told that a limit is named on."""

_REPORT_VALID_S = 10.0
"""How long a placer's word holds after its last heartbeat: a need outlasts a placer."""


class _StoredLimit(NamedTuple):
    """What is known of one replica's limit by answers.

    Attributes:
        per_s: The limit; None if the replica names none any more.
        at: When the answer came that last named it; of one that names none any more, when its
            request was sent.
    """

    per_s: float | None
    at: float


class _Reported(NamedTuple):
    """The limits that the placer of a zone last told.

    Attributes:
        since: When each was first told.
        at: When they were last told.
    """

    per_s: dict[str, float]
    since: dict[str, float]
    at: float


class NamedLimits:
    """What one box knows of the limits of replicas, by incarnation.

    Args:
        log: The log to write to.

    Attributes:
        on_limit_report: Called with what an answer told that other boxes are to learn.
    """

    def __init__(self, log: Log) -> None:
        self._log = log
        self._words: Remembered[_StoredLimit] = Remembered(at_most=_LIMITS_KEPT)
        self._repeated_at: Remembered[float] = Remembered(at_most=_LIMITS_KEPT)
        self._reported: dict[str, _Reported] = {}
        self.on_limit_report: list[Callable[[LimitReport], None]] = []

    def per_s(self, instance: str) -> float | None:
        """Return the limit of a replica, the stricter of what answers and its placer tell."""
        if not self._words and not self._reported:
            return None
        word = self._words.get(instance)
        found = [
            reported for reported in (self._reported_of(instance, word),) if reported is not None
        ]
        if word is not None and word.per_s is not None:
            found.append(word.per_s)
        return min(found, default=None)

    def knows(self, instance: str) -> bool:
        """Whether answers have told of a replica's limit, be it that it names none any more."""
        return instance in self._words

    @property
    def count(self) -> int:
        """How many limits are known to stand."""
        instances = {
            *self._words,
            *(name for reported in self._reported.values() for name in reported.per_s),
        }
        return sum(self.per_s(instance) is not None for instance in instances)

    # What answers tell.

    def record_limit_named(self, instance: str, per_s: float, *, sent_at: float) -> None:
        """Learn that an answer to a request that was sent at a time names a limit."""
        now = monotonic()
        known = self._words.get(instance)
        if known is not None and _is_stricter(known, per_s) and sent_at < known.at:
            # Which of two answers was given later cannot be told if they were under way at once.
            return
        before = self.per_s(instance)
        self._words.record(instance, _StoredLimit(per_s, now))
        if per_s != before:
            self._say("A replica names its limit.", instance, per_s=per_s, before=before)
        if per_s == before and now < self._repeated_at.get(instance, 0.0) + _REPEAT_S:
            return
        self._repeated_at.record(instance, now)
        self._notify(LimitReport(instance, per_s))

    def record_silent(self, instance: str, *, sent_at: float) -> None:
        """Learn that an answer to a request that was sent at a time names no limit."""
        before = self.per_s(instance)
        if before is None or sent_at <= self._known_at(instance):
            return
        self._words.record(instance, _StoredLimit(None, sent_at))
        self._say("A replica names its limit no more.", instance, per_s=None, before=before)
        self._notify(LimitReport(instance, None, round(1000 * (monotonic() - sent_at))))

    def _known_at(self, instance: str) -> float:
        """Return since when this box knows the limit that stands, as far as it was told."""
        word = self._words.get(instance)
        times = [reported.since.get(instance, 0.0) for reported in self._reported.values()]
        return max(times, default=0.0) if word is None else max([word.at, *times])

    # What boxes tell each other, by the placer of the replica's zone.

    def arguments(self, instances: Iterable[str]) -> list[LimitReport]:
        """Return what answers have told of some replicas, for a placer that is new to this box."""
        if not self._words:
            return []
        now = monotonic()
        known = [(name, self._words[name]) for name in instances if name in self._words]
        return [
            LimitReport(name, word.per_s, round(1000 * (now - word.at))) for name, word in known
        ]

    def apply_limit_report(self, said: LimitReport) -> None:
        """Learn what an answer told that another box got."""
        at = monotonic() - said.age_ms / 1000
        known = self._words.get(said.instance)
        if known is None:
            overtaken = said.per_s is None
        elif said.per_s is None or _is_stricter(known, said.per_s):
            overtaken = known.per_s is None or at <= known.at + _CROSSING_S
        else:
            overtaken = at < known.at - _CROSSING_S
        if overtaken:
            return
        self._words.record(said.instance, _StoredLimit(said.per_s, at))
        before = None if known is None else known.per_s
        if before != said.per_s:
            self._say(
                "A box tells of a replica's limit.", said.instance, per_s=said.per_s, before=before
            )

    def named(self, instances: Iterable[str]) -> tuple[NamedLimit, ...]:
        """Return the limits of some replicas that stand by what answers told."""
        return tuple(
            NamedLimit(word.instance, word.per_s)
            for word in self.arguments(instances)
            if word.per_s is not None
        )

    def apply_reported(self, zone: str, limits: Iterable[NamedLimit]) -> None:
        """Learn from a zone's placer which limits of its replicas stand."""
        per_s = {limit.instance: limit.per_s for limit in limits}
        known = self._reported.get(zone)
        if not per_s:
            self._reported.pop(zone, None)
            return
        now = monotonic()
        since = {} if known is None else known.since
        self._reported[zone] = _Reported(per_s, {name: since.get(name, now) for name in per_s}, now)

    def _reported_of(self, instance: str, word: _StoredLimit | None) -> float | None:
        """Return the limit that a placer tells, unless a later answer has named none."""
        now = monotonic()
        for reported in self._reported.values():
            since = reported.since.get(instance)
            if since is None or now >= reported.at + _REPORT_VALID_S:
                continue
            if word is None or word.per_s is not None or word.at <= since:
                return reported.per_s[instance]
        return None

    def _notify(self, word: LimitReport) -> None:
        for listener in self.on_limit_report:
            listener(word)

    def _say(
        self, sentence: str, instance: str, *, per_s: float | None, before: float | None
    ) -> None:
        self._log.say(sentence, instance=instance, per_s=per_s, before=before)


def _is_stricter(word: _StoredLimit, per_s: float) -> bool:
    """Whether what is known allows less than a limit."""
    return word.per_s is not None and word.per_s < per_s

"""A token bucket whose takings may be given back, without ever letting more through than it may.

In any span of time no more is taken and kept than the depth and what flows in during the span. What
is given back counts as never taken: the bucket becomes what it would then be. A taking that the
bucket has meanwhile made up for, by being full, is worth nothing any more.
"""

from __future__ import annotations

from typing import NamedTuple

_NEVER = float("inf")


class BucketLimits(NamedTuple):
    """What a bucket lets through.

    Attributes:
        rate: What flows in, in units a second.
        depth: What it holds at most, in units.
    """

    rate: float
    depth: float


class _Peak(NamedTuple):
    """A level that the bucket had, before some was taken."""

    at: float
    level: float


class TokenBucket:
    """One bucket; times are on any one monotonic clock.

    Args:
        limits: What it lets through.
        now: When it begins.
        level: What it holds then.
        remember_s: How long takings may be given back.
    """

    def __init__(
        self, limits: BucketLimits, *, now: float, level: float = 0.0, remember_s: float = 0.0
    ) -> None:
        self._limits = limits
        self._level = min(level, limits.depth)
        self._at = now
        self._remember_s = remember_s
        self._peaks: list[_Peak] = []

    @property
    def limits(self) -> BucketLimits:
        """What it lets through."""
        return self._limits

    def level(self, now: float) -> float:
        """Return what it holds."""
        flowed = max(0.0, now - self._at) * self._limits.rate
        return min(self._limits.depth, self._level + flowed)

    def change(self, limits: BucketLimits, *, now: float) -> None:
        """Let more or less through from now on; it holds no more for it at once."""
        self._refill(now)
        self._limits = limits
        self._level = min(self._level, limits.depth)

    def take(self, units: float, *, now: float) -> float:
        """Take some if it holds so much; return 0, or the seconds until it does.

        Returns:
            0 if it was taken; infinite if the bucket never holds so much.
        """
        self._refill(now)
        if units <= self._level:
            self._record_peak(now)
            self._level -= units
            return 0.0
        if units > self._limits.depth or not self._limits.rate:
            return _NEVER
        return (units - self._level) / self._limits.rate

    def give_back(self, units: float, *, taken_at: float, now: float) -> float:
        """Undo a taking; return what of it the bucket holds again.

        Args:
            units: What was taken.
            taken_at: When.
            now: The time.
        """
        self._refill(now)
        if now - taken_at > self._remember_s:
            return 0.0
        later = [peak.level for peak in self._peaks if peak.at > taken_at]
        room = self._limits.depth - max(self._level, *later, 0.0)
        back = max(0.0, min(units, room))
        self._level += back
        # Whatever else is given back finds the bucket as it now was all along.
        self._peaks = [
            _Peak(peak.at, peak.level + back) if peak.at > taken_at else peak
            for peak in self._peaks
        ]
        return back

    def _refill(self, now: float) -> None:
        self._level = self.level(now)
        self._at = max(self._at, now)

    def _record_peak(self, now: float) -> None:
        """Remember the highest levels since any time that may still be asked about."""
        if not self._remember_s:
            return
        while self._peaks and self._peaks[-1].level <= self._level:
            self._peaks.pop()
        self._peaks.append(_Peak(now, self._level))
        if self._peaks[0].at < now - self._remember_s:
            self._peaks = [peak for peak in self._peaks if peak.at >= now - self._remember_s]

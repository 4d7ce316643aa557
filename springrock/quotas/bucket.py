"""A token bucket with refunds, which never lets more through than its limits allow.

In any span of time, what is taken and not refunded is at most the depth plus what flows in during
the span. A refund restores the state that the bucket would have without the take. If the bucket has
been full since, the take has no effect on its level any more, and nothing is restored.
"""

from __future__ import annotations

from typing import NamedTuple

_NEVER = float("inf")


class BucketLimits(NamedTuple):
    """The limits of a bucket.

    Attributes:
        rate: What flows in, in units a second.
        depth: The most that it holds, in units.
    """

    rate: float
    depth: float


class _Peak(NamedTuple):
    """The level of the bucket just before a take."""

    at: float
    level: float


class TokenBucket:
    """One bucket; all times are on the same monotonic clock.

    Args:
        limits: Rate and depth.
        now: When the bucket starts.
        level: What it holds at that time.
        refund_window_s: How long after a take it can be refunded.
    """

    def __init__(
        self, limits: BucketLimits, *, now: float, level: float = 0.0, refund_window_s: float = 0.0
    ) -> None:
        self._limits = limits
        self._level = min(level, limits.depth)
        self._refilled_at = now
        self._refund_window_s = refund_window_s
        self._peaks: list[_Peak] = []

    @property
    def limits(self) -> BucketLimits:
        """The limits in force."""
        return self._limits

    def level(self, now: float) -> float:
        """Return what the bucket holds."""
        inflow = max(0.0, now - self._refilled_at) * self._limits.rate
        return min(self._limits.depth, self._level + inflow)

    def change(self, limits: BucketLimits, *, now: float) -> None:
        """Change the limits from now on; a greater depth does not raise the level at once."""
        self._refill(now)
        self._limits = limits
        self._level = min(self._level, limits.depth)

    def take(self, units: float, *, now: float) -> float:
        """Take units if the bucket holds as many.

        Returns:
            0 if they were taken, else the seconds until the bucket holds them; infinite if it
            never does.
        """
        self._refill(now)
        if units <= self._level:
            self._record_peak(now)
            self._level -= units
            return 0.0
        if units > self._limits.depth or not self._limits.rate:
            return _NEVER
        return (units - self._level) / self._limits.rate

    def refund(self, units: float, *, taken_at: float, now: float) -> float:
        """Undo a take.

        Args:
            units: The units that were taken.
            taken_at: When they were taken.
            now: The current time.

        Returns:
            The units by which the level rises: fewer than were taken if the bucket has been full,
            or nearly full, since.
        """
        self._refill(now)
        if now - taken_at > self._refund_window_s:
            return 0.0
        later_levels = [peak.level for peak in self._peaks if peak.at > taken_at]
        room = self._limits.depth - max(self._level, *later_levels, 0.0)
        restored = max(0.0, min(units, room))
        self._level += restored
        # Later refunds are computed as if the bucket had held the restored units since the take.
        self._peaks = [
            _Peak(peak.at, peak.level + restored) if peak.at > taken_at else peak
            for peak in self._peaks
        ]
        return restored

    def _refill(self, now: float) -> None:
        self._level = self.level(now)
        self._refilled_at = max(self._refilled_at, now)

    def _record_peak(self, now: float) -> None:
        """Record the level, keeping the highest one since each time a refund may go back to."""
        if not self._refund_window_s:
            return
        while self._peaks and self._peaks[-1].level <= self._level:
            self._peaks.pop()
        self._peaks.append(_Peak(now, self._level))
        if self._peaks[0].at < now - self._refund_window_s:
            self._peaks = [peak for peak in self._peaks if peak.at >= now - self._refund_window_s]

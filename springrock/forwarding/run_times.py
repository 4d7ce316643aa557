"""How long the runs of each route usually take."""

from __future__ import annotations

from msgspec import Struct

from springrock.bounded_dict import BoundedDict

_MAX_ROUTES = 4_096
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 2.0


class _Estimate(Struct):
    """The smoothed mean of durations and their smoothed deviation from it, in seconds."""

    mean_s: float
    deviation_s: float = 0.0

    def record(self, run_s: float) -> None:
        off_s = run_s - self.mean_s
        self.deviation_s += _DEVIATION_GAIN * (abs(off_s) - self.deviation_s)
        self.mean_s += _MEAN_GAIN * off_s


class RunTimes:
    """Estimates, per route, within what time most runs end.

    The estimate is a smoothed mean and some deviations, as for the timeouts of TCP (RFC 6298).
    """

    def __init__(self) -> None:
        self._estimates: BoundedDict[_Estimate] = BoundedDict(at_most=_MAX_ROUTES)

    def record(self, route: str, run_s: float) -> None:
        """Record how long a run of a route took, from its sending to the end of its answer."""
        estimate = self._estimates.get(route)
        if estimate is None:
            estimate = _Estimate(run_s)
        else:
            estimate.record(run_s)
        self._estimates.record(route, estimate)

    def usual_s(self, route: str) -> float:
        """Return within how many seconds most runs end; 0 if none has ended yet."""
        estimate = self._estimates.get(route)
        if estimate is None:
            return 0.0
        return estimate.mean_s + _DEVIATIONS * estimate.deviation_s

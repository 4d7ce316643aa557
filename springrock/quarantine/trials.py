"""Single requests that test whether a quarantined part of prompts still crashes replicas."""

from __future__ import annotations

from typing import NamedTuple

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.fingerprint import Fingerprint

_FIRST_AFTER_S = 20.0
_FACTOR = 4.0
"""A trial that crashes a replica takes what runs beside it along, so that the next one waits longer
by this factor: three fit into the default lifetime of a crash."""

_LASTS_S = 10.0
"""How long the request of a trial may wait for a replica."""

_KEPT = 1_000


class _Trial(NamedTuple):
    """The latest trial of a suspect.

    Attributes:
        whole: The request that is sent.
        began_at: When it was allowed, on the local monotonic clock.
        failed: How many trials before it crashed a replica.
    """

    whole: Fingerprint
    began_at: float
    failed: int


class Trials:
    """Lets one request through at a time, some seconds after the last crash.

    Without a trial, a part that ran beside crashes of another cause would stay quarantined until
    these expire, as no box sends what would clear it.
    """

    def __init__(self) -> None:
        self._trials: BoundedDict[_Trial] = BoundedDict(at_most=_KEPT)

    def allows(self, suspect: Fingerprint, whole: Fingerprint, *, last_crash_at: float) -> bool:
        """Return whether a request is sent as a trial of a quarantined suspect.

        Args:
            suspect: The suspect, which the request contains.
            whole: The request; asked again before it is sent, it gets the same answer.
            last_crash_at: When this box learned of the last crash, on the local monotonic clock.
        """
        now = monotonic()
        trial = self._trials.get(suspect)
        if trial is not None and trial.whole == whole:
            return now < trial.began_at + _LASTS_S
        failed, since = 0, last_crash_at
        if trial is not None:
            # A trial without a crash may not have reached a replica.
            failed = trial.failed + (last_crash_at >= trial.began_at)
            since = max(trial.began_at, last_crash_at)
        if now < since + _FIRST_AFTER_S * _FACTOR**failed:
            return False
        self._trials.record(suspect, _Trial(whole, now, failed))
        return True

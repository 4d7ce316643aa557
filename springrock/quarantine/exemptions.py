"""Suspects that are exempt from the next crash, as replicas have written answers on them since."""

from __future__ import annotations

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.fingerprint import Fingerprint

_KEPT = 2_000
"""How many suspects are remembered; frequent ones stay among them."""

_BURST_S = 1.0
"""Crashes within this time of the first one are exempt as well: replicas that end together, as in a
lost availability zone, end under requests that have much in common."""


class Exemptions:
    """Exempts a suspect from one burst of crashes for each time that an answer went well.

    What comes often runs at many crashes by chance, but hardly at two in a row without an answer in
    between. What crashes replicas has no such answer.
    """

    def __init__(self) -> None:
        self._exempt_until: BoundedDict[float | None] = BoundedDict(at_most=_KEPT)

    def __contains__(self, suspect: Fingerprint) -> bool:
        """Whether a suspect has ever gone well, as far as remembered."""
        return suspect in self._exempt_until

    def grant(self, suspect: Fingerprint) -> None:
        """Exempt a suspect from the next burst of crashes."""
        self._exempt_until.record(suspect, None)

    def covers(self, suspect: Fingerprint) -> bool:
        """Return whether a crash now does not count against a suspect; begins the burst if so."""
        if suspect not in self._exempt_until:
            return False
        until = self._exempt_until[suspect]
        now = monotonic()
        if until is None:
            self._exempt_until[suspect] = now + _BURST_S
            return True
        return now < until

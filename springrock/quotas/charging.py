"""Charges requests to their team's quota: in this box's own zone first, then in the others."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from springrock.clock import monotonic
from springrock.forwarding.configuration import Team
from springrock.forwarding.errors import OverQuota, QuotaUnheard
from springrock.quotas.charge_book import CounterSilent
from springrock.quotas.messages import Verdict

_SKIP_ZONE_S = 0.5
"""How long a zone whose placer did not answer a charge is skipped, unless all zones are."""

_UNANSWERED_RETRY_S = 0.5
"""The retry delay given to callers if no zone answers. Boxes restarted after a power loss had
placers again 0.2 s after their start, and a placer that was killed is replaced within the duration
of a lease."""


class ZoneQuota(Protocol):
    """Counts the use of quotas in one zone."""

    def charge(self, team: str, units: int, *, request: str) -> tuple[Verdict, int]:
        """Charge a request; return the answer and the charge's number.

        Raises:
            CounterSilent: If no answer comes.
        """

    def refund(self, number: int) -> None:
        """Refund a charge whose request did not run."""


class Receipt(NamedTuple):
    """An accepted charge; without a counter if nothing was charged."""

    counter: ZoneQuota | None = None
    number: int = 0

    def refund(self) -> None:
        """Refund the charge, as its request did not run."""
        if self.counter is not None:
            self.counter.refund(self.number)


class QuotaCharger:
    """Charges the requests of one box.

    Args:
        zones: Returns the zones in which quotas are counted, this box's own zone first.
        counter: Returns what counts the quotas of a zone.
    """

    def __init__(
        self, *, zones: Callable[[], Sequence[str]], counter: Callable[[str], ZoneQuota]
    ) -> None:
        self._zones = zones
        self._counter = counter
        self._skipped_until: dict[str, float] = {}

    def charge(self, team: Team | None, *, tokens: int | None, request: str) -> Receipt:
        """Charge a request once, whatever number of attempts it takes.

        Args:
            team: The request's team; None if it has none.
            tokens: The token count that the request states; None if it states none.
            request: The client's id of the request, for logs.

        Raises:
            OverQuota: If the team has used up its quota.
            QuotaUnheard: If no zone answers.
        """
        if team is None or not team.limited:
            return Receipt()
        units = team.cost(tokens)
        retry_delays_s: list[float | None] = []
        for zone in self._zones_in_order():
            counter = self._counter(zone)
            try:
                verdict, number = counter.charge(team.name, units, request=request)
            except CounterSilent:
                self._skipped_until[zone] = monotonic() + _SKIP_ZONE_S
                continue
            if verdict.charged:
                return Receipt(counter, number)
            retry_delays_s.append(verdict.retry_after_s)
        if not retry_delays_s:
            raise QuotaUnheard(_UNANSWERED_RETRY_S)
        raise OverQuota(min((delay for delay in retry_delays_s if delay is not None), default=None))

    def _zones_in_order(self) -> list[str]:
        """Return the zones to ask, in order: those not skipped, or all if all are."""
        now = monotonic()
        zones = self._zones()
        answering = [zone for zone in zones if self._skipped_until.get(zone, 0.0) <= now]
        return answering or list(zones)

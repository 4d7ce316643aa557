"""Where a request's cost is charged: at the own zone first, then wherever there is room."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from springrock.clock import monotonic
from springrock.forwarding.configuration import Team
from springrock.forwarding.errors import OverQuota, QuotaUnheard
from springrock.quotas.charge_book import CounterSilent
from springrock.quotas.messages import Verdict

_LEFT_ALONE_S = 0.5
"""How long a zone whose placer did not answer a charge is asked last."""

_UNANSWERED_RETRY_S = 0.5
"""When to come back if no zone counts: boxes that had all lost power had placers again 0.2 s after
their start, and a placer that was killed is followed within a lease."""


class Counter(Protocol):
    """Counts the quotas of one zone."""

    def charge(self, team: str, units: int, *, request: str) -> tuple[Verdict, int]:
        """Charge a request; return the answer and the charge's number.

        Raises:
            CounterSilent: If no answer comes.
        """

    def give_back(self, number: int) -> None:
        """Undo a charge whose request did not run."""


class Receipt(NamedTuple):
    """A charge that was taken, or nothing to pay."""

    counter: Counter | None = None
    number: int = 0

    def give_back(self) -> None:
        """Undo it, as its request did not run."""
        if self.counter is not None:
            self.counter.give_back(self.number)


class Charging:
    """Charges the requests of one box.

    Args:
        zones: Returns the zones in which quotas are counted, the own one first.
        counter: Returns who counts for a zone.
    """

    def __init__(
        self, *, zones: Callable[[], Sequence[str]], counter: Callable[[str], Counter]
    ) -> None:
        self._zones = zones
        self._counter = counter
        self._skipped_until: dict[str, float] = {}

    def charge(self, team: Team | None, *, tokens: int | None, request: str) -> Receipt:
        """Charge a request once for all that is done for it.

        Args:
            team: Whose it is; None if nobody's.
            tokens: What it states; None if it states nothing.
            request: The client's id of the request, for logs.

        Raises:
            OverQuota: If the team has used up its quota.
            QuotaUnheard: If nobody who counts can be reached.
        """
        if team is None or not team.limited:
            return Receipt()
        units = team.cost(tokens)
        returns_in_s: list[float | None] = []
        for zone in self._order():
            counter = self._counter(zone)
            try:
                verdict, number = counter.charge(team.name, units, request=request)
            except CounterSilent:
                self._skipped_until[zone] = monotonic() + _LEFT_ALONE_S
                continue
            if verdict.charged:
                return Receipt(counter, number)
            returns_in_s.append(verdict.back_in_s)
        if not returns_in_s:
            raise QuotaUnheard(_UNANSWERED_RETRY_S)
        raise OverQuota(min((back for back in returns_in_s if back is not None), default=None))

    def _order(self) -> list[str]:
        """Return the zones in the order in which they are asked."""
        now = monotonic()
        zones = self._zones()
        answering = [zone for zone in zones if self._skipped_until.get(zone, 0.0) <= now]
        return answering or list(zones)

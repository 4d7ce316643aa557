"""Permits for this box's requests, asked of whoever counts for the replica's zone."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.permits.messages import PermitAsk, PermitVerdict
from springrock.permits.named_limits import NamedLimits
from springrock.permits.own_shares import OwnShares
from springrock.permits.permit_book import PermitsUnheard
from springrock.permits.terms import PERMIT_LIFE_S

_LEFT_ALONE_S = 0.3
"""How long a zone whose placer did not answer an ask is not asked again: each ask in vain holds a
request up."""

UNANSWERED_RETRY_S = 0.5
"""When to come back if nobody counts: a placer that was killed is followed within a lease."""


class Permitting(Protocol):
    """Counts out the permits of one zone."""

    def permit(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        """Ask for a permit; return the answer and until when it is good.

        Args:
            permit_ask: What is asked, with no number yet.

        Raises:
            PermitsUnheard: If no answer comes.
        """


class Permit(NamedTuple):
    """The outcome of an ask.

    Attributes:
        good_until: Until when the request may be sent, on the local monotonic clock; None if it
            may not.
        retry_after_s: If not, when to come back.
    """

    good_until: float | None
    retry_after_s: float = UNANSWERED_RETRY_S


class Permits:
    """Asks for permits on behalf of one box.

    Args:
        counter: Returns who counts for a zone.
        on_unanswered: Called when nobody answered.
        is_cold: Whether a replica is not known to be warm.
        limits: The limits that replicas have named.
        shares: What this box may send below them while nobody counts.
    """

    def __init__(
        self,
        *,
        counter: Callable[[str], Permitting],
        on_unanswered: Callable[[], None],
        is_cold: Callable[[ReplicaRecord], bool],
        limits: NamedLimits,
        shares: OwnShares,
    ) -> None:
        self._counter = counter
        self._on_unanswered = on_unanswered
        self._is_cold = is_cold
        self._limits = limits
        self._shares = shares
        self._skipped_until: dict[str, float] = {}
        self._no_room_until: dict[str, float] = {}

    def ask(self, record: ReplicaRecord, *, request: str, returns: bool, grant: int = 0) -> Permit:
        """Ask to send a request to a replica that is cold or has named a limit.

        Args:
            record: The replica.
            request: The client's id of the request, for logs.
            returns: Whether the caller is told when to come back if there is no room; if not, a
                replica that had no room a moment ago is passed over without asking.
            grant: The number of the grant with which a permit was taken that is too old by now;
                0 if there was none.
        """
        now = monotonic()
        cold = self._is_cold(record)
        limit_per_s = self._limits.per_s(record.instance)
        if now < self._skipped_until.get(record.zone, 0.0):
            return self._uncounted(record, cold=cold, limit_per_s=limit_per_s)
        no_room_until = self._no_room_until.get(record.instance, 0.0)
        if not returns and not grant and now < no_room_until:
            return Permit(None, no_room_until - now)
        permit_ask = PermitAsk(
            0,
            request,
            record.service,
            record.instance,
            returns=returns,
            grant=grant,
            cold=cold,
            limit_per_s=limit_per_s,
        )
        try:
            verdict, good_until = self._counter(record.zone).permit(permit_ask)
        except PermitsUnheard:
            self._on_unanswered()
            self._skipped_until[record.zone] = monotonic() + _LEFT_ALONE_S
            return self._uncounted(record, cold=cold, limit_per_s=limit_per_s)
        if not verdict.granted:
            self._record_no_room(record.instance, verdict.room_in_s)
            return Permit(None, verdict.retry_after_s)
        if limit_per_s is not None and not verdict.limited:
            # A placer of an earlier build has counted the cold start alone.
            return self._uncounted(record, cold=False, limit_per_s=limit_per_s)
        return Permit(good_until)

    def _uncounted(self, record: ReplicaRecord, *, cold: bool, limit_per_s: float | None) -> Permit:
        """Return what this box may send by itself: to a cold replica nothing."""
        if cold or limit_per_s is None:
            return Permit(None)
        room_in_s = self._shares.take(record, limit_per_s)
        if room_in_s is None:
            return Permit(None)
        if room_in_s:
            return Permit(None, room_in_s)
        return Permit(monotonic() + PERMIT_LIFE_S)

    def _record_no_room(self, instance: str, room_in_s: float) -> None:
        now = monotonic()
        self._no_room_until = {
            name: until for name, until in self._no_room_until.items() if until > now
        }
        self._no_room_until[instance] = now + room_in_s

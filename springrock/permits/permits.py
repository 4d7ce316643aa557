"""Obtains permits for this box's requests from the placer of the replica's zone."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.permits.brittle import RefusalShares
from springrock.permits.messages import PermitAsk, PermitStage, PermitUse, PermitVerdict
from springrock.permits.named_limits import NamedLimits
from springrock.permits.own_shares import OwnShares
from springrock.permits.permit_book import PermitsUnheard
from springrock.permits.terms import PERMIT_LIFE_S

_SKIP_ZONE_S = 0.3
"""How long no permit is asked of a zone whose placer did not answer, as each unanswered ask delays
a request."""

UNANSWERED_RETRY_S = 0.5
"""The retry delay given to callers if no placer counts. A placer that was killed is replaced within
the duration of a lease."""


class ZonePermits(Protocol):
    """Issues the permits of one zone."""

    def permit(self, permit_ask: PermitAsk) -> tuple[PermitVerdict, float]:
        """Ask for a permit; return the verdict and when the permit expires.

        Args:
            permit_ask: The ask, without a number yet.

        Raises:
            PermitsUnheard: If no answer comes.
        """

    def record_permit_use(self, use: PermitUse) -> None:
        """Report what became of a request to a brittle replica."""


class Permit(NamedTuple):
    """The outcome of an ask.

    Attributes:
        valid_until: When the permit expires, on the local monotonic clock; None if refused.
        retry_after_s: If refused, the seconds until the caller should retry.
    """

    valid_until: float | None
    retry_after_s: float = UNANSWERED_RETRY_S


class Permits:
    """Asks for permits on behalf of one box.

    Args:
        counter: Returns what issues the permits of a zone.
        on_unanswered: Called when a placer did not answer.
        is_cold: Returns whether a replica is not known to be warm.
        limits: The limits that replicas have named.
        shares: What this box may send under named limits while no placer counts.
        refusal_shares: What this box may send to brittle replicas while no placer counts.
        brittle: Returns how many requests a replica may turn away in a second, by service and
            incarnation; None if it is not brittle.
    """

    def __init__(
        self,
        *,
        counter: Callable[[str], ZonePermits],
        on_unanswered: Callable[[], None],
        is_cold: Callable[[ReplicaRecord], bool],
        limits: NamedLimits,
        shares: OwnShares,
        refusal_shares: RefusalShares | None = None,
        brittle: Callable[[str, str], float | None] = lambda service, instance: None,
    ) -> None:
        self._counter = counter
        self._on_unanswered = on_unanswered
        self._is_cold = is_cold
        self._limits = limits
        self._shares = shares
        self._refusal_shares = refusal_shares
        self._brittle = brittle
        self._skipped_until: dict[str, float] = {}
        self._no_room_until: dict[str, float] = {}

    def ask(
        self, record: ReplicaRecord, *, request: str, reserve_retry: bool, grant: int = 0
    ) -> Permit:
        """Ask for a permit to send a request to a metered replica.

        Args:
            record: The replica.
            request: The client's id of the request, for logs.
            reserve_retry: Whether to reserve a retry time for the caller if no permit is
                available. If not, a replica that had no permits a moment ago is refused without
                asking.
            grant: The number of the engine grant whose permit has expired; 0 if there was none.
        """
        now = monotonic()
        cold = self._is_cold(record)
        limit_per_s = self._limits.per_s(record.instance)
        brittle_per_s = self._brittle(record.service, record.instance)

        def _uncounted(*, cold: bool) -> Permit:
            return self._uncounted(
                record,
                request=request,
                cold=cold,
                limit_per_s=limit_per_s,
                brittle_per_s=brittle_per_s,
            )

        if now < self._skipped_until.get(record.zone, 0.0):
            return _uncounted(cold=cold)
        no_room_until = self._no_room_until.get(record.instance, 0.0)
        if not reserve_retry and not grant and now < no_room_until:
            return Permit(None, no_room_until - now)
        permit_ask = PermitAsk(
            0,
            request,
            record.service,
            record.instance,
            reserve_retry=reserve_retry,
            grant=grant,
            cold=cold,
            limit_per_s=limit_per_s,
            brittle_per_s=brittle_per_s,
        )
        try:
            verdict, valid_until = self._counter(record.zone).permit(permit_ask)
        except PermitsUnheard:
            self._on_unanswered()
            self._skipped_until[record.zone] = monotonic() + _SKIP_ZONE_S
            return _uncounted(cold=cold)
        if not verdict.granted:
            self._record_no_room(record.instance, verdict.room_in_s)
            return Permit(None, verdict.retry_after_s)
        limit_ignored = limit_per_s is not None and not verdict.limited
        if limit_ignored or (brittle_per_s is not None and not verdict.brittle):
            # A placer of an earlier build did not take this into account.
            return _uncounted(cold=False)
        return Permit(valid_until)

    def record_use(self, record: ReplicaRecord, request: str, stage: PermitStage) -> None:
        """Record what became of a request; only what concerns brittle replicas is used.

        Args:
            record: The replica.
            request: The client's id of the request.
            stage: What is known of it now.
        """
        if self._brittle(record.service, record.instance) is None:
            return
        use = PermitUse(record.instance, request, stage)
        if self._refusal_shares is not None:
            self._refusal_shares.record(use)
        self._counter(record.zone).record_permit_use(use)

    def _uncounted(
        self,
        record: ReplicaRecord,
        *,
        request: str,
        cold: bool,
        limit_per_s: float | None,
        brittle_per_s: float | None,
    ) -> Permit:
        """Return what this box may send without a placer: nothing to a cold replica."""
        if cold or (limit_per_s is None and brittle_per_s is None):
            return Permit(None)
        room_in_s: float | None = 0.0
        if brittle_per_s is not None:
            room_in_s = self._refusal_room_in_s(record, brittle_per_s)
        if room_in_s == 0.0 and limit_per_s is not None:
            room_in_s = self._shares.take(record, limit_per_s)
        if room_in_s is None:
            return Permit(None)
        if room_in_s:
            return Permit(None, room_in_s)
        if brittle_per_s is not None and self._refusal_shares is not None:
            self._refusal_shares.take(record, request=request)
        return Permit(monotonic() + PERMIT_LIFE_S)

    def _refusal_room_in_s(self, record: ReplicaRecord, per_s: float) -> float | None:
        """Return the seconds until a brittle replica may get a request of this box's share."""
        if self._refusal_shares is None:
            return None
        return self._refusal_shares.room_in_s(record, per_s)

    def _record_no_room(self, instance: str, room_in_s: float) -> None:
        now = monotonic()
        self._no_room_until = {
            name: until for name, until in self._no_room_until.items() if until > now
        }
        self._no_room_until[instance] = now + room_in_s

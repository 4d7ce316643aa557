"""Issues the permits for the metered replicas of one zone; runs on the zone's placer."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits.messages import PermitAsk, PermitStage, Permitted, PermitUse, PermitVerdict
from springrock.permits.named_limits import NamedLimits
from springrock.permits.refusals import RefusalWindows, counted_places
from springrock.permits.terms import (
    SlowStartTerms,
    cold_start_bucket_limits,
    intersection,
    limits_beside_shares,
)
from springrock.quotas.bucket import BucketLimits, TokenBucket

_MAX_RETRY_AFTER_S = 5.0
"""The longest retry delay given to a caller; after it the replica may be warm."""

_MIN_RETRY_AFTER_S = 0.1

_MAX_PAUSE_S = 0.5
"""The longest delay before a box that has other replicas asks again. With 80 boxes asking for a
replica that can take 20 requests a second, this keeps the asks below 200 a second; a longer delay
would leave capacity of the replica unused."""

_REFUND_WINDOW_S = 1.0
"""How long a permit taken along with an engine grant can be refunded. A box whose permit expired
while it waited for the grant asks for a new one as soon as it has the grant."""

_MAX_ACCOUNTS = 1000
"""Beyond this number accounts with a full bucket are dropped; when created again, their bucket is
full as well."""


class PermitGranter(Protocol):
    """Issues permits for requests to which a placer grants an engine."""

    def room_in_s(self, record: ReplicaRecord, *, cold: bool) -> float:
        """Return the seconds until a request may be sent to a metered replica.

        0 if a permit is available now; infinite if this box may not issue permits.
        """

    def grant(
        self, box: str, number: int, request: str, record: ReplicaRecord, *, cold: bool
    ) -> bool:
        """Take a permit for a request that is granted a metered engine.

        Args:
            box: The box that asked for the engine.
            number: The box's own number of that ask.
            request: The client's id of the request, for logs.
            record: The engine.
            cold: Whether the engine is cold.

        Returns:
            Whether a permit was available.
        """


class HomeBoxes(NamedTuple):
    """The boxes of the zone that a placer counts for.

    Attributes:
        known: The most that were linked to a placer of the zone at once; 0 if unknown.
        linked: How many are linked now.
    """

    known: int = 0
    linked: int = 0

    @property
    def away(self) -> int:
        """How many of them may be sending their own shares."""
        return max(0, self.known - self.linked)


class _GrantedPermit(NamedTuple):
    """A permit that was taken along with an engine grant."""

    instance: str
    at: float
    request: str


class _Bound(NamedTuple):
    """The limits in force for a replica.

    Attributes:
        limits: Rate and depth of its bucket; None if nothing limits it.
        limited: Whether a limit that the replica may have named was taken into account.
        places: How many requests that a brittle replica may turn away can be under way; None if it
            is not brittle.
    """

    limits: BucketLimits | None
    limited: bool
    places: int | None = None


class _Account(Struct):
    """The permits of one replica.

    Attributes:
        bucket: Bounds the rate; None if nothing does.
        promised_until: When the last retry slot given to a caller ends.
        refused: Asks refused since the last granted one, from boxes that have other replicas.
    """

    bucket: TokenBucket | None = None
    promised_until: float = 0.0
    refused: int = 0


class PermitCounter:
    """Answers asks for permits while this box is authorized to count for the zone.

    For cold replicas this requires a lease that is certainly valid. For named limits it is enough
    that this box continues as the placer while the store is unavailable.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        terms: Returns the tolerances of the bound on cold replicas.
        limits: The limits that replicas have named.
        lease_left_s: Returns how much longer the lease is certainly valid, in seconds.
        continues_without_lease: Returns whether this box continues as the placer without a
            confirmed lease, because the store answers no box that could take the lease over.
        answer: Sends an answer to one box.
        on_counted: Called for each ask with whether it was granted.
        log: The log to write to.
        brittle: Returns how many requests a replica may turn away in a second, by service and
            incarnation; None if it is not brittle.
        home_boxes: Returns the boxes of the zone, some of which may send without permits.
    """

    def __init__(
        self,
        zone: str,
        *,
        configuration: Callable[[], Configuration],
        terms: Callable[[], SlowStartTerms],
        limits: NamedLimits,
        lease_left_s: Callable[[], float],
        continues_without_lease: Callable[[], bool],
        answer: Callable[[str, Permitted], None],
        on_counted: Callable[[bool], None],
        log: Log,
        brittle: Callable[[str, str], float | None] = lambda service, instance: None,
        home_boxes: Callable[[], HomeBoxes] = HomeBoxes,
    ) -> None:
        self._home_boxes = home_boxes
        self._zone = zone
        self._configuration = configuration
        self._terms = terms
        self._limits = limits
        self._brittle = brittle
        self._lease_left_s = lease_left_s
        self._continues_without_lease = continues_without_lease
        self._answer = answer
        self._on_counted = on_counted
        self._log = log
        self._windows = RefusalWindows()
        self._began_at = monotonic()
        self._accounts: dict[str, _Account] = {}
        self._granted: OrderedDict[tuple[str, int], _GrantedPermit] = OrderedDict()

    def reset(self) -> None:
        """Start with empty buckets after taking the lease.

        The previous placer may have issued all available permits just before.
        """
        self._began_at = monotonic()
        self._accounts.clear()
        self._granted.clear()
        self._windows.reset(now=self._began_at)

    def record_uses(self, box: str, uses: Iterable[PermitUse]) -> None:
        """Record what became of a box's requests to brittle replicas."""
        now = monotonic()
        for use in uses:
            window = self._windows.of(use.instance)
            window.record(_place_name(box, use.request), use.stage, now=now)

    def answer(self, box: str, asks: Iterable[PermitAsk]) -> None:
        """Answer the asks of a box."""
        for ask in asks:
            if ask.grant:
                self._refund_grant(box, ask.grant)
            verdict = self._decide(box, ask)
            if verdict is None:
                self._answer(box, Permitted(ask.number, counts=False))
                continue
            self._record(box, ask, verdict)
            self._answer(box, Permitted.from_verdict(ask.number, verdict))

    # Implements `PermitGranter` for the placer.

    def room_in_s(self, record: ReplicaRecord, *, cold: bool) -> float:
        """Return the seconds until a request may be sent to a metered replica."""
        bound = self._bound_for(record.service, record.instance, cold=cold)
        if bound is None:
            return float("inf")
        return max(
            self._place_in_s(record.instance, bound), self._token_in_s(record.instance, bound)
        )

    def grant(
        self, box: str, number: int, request: str, record: ReplicaRecord, *, cold: bool
    ) -> bool:
        """Take a permit for a request that is granted a metered engine; return whether it was."""
        ask = PermitAsk(0, request, record.service, record.instance, cold=cold)
        verdict = self._decide(box, ask)
        if verdict is None:
            return False
        self._record(box, ask, verdict)
        if verdict.granted:
            self._granted[box, number] = _GrantedPermit(record.instance, monotonic(), request)
        return verdict.granted

    def _refund_grant(self, box: str, number: int) -> None:
        """Refund the permit taken along with a grant, as it expired before the grant arrived."""
        now = monotonic()
        while self._granted and now - next(iter(self._granted.values())).at > _REFUND_WINDOW_S:
            self._granted.popitem(last=False)
        expired = self._granted.pop((box, number), None)
        account = None if expired is None else self._accounts.get(expired.instance)
        if expired is None:
            return
        window, place = self._windows.of(expired.instance), _place_name(box, expired.request)
        for stage in (PermitStage.ADMITTED, PermitStage.ENDED):
            window.record(place, stage, now=now)
        if account is not None and account.bucket is not None:
            account.bucket.refund(1.0, taken_at=expired.at, now=now)

    def _place_in_s(self, instance: str, bound: _Bound) -> float:
        """Return the seconds until a brittle replica may get a request; 0 for any other."""
        if bound.places is None:
            return 0.0
        return self._windows.of(instance).room_in_s(bound.places, now=monotonic())

    def _token_in_s(self, instance: str, bound: _Bound) -> float:
        """Return the seconds until the rate allows a request; 0 if nothing bounds it."""
        bucket = self._account(instance, bound).bucket
        if bucket is None:
            return 0.0
        missing = 1.0 - bucket.level(monotonic())
        return max(0.0, missing / bucket.limits.rate) if bucket.limits.rate else float("inf")

    def _decide(self, box: str, ask: PermitAsk) -> PermitVerdict | None:
        """Return the verdict on one ask; None if this box is not authorized to count."""
        bound = self._bound_for(
            ask.service,
            ask.instance,
            cold=ask.cold,
            reported_per_s=ask.limit_per_s,
            reported_brittle_per_s=ask.brittle_per_s,
        )
        if bound is None:
            return None
        if bound.limits is None and bound.places is None:
            # The replica no longer names a limit. A limit named later gets a new account.
            self._accounts.pop(ask.instance, None)
            return PermitVerdict(True, limited=True)
        account = self._account(ask.instance, bound)
        now = monotonic()
        room_in_s = self._take(account, box, ask, bound)
        if not room_in_s:
            account.refused = 0
            return PermitVerdict(True, limited=bound.limited, brittle=bound.places is not None)
        room_in_s = min(room_in_s, _MAX_RETRY_AFTER_S)
        rate = self._rate(account, ask.instance, bound)
        retry_after_s = (
            self._reserve_retry(account, room_in_s, now, rate=rate)
            if ask.reserve_retry
            else self._staggered_retry(account, room_in_s, rate=rate)
        )
        # A box that has other replicas does not ask again before its staggered delay has passed.
        return PermitVerdict(
            False,
            room_in_s if ask.reserve_retry else retry_after_s,
            retry_after_s,
            limited=bound.limited,
            brittle=bound.places is not None,
        )

    def _take(self, account: _Account, box: str, ask: PermitAsk, bound: _Bound) -> float:
        """Take a permit from all that bounds a replica; return 0, or when one may be free."""
        room_in_s = self._place_in_s(ask.instance, bound)
        now = monotonic()
        if not room_in_s and account.bucket is not None:
            room_in_s = account.bucket.take(1.0, now=now)
        if not room_in_s and bound.places is not None:
            self._windows.of(ask.instance).take(_place_name(box, ask.request), now=now)
        return room_in_s

    def _rate(self, account: _Account, instance: str, bound: _Bound) -> float:
        """Return how many permits a second are expected to be free for a replica."""
        rates = [] if account.bucket is None else [account.bucket.limits.rate]
        if bound.places is not None:
            rates.append(self._windows.of(instance).rate(bound.places, now=monotonic()))
        return min(rates, default=0.0)

    def _staggered_retry(self, account: _Account, room_in_s: float, *, rate: float) -> float:
        """Return after how many seconds a box that has other replicas should ask again.

        The delay grows with the number of refused asks, so that boxes do not all ask at once.
        """
        behind_s = account.refused / rate if rate else 0.0
        account.refused += 1
        return max(room_in_s, min(room_in_s + behind_s, _MAX_PAUSE_S))

    def _reserve_retry(
        self, account: _Account, room_in_s: float, now: float, *, rate: float
    ) -> float:
        """Return after how many seconds a caller should retry.

        Successive callers get successive slots, at the rate at which the bucket fills.
        """
        slot_at = min(max(now + room_in_s, account.promised_until), now + _MAX_RETRY_AFTER_S)
        account.promised_until = slot_at + (1 / rate if rate else 0.0)
        return max(_MIN_RETRY_AFTER_S, slot_at - now)

    def _bound_for(
        self,
        service: str,
        instance: str,
        *,
        cold: bool,
        reported_per_s: float | None = None,
        reported_brittle_per_s: float | None = None,
    ) -> _Bound | None:
        """Return the limits in force for a replica; None if this box is not authorized to count.

        Args:
            service: The replica's service.
            instance: The replica's incarnation.
            cold: Whether the replica is to be treated as cold.
            reported_per_s: The named limit that the asking box knows. A limit that this box knows
                takes precedence, as it includes what other boxes reported.
            reported_brittle_per_s: As `reported_per_s`, for what a brittle replica named.
        """
        brittle_per_s = self._brittle(service, instance)
        if brittle_per_s is None:
            brittle_per_s = reported_brittle_per_s
        places = None if brittle_per_s is None else counted_places(brittle_per_s)
        per_s = self._limits.per_s(instance)
        if per_s is None and not self._limits.has_report(instance):
            per_s = reported_per_s
        limited = None if per_s is None else self._counted_limits(per_s)
        if not cold:
            # If another box starts counting for the zone meanwhile, its buckets are empty at first.
            counts = self._lease_left_s() > 0 or self._continues_without_lease()
            return _Bound(limited, limited=True, places=places) if counts else None
        known = self._configuration().services.get(service)
        if known is None or known.slow_start is None or self._lease_left_s() <= 0:
            return None
        warming = cold_start_bucket_limits(known.slow_start, self._terms())
        if limited is None:
            return _Bound(warming, limited=reported_per_s is not None, places=places)
        return _Bound(intersection(warming, limited), limited=True, places=places)

    def _counted_limits(self, per_s: float) -> BucketLimits:
        home = self._home_boxes()
        return limits_beside_shares(per_s, boxes=home.known, away=home.away)

    def _account(self, instance: str, bound: _Bound) -> _Account:
        """Return the account of a replica that has limits, creating it if needed."""
        limits = bound.limits
        now = monotonic()
        account = self._accounts.get(instance)
        if account is None:
            self._drop_full(now)
            account = self._accounts[instance] = _Account()
        if limits is None:
            account.bucket = None
        elif account.bucket is None:
            # Requests sent before the limit was named are unknown, so the bucket starts empty.
            began_at = now if bound.limited else self._began_at
            account.bucket = TokenBucket(limits, now=began_at, refund_window_s=_REFUND_WINDOW_S)
        elif account.bucket.limits != limits:
            account.bucket.change(limits, now=now)
        return account

    def _drop_full(self, now: float) -> None:
        if len(self._accounts) < _MAX_ACCOUNTS:
            return
        self._accounts = {
            instance: account
            for instance, account in self._accounts.items()
            if account.bucket is not None
            and account.bucket.level(now) < account.bucket.limits.depth
        }

    def _record(self, box: str, ask: PermitAsk, verdict: PermitVerdict) -> None:
        self._on_counted(verdict.granted)
        account = self._accounts.get(ask.instance)
        if account is None:
            return
        bucket = account.bucket
        rate = {} if bucket is None else _bucket_fields(bucket)
        self._log.info(
            "Permitted a request to a metered replica."
            if verdict.granted
            else "A metered replica has no room.",
            request=ask.request,
            instance=ask.instance,
            service=ask.service,
            peer=box,
            zone=self._zone,
            cold=ask.cold,
            limit_per_s=self._limits.per_s(ask.instance),
            brittle_per_s=self._brittle(ask.service, ask.instance),
            room_in_ms=round(verdict.room_in_s * 1000),
            back_in_ms=round(verdict.retry_after_s * 1000),
            **rate,
        )


def _bucket_fields(bucket: TokenBucket) -> dict[str, float]:
    """Return the state of a bucket for logs."""
    return {
        "level": round(bucket.level(monotonic()), 2),
        "rate": round(bucket.limits.rate, 2),
        "depth": round(bucket.limits.depth, 2),
    }


def _place_name(box: str, request: str) -> str:
    """Return the name under which a box's request holds a place at a brittle replica."""
    return f"{box} {request}"

"""Counts out what cold and limited replicas of one zone may get, as the box that places it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from msgspec import Struct

from springrock.clock import monotonic
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import ReplicaRecord
from springrock.log import Log
from springrock.permits.messages import PermitAsk, Permitted, PermitVerdict
from springrock.permits.named_limits import NamedLimits
from springrock.permits.terms import SlowStartTerms, limits_of, limits_of_named, stricter
from springrock.quotas.bucket import BucketLimits, TokenBucket

_LONGEST_RETURN_S = 5.0
"""Nobody is told to come back later than so; by then a replica may be warm."""

_SHORTEST_RETURN_S = 0.1

_LONGEST_PAUSE_S = 0.5
"""For how long a box with other replicas is kept from asking: where 80 boxes ask for one that bears
20 a second, fewer than 200 asks a second come. Longer, and what it bears is not used."""

_REMEMBER_S = 1.0
"""How long a permit that was taken with a grant may be undone: a box asks anew as soon as it has
the grant."""

_ACCOUNTS_AT_MOST = 1000
"""Beyond it those that are full are dropped: one made anew would be full as well."""


class GrantsPermits(Protocol):
    """Counts out permits for requests that a placer grants."""

    def room_in_s(self, record: ReplicaRecord, *, cold: bool) -> float:
        """Return the seconds until a request may be sent to a cold or limited replica.

        0 if it may be now; infinite if this box may not count.
        """

    def grant(
        self, box: str, number: int, request: str, record: ReplicaRecord, *, cold: bool
    ) -> bool:
        """Take a permit with the grant of a cold or limited engine; return whether there was one.

        Args:
            box: Who asked.
            number: Its own number of the ask.
            request: The client's id of the request, for logs.
            record: The engine.
            cold: Whether it is cold.
        """


class _Taken(NamedTuple):
    """A permit that was taken with a grant."""

    instance: str
    at: float


class _Bound(NamedTuple):
    """What binds a replica.

    Attributes:
        limits: What it may get; None for anything.
        limited: Whether the limit that it may have named was looked at.
    """

    limits: BucketLimits | None
    limited: bool


class _Account(Struct):
    """The permits of one replica.

    Attributes:
        promised_until: Until when callers were told to come back for them.
        refused: Asks that found no room since the last that did, of boxes that have other replicas.
    """

    bucket: TokenBucket
    promised_until: float = 0.0
    refused: int = 0


class PermitCounter:
    """Answers asks for permits while this box may count for the zone.

    For cold replicas that is while it surely holds the lease; for limits, also while it goes on.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        terms: Returns how strictly the bound on cold replicas is meant.
        limits: The limits that replicas have named.
        lease_left_s: Returns how much longer the lease surely stands.
        goes_on: Whether this box places on, as the store answers nobody who could take the lease.
        answer: Sends an answer to one box.
        on_counted: Called with whether there was room.
        log: The log to write to.
    """

    def __init__(
        self,
        zone: str,
        *,
        configuration: Callable[[], Configuration],
        terms: Callable[[], SlowStartTerms],
        limits: NamedLimits,
        lease_left_s: Callable[[], float],
        goes_on: Callable[[], bool],
        answer: Callable[[str, Permitted], None],
        on_counted: Callable[[bool], None],
        log: Log,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._terms = terms
        self._limits = limits
        self._lease_left_s = lease_left_s
        self._goes_on = goes_on
        self._answer = answer
        self._on_counted = on_counted
        self._log = log
        self.begin()

    def begin(self) -> None:
        """Begin with nothing, as the lease was taken: another may have just granted all."""
        self._began_at = monotonic()
        self._accounts: dict[str, _Account] = {}
        self._taken: OrderedDict[tuple[str, int], _Taken] = OrderedDict()

    def answer(self, box: str, asks: Iterable[PermitAsk]) -> None:
        """Answer a box's asks."""
        for ask in asks:
            if ask.grant:
                self._undo(box, ask.grant)
            verdict = self._judge(ask)
            if verdict is None:
                self._answer(box, Permitted(ask.number, counts=False))
                continue
            self._record(box, ask, verdict)
            self._answer(box, Permitted.from_verdict(ask.number, verdict))

    # What the placer asks for requests that it grants an engine.

    def room_in_s(self, record: ReplicaRecord, *, cold: bool) -> float:
        """Return the seconds until a request may be sent to a cold or limited replica."""
        bound = self._bound_of(record.service, record.instance, cold=cold)
        if bound is None:
            return float("inf")
        if bound.limits is None:
            return 0.0
        bucket = self._account(record.instance, bound).bucket
        short = 1.0 - bucket.level(monotonic())
        return max(0.0, short / bucket.limits.rate) if bucket.limits.rate else float("inf")

    def grant(
        self, box: str, number: int, request: str, record: ReplicaRecord, *, cold: bool
    ) -> bool:
        """Take a permit with the grant of such an engine; return whether there was one."""
        ask = PermitAsk(0, request, record.service, record.instance, cold=cold)
        verdict = self._judge(ask)
        if verdict is None:
            return False
        self._record(box, ask, verdict)
        if verdict.granted:
            self._taken[box, number] = _Taken(record.instance, monotonic())
        return verdict.granted

    def _undo(self, box: str, number: int) -> None:
        """Undo a permit taken with a grant that came too late to be used."""
        now = monotonic()
        while self._taken and now - next(iter(self._taken.values())).at > _REMEMBER_S:
            self._taken.popitem(last=False)
        taken = self._taken.pop((box, number), None)
        account = None if taken is None else self._accounts.get(taken.instance)
        if taken is not None and account is not None:
            account.bucket.give_back(1.0, taken_at=taken.at, now=now)

    def _judge(self, ask: PermitAsk) -> PermitVerdict | None:
        """Return the verdict on one request; None if this box may not count."""
        bound = self._bound_of(ask.service, ask.instance, cold=ask.cold, said_per_s=ask.limit_per_s)
        if bound is None:
            return None
        if bound.limits is None:
            # It names its limit no more; should it name one again, it begins anew.
            self._accounts.pop(ask.instance, None)
            return PermitVerdict(True, limited=True)
        account = self._account(ask.instance, bound)
        now = monotonic()
        room_in_s = account.bucket.take(1.0, now=now)
        if not room_in_s:
            account.refused = 0
            return PermitVerdict(True, limited=bound.limited)
        room_in_s = min(room_in_s, _LONGEST_RETURN_S)
        back_in_s = (
            self._turn(account, room_in_s, now) if ask.returns else self._spread(account, room_in_s)
        )
        return PermitVerdict(
            False, room_in_s if ask.returns else back_in_s, back_in_s, limited=bound.limited
        )

    def _spread(self, account: _Account, room_in_s: float) -> float:
        """Return when a box that has other replicas should ask again: not all at once."""
        rate = account.bucket.limits.rate
        behind_s = account.refused / rate if rate else 0.0
        account.refused += 1
        return max(room_in_s, min(room_in_s + behind_s, _LONGEST_PAUSE_S))

    def _turn(self, account: _Account, room_in_s: float, now: float) -> float:
        """Return when a caller should come back: one after the other, as the bucket fills."""
        rate = account.bucket.limits.rate
        turn_at = min(max(now + room_in_s, account.promised_until), now + _LONGEST_RETURN_S)
        account.promised_until = turn_at + (1 / rate if rate else 0.0)
        return max(_SHORTEST_RETURN_S, turn_at - now)

    def _bound_of(
        self, service: str, instance: str, *, cold: bool, said_per_s: float | None = None
    ) -> _Bound | None:
        """Return what binds a replica; None if this box may not count.

        Args:
            service: Its service.
            instance: Its incarnation.
            cold: Whether it counts as cold.
            said_per_s: The limit that who asks knows of; what this box has learnt goes first, as
                it has heard other boxes too.
        """
        per_s = self._limits.per_s(instance)
        if per_s is None and not self._limits.knows(instance):
            per_s = said_per_s
        limited = None if per_s is None else limits_of_named(per_s)
        if not cold:
            # Whoever else may count for the zone meanwhile began with nothing.
            counts = self._lease_left_s() > 0 or self._goes_on()
            return _Bound(limited, limited=True) if counts else None
        known = self._configuration().services.get(service)
        if known is None or known.slow_start is None or self._lease_left_s() <= 0:
            return None
        warming = limits_of(known.slow_start, self._terms())
        if limited is None:
            return _Bound(warming, limited=said_per_s is not None)
        return _Bound(stricter(warming, limited), limited=True)

    def _account(self, instance: str, bound: _Bound) -> _Account:
        """Return the account of a replica that something binds."""
        limits = bound.limits
        assert limits is not None
        now = monotonic()
        account = self._accounts.get(instance)
        if account is None:
            self._drop_full(now)
            # What was sent before a limit was named is not known.
            began_at = now if bound.limited else self._began_at
            account = _Account(TokenBucket(limits, now=began_at, remember_s=_REMEMBER_S))
            self._accounts[instance] = account
        elif account.bucket.limits != limits:
            account.bucket.change(limits, now=now)
        return account

    def _drop_full(self, now: float) -> None:
        if len(self._accounts) < _ACCOUNTS_AT_MOST:
            return
        self._accounts = {
            instance: account
            for instance, account in self._accounts.items()
            if account.bucket.level(now) < account.bucket.limits.depth
        }

    def _record(self, box: str, ask: PermitAsk, verdict: PermitVerdict) -> None:
        self._on_counted(verdict.granted)
        account = self._accounts.get(ask.instance)
        if account is None:
            return
        bucket = account.bucket
        self._log.say(
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
            level=round(bucket.level(monotonic()), 2),
            rate=round(bucket.limits.rate, 2),
            depth=round(bucket.limits.depth, 2),
            room_in_ms=round(verdict.room_in_s * 1000),
            back_in_ms=round(verdict.back_in_s * 1000),
        )

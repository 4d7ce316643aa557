"""Counts out what the cold replicas of one zone may get, as the box that places the zone."""

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
from springrock.permits.terms import SlowStartTerms, limits_of
from springrock.quotas.bucket import TokenBucket

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

    def has_room(self, record: ReplicaRecord) -> bool:
        """Whether a request may be sent to a cold replica now."""

    def grant(self, box: str, number: int, request: str, record: ReplicaRecord) -> bool:
        """Take a permit with the grant of a cold engine; return whether there was one.

        Args:
            box: Who asked.
            number: Its own number of the ask.
            request: The client's id of the request, for logs.
            record: The engine.
        """


class _Taken(NamedTuple):
    """A permit that was taken with a grant."""

    instance: str
    at: float


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
    """Answers asks for permits while this box surely holds the zone's lease.

    Args:
        zone: The availability zone.
        configuration: Returns the configuration in force.
        terms: Returns how strictly the bound is meant.
        lease_left_s: Returns how much longer the lease surely stands.
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
        lease_left_s: Callable[[], float],
        answer: Callable[[str, Permitted], None],
        on_counted: Callable[[bool], None],
        log: Log,
    ) -> None:
        self._zone = zone
        self._configuration = configuration
        self._terms = terms
        self._lease_left_s = lease_left_s
        self._answer = answer
        self._on_counted = on_counted
        self._log = log
        self.begin()

    def begin(self) -> None:
        """Begin with nothing, as the lease was taken: another may have just granted all."""
        self._began_at = monotonic()
        self._accounts: dict[str, _Account] = {}
        self._taken: OrderedDict[tuple[str, int], _Taken] = OrderedDict()

    def take(self, box: str, asks: Iterable[PermitAsk]) -> None:
        """Answer a box's asks."""
        for ask in asks:
            if ask.grant:
                self._undo(box, ask.grant)
            verdict = self._judge(ask)
            if verdict is None:
                self._answer(box, Permitted(ask.number, counts=False))
                continue
            self._note(box, ask, verdict)
            self._answer(box, Permitted.from_verdict(ask.number, verdict))

    # What the placer asks for requests that it grants a cold engine.

    def has_room(self, record: ReplicaRecord) -> bool:
        """Whether a request may be sent to a cold replica now."""
        account = self._account(record.service, record.instance)
        return account is not None and account.bucket.level(monotonic()) >= 1

    def grant(self, box: str, number: int, request: str, record: ReplicaRecord) -> bool:
        """Take a permit with the grant of a cold engine; return whether there was one."""
        ask = PermitAsk(0, request, record.service, record.instance)
        verdict = self._judge(ask)
        if verdict is None:
            return False
        self._note(box, ask, verdict)
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
        account = self._account(ask.service, ask.instance)
        if account is None:
            return None
        now = monotonic()
        room_in_s = account.bucket.take(1.0, now=now)
        if not room_in_s:
            account.refused = 0
            return PermitVerdict(True)
        room_in_s = min(room_in_s, _LONGEST_RETURN_S)
        if ask.returns:
            return PermitVerdict(False, room_in_s, self._turn(account, room_in_s, now))
        room_in_s = self._spread(account, room_in_s)
        return PermitVerdict(False, room_in_s, room_in_s)

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

    def _account(self, service: str, instance: str) -> _Account | None:
        """Return the account of a replica; None if this box may not count for it."""
        known = self._configuration().services.get(service)
        if known is None or known.slow_start is None or self._lease_left_s() <= 0:
            return None
        limits = limits_of(known.slow_start, self._terms())
        now = monotonic()
        account = self._accounts.get(instance)
        if account is None:
            self._drop_full(now)
            account = _Account(TokenBucket(limits, now=self._began_at, remember_s=_REMEMBER_S))
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

    def _note(self, box: str, ask: PermitAsk, verdict: PermitVerdict) -> None:
        self._on_counted(verdict.granted)
        bucket = self._accounts[ask.instance].bucket
        self._log.say(
            "Permitted a request to a cold replica."
            if verdict.granted
            else "A cold replica has no room.",
            request=ask.request,
            instance=ask.instance,
            service=ask.service,
            peer=box,
            zone=self._zone,
            level=round(bucket.level(monotonic()), 2),
            rate=round(bucket.limits.rate, 2),
            depth=round(bucket.limits.depth, 2),
            room_in_ms=round(verdict.room_in_s * 1000),
            back_in_ms=round(verdict.back_in_s * 1000),
        )

"""Accounts for the use of one zone's share of all quotas; kept by the zone's placer.

A new ledger starts with empty buckets, as the previous placer of the zone may have granted
the full share just before.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from springrock.forwarding.configuration import Configuration, Team
from springrock.quotas.bucket import TokenBucket
from springrock.quotas.messages import Verdict
from springrock.quotas.shares import QuotaTerms, limits_of_zone

_REFUND_WINDOW_S = 20.0
"""How long a charge can be refunded: longer than clients wait for their answers."""

_MAX_RETRY_AFTER_S = 5.0
"""The longest retry delay given to a caller; by then a share may have grown."""

_MIN_RETRY_AFTER_S = 0.1


class _Charge(NamedTuple):
    team: str
    units: float
    at: float


class Ledger:
    """Counts what each team uses of one zone's share.

    Args:
        configuration: Returns the configuration in force.
        terms: Returns the tolerances and the window of quotas.
        now: When the ledger starts, on the clock of all times passed to it.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        terms: Callable[[], QuotaTerms],
        now: float,
    ) -> None:
        self._configuration = configuration
        self._terms = terms
        self._began_at = now
        self._ended_at: dict[str, float] = {}
        self._version = -1
        self._current_terms: QuotaTerms | None = None
        self._teams: dict[str, Team] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._charges: dict[str, OrderedDict[int, _Charge]] = {}
        self._next_slot_at: dict[str, float] = {}

    def charge(self, box: str, number: int, *, team: str, units: float, now: float) -> Verdict:
        """Charge a request's cost to its team's share.

        Args:
            box: The box that charges.
            number: The box's own number of the charge, used for a refund.
            team: The team.
            units: The cost.
            now: The current time.
        """
        self._refresh_configuration(now)
        bucket = self._buckets.get(team)
        if bucket is None:
            known = team in self._teams
            # A known team without a bucket has no limit. One that this box does not know yet has
            # no share here.
            return Verdict(known, None if known else _MIN_RETRY_AFTER_S)
        room_in_s = bucket.take(units, now=now)
        if room_in_s:
            return Verdict(False, self._reserve_retry(team, units, room_in_s, now))
        charges = self._charges.setdefault(box, OrderedDict())
        charges[number] = _Charge(team, units, now)
        while now - next(iter(charges.values())).at > _REFUND_WINDOW_S:
            charges.popitem(last=False)
        return Verdict(True)

    def refund(self, box: str, number: int, *, now: float) -> None:
        """Undo a charge, as its request did not run; unknown charges are ignored."""
        charges = self._charges.get(box)
        charge = None if charges is None else charges.pop(number, None)
        bucket = None if charge is None else self._buckets.get(charge.team)
        if charge is not None and bucket is not None:
            bucket.refund(charge.units, taken_at=charge.at, now=now)

    def forget_box(self, box: str) -> None:
        """Forget a box's charges, as a new process of it numbers its charges from one again."""
        self._charges.pop(box, None)

    def state(self, team: str, now: float) -> dict[str, float]:
        """Return the state of a team's share for logs."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return {}
        return {
            "level": round(bucket.level(now)),
            "rate": round(bucket.limits.rate),
            "depth": round(bucket.limits.depth),
            "share_age_ms": round((now - self._began_at) * 1000),
            "share_version": self._version,
        }

    def _reserve_retry(self, team: str, units: float, room_in_s: float, now: float) -> float | None:
        """Return after how many seconds a caller should retry; None if retrying is useless.

        Successive callers get successive slots, at the rate at which the bucket fills.
        """
        if room_in_s == float("inf"):
            return None
        slot_at = max(now + room_in_s, self._next_slot_at.get(team, 0.0))
        retry_after_s = min(_MAX_RETRY_AFTER_S, slot_at - now)
        rate = self._buckets[team].limits.rate
        self._next_slot_at[team] = min(slot_at + units / rate, now + _MAX_RETRY_AFTER_S)
        return max(_MIN_RETRY_AFTER_S, retry_after_s)

    def _refresh_configuration(self, now: float) -> None:
        """Apply the configuration and the terms if they have changed."""
        configuration, terms = self._configuration(), self._terms()
        if (configuration.version, terms) != (self._version, self._current_terms):
            self._version, self._current_terms = configuration.version, terms
            self._apply_teams(configuration.teams or (), terms, now)

    def _apply_teams(self, teams: tuple[Team, ...], terms: QuotaTerms, now: float) -> None:
        self._teams = {team.name: team for team in teams}
        for name in self._buckets.keys() - {team.name for team in teams if team.limited}:
            del self._buckets[name]
            self._ended_at[name] = now
        for team in teams:
            if not team.limited:
                continue
            limits = limits_of_zone(team, terms)
            bucket = self._buckets.get(team.name)
            if bucket is None:
                # The bucket of a limit that is set again fills from when the limit ended, so that
                # no burst is granted twice.
                began_at = self._ended_at.get(team.name, self._began_at)
                bucket = TokenBucket(limits, now=began_at, refund_window_s=_REFUND_WINDOW_S)
                self._buckets[team.name] = bucket
            else:
                bucket.change(limits, now=now)

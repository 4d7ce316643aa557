"""The account of one zone's part of all quotas, kept by the zone's placer.

It begins with nothing: whoever placed the zone before may have let the whole part through.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from springrock.forwarding.configuration import Configuration, Team
from springrock.quotas.bucket import TokenBucket
from springrock.quotas.messages import Verdict
from springrock.quotas.shares import QuotaTerms, limits_of_zone

_REMEMBER_S = 20.0
"""How long a charge may be given back: longer than clients wait for their answers."""

_LONGEST_RETURN_S = 5.0
"""Nobody is told to come back later than so; by then a share may have grown."""

_SHORTEST_RETURN_S = 0.1


class _Charge(NamedTuple):
    team: str
    units: float
    at: float


class Ledger:
    """Counts what the teams use of one zone's part.

    Args:
        configuration: Returns the configuration in force.
        terms: Returns how strictly quotas are meant.
        now: When it begins, on the clock of all times given to it.
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
        self._promised_until: dict[str, float] = {}

    def charge(self, box: str, number: int, *, team: str, units: float, now: float) -> Verdict:
        """Take a request's cost out of its team's part.

        Args:
            box: Who asks.
            number: Its own number of the charge, by which it is given back.
            team: The team.
            units: The cost.
            now: The time.
        """
        self._refresh_configuration(now)
        bucket = self._buckets.get(team)
        if bucket is None:
            known = team in self._teams
            # A team that this box does not know yet has no part here.
            return Verdict(known, None if known else _SHORTEST_RETURN_S)
        room_in_s = bucket.take(units, now=now)
        if room_in_s:
            return Verdict(False, self._return_in_s(team, units, room_in_s, now))
        charges = self._charges.setdefault(box, OrderedDict())
        charges[number] = _Charge(team, units, now)
        while now - next(iter(charges.values())).at > _REMEMBER_S:
            charges.popitem(last=False)
        return Verdict(True)

    def give_back(self, box: str, number: int, *, now: float) -> None:
        """Undo a charge, as its request did not run; unknown ones are passed over."""
        charges = self._charges.get(box)
        charge = None if charges is None else charges.pop(number, None)
        bucket = None if charge is None else self._buckets.get(charge.team)
        if charge is not None and bucket is not None:
            bucket.give_back(charge.units, taken_at=charge.at, now=now)

    def forget_box(self, box: str) -> None:
        """Take no charge of a box back any more: a new process of it counts anew from one."""
        self._charges.pop(box, None)

    def state(self, team: str, now: float) -> dict[str, float]:
        """Return a team's part as logs show it."""
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

    def _return_in_s(self, team: str, units: float, room_in_s: float, now: float) -> float | None:
        """Return when to come back: one after the other, as the part fills."""
        if room_in_s == float("inf"):
            return None
        turn_at = max(now + room_in_s, self._promised_until.get(team, 0.0))
        back_in_s = min(_LONGEST_RETURN_S, turn_at - now)
        rate = self._buckets[team].limits.rate
        self._promised_until[team] = min(turn_at + units / rate, now + _LONGEST_RETURN_S)
        return max(_SHORTEST_RETURN_S, back_in_s)

    def _refresh_configuration(self, now: float) -> None:
        """Take a changed configuration."""
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
                began_at = self._ended_at.get(team.name, self._began_at)
                bucket = TokenBucket(limits, now=began_at, remember_s=_REMEMBER_S)
                self._buckets[team.name] = bucket
            else:
                bucket.change(limits, now=now)

"""Keys of clients at the door: which team a request is of, and whether that is known surely.

A key is known by its digest only; no key stands in a log, a metric, an error or a message.

A key that was taken away must not be served longer than a bound after that was acknowledged, on any
box. So a box trusts the keys that it knows only while its configuration was surely the newest a
shorter time ago than that, and a key that it does not know is called unknown only while a newer
configuration could hardly have added it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from springrock.forwarding.configuration import Route, RouteTable, Team
from springrock.forwarding.errors import KeysStale, KeyUnknown

_TRUST_MARGIN_S = 0.25
"""By so much less than allowed are keys trusted: for the time between the check and the sending,
and for clocks that drift apart."""

_FRESH_ENOUGH_TO_DENY_S = 2.0
"""With older knowledge an unknown key may be new: boxes that are told what others read learn of a
change within 1.3 s of their last news."""

_RETRY_S = 0.5
"""When to come back while keys are not trusted: a box that reaches nobody asks again by then."""

_SHOWN_BYTES = 4


class KeyTerms(NamedTuple):
    """How long keys are trusted.

    Attributes:
        revoke_s: So long after it was acknowledged that a key is taken away it may still be served.
        fail_closed: Whether keys are no longer served once that cannot be known; else they go on
            as they are known.
    """

    revoke_s: float
    fail_closed: bool

    @property
    def trust_s(self) -> float:
        """How old the knowledge of a key may be."""
        if not self.fail_closed:
            return float("inf")
        return self.revoke_s - _TRUST_MARGIN_S


class Admission(NamedTuple):
    """What was found of a request's key, once for all that is done for the request.

    Attributes:
        team: The team whose key it is; None if it needs none and has none that is known.
        keyed: Whether the request runs by right of its key.
        has_teams: Whether the configuration has teams, so that what the client sent of a key or a
            team is dropped.
    """

    team: Team | None = None
    keyed: bool = False
    has_teams: bool = False

    @property
    def reported(self) -> str | None:
        """What replicas are told; None to leave the client's own headers as they are."""
        if not self.has_teams:
            return None
        return "" if self.team is None else self.team.name


UNKEYED = Admission()
"""Of a request where there are no teams."""


class KeyGate:
    """Admits requests by their keys.

    Args:
        routes: Returns the routes and teams in force.
        staleness_s: Returns the seconds since they were surely the newest.
        terms: Returns how long keys are trusted.
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable],
        staleness_s: Callable[[], float],
        terms: Callable[[], KeyTerms],
    ) -> None:
        self._routes = routes
        self._staleness_s = staleness_s
        self._terms = terms

    @property
    def stale_s(self) -> float:
        """Seconds since what is known of keys was surely the newest."""
        return self._staleness_s()

    def admit(self, table: RouteTable, route: Route, digest: bytes | None) -> Admission:
        """Return what a request is admitted as.

        Args:
            table: The routes and teams by which the whole request is served.
            route: Its route.
            digest: The digest of its key, if it has one.

        Raises:
            KeyUnknown: If no team holds the key.
            KeysStale: If that is not known surely enough now.
        """
        if not table.needs_keys:
            return UNKEYED
        team = table.team_of(digest)
        if route.public:
            return Admission(team, has_teams=True)
        self._check(team)
        return Admission(team, keyed=True, has_teams=True)

    def check_again(self, admission: Admission, digest: bytes | None) -> None:
        """Check the key of a request that has waited, just before it is sent.

        Raises:
            KeyUnknown: If its team holds it no more.
            KeysStale: If that is not known surely enough now.
        """
        if not admission.keyed:
            return
        team = self._routes().team_of(digest)
        admitted = admission.team
        is_same = team is not None and admitted is not None and team.name == admitted.name
        self._check(team if is_same else None)

    def _check(self, team: Team | None) -> None:
        stale_s = self._staleness_s()
        if team is None and stale_s <= _FRESH_ENOUGH_TO_DENY_S:
            raise KeyUnknown()
        if team is None or stale_s > self._terms().trust_s:
            raise KeysStale(_RETRY_S)


def digest_of(key: str) -> bytes:
    """Return the digest by which a key is known."""
    return hashlib.sha256(key.encode()).digest()


def shown(digest: bytes | None) -> str:
    """Return what of a key's digest a log shows: enough to tell keys apart."""
    return "" if digest is None else digest[:_SHOWN_BYTES].hex()

"""Authentication of requests by the API keys of teams, with a bound on stale configurations.

Keys are held as digests only. No key appears in a log, a metric, an error or a message.

No box may accept a key for longer than a bound after its revocation was acknowledged. A box
therefore trusts the keys of its configuration only if the configuration was certainly up to date at
some moment within that bound. A key that is not in the configuration is rejected as unknown only if
the configuration is so fresh that a newer one with the key is unlikely.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from springrock.forwarding.configuration import Route, RouteTable, Team
from springrock.forwarding.errors import KeysStale, KeyUnknown

_TRUST_MARGIN_S = 0.25
"""How much shorter keys are trusted than the bound allows. It covers the time between the check and
the sending of the request, and clock drift."""

_MAX_STALENESS_TO_REJECT_S = 2.0
"""The greatest staleness of the configuration at which a missing key counts as unknown. Beyond it,
the key may be new: a box that gets the store's rows from other boxes learns of a change within
1.3 s of its last update."""

_RETRY_S = 0.5
"""The Retry-After value while keys are not trusted: a box that has lost contact with the store and
all other boxes tries again within this time."""

_LOGGED_BYTES = 4


class KeyTerms(NamedTuple):
    """The settings for how long keys are trusted.

    Attributes:
        revoke_s: For how long after its revocation was acknowledged a key may still be accepted.
        fail_closed: Whether known keys are rejected once the configuration is too stale to ensure
            that bound. If not, they are accepted however stale the configuration is.
    """

    revoke_s: float
    fail_closed: bool

    @property
    def trust_s(self) -> float:
        """The greatest staleness of the configuration at which its keys are trusted."""
        if not self.fail_closed:
            return float("inf")
        return self.revoke_s - _TRUST_MARGIN_S


class Admission(NamedTuple):
    """The result of the check of a request's key, which holds for the whole request.

    Attributes:
        team: The team that holds the key. None if the route needs no key and the request has no
            known key.
        keyed: Whether the request was admitted because of its key.
        has_teams: Whether the configuration has teams. If so, key and team headers of the client
            are not passed on to replicas.
    """

    team: Team | None = None
    keyed: bool = False
    has_teams: bool = False

    @property
    def team_for_replicas(self) -> str | None:
        """The team name that is sent to replicas, empty without a team.

        None if there are no teams and the headers of the client are passed on unchanged.
        """
        if not self.has_teams:
            return None
        return "" if self.team is None else self.team.name


NO_TEAMS_ADMISSION = Admission()
"""The admission of all requests if the configuration has no teams."""


class KeyGate:
    """Admits requests by their keys.

    Args:
        routes: Returns the routes and teams in force.
        staleness_s: Returns the seconds since `routes` were certainly the newest.
        terms: Returns the settings for how long keys are trusted.
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
    def staleness_s(self) -> float:
        """Seconds since the known keys were certainly the newest."""
        return self._staleness_s()

    def admit(self, table: RouteTable, route: Route, digest: bytes | None) -> Admission:
        """Check the key of a request and return its admission.

        Args:
            table: The routes and teams that are used for the whole request.
            route: The route of the request.
            digest: The digest of the request's key; None if it has no key.

        Raises:
            KeyUnknown: If no team holds the key.
            KeysStale: If the configuration is too stale to decide.
        """
        if not table.needs_keys:
            return NO_TEAMS_ADMISSION
        team = table.team_of(digest)
        if route.public:
            return Admission(team, has_teams=True)
        self._check(team)
        return Admission(team, keyed=True, has_teams=True)

    def check_again(self, admission: Admission, digest: bytes | None) -> None:
        """Check the key of a request again, just before the request is sent after a wait.

        Raises:
            KeyUnknown: If the team no longer holds the key.
            KeysStale: If the configuration is too stale to decide.
        """
        if not admission.keyed:
            return
        team = self._routes().team_of(digest)
        admitted = admission.team
        is_same_team = team is not None and admitted is not None and team.name == admitted.name
        self._check(team if is_same_team else None)

    def _check(self, team: Team | None) -> None:
        stale_s = self._staleness_s()
        if team is None and stale_s <= _MAX_STALENESS_TO_REJECT_S:
            raise KeyUnknown()
        if team is None or stale_s > self._terms().trust_s:
            raise KeysStale(_RETRY_S)


def digest_of(key: str) -> bytes:
    """Return the digest that represents a key."""
    return hashlib.sha256(key.encode()).digest()


def digest_prefix(digest: bytes | None) -> str:
    """Return the start of a key's digest for logs, long enough to tell keys apart."""
    return "" if digest is None else digest[:_LOGGED_BYTES].hex()

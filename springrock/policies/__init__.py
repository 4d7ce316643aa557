"""Decision policies. Modules here register themselves.

A policy joins by having the one method of its protocol. All policies are pure: they look at
values and choose, so that they run the same in a box and in virtual time.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from springrock.kernel import Registry


class Resident(NamedTuple):
    """An adapter that a replica holds and that may be unloaded now.

    Attributes:
        adapter: ``ADAPTER@VERSION``.
        loaded_at: When it was loaded.
        used_at: When a request last began or ended on it.
        rate: The decayed rate of its requests, a second.
        uses: How many requests began on it since it was loaded.
    """

    adapter: str
    loaded_at: float
    used_at: float
    rate: float
    uses: int


class Want(NamedTuple):
    """An adapter that requests wait for and that the replica does not hold.

    Attributes:
        adapter: ``ADAPTER@VERSION``.
        waiting: How many requests wait.
        worth_in_time: The worth of those that can still be whole in time after a load.
        oldest_at: When the oldest of them arrived.
        first_deadline_at: The first of their last useful start times.
        order: The place in order of arrival.
    """

    adapter: str
    waiting: int
    worth_in_time: float
    oldest_at: float
    first_deadline_at: float
    order: int


class Candidate(NamedTuple):
    """A replica that could serve a request.

    Attributes:
        replica: Its name.
        owned_here: Whether this box owns it, so that no message is needed.
        same_zone: Whether it stands in this box's availability zone.
        ready: Whether it holds the adapter.
        expected: Whether it is loading the adapter or has requests waiting for it.
        free_slots: How many adapter slots are unused.
        running: How many requests run.
        waiting: How many requests wait.
        running_limit: How many may run at once.
        load_s: The usual time of a load, waiting for its turn included.
        service_s: The usual time that a request runs.
        affinity: A hash weight of replica and adapter, 0 to 1, equal on every box.
    """

    replica: str
    owned_here: bool
    same_zone: bool
    ready: bool
    expected: bool
    free_slots: int
    running: int
    waiting: int
    running_limit: int
    load_s: float
    service_s: float
    affinity: float


class Scored(NamedTuple):
    """A candidate with the expected delay that was reckoned for it, in seconds; low is better."""

    candidate: Candidate
    score: float
    reason: str


class Eviction(Protocol):
    """Chooses which adapter to unload."""

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Choose one of at least one resident."""


class LoadOrder(Protocol):
    """Chooses which adapter to load next."""

    def next(self, wants: Sequence[Want], *, now: float) -> Want:
        """Choose one of at least one want."""


class Routing(Protocol):
    """Orders the replicas that could serve a request."""

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates, the best first."""


evictions: Registry[Eviction] = Registry("eviction policy")
load_orders: Registry[LoadOrder] = Registry("load order policy")
routings: Registry[Routing] = Registry("routing policy")

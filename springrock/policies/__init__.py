"""Policies for eviction, load order and routing. Modules in this package register themselves.

A policy is any object that has the one method of its protocol. Policies choose from the values
that they are given: they read no clock and do no input or output, so that they behave the same
in a box and in a simulation with virtual time.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from springrock.kernel import Registry


class Resident(NamedTuple):
    """An adapter that is loaded on a replica.

    Attributes:
        adapter: ``ADAPTER@VERSION``.
        loaded_at: Time at which it was loaded.
        used_at: Time at which a request last started or ended on it.
        rate: Exponentially decayed count of its requests.
        uses: Number of starts and ends of requests on it since it was loaded.
    """

    adapter: str
    loaded_at: float
    used_at: float
    rate: float
    uses: int


class Want(NamedTuple):
    """An adapter that is not ready on the replica, with the requests that wait for it.

    Attributes:
        adapter: ``ADAPTER@VERSION``.
        waiting: Number of requests that wait for it.
        worth_in_time: Total worth, as stated by their callers, of the requests that can still
            complete before their deadlines if the adapter is loaded now.
        oldest_at: Arrival time of the oldest of these requests.
        first_deadline_at: Earliest of the times by which these requests must start.
        order: Position of the adapter in order of arrival of its first waiting request.
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
        replica: Name of the replica.
        owned_here: Whether this box owns the replica, so that no message to a peer is needed.
        same_zone: Whether the replica is in this box's availability zone.
        ready: Whether the adapter is loaded.
        expected: Whether the adapter is being loaded or has requests waiting for it.
        free_slots: Number of unused adapter slots.
        running: Number of running requests.
        waiting: Number of waiting requests.
        running_limit: Maximum number of concurrent requests.
        load_s: Mean duration of an adapter load, including the wait for its turn.
        service_s: Mean duration of a request.
        affinity: Hash weight of replica and adapter, from 0 to 1, the same on every box.
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
    """A candidate with its score and the reason for it; the lowest score is the best."""

    candidate: Candidate
    score: float
    reason: str


class Eviction(Protocol):
    """Chooses which adapter to unload."""

    def victim(self, residents: Sequence[Resident], *, now: float) -> Resident:
        """Return the adapter to unload; `residents` is not empty."""


class LoadOrder(Protocol):
    """Chooses which adapter to load next."""

    def next(self, wants: Sequence[Want], *, now: float) -> Want:
        """Return the adapter to load; `wants` is not empty."""


class Routing(Protocol):
    """Orders the replicas that could serve a request."""

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates with their scores, the best first."""


evictions: Registry[Eviction] = Registry("eviction policy")
load_orders: Registry[LoadOrder] = Registry("load order policy")
routings: Registry[Routing] = Registry("routing policy")

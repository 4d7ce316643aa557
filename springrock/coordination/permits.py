"""Permits: the owner's book of what it allowed, and the holder's book of what it may run.

A permit says "run this request on this replica, with this adapter, start within some seconds,
be over within some seconds". Both sides count on their own monotonic clock: the holder from
before it asked, the owner from after it granted, so the holder always stops first.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.wire import peer as wire


class Outstanding(NamedTuple):
    """A permit in the owner's book.

    Attributes:
        request_id: The request that it is for.
        holder: The box that it was given to.
        granted_at: When it was granted, on the local monotonic clock.
        ends_at: When it is over by itself, on the local monotonic clock.
    """

    number: int
    request_id: str
    adapter: str
    workload: str
    holder: str
    granted_at: float
    ends_at: float


class PermitBook:
    """What the owner of one replica has granted and not got back."""

    def __init__(self) -> None:
        self._last_number = 0
        self._outstanding: dict[int, Outstanding] = {}
        self._by_adapter: Counter[str] = Counter()
        self._reported_overdue: set[int] = set()

    def grant(self, ask: wire.Ask, *, holder: str, life_s: float) -> Outstanding:
        """Enter a new permit."""
        self._last_number += 1
        now = monotonic()
        permit = Outstanding(
            number=self._last_number,
            request_id=ask.request_id,
            adapter=ask.adapter,
            workload=ask.workload,
            holder=holder,
            granted_at=now,
            ends_at=now + life_s,
        )
        self._outstanding[permit.number] = permit
        self._by_adapter[ask.adapter] += 1
        return permit

    def end(self, number: int) -> Outstanding | None:
        """Strike a permit; return it, or None if it was not outstanding."""
        permit = self._outstanding.pop(number, None)
        self._reported_overdue.discard(number)
        if permit is not None:
            self._by_adapter[permit.adapter] -= 1
            if not self._by_adapter[permit.adapter]:
                del self._by_adapter[permit.adapter]
        return permit

    def overdue(self) -> list[Outstanding]:
        """Return, once each, the permits whose time is over; they stay in the book."""
        now = monotonic()
        over = [
            permit
            for permit in self._outstanding.values()
            if permit.ends_at <= now and permit.number not in self._reported_overdue
        ]
        self._reported_overdue.update(permit.number for permit in over)
        return over

    def using(self, adapter: str) -> int:
        """Return how many permits use an adapter."""
        return self._by_adapter[adapter]

    def __len__(self) -> int:
        return len(self._outstanding)


class InheritedBook:
    """Permits that earlier owners of a replica granted and that may still be in use."""

    def __init__(self) -> None:
        self._permits: dict[tuple[int, int], tuple[str, float]] = {}

    def add(self, permit: wire.HeldPermit, *, ends_at: float) -> None:
        """Enter a permit that a box says it holds."""
        self._permits[(permit.fence, permit.permit)] = (permit.adapter, ends_at)

    def end(self, fence: int, number: int) -> bool:
        """Strike a permit; return whether it was in the book."""
        return self._permits.pop((fence, number), None) is not None

    def using(self, adapter: str) -> bool:
        """Whether a permit whose time is not over uses an adapter."""
        now = monotonic()
        return any(used == adapter and until > now for used, until in self._permits.values())

    def __len__(self) -> int:
        now = monotonic()
        return sum(until > now for _, until in self._permits.values())


class Held(NamedTuple):
    """A permit in the holder's book."""

    replica: str
    adapter: str
    fence: int
    number: int
    ends_at: float


class HeldBook:
    """The permits that this box holds, and the highest fence it knows for each replica."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, int, int], Held] = {}
        self._fences: dict[str, int] = {}
        self._owners: dict[str, str] = {}

    def enter(self, grant: wire.Grant, *, ends_at: float) -> Held | None:
        """Enter a grant; return None if a newer owner of the replica is known."""
        if grant.fence < self._fences.get(grant.replica, 0):
            return None
        held = Held(grant.replica, grant.adapter, grant.fence, grant.permit, ends_at)
        self._held[(held.replica, held.fence, held.number)] = held
        return held

    def release(self, held: Held) -> None:
        """Strike a permit."""
        self._held.pop((held.replica, held.fence, held.number), None)

    def notice_fence(self, replica: str, fence: int, owner: str) -> list[wire.HeldPermit]:
        """Refuse lower fences from now on, and return what is held on the replica."""
        if fence >= self._fences.get(replica, 0):
            self._fences[replica] = fence
            self._owners[replica] = owner
        now = monotonic()
        return [
            wire.HeldPermit(held.fence, held.number, held.adapter, max(0.0, held.ends_at - now))
            for held in self._held.values()
            if held.replica == replica
        ]

    def owners_of(self, held: Held, granted_by: str) -> set[str]:
        """Return who must hear that a permit is over: its granter, and a newer owner."""
        newer = self._owners.get(held.replica)
        return {granted_by, newer} if newer else {granted_by}

    def fence_of(self, replica: str) -> int:
        """Return the highest fence known of a replica."""
        return self._fences.get(replica, 0)

    def __len__(self) -> int:
        return len(self._held)

"""Permits, and the books in which their owner (which grants them) and their holder record them.

A permit allows a box to run one request on a replica with an adapter. It limits the time until the
request is sent and the time until it ends. Each side measures with its own monotonic clock: the
holder from before it asked, the owner from when it granted, so the holder always stops first.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.wire import peer as wire


class OutstandingPermit(NamedTuple):
    """A permit in the owner's book.

    Attributes:
        number: The permit's number, unique in the book.
        request_id: The request that the permit is for.
        adapter: ``ADAPTER@VERSION``, or empty for the base model alone.
        workload: The workload of the request.
        holder: The box that asked for the permit.
        granted_at: When the permit was granted, on the local monotonic clock.
        ends_at: When the permit expires, on the local monotonic clock.
    """

    number: int
    request_id: str
    adapter: str
    workload: str
    holder: str
    granted_at: float
    ends_at: float


class PermitBook:
    """The permits of one replica that its owner has granted and that were not returned yet."""

    def __init__(self) -> None:
        self._last_number = 0
        self._outstanding: dict[int, OutstandingPermit] = {}
        self._by_adapter: Counter[str] = Counter()
        self._reported_overdue: set[int] = set()

    def grant(self, ask: wire.Ask, *, holder: str, lifetime_s: float) -> OutstandingPermit:
        """Grant a permit that expires after `lifetime_s`, and add it to the book."""
        self._last_number += 1
        now = monotonic()
        permit = OutstandingPermit(
            number=self._last_number,
            request_id=ask.request_id,
            adapter=ask.adapter,
            workload=ask.workload,
            holder=holder,
            granted_at=now,
            ends_at=now + lifetime_s,
        )
        self._outstanding[permit.number] = permit
        self._by_adapter[ask.adapter] += 1
        return permit

    def end(self, number: int) -> OutstandingPermit | None:
        """Remove a permit; return it, or None if it was not outstanding."""
        permit = self._outstanding.pop(number, None)
        self._reported_overdue.discard(number)
        if permit is not None:
            self._by_adapter[permit.adapter] -= 1
            if not self._by_adapter[permit.adapter]:
                del self._by_adapter[permit.adapter]
        return permit

    def overdue(self) -> list[OutstandingPermit]:
        """Return the expired permits that no earlier call returned; they stay in the book."""
        now = monotonic()
        expired = [
            permit
            for permit in self._outstanding.values()
            if permit.ends_at <= now and permit.number not in self._reported_overdue
        ]
        self._reported_overdue.update(permit.number for permit in expired)
        return expired

    def using(self, adapter: str) -> int:
        """Return the number of outstanding permits that use an adapter."""
        return self._by_adapter[adapter]

    def __len__(self) -> int:
        return len(self._outstanding)


class InheritedBook:
    """The permits of one replica that earlier owners granted and that may still be in use."""

    def __init__(self) -> None:
        self._permits: dict[tuple[int, int], tuple[str, float]] = {}

    def add(self, permit: wire.HeldPermit, *, ends_at: float) -> None:
        """Add a permit that another box reported as held."""
        self._permits[(permit.fence, permit.permit)] = (permit.adapter, ends_at)

    def end(self, fence: int, number: int) -> bool:
        """Remove a permit; return whether it was in the book."""
        return self._permits.pop((fence, number), None) is not None

    def using(self, adapter: str) -> bool:
        """Whether a permit that has not expired uses an adapter."""
        now = monotonic()
        return any(
            used_adapter == adapter and ends_at > now
            for used_adapter, ends_at in self._permits.values()
        )

    def __len__(self) -> int:
        now = monotonic()
        return sum(ends_at > now for _, ends_at in self._permits.values())


class HeldPermitEntry(NamedTuple):
    """A permit in the holder's book.

    Attributes:
        adapter: ``ADAPTER@VERSION``, or empty for the base model alone.
        fence: The fence under which the owner granted the permit.
        number: The permit's number in the owner's book.
        ends_at: When the request must have ended, on the local monotonic clock.
    """

    replica: str
    adapter: str
    fence: int
    number: int
    ends_at: float


class HeldPermitBook:
    """The permits that this box holds, and the highest known fence of each replica."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, int, int], HeldPermitEntry] = {}
        self._fences: dict[str, int] = {}
        self._owners: dict[str, str] = {}

    def add_granted(self, grant: wire.Grant, *, ends_at: float) -> HeldPermitEntry | None:
        """Add a granted permit; return None if a higher fence of the replica is known."""
        if grant.fence < self._fences.get(grant.replica, 0):
            return None
        held = HeldPermitEntry(grant.replica, grant.adapter, grant.fence, grant.permit, ends_at)
        self._held[(held.replica, held.fence, held.number)] = held
        return held

    def release(self, held: HeldPermitEntry) -> None:
        """Remove a permit."""
        self._held.pop((held.replica, held.fence, held.number), None)

    def apply_fence_notice(self, replica: str, fence: int, owner: str) -> list[wire.HeldPermit]:
        """Record the fence of a new owner; return the permits held on the replica.

        Grants under lower fences are refused from now on.
        """
        if fence >= self._fences.get(replica, 0):
            self._fences[replica] = fence
            self._owners[replica] = owner
        now = monotonic()
        return [
            wire.HeldPermit(held.fence, held.number, held.adapter, max(0.0, held.ends_at - now))
            for held in self._held.values()
            if held.replica == replica
        ]

    def owners_to_notify(self, held: HeldPermitEntry, granted_by: str) -> set[str]:
        """Return the boxes to notify of a permit's end: its granter, and any newer owner."""
        newer_owner = self._owners.get(held.replica)
        return {granted_by, newer_owner} if newer_owner else {granted_by}

    def highest_fence(self, replica: str) -> int:
        """Return the highest known fence of a replica, or 0 if none is known."""
        return self._fences.get(replica, 0)

    def __len__(self) -> int:
        return len(self._held)

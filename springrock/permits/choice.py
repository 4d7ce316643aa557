"""The choice between replicas that need a permit, as cold or limited ones do, and others."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.eligibility import Obstacle
from springrock.forwarding.errors import NoReplica
from springrock.permits.permits import Permit

_ASKS_AT_MOST = 2
"""For how many replicas a request asks in turn; each may take a round trip in a zone."""


class AsksPermits(Protocol):
    """Asks whether requests may be sent to cold or limited replicas."""

    def ask(self, record: ReplicaRecord, *, request: str, returns: bool, grant: int = 0) -> Permit:
        """Ask to send a request to such a replica."""


class NoPermits:
    """Permits nothing, as where nobody counts."""

    def ask(self, record: ReplicaRecord, *, request: str, returns: bool, grant: int = 0) -> Permit:
        """Refuse."""
        return Permit(None)


class Choosing(Protocol):
    """Chooses among the replicas that could run a request."""

    def __call__(self, *, even_metered: bool, but: frozenset[str] = frozenset()) -> Replica | None:
        """Return the best one; None if there is none."""


class Pick(NamedTuple):
    """A replica to send to.

    Attributes:
        send_by: Until when, on the local monotonic clock, it may be sent there although the
            replica is metered; None if it is not.
    """

    replica: Replica
    send_by: float | None = None


def pick(
    choose: Choosing,
    *,
    metered: Callable[[Replica], Obstacle | None],
    permits: AsksPermits,
    request: str,
) -> Pick | None:
    """Return the best replica, one that needs a permit only with it; None if there is none at all.

    Raises:
        NoReplica: If there are only such, and no permit.
    """
    refused: frozenset[str] = frozenset()
    back_in_s: list[float] = []
    reason = Obstacle.COLD
    while len(back_in_s) < _ASKS_AT_MOST:
        best = choose(even_metered=True, but=refused)
        if best is None:
            break
        obstacle = metered(best)
        if obstacle is None:
            return Pick(best)
        is_last_resort = choose(even_metered=False) is None
        permit = permits.ask(best.record, request=request, returns=is_last_resort)
        if permit.good_until is not None:
            return Pick(best, permit.good_until)
        refused |= {best.instance}
        if permit.back_in_s < min(back_in_s, default=float("inf")):
            reason = obstacle
        back_in_s.append(permit.back_in_s)
    free = choose(even_metered=False)
    if free is not None:
        return Pick(free)
    if back_in_s:
        raise NoReplica(reason, min(back_in_s))
    return None

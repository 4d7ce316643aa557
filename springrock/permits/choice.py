"""The choice between warm replicas and a cold one, which needs a permit."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.eligibility import Obstacle
from springrock.forwarding.errors import NoReplica
from springrock.permits.permits import Permit

_ASKS_AT_MOST = 2
"""For how many cold replicas a request asks in turn; each may take a round trip in a zone."""


class AsksPermits(Protocol):
    """Asks whether requests may be sent to cold replicas."""

    def ask(self, record: ReplicaRecord, *, request: str, returns: bool, grant: int = 0) -> Permit:
        """Ask to send a request to a cold replica."""


class NoPermits:
    """Permits nothing, as where nobody counts."""

    def ask(self, record: ReplicaRecord, *, request: str, returns: bool, grant: int = 0) -> Permit:
        """Refuse."""
        return Permit(None)


class Choosing(Protocol):
    """Chooses among the replicas that could run a request."""

    def __call__(self, *, even_cold: bool, but: frozenset[str] = frozenset()) -> Replica | None:
        """Return the best one; None if there is none."""


class Pick(NamedTuple):
    """A replica to send to.

    Attributes:
        send_by: Until when, on the local monotonic clock, it may be sent there although the
            replica is cold; None if it is warm.
    """

    replica: Replica
    send_by: float | None = None


def pick(
    choose: Choosing,
    *,
    is_cold: Callable[[Replica], bool],
    permits: AsksPermits,
    request: str,
) -> Pick | None:
    """Return the best replica, a cold one only with a permit; None if there is none at all.

    Raises:
        NoReplica: If there are only cold ones, and no permit.
    """
    refused: frozenset[str] = frozenset()
    back_in_s: list[float] = []
    while len(back_in_s) < _ASKS_AT_MOST:
        best = choose(even_cold=True, but=refused)
        if best is None:
            break
        if not is_cold(best):
            return Pick(best)
        is_last_resort = choose(even_cold=False) is None
        permit = permits.ask(best.record, request=request, returns=is_last_resort)
        if permit.good_until is not None:
            return Pick(best, permit.good_until)
        refused |= {best.instance}
        back_in_s.append(permit.back_in_s)
    warm = choose(even_cold=False)
    if warm is not None:
        return Pick(warm)
    if back_in_s:
        raise NoReplica(Obstacle.COLD, min(back_in_s))
    return None

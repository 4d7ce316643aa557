"""Selects a replica for a request, obtaining a permit if the replica needs one.

A replica that needs a permit is called metered: it is cold, or it has named a rate limit.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.eligibility import Obstacle
from springrock.forwarding.errors import NoReplica
from springrock.permits.permits import Permit

_MAX_ASKS = 2
"""Metered replicas for which one request asks for a permit, in sequence. Each ask may take a round
trip within the zone."""

_MIN_RETRY_AFTER_S = 0.1
"""The shortest retry delay given to a caller; the header has two digits, and 0.00 says nothing."""


class PermitRequester(Protocol):
    """Asks for permits to send requests to metered replicas."""

    def ask(
        self, record: ReplicaRecord, *, request: str, reserve_retry: bool, grant: int = 0
    ) -> Permit:
        """Ask for a permit to send a request to a metered replica."""


class NoPermits:
    """Implements `PermitRequester`; refuses everything, for boxes without a permit counter."""

    def ask(
        self, record: ReplicaRecord, *, request: str, reserve_retry: bool, grant: int = 0
    ) -> Permit:
        """Refuse the permit."""
        return Permit(None)


class ReplicaSelector(Protocol):
    """Selects the best of the replicas that could run a request."""

    def __call__(
        self, *, include_metered: bool, excluded: frozenset[str] = frozenset()
    ) -> Replica | None:
        """Return the best replica; None if there is none.

        Args:
            include_metered: Whether metered replicas are candidates.
            excluded: Instances that are no candidates.
        """


class Pick(NamedTuple):
    """The replica selected for a request.

    Attributes:
        send_by: When the permit expires, on the local monotonic clock; None if the replica needs
            no permit.
    """

    replica: Replica
    send_by: float | None = None


def pick(
    choose: ReplicaSelector,
    *,
    metered: Callable[[Replica], Obstacle | None],
    permits: PermitRequester,
    request: str,
) -> Pick | None:
    """Select the best replica for which no permit is needed or one was granted.

    Args:
        choose: Selects among the replicas that could run the request.
        metered: Returns why a replica needs a permit; None if it needs none.
        permits: Where permits are asked for.
        request: The client's id of the request, for logs.

    Returns:
        The replica; None if no replica could run the request at all.

    Raises:
        NoReplica: If only metered replicas could run the request and no permit was granted.
    """
    refused: frozenset[str] = frozenset()
    retry_delays_s: list[float] = []
    reason = Obstacle.COLD
    while len(retry_delays_s) < _MAX_ASKS:
        best = choose(include_metered=True, excluded=refused)
        if best is None:
            break
        obstacle = metered(best)
        if obstacle is None:
            return Pick(best)
        is_last_resort = choose(include_metered=False) is None
        permit = permits.ask(best.record, request=request, reserve_retry=is_last_resort)
        if permit.valid_until is not None:
            return Pick(best, permit.valid_until)
        refused |= {best.instance}
        if permit.retry_after_s < min(retry_delays_s, default=float("inf")):
            reason = obstacle
        retry_delays_s.append(permit.retry_after_s)
    unmetered = choose(include_metered=False)
    if unmetered is not None:
        return Pick(unmetered)
    if retry_delays_s:
        raise NoReplica(reason, max(_MIN_RETRY_AFTER_S, min(retry_delays_s)))
    return None

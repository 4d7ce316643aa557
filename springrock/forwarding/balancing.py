"""The choice among replicas that could run a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection

from springrock.forwarding.directory import Replica

_OTHER_ZONE = 0.5
"""How many running requests a replica of another zone counts more."""

_FAILURE_WEIGHT = 8.0
"""How many running requests a replica that always fails counts more."""


class Balancer:
    """Prefers few running requests, few failures and the own zone.

    Args:
        zone: The availability zone of this box.
        chance: Breaks ties.
    """

    def __init__(self, *, zone: str, chance: random.Random) -> None:
        self._zone = zone
        self._chance = chance

    def choose(
        self,
        replicas: Collection[Replica],
        *,
        tried: Collection[str] = (),
        fits: Callable[[Replica], bool] = lambda _: True,
        even_resting: bool = False,
    ) -> Replica | None:
        """Return the best usable replica, or None.

        Args:
            replicas: The candidates.
            tried: Instances that the request was sent to already.
            fits: Whether a candidate has what the request needs.
            even_resting: Whether one that is left alone is better than none.
        """
        fitting = [
            replica
            for replica in replicas
            if not replica.record.leaving and replica.instance not in tried and fits(replica)
        ]
        awake = [replica for replica in fitting if not replica.health.resting]
        if even_resting:
            awake = awake or fitting
        return min(awake, key=self._cost, default=None)

    def _cost(self, replica: Replica) -> float:
        cost = replica.running + _FAILURE_WEIGHT * replica.health.failure_rate
        if replica.record.zone != self._zone:
            cost += _OTHER_ZONE
        return cost + self._chance.random() * 0.1

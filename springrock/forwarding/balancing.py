"""Ranks the replicas that could run a request."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection

from springrock.forwarding.directory import Replica
from springrock.forwarding.distance_cost import (
    DEFAULT_COSTS,
    TYPICAL_SIZE,
    DistanceCosts,
    RequestSize,
)
from springrock.forwarding.eligibility import (
    ANYWHERE,
    METERED,
    Bounds,
    Obstacle,
    RoutingState,
    obstacle_of,
)

_PERMIT_COST = 0.1
"""Added cost of a cold or limited replica, on the scale of a replica's utilization. A little less
than what one running request adds at a replica of usual size: permits are asked for while other
replicas are busy, but not while one is idle."""

_FAILURE_WEIGHT = 8.0
"""Added cost of a replica whose failure rate is 1, on the scale of utilization. The cost grows with
the square of the rate: a single failure among successes (rate 0.15) does not outweigh the cost of
another zone, but two in a row do. With a linear cost, boxes would leave their own zone after each
failure where all replicas fail a few requests."""

_RANDOM_COST = 0.02
"""Range of the random cost that spreads requests over replicas of nearly equal cost."""


class Balancer:
    """Prefers nearby replicas with free capacity and few failures.

    A box counts only its own requests at a replica, not those of other boxes. It learns that a
    replica is full from the replica's answers.

    Args:
        routing_state: Returns the state of zones and permits that routing depends on.
        rng: The random source for ties.
        costs: The costs of distances.
    """

    def __init__(
        self,
        *,
        routing_state: Callable[[], RoutingState],
        rng: random.Random,
        costs: DistanceCosts = DEFAULT_COSTS,
    ) -> None:
        self._routing_state = routing_state
        self._random = rng
        self._costs = costs

    def choose(
        self,
        replicas: Collection[Replica],
        *,
        bounds: Bounds = ANYWHERE,
        tried: Collection[str] = (),
        fits: Callable[[Replica], bool] = lambda _: True,
        allow_resting: bool = False,
        include_metered: bool = False,
        size: RequestSize = TYPICAL_SIZE,
    ) -> Replica | None:
        """Return the usable replica of the lowest cost, or None.

        Args:
            replicas: The candidates.
            bounds: The regions where the request may be served.
            tried: Instances that the request was already sent to.
            fits: Whether a candidate has what the request needs.
            allow_resting: Whether to fall back to replicas that cool down after failures.
            include_metered: Whether replicas that need a permit are candidates too.
            size: The size of the request and its target latency.
        """
        routing_state = self._routing_state()
        usable: list[Replica] = []
        resting: list[Replica] = []
        metered: set[str] = set()
        for replica in replicas:
            if replica.instance in tried or not fits(replica):
                continue
            obstacle = _obstacle(replica, bounds, routing_state)
            if obstacle in METERED and include_metered:
                metered.add(replica.instance)
                (resting if replica.health.resting else usable).append(replica)
            elif obstacle is None:
                usable.append(replica)
            elif obstacle is Obstacle.RESTING:
                resting.append(replica)
        if allow_resting:
            usable = usable or resting

        def _cost(replica: Replica) -> float:
            cost = self._cost(replica, routing_state, size)
            return cost + (_PERMIT_COST if replica.instance in metered else 0.0)

        return min(usable, key=_cost, default=None)

    def in_bounds(self, replicas: Collection[Replica], *, bounds: Bounds) -> list[Replica]:
        """Return the replicas in the regions that a request allows, regardless of their state."""
        topology = self._routing_state().topology
        return [item for item in replicas if bounds.allow(item.record.zone, topology)]

    def count_obstacles(
        self, replicas: Collection[Replica], *, bounds: Bounds = ANYWHERE
    ) -> Counter[Obstacle]:
        """Return how many replicas each obstacle applies to."""
        routing_state = self._routing_state()
        found = (_obstacle(replica, bounds, routing_state) for replica in replicas)
        return Counter(obstacle for obstacle in found if obstacle is not None)

    def obstacle(
        self, replica: Replica, *, bounds: Bounds, permitted: bool = False
    ) -> Obstacle | None:
        """Return why a request may not be sent to a replica now, regardless of recent failures."""
        return obstacle_of(
            replica.record,
            bounds=bounds,
            routing_state=self._routing_state(),
            backing_off=replica.backoff.active,
            permitted=permitted,
        )

    def _cost(self, replica: Replica, routing_state: RoutingState, size: RequestSize) -> float:
        health = replica.health
        cost = replica.running / max(1, replica.record.running_limit) + health.full_likelihood
        cost += _FAILURE_WEIGHT * health.recent_failure_rate**2
        cost += self._costs.of(routing_state.topology.distance(replica.record.zone), size)
        return cost + self._random.random() * _RANDOM_COST


def _obstacle(replica: Replica, bounds: Bounds, routing_state: RoutingState) -> Obstacle | None:
    return obstacle_of(
        replica.record,
        bounds=bounds,
        routing_state=routing_state,
        backing_off=replica.backoff.active,
        resting=replica.health.resting,
    )

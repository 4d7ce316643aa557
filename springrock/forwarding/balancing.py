"""The choice among replicas that could run a request."""

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
    World,
    obstacle_of,
)

_PERMIT_COST = 0.1
"""What a cold or limited replica counts more, in its places: a little less than one request at
another of usual size, so that what it bears is asked for while others work, and not before."""

_FAILURE_WEIGHT = 8.0
"""What a replica that always fails counts more, in its places. The rate counts by its square: one
failure among successes (0.15) does not outweigh the way to another zone, two in a row do. Where
all replicas fail a few requests, boxes else leave their own zone after each failure."""

_RANDOM_COST = 0.02
"""Of equal replicas any one, beside what ways count."""


class Balancer:
    """Prefers replicas with free places, few failures and a short way.

    A box sees its own running requests only, one part of what runs at a replica; that it is full
    the replica says itself.

    Args:
        world: Returns what is known beside the replicas.
        chance: Breaks ties.
        costs: What ways count.
    """

    def __init__(
        self,
        *,
        world: Callable[[], World],
        chance: random.Random,
        costs: DistanceCosts = DEFAULT_COSTS,
    ) -> None:
        self._world = world
        self._random = chance
        self._costs = costs

    def choose(
        self,
        replicas: Collection[Replica],
        *,
        bounds: Bounds = ANYWHERE,
        tried: Collection[str] = (),
        fits: Callable[[Replica], bool] = lambda _: True,
        even_resting: bool = False,
        even_metered: bool = False,
        size: RequestSize = TYPICAL_SIZE,
    ) -> Replica | None:
        """Return the best usable replica, or None.

        Args:
            replicas: The candidates.
            bounds: What the request allows.
            tried: Instances that the request was sent to already.
            fits: Whether a candidate has what the request needs.
            even_resting: Whether one that is left alone is better than none.
            even_metered: Whether those are candidates that need a permit.
            carried: What the request takes along.
        """
        world = self._world()
        free: list[Replica] = []
        resting: list[Replica] = []
        metered: set[str] = set()
        for replica in replicas:
            if replica.instance in tried or not fits(replica):
                continue
            obstacle = _obstacle(replica, bounds, world)
            if obstacle in METERED and even_metered:
                metered.add(replica.instance)
                (resting if replica.health.resting else free).append(replica)
            elif obstacle is None:
                free.append(replica)
            elif obstacle is Obstacle.RESTING:
                resting.append(replica)
        if even_resting:
            free = free or resting

        def _cost(replica: Replica) -> float:
            cost = self._cost(replica, world, size)
            return cost + (_PERMIT_COST if replica.instance in metered else 0.0)

        return min(free, key=_cost, default=None)

    def in_bounds(self, replicas: Collection[Replica], *, bounds: Bounds) -> list[Replica]:
        """Return the replicas that stand where a request may be served, whatever their state."""
        topology = self._world().topology
        return [item for item in replicas if bounds.allow(item.record.zone, topology)]

    def count_obstacles(
        self, replicas: Collection[Replica], *, bounds: Bounds = ANYWHERE
    ) -> Counter[Obstacle]:
        """Return what stands in the way at how many replicas."""
        world = self._world()
        found = (_obstacle(replica, bounds, world) for replica in replicas)
        return Counter(obstacle for obstacle in found if obstacle is not None)

    def obstacle(
        self, replica: Replica, *, bounds: Bounds, permitted: bool = False
    ) -> Obstacle | None:
        """Return why a request may not be sent to a replica now, however it did of late."""
        return obstacle_of(
            replica.record,
            bounds=bounds,
            world=self._world(),
            backing_off=replica.backoff.active,
            permitted=permitted,
        )

    def _cost(self, replica: Replica, world: World, size: RequestSize) -> float:
        health = replica.health
        cost = replica.running / max(1, replica.record.running_limit) + health.fullness
        cost += _FAILURE_WEIGHT * health.recent_failure_rate**2
        cost += self._costs.of(world.topology.distance(replica.record.zone), size)
        return cost + self._random.random() * _RANDOM_COST


def _obstacle(replica: Replica, bounds: Bounds, world: World) -> Obstacle | None:
    return obstacle_of(
        replica.record,
        bounds=bounds,
        world=world,
        backing_off=replica.backoff.active,
        resting=replica.health.resting,
    )

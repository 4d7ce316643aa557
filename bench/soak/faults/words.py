"""Replicas that tell only in their answers that they leave, or for how long they want rest.

Drawn apart and after all others, so that earlier seeds draw what they drew.
"""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.shape import Shape

_REST_S = 2.0
_SERVICES = ("rosters", "catalog", "language")


class _SpokenFault(Fault):
    """Befalls one replica of a service."""

    weight = 0.0
    drawn_apart = 0.5
    drawn_after = 1

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return (rng.choice(shape.replicas_of(rng.choice(_SERVICES))),)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset(f"replica/{target}" for target in targets)


@FAULTS.register
class LeavingOnlySaid(_SpokenFault):
    """A replica says in its answers that it leaves, while its record stands, and ends."""

    name = "leaving_only_said"
    shortest_s = 4.0
    longest_s = 8.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, leaving=True, silent=True)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for replica in targets:
            deployment.replace_replica(replica)


@FAULTS.register
class RestAskedFor(_SpokenFault):
    """A replica turns requests away and asks for rest each time."""

    name = "rest_asked_for"
    shortest_s = 3.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, refuse=True, asks_rest_s=_REST_S)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for replica in targets:
            deployment.fault(replica)

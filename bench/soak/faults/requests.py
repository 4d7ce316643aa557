"""Faults that callers bring."""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.shape import SERVICE_OF_ROUTE, Shape


@FAULTS.register
class CrashingRequest(Fault):
    """A request crashes each replica that begins to run it, and comes again at any box."""

    name = "crashing_request"
    weight = 0.0
    drawn_apart = 0.5
    shortest_s = 7.0
    longest_s = 14.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw its route, and what tells it from others."""
        return (rng.choice(sorted(SERVICE_OF_ROUTE)), f"{rng.randrange(10**6):06}")

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset({f"request/{targets[1]}"})

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Begin to send it."""
        deployment.begin_crashing(*targets)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Send it no more."""
        deployment.end_crashing(targets[1])

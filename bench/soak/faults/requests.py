"""Faults that callers cause."""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.shape import SERVICE_OF_ROUTE, STREAMS, Shape


@FAULTS.register
class CrashingRequest(Fault):
    """A request that crashes each replica that begins to run it, sent repeatedly to any box."""

    name = "crashing_request"
    weight = 0.0
    separate_probability = 0.5
    shortest_s = 7.0
    longest_s = 14.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the route and an identifier that is unique to this request."""
        return (rng.choice(sorted(SERVICE_OF_ROUTE)), f"{rng.randrange(10**6):06}")

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        route, number = targets
        return frozenset({f"request/{number}", f"down/{SERVICE_OF_ROUTE[route]}-{number}"})

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start to send the request repeatedly."""
        deployment.start_crashing_request(*targets)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Stop sending the request."""
        deployment.stop_crashing_request(targets[1])


@FAULTS.register
class CrashingPart(CrashingRequest):
    """Streams, no two alike, with a part in their prompts that crashes replicas, at any box."""

    name = "crashing_part"
    separate_probability = 0.3
    separate_order = 12
    shortest_s = 10.0
    longest_s = 17.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the route, and an identifier that is unique to this part."""
        return (rng.choice(sorted(STREAMS)), f"{rng.randrange(10**6):06}")

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start to send the requests."""
        deployment.start_crashing_request(*targets, by_part=True)

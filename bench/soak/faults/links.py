"""Faults of the links from boxes to the store, and from boxes to replicas."""

from __future__ import annotations

import random
from typing import Any

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, sample_targets
from bench.soak.shape import Shape

_DELAY_S = 0.15


class _LinkFault(Fault):
    """Affects the links from some boxes to the store, or those to some replicas."""

    fault: dict[str, Any] = {}

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        if rng.random() < 0.5:
            return tuple(f"{box}>store" for box in sample_targets(rng, shape.boxes))
        names = tuple(plan.name for plan in shape.replicas)
        return tuple(f">{name}" for name in sample_targets(rng, names))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(f"link/{target}" for target in targets)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.link_fault(targets, **self.fault)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.link_fault(targets)


@FAULTS.register
class LinkDelayed(_LinkFault):
    """Delays every block of bytes."""

    name = "link_delayed"
    fault = {"delay_s": _DELAY_S}


@FAULTS.register
class LinkReset(_LinkFault):
    """Closes open connections and refuses new ones."""

    name = "link_reset"
    shortest_s = 0.3
    longest_s = 2.0
    fault = {"cut": True}


@FAULTS.register
class LinkSilent(_LinkFault):
    """Passes no bytes, and leaves connections open."""

    name = "link_silent"
    longest_s = 4.0
    fault = {"black_hole": True}

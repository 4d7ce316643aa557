"""Boxes of the last landing beside boxes of this build."""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, some_of
from bench.soak.shape import Shape


@FAULTS.register
class EarlierBuild(Fault):
    """Boxes are killed and come back with the build of the last landing, and then with this one."""

    name = "earlier_build"
    weight = 0.0
    drawn_apart = 0.5
    drawn_after = 2
    shortest_s = 4.0
    longest_s = 12.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return some_of(rng, shape.boxes)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset(f"box/{target}" for target in targets)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for box in targets:
            deployment.restart_with_earlier_build(box)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for box in targets:
            deployment.restart_with_this_build(box)

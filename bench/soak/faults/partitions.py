"""Partitions of boxes from all replicas, and replicas that fall silent for a moment."""

from __future__ import annotations

import random
from typing import Any

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.shape import Shape
from tests.routed.deployment import ZONES

WAYS: dict[str, dict[str, Any]] = {
    "hang": {"black_hole": True, "new_connections": "unanswered"},
    "reset": {"cut": True, "new_connections": "refused"},
    "refuse_new": {"new_connections": "refused"},
    "requests_lost": {"one_way": "to_target", "new_connections": "unanswered"},
    "answers_lost": {"one_way": "to_caller", "new_connections": "unanswered"},
}
"""The faults of a box's links to replicas, by the way in which a partition shows."""


@FAULTS.register
class BoxesCutOff(Fault):
    """Cuts one box, most boxes of a zone, or a zone off from all replicas.

    Callers, the store and other boxes are reached. Calls of a placer to engines fail as well.
    """

    name = "boxes_cut_off"
    weight = 0.0
    separate_probability = 0.9
    separate_order = 10
    separate_draws = 40
    shortest_s = 5.0
    longest_s = 9.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the way and the boxes."""
        way = rng.choice(sorted(WAYS))
        zone = shape.boxes_in(rng.choice(ZONES)) or shape.boxes
        count = rng.choice((1, len(zone) - 1, len(zone)))
        return (way, *sorted(rng.sample(zone, max(1, count))))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(f"link/{box}>replicas" for box in targets[1:])

    def reserves(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the claims, and the boxes and their links to the store, which must be sound."""
        others = {f"box/{box}" for box in targets[1:]}
        others |= {f"link/{box}>store" for box in targets[1:]}
        return self.claims(targets) | others

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.link_fault(_links(deployment, targets), **WAYS[targets[0]])

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.link_fault(_links(deployment, targets))


def _links(deployment: SoakDeployment, targets: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(link for box in targets[1:] for link in deployment.links_to_replicas(box))


@FAULTS.register
class ReplicaSilentForAMoment(Fault):
    """A sound replica passes no bytes for about a second, and goes on."""

    name = "replica_silent_briefly"
    weight = 0.0
    separate_probability = 0.5
    separate_order = 11
    shortest_s = 0.8
    longest_s = 1.2

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the link that all boxes share."""
        return (f">{rng.choice(shape.replicas).name}",)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        links = {f"link/{target}" for target in targets}
        return frozenset(links | {f"replica/{target[1:]}" for target in targets})

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.link_fault(targets, black_hole=True)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.link_fault(targets)

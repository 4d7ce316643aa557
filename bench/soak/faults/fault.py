"""The interface of faults, and their registry."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from bench.soak.deployment import SoakDeployment
from bench.soak.registry import Registry
from bench.soak.shape import Shape


class Fault(ABC):
    """A kind of fault, started and ended from outside the boxes.

    Attributes:
        name: The name in schedules and reports.
        weight: The relative frequency with which the fault is drawn.
        shortest_s: The shortest duration in seconds.
        longest_s: The longest duration in seconds.
        separate_probability: If above 0, the probability that the fault is drawn once in a cycle
            by a separate random generator, so that it does not change what else a seed draws.
        separate_order: The order of the separate draws; lower numbers are drawn first. A new fault
            gets a higher number, so that it does not change the draws of existing ones.
        separate_draws: How often the fault is drawn separately until it conflicts with no other;
            it is left out if all draws do.
    """

    name = ""
    weight = 1.0
    shortest_s = 1.0
    longest_s = 3.0
    separate_probability = 0.0
    separate_order = 0
    separate_draws = 8

    @abstractmethod
    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets, such as boxes, links or replicas."""

    @abstractmethod
    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""

    def reserves(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the claims and what else no other fault may claim at the same time.

        What is reserved and not claimed is not affected by this fault.
        """
        return self.claims(targets)

    @abstractmethod
    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""

    @abstractmethod
    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault and undo all its effects."""


FAULTS: Registry[Fault] = Registry()


def sample_targets(rng: random.Random, names: tuple[str, ...]) -> tuple[str, ...]:
    """Draw one name in half of the cases, otherwise one or more; return them sorted."""
    if rng.random() < 0.5:
        return (rng.choice(names),)
    return tuple(sorted(rng.sample(names, rng.randint(1, len(names)))))

"""What a fault is, and the list of all that registered themselves."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from bench.soak.deployment import SoakDeployment
from bench.soak.registry import Registry
from bench.soak.shape import Shape


class Fault(ABC):
    """One kind of fault, switched on and off from outside the boxes.

    Attributes:
        name: Its name in schedules and reports.
        weight: How often it is drawn, beside others.
        shortest_s: The least that it lasts.
        longest_s: The most that it lasts.
        drawn_apart: If above 0, how likely it is drawn once in a cycle, by a generator of its own,
            so that it does not change what else a seed draws.
        drawn_after: Of the faults drawn apart those with a higher number are drawn later, so that
            one that joins does not change what earlier ones draw.
    """

    name = ""
    weight = 1.0
    shortest_s = 1.0
    longest_s = 3.0
    drawn_apart = 0.0
    drawn_after = 0

    @abstractmethod
    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""

    @abstractmethod
    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""

    @abstractmethod
    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""

    @abstractmethod
    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off, so that nothing of it is left."""


FAULTS: Registry[Fault] = Registry()


def some_of(rng: random.Random, names: tuple[str, ...]) -> tuple[str, ...]:
    """Draw one, several or all of some names, in order; one is drawn in half of the cases."""
    if rng.random() < 0.5:
        return (rng.choice(names),)
    return tuple(sorted(rng.sample(names, rng.randint(1, len(names)))))

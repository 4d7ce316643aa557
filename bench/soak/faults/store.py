"""Faults of the store itself; what befalls the ways to it is in `links`."""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.shape import Shape

_SLOW_S = 0.4
_LOST_ANSWERS = 5
_COPY_AGES_S = ("0.5", "3", "8")


class _StoreFault(Fault):
    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return ("store",)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset(targets)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        deployment.fault("store")


@FAULTS.register
class StoreDown(_StoreFault):
    """The store turns every box away."""

    name = "store_down"
    weight = 2.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        deployment.fault("store", busy=True)


@FAULTS.register
class StoreSlow(_StoreFault):
    """The store takes long for each call."""

    name = "store_slow"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        deployment.fault("store", slow_s=_SLOW_S)


@FAULTS.register
class StoreLosesAnswers(_StoreFault):
    """The store does writes and does not answer."""

    name = "store_loses_answers"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        deployment.fault("store", lose_answers=_LOST_ANSWERS)


@FAULTS.register
class StoreForgets(_StoreFault):
    """The store drops its history of changes."""

    name = "store_forgets"
    shortest_s = 0.5
    longest_s = 1.5

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        deployment.fault("store", forget_history=True)


@FAULTS.register
class StoreReturns(_StoreFault):
    """The store is away, and comes back from a copy; what was written since is written again."""

    name = "store_returns"
    weight = 0.0
    drawn_apart = 0.5
    drawn_after = 3
    shortest_s = 0.5
    longest_s = 2.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls, and the age of the copy in seconds."""
        return ("store", rng.choice(_COPY_AGES_S))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset(targets[:1])

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        deployment.fault("store", busy=True)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        deployment.return_from_copy(float(targets[1]))
        super().end(deployment, targets)
        deployment.write_again()

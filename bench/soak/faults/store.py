"""Faults of the store itself; faults of the links to it are in `links`."""

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
        """Draw the targets."""
        return ("store",)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(targets)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.fault("store")


@FAULTS.register
class StoreDown(_StoreFault):
    """The store rejects all calls as busy."""

    name = "store_down"
    weight = 2.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.fault("store", busy=True)


@FAULTS.register
class StoreSlow(_StoreFault):
    """The store answers each call late."""

    name = "store_slow"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.fault("store", slow_s=_SLOW_S)


@FAULTS.register
class StoreLosesAnswers(_StoreFault):
    """The store commits writes and does not answer them."""

    name = "store_loses_answers"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.fault("store", lose_answers=_LOST_ANSWERS)


@FAULTS.register
class StoreDropsHistory(_StoreFault):
    """The store drops its change history."""

    name = "store_forgets"
    shortest_s = 0.5
    longest_s = 1.5

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.fault("store", forget_history=True)


@FAULTS.register
class StoreRestored(_StoreFault):
    """The store goes down and is restored from an older copy; lost operator writes are repeated."""

    name = "store_returns"
    weight = 0.0
    separate_probability = 0.5
    separate_order = 3
    shortest_s = 0.5
    longest_s = 2.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the target and the age of the copy in seconds."""
        return ("store", rng.choice(_COPY_AGES_S))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(targets[:1])

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.fault("store", busy=True)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.restore_from_copy(float(targets[1]))
        super().end(deployment, targets)
        deployment.rewrite_missing()

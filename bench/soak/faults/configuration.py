"""Changes of the configuration while requests and other faults go on."""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.shape import ADAPTERS, Shape


class _ConfigurationChange(Fault):
    """Changes one field of the configuration and reverts it."""

    field = ""
    changed_value = True

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return (self.field,)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(f"configuration/{target}" for target in targets)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.change(**{self.field: self.changed_value})

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.change(**{self.field: not self.changed_value})


@FAULTS.register
class RouteMoved(_ConfigurationChange):
    """Moves a route to another service."""

    name = "route_moved"
    shortest_s = 3.0
    longest_s = 6.0
    field = "moved"


@FAULTS.register
class KeyRemoved(_ConfigurationChange):
    """Removes a key of a team, for longer than the bound after which no request with it may run."""

    name = "key_taken_away"
    weight = 3.0
    shortest_s = 4.5
    longest_s = 7.0
    field = "goes"
    changed_value = False


@FAULTS.register
class QuotaLowered(_ConfigurationChange):
    """Lowers a team's quota."""

    name = "quota_lowered"
    shortest_s = 3.0
    longest_s = 8.0
    field = "lowered"


@FAULTS.register
class VersionPublished(Fault):
    """Publishes a new version of an adapter; this is not reverted."""

    name = "version_named"
    shortest_s = 0.2
    longest_s = 0.4

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return (rng.choice(ADAPTERS),)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(f"version/{target}" for target in targets)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for adapter in targets:
            deployment.publish_next_version(adapter)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        return

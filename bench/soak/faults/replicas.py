"""Faults of replicas, and of what the store says of them."""

from __future__ import annotations

import random
import signal

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, some_of
from bench.soak.shape import Shape

_CUT_AFTER_EVENTS = 3
_REST_S = 2.0
_LIMIT_PER_S = 1.5
_FOREIGN_INSTANCE = "i-foreign"


class _ReplicaFault(Fault):
    """Befalls one replica of a service, several or all."""

    services: tuple[str, ...] = ("rosters", "catalog", "language")

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return some_of(rng, shape.replicas_of(rng.choice(self.services)))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset(f"replica/{target}" for target in targets)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for replica in targets:
            deployment.fault(replica)


@FAULTS.register
class RefusingReplica(_ReplicaFault):
    """Replicas say that they did not run requests."""

    name = "refusing_replica"
    weight = 2.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, refuse=True)


@FAULTS.register
class FailingReplica(_ReplicaFault):
    """Replicas run requests and answer that they failed."""

    name = "failing_replica"
    weight = 2.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, fail=True)


@FAULTS.register
class CutStream(_ReplicaFault):
    """Engines break one stream each in the middle of an event."""

    name = "cut_stream"
    weight = 3.0
    shortest_s = 0.3
    longest_s = 0.8
    services = ("language",)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, cut_after=_CUT_AFTER_EVENTS)


@FAULTS.register
class PausedReplica(_ReplicaFault):
    """Replicas stand still and wake."""

    name = "paused_replica"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.processes.signal(replica, signal.SIGSTOP)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for replica in targets:
            deployment.processes.signal(replica, signal.SIGCONT)


class _EndingReplica(_ReplicaFault):
    """The platform drops the records of replicas that are gone; then they come back."""

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for replica in targets:
            deployment.replace_replica(replica)


@FAULTS.register
class CrashedReplica(_EndingReplica):
    """Replicas are killed and come back as new incarnations at the same address."""

    name = "crashed_replica"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.processes.signal(replica, signal.SIGKILL)


@FAULTS.register
class LeavingReplica(_EndingReplica):
    """Replicas say that they leave, serve on, and end."""

    name = "leaving_replica"
    weight = 2.0
    shortest_s = 4.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, leaving=True)


class _SpokenFault(_ReplicaFault):
    """Befalls one replica, which tells of it in its answers only."""

    weight = 0.0
    drawn_apart = 0.5
    drawn_after = 1

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return (rng.choice(shape.replicas_of(rng.choice(self.services))),)


@FAULTS.register
class LeavingOnlySaid(_SpokenFault, _EndingReplica):
    """A replica says in its answers that it leaves, while its record stands, and ends."""

    name = "leaving_only_said"
    shortest_s = 4.0
    longest_s = 8.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, leaving=True, silent=True)


@FAULTS.register
class RestAskedFor(_SpokenFault):
    """A replica turns requests away and asks for rest each time."""

    name = "rest_asked_for"
    shortest_s = 3.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, refuse=True, asks_rest_s=_REST_S)


@FAULTS.register
class LimitNamed(_SpokenFault):
    """A replica names in its answers how many requests a second it takes."""

    name = "limit_named"
    drawn_after = 2
    shortest_s = 7.0
    longest_s = 10.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.fault(replica, limit_per_s=_LIMIT_PER_S)


@FAULTS.register
class ReusedAddress(_ReplicaFault):
    """A replica's address is taken by one of a service that no route goes to."""

    name = "reused_address"
    services = ("rosters", "catalog")

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return (rng.choice(shape.replicas_of(rng.choice(self.services))),)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for replica in targets:
            deployment.give_address_away(replica)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for replica in targets:
            deployment.take_address_back(replica)


@FAULTS.register
class ForeignRow(_ReplicaFault):
    """The replicas' table names an engine's address as that of a plain service's replica."""

    name = "foreign_row"
    services = ("language",)

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return (rng.choice(shape.replicas_of("language")),)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset({"foreign_row"})

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        deployment.write_foreign_row(_FOREIGN_INSTANCE, at=targets[0], service="rosters")

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        deployment.remove_replica_row(_FOREIGN_INSTANCE)

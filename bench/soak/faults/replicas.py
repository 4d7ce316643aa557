"""Faults of replicas, and of their records in the store."""

from __future__ import annotations

import random
import signal
from typing import Any

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, sample_targets
from bench.soak.shape import Shape
from springrock.emulator.unframed import BrokenBy

_CUT_AFTER_EVENTS = 3
_BACK_OFF_S = 2.0
_LIMIT_PER_S = 1.5
_FOREIGN_INSTANCE = "i-foreign"
_BREAKS = 8
_BREAKS_UNFRAMED: dict[str, dict[str, Any]] = {
    "crash": {"breaks": 1, "broken_by": BrokenBy.CRASH},
    "inside": {"breaks": _BREAKS, "break_inside": True},
    "reset": {"breaks": _BREAKS, "break_inside": True, "broken_by": BrokenBy.RESET},
    "early": {"breaks": _BREAKS},
}
"""How replicas break their unframed answers."""


class _ReplicaFault(Fault):
    """Affects one or more replicas of a service."""

    services: tuple[str, ...] = ("rosters", "catalog", "language")

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return sample_targets(rng, shape.replicas_of(rng.choice(self.services)))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(f"replica/{target}" for target in targets)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for replica in targets:
            deployment.fault(replica)


@FAULTS.register
class RefusingReplica(_ReplicaFault):
    """Makes replicas answer that they did not run requests."""

    name = "refusing_replica"
    weight = 2.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, refuse=True)


@FAULTS.register
class FailingReplica(_ReplicaFault):
    """Makes replicas run requests and answer that they failed."""

    name = "failing_replica"
    weight = 2.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, fail=True)


@FAULTS.register
class CutStream(_ReplicaFault):
    """Makes each engine break one stream in the middle of an event."""

    name = "cut_stream"
    weight = 3.0
    shortest_s = 0.3
    longest_s = 0.8
    services = ("language",)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, cut_after=_CUT_AFTER_EVENTS)


@FAULTS.register
class PausedReplica(_ReplicaFault):
    """Pauses replicas and resumes them."""

    name = "paused_replica"

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.processes.signal(replica, signal.SIGSTOP)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for replica in targets:
            deployment.processes.signal(replica, signal.SIGCONT)


class _ReplacedReplica(_ReplicaFault):
    """Ends replicas; at the end of the fault the platform drops their records and replaces them."""

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return super().claims(targets) | {f"ends/{target}" for target in targets}

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for replica in targets:
            deployment.replace_replica(replica)


@FAULTS.register
class CrashedReplica(_ReplacedReplica):
    """Kills replicas; they are replaced by new instances at the same address."""

    name = "crashed_replica"

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return super().claims(targets) | {f"down/{target}" for target in targets}

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.processes.signal(replica, signal.SIGKILL)


@FAULTS.register
class LeavingReplica(_ReplacedReplica):
    """Makes replicas announce that they are leaving and go on serving, and then ends them."""

    name = "leaving_replica"
    weight = 2.0
    shortest_s = 4.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, leaving=True)


class _ReportedFault(_ReplicaFault):
    """Affects one replica, which reports it in the headers of its answers only."""

    weight = 0.0
    separate_probability = 0.5
    separate_order = 1

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return (rng.choice(shape.replicas_of(rng.choice(self.services))),)


@FAULTS.register
class LeavingOnlyInAnswers(_ReportedFault, _ReplacedReplica):
    """A replica says in its answers that it is leaving, keeps its record, and then ends."""

    name = "leaving_only_said"
    shortest_s = 4.0
    longest_s = 8.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, leaving=True, silent=True)


@FAULTS.register
class BackOffRequested(_ReportedFault):
    """A replica refuses requests and asks their box to back off each time."""

    name = "rest_asked_for"
    shortest_s = 3.0
    longest_s = 6.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, refuse=True, asks_rest_s=_BACK_OFF_S)


@FAULTS.register
class LimitNamed(_ReportedFault):
    """A replica names a limit of requests a second in its answers."""

    name = "limit_named"
    separate_order = 2
    shortest_s = 7.0
    longest_s = 10.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, limit_per_s=_LIMIT_PER_S)


class _UnframedAnswers(_ReplacedReplica):
    """Replicas answer without a length or chunks, break some of these answers, and then end."""

    weight = 0.0
    separate_probability = 0.5
    separate_order = 4
    shortest_s = 2.0
    longest_s = 5.0
    breaks: tuple[str, ...] = ("crash",)

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the replicas and how their answers break."""
        return (*super().targets(rng, shape), rng.choice(self.breaks))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        *replicas, how = targets
        more = {f"framing/{replica}" for replica in replicas}
        if how == "crash":
            more |= {f"down/{replica}" for replica in replicas}
        return super().claims(targets[:-1]) | more

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        *replicas, how = targets
        for replica in replicas:
            deployment.fault(replica, unframed=True, **_BREAKS_UNFRAMED[how])

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        super().end(deployment, targets[:-1])


@FAULTS.register
class UnframedStreams(_UnframedAnswers):
    """Streams without chunks break inside an event, with a reset or in a crash."""

    name = "unframed_streams"
    services = ("language",)
    breaks = ("crash", "inside", "reset")


@FAULTS.register
class UnframedPlainAnswers(_UnframedAnswers):
    """Plain answers without a length break with a reset or in a crash."""

    name = "unframed_plain_answers"
    services = ("rosters", "catalog")
    breaks = ("crash", "reset")


@FAULTS.register
class UnframedEarlyEnds(_UnframedAnswers):
    """Replicas that live end answers early: streams between two events, others in their body."""

    name = "unframed_early_ends"
    separate_probability = 0.25
    breaks = ("early",)


@FAULTS.register
class Release(_ReplicaFault):
    """Engines of a new software version start beside the old ones, one of which leaves."""

    name = "release"
    weight = 0.0
    separate_probability = 0.6
    separate_order = 5
    shortest_s = 6.0
    longest_s = 12.0
    services = ("language",)

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the engine that leaves."""
        return (rng.choice(shape.replicas_of("language")),)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return super().claims(targets) | {"release", f"ends/{targets[0]}"}

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.begin_release(targets[0])

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.end_release(targets[0])


@FAULTS.register
class LateCopies(_ReplicaFault):
    """Replicas send each answer again, in the place of the next one on its connection."""

    name = "late_copies"
    weight = 0.0
    separate_probability = 0.5
    separate_order = 13
    shortest_s = 4.0
    longest_s = 10.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.fault(replica, copies=True)


@FAULTS.register
class ReusedAddress(_ReplicaFault):
    """A replica of a service without routes takes over the address of another one."""

    name = "reused_address"
    services = ("rosters", "catalog")

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return (rng.choice(shape.replicas_of(rng.choice(self.services))),)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return super().claims(targets) | {f"down/{target}" for target in targets}

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for replica in targets:
            deployment.reassign_address(replica)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for replica in targets:
            deployment.restore_address(replica)


@FAULTS.register
class ForeignRow(_ReplicaFault):
    """The replicas' table names an engine's address as that of a plain service's replica."""

    name = "foreign_row"
    services = ("language",)

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return (rng.choice(shape.replicas_of("language")),)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset({"foreign_row"})

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        deployment.write_foreign_row(_FOREIGN_INSTANCE, at=targets[0], service="rosters")

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.remove_replica_row(_FOREIGN_INSTANCE)

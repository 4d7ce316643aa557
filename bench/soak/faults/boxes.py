"""Faults of box processes."""

from __future__ import annotations

import random
import signal

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, sample_targets
from bench.soak.shape import STOP_WITHIN_S, Shape


class _BoxFault(Fault):
    """Affects one or more boxes."""

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the targets."""
        return sample_targets(rng, shape.boxes)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return frozenset(f"box/{target}" for target in targets)


@FAULTS.register
class PausedBox(_BoxFault):
    """Pauses boxes and resumes them."""

    name = "paused_box"
    weight = 2.0
    longest_s = 5.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGSTOP)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGCONT)


class _RestartedBox(_BoxFault):
    """Ends boxes; they start again at the end of the fault."""

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for box in targets:
            deployment.processes.restart(box)


@FAULTS.register
class KilledBox(_RestartedBox):
    """Kills boxes and starts them again."""

    name = "killed_box"
    shortest_s = 0.2
    longest_s = 2.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGKILL)


@FAULTS.register
class StoppedBox(_RestartedBox):
    """Asks boxes to stop, kills them if they do not stop in time, and starts them again."""

    name = "stopped_box"
    shortest_s = STOP_WITHIN_S
    longest_s = STOP_WITHIN_S + 0.5

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGTERM)


@FAULTS.register
class EarlierBuild(_BoxFault):
    """Kills boxes and starts them with the build of the last release, and later with this build."""

    name = "earlier_build"
    weight = 0.0
    separate_probability = 0.5
    separate_order = 2
    shortest_s = 4.0
    longest_s = 12.0

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        return super().claims(targets) | {f"build/{target}" for target in targets}

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        for box in targets:
            deployment.restart_with_earlier_build(box)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for box in targets:
            deployment.restart_with_this_build(box)

"""Faults of the boxes' processes."""

from __future__ import annotations

import random
import signal

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, some_of
from bench.soak.shape import STOP_WITHIN_S, Shape


class _BoxFault(Fault):
    """Befalls one box, several or all."""

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw what it befalls."""
        return some_of(rng, shape.boxes)

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return what no other fault may befall meanwhile."""
        return frozenset(f"box/{target}" for target in targets)


@FAULTS.register
class PausedBox(_BoxFault):
    """Boxes stand still and wake."""

    name = "paused_box"
    weight = 2.0
    longest_s = 5.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGSTOP)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGCONT)


class _EndedBox(_BoxFault):
    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for box in targets:
            deployment.processes.restart(box)


@FAULTS.register
class KilledBox(_EndedBox):
    """Boxes are killed and start again."""

    name = "killed_box"
    shortest_s = 0.2
    longest_s = 2.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGKILL)


@FAULTS.register
class StoppedBox(_EndedBox):
    """Boxes are told to stop, killed if they have not within their time, and start again."""

    name = "stopped_box"
    shortest_s = STOP_WITHIN_S
    longest_s = STOP_WITHIN_S + 0.5

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for box in targets:
            deployment.processes.signal(box, signal.SIGTERM)


@FAULTS.register
class EarlierBuild(_BoxFault):
    """Boxes are killed and come back with the build of the last landing, and then with this one."""

    name = "earlier_build"
    weight = 0.0
    drawn_apart = 0.5
    drawn_after = 2
    shortest_s = 4.0
    longest_s = 12.0

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it on."""
        for box in targets:
            deployment.restart_with_earlier_build(box)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Switch it off."""
        for box in targets:
            deployment.restart_with_this_build(box)

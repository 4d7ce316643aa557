"""Short series of pauses of a service's replicas beside changes of the configuration."""

from __future__ import annotations

import random

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault
from bench.soak.pause_series import CHANGED_FIELDS
from bench.soak.shape import Shape

_SERVICES = ("catalog", *("language",) * 8, "rosters")
"""The services to draw from; only streams last long enough that a pause often meets an answer."""


@FAULTS.register
class PausedInSeries(Fault):
    """Pauses all replicas of a service, or all but one, several times while settings change."""

    name = "paused_in_series"
    weight = 0.0
    separate_probability = 0.5
    separate_order = 14
    separate_draws = 200
    shortest_s = 2.0
    longest_s = 5.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw the seed of the series and the replicas."""
        replicas = shape.replicas_of(rng.choice(_SERVICES))
        count = rng.choice((len(replicas), len(replicas) - 1))
        return (f"{rng.randrange(10**6):06}", *sorted(rng.sample(replicas, count)))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        replicas = {f"replica/{target}" for target in targets[1:]}
        return frozenset(replicas | {f"configuration/{field}" for field in CHANGED_FIELDS})

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        seed, *replicas = targets
        deployment.start_pause_series(seed, replicas)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        deployment.stop_pause_series(targets[0])

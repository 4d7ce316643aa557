"""Faults of replicas whose answers have no end."""

from __future__ import annotations

import random
from typing import Any

from bench.soak.deployment import SoakDeployment
from bench.soak.faults.fault import FAULTS, Fault, sample_targets
from bench.soak.shape import Shape
from springrock.emulator.endless import EndlessPart

_SERVICES = ("rosters", "catalog", "language")
_ENGINES = "language"

_PARTS = tuple(part for part in EndlessPart if part not in (EndlessPart.EVENT, EndlessPart.EVENTS))
"""The parts that any answer may have."""

_STREAM_PARTS = (*_PARTS, EndlessPart.EVENT)
"""Whole events on end are no fault of a stream."""

_REPORTS = "reports"
_PAUSES_MS = {"fast": 0.0, "slow": 20.0}

_ENDLESS: dict[str, tuple[str, dict[str, Any]]] = {
    "all": ("endless", {}),
    "one_in_ten": ("endless", {"endless_every": 10}),
    _REPORTS: ("endless_report", {}),
    "orders": ("endless_order", {}),
}
"""Which answers have no end: those to all requests, to some, or to calls of a placer."""

_OF_ANY = ("all", "one_in_ten")
_OF_ENGINES = (*_OF_ANY, _REPORTS, "orders")


@FAULTS.register
class EndlessAnswers(Fault):
    """Replicas of a service send answers with a part that has no end."""

    name = "endless_answers"
    weight = 0.0
    separate_probability = 0.5
    separate_order = 15
    separate_draws = 50
    shortest_s = 3.0
    longest_s = 6.0

    def targets(self, rng: random.Random, shape: Shape) -> tuple[str, ...]:
        """Draw which answers of which replicas have no end, in which part and how fast."""
        service = rng.choice(_SERVICES)
        which = rng.choice(_OF_ENGINES if service == _ENGINES else _OF_ANY)
        is_stream = service == _ENGINES and which in _OF_ANY
        part = rng.choice(_STREAM_PARTS if is_stream else _PARTS)
        pace = rng.choice(tuple(_PAUSES_MS))
        return (which, part.value, pace, *sample_targets(rng, shape.replicas_of(service)))

    def claims(self, targets: tuple[str, ...]) -> frozenset[str]:
        """Return the resources that no other fault may affect at the same time."""
        which, _, _, *replicas = targets
        kinds = ("replica", "ends", "down") if which == _REPORTS else ("replica",)
        return frozenset(f"{kind}/{replica}" for kind in kinds for replica in replicas)

    def begin(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """Start the fault."""
        which, part, pace, *replicas = targets
        field, more = _ENDLESS[which]
        endless = {"part": part, "pause_ms": _PAUSES_MS[pace]}
        for replica in replicas:
            if which == _REPORTS:
                # A placer reads the reports of engines that have just started.
                deployment.replace_replica(replica)
            deployment.fault(replica, **{field: endless}, **more)

    def end(self, deployment: SoakDeployment, targets: tuple[str, ...]) -> None:
        """End the fault."""
        for replica in targets[3:]:
            deployment.fault(replica)

"""Routing policies: by loaded adapters and expected delay, least loaded, random."""

from __future__ import annotations

import random
from collections.abc import Sequence

from springrock.policies import Candidate, Scored, routings

_OTHER_ZONE_DELAY_S = 0.004
_SAME_ZONE_DELAY_S = 0.0005
_FULL_SLOTS_LOAD_FACTOR = 1.25
"""Multiplies the load time at a replica that must unload another adapter first."""


def _batch_wait_s(candidate: Candidate) -> float:
    """Return the expected wait for a place in the running batch."""
    excess = candidate.running + candidate.waiting - candidate.running_limit + 1
    if excess <= 0:
        return 0.0
    return excess / candidate.running_limit * candidate.service_s


def _network_delay_s(candidate: Candidate) -> float:
    if candidate.owned_here:
        return 0.0
    return _SAME_ZONE_DELAY_S if candidate.same_zone else _OTHER_ZONE_DELAY_S


class ResidencyRouting:
    """Ranks by expected delay: wait for a batch place, for a load if needed, and network distance.

    Among replicas that have not loaded the adapter, the one with the highest hash weight is
    preferred, so that all boxes send the requests for an unloaded adapter to the same replica.
    """

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates with their scores, the best first."""
        return sorted(map(self._score, candidates), key=lambda scored: scored.score)

    def _score(self, candidate: Candidate) -> Scored:
        delay_s = _batch_wait_s(candidate) + _network_delay_s(candidate)
        if candidate.ready:
            load_fraction = candidate.running / candidate.running_limit
            return Scored(candidate, delay_s + load_fraction * _SAME_ZONE_DELAY_S, "loaded there")
        if candidate.expected:
            return Scored(candidate, delay_s + candidate.load_s / 2, "load expected there")
        load_s = candidate.load_s
        if not candidate.free_slots:
            load_s *= _FULL_SLOTS_LOAD_FACTOR
        # The hash term outweighs the distances, so that the boxes of all zones choose the same
        # replica for an unloaded adapter.
        affinity_penalty_s = (1.0 - candidate.affinity) * candidate.load_s
        return Scored(candidate, delay_s + load_s + affinity_penalty_s, "to be loaded there")


class LeastLoadedRouting:
    """Ranks by the number of requests, then by distance; a baseline for comparisons.

    Running and waiting requests count alike.
    """

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates with their scores, the best first."""

        def _load(candidate: Candidate) -> float:
            return candidate.running + candidate.waiting + _network_delay_s(candidate)

        ordered = sorted(candidates, key=_load)
        return [Scored(candidate, _load(candidate), "least loaded") for candidate in ordered]


class RandomRouting:
    """Ranks at random; a baseline for comparisons."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates with their scores, the best first."""
        ordered = self._random.sample(list(candidates), len(candidates))
        return [Scored(candidate, 0.0, "at random") for candidate in ordered]


routings.register("residency")(ResidencyRouting())
routings.register("least_loaded")(LeastLoadedRouting())
routings.register("random")(RandomRouting())

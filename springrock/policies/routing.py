"""Routing policies: residency with expected wait, least loaded, random."""

from __future__ import annotations

import random
from collections.abc import Sequence

from springrock.policies import Candidate, Scored, routings

_OTHER_ZONE_S = 0.004
_MESSAGE_S = 0.0005
_SLOT_CONTENTION = 1.25


def _queue_s(candidate: Candidate) -> float:
    """Return the expected wait for a place in the batch."""
    over = candidate.running + candidate.waiting - candidate.running_limit + 1
    if over <= 0:
        return 0.0
    return over / candidate.running_limit * candidate.service_s


def _distance_s(candidate: Candidate) -> float:
    if candidate.owned_here:
        return 0.0
    return _MESSAGE_S if candidate.same_zone else _OTHER_ZONE_S


class ResidencyRouting:
    """Expected delay: wait for a place, wait for a load if needed, distance.

    Among replicas that do not hold the adapter, the one with the highest hash weight is
    preferred, so that all boxes send the requests for a cold adapter to one place.
    """

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates, the best first."""
        return sorted(map(self._score, candidates), key=lambda scored: scored.score)

    def _score(self, candidate: Candidate) -> Scored:
        delay_s = _queue_s(candidate) + _distance_s(candidate)
        if candidate.ready:
            fill = candidate.running / candidate.running_limit
            return Scored(candidate, delay_s + fill * _MESSAGE_S, "loaded there")
        if candidate.expected:
            return Scored(candidate, delay_s + candidate.load_s / 2, "load expected there")
        load_s = candidate.load_s
        if not candidate.free_slots:
            load_s *= _SLOT_CONTENTION
        # The hash term is over the distances, so that all zones agree on a cold adapter's home.
        home_s = (1.0 - candidate.affinity) * candidate.load_s
        return Scored(candidate, delay_s + load_s + home_s, "to be loaded there")


class LeastLoadedRouting:
    """The fewest requests running and waiting, the nearest among equals; a baseline."""

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates, the best first."""

        def _load(candidate: Candidate) -> float:
            return candidate.running + candidate.waiting + _distance_s(candidate)

        ordered = sorted(candidates, key=_load)
        return [Scored(candidate, _load(candidate), "least loaded") for candidate in ordered]


class RandomRouting:
    """Any order; a baseline."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)

    def rank(self, candidates: Sequence[Candidate]) -> list[Scored]:
        """Return the candidates, the best first."""
        ordered = self._random.sample(list(candidates), len(candidates))
        return [Scored(candidate, 0.0, "by chance") for candidate in ordered]


routings.register("residency")(ResidencyRouting())
routings.register("least_loaded")(LeastLoadedRouting())
routings.register("random")(RandomRouting())

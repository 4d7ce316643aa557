"""Decides what crashes are put down to, given what ran at each of them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.suspects import Suspects

CrashSets = Mapping[Fingerprint, frozenset[str]]
"""The incarnations whose crashes count against each suspect."""


class Cause(NamedTuple):
    """What some crashes are put down to.

    Attributes:
        suspects: A request with all of them is quarantined. There are several if the crashes do
            not tell them apart, so that requests with some of them still run and show which it is.
        instances: The incarnations that crashed.
    """

    suspects: frozenset[Fingerprint]
    instances: frozenset[str]

    def is_in(self, suspects: Suspects) -> bool:
        """Whether a request contains the cause."""
        return self.suspects <= {suspects.whole, *suspects.shared}


PROVEN_FACTOR = 2
"""How many times more crashes make a cause of what replicas have written answers on before."""


def find_causes(
    *,
    whole: CrashSets,
    shared: CrashSets,
    crashes: int,
    is_proven: Callable[[Fingerprint], bool] = lambda suspect: False,
) -> list[Cause]:
    """Return the causes of the crashes, none of which is explained by the others.

    Requests that ran beside a cause fail at some of its crashes. So a shared suspect is no cause if
    one request was there at all its crashes, and a request is none if a shared cause was there at
    all its crashes and at more.

    Args:
        whole: The crashes that count against requests.
        shared: The crashes that count against what requests share.
        crashes: How many crashes make a cause.
        is_proven: Whether replicas have written answers on a shared suspect before. It is a cause
            only of what no other one explains.
    """
    requests = _with_enough(whole, crashes)
    suspected = {
        suspect: instances
        for suspect, instances in shared.items()
        if not any(instances <= explained for explained in requests.values())
    }
    unproven = {item: suspected[item] for item in suspected if not is_proven(item)}
    found = _shared_causes(unproven, crashes=crashes)
    explained = frozenset(instance for cause in found for instance in cause.instances)
    found += _shared_causes(
        {item: suspected[item] - explained for item in suspected if item not in unproven},
        crashes=PROVEN_FACTOR * crashes,
    )
    found += [
        Cause(frozenset({suspect}), instances)
        for suspect, instances in requests.items()
        if not any(instances < cause.instances for cause in found)
    ]
    return found


def _shared_causes(shared: CrashSets, *, crashes: int) -> list[Cause]:
    """Return causes, each one that explains most of the crashes that are left."""
    found = []
    left = _with_enough(shared, crashes)
    while left:
        instances = max(left.values(), key=lambda item: (len(item), sorted(item)))
        alike = frozenset(suspect for suspect, others in left.items() if others == instances)
        found.append(Cause(alike, instances))
        left = _with_enough({item: left[item] - instances for item in left}, crashes)
    return found


def _with_enough(crash_sets: CrashSets, crashes: int) -> dict[Fingerprint, frozenset[str]]:
    return {item: found for item, found in crash_sets.items() if len(found) >= crashes}

"""Decides what crashes are put down to, given what ran at each of them."""

from __future__ import annotations

from collections.abc import Mapping
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


def find_causes(*, whole: CrashSets, shared: CrashSets, crashes: int) -> list[Cause]:
    """Return the causes of the crashes, none of which is explained by the others.

    Whoever runs beside a cause is suspected with it, at a part of its crashes. So a suspect whose
    crashes another one explains is none: a shared one if the same request was there each time, and
    a request if something shared was there each time and at further crashes.

    Args:
        whole: The crashes that count against requests.
        shared: The crashes that count against what requests share.
        crashes: How many crashes make a cause.
    """
    requests = _with_enough(whole, crashes)
    found = _shared_causes(
        {
            suspect: instances
            for suspect, instances in _with_enough(shared, crashes).items()
            if not any(instances <= explained for explained in requests.values())
        },
        crashes=crashes,
    )
    found += [
        Cause(frozenset({suspect}), instances)
        for suspect, instances in requests.items()
        if not any(instances < cause.instances for cause in found)
    ]
    return found


def _shared_causes(left: dict[Fingerprint, frozenset[str]], *, crashes: int) -> list[Cause]:
    """Return causes, each one that explains most of the crashes that are left."""
    found = []
    while left:
        instances = max(left.values(), key=lambda item: (len(item), sorted(item)))
        alike = frozenset(suspect for suspect, others in left.items() if others == instances)
        found.append(Cause(alike, instances))
        left = _with_enough({item: left[item] - instances for item in left}, crashes)
    return found


def _with_enough(crash_sets: CrashSets, crashes: int) -> dict[Fingerprint, frozenset[str]]:
    return {item: found for item, found in crash_sets.items() if len(found) >= crashes}

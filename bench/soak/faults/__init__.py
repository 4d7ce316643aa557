"""The faults of a soak. A module here holds classes that register themselves; import it below."""

from __future__ import annotations

from bench.soak.faults import boxes, builds, configuration, links, replicas, requests, store, words
from bench.soak.faults.fault import FAULTS, Fault

__all__ = [
    "FAULTS",
    "Fault",
    "boxes",
    "builds",
    "configuration",
    "links",
    "replicas",
    "requests",
    "store",
    "words",
]

"""The faults of a soak. The classes register themselves when their module is imported below."""

from __future__ import annotations

from bench.soak.faults import (
    boxes,
    configuration,
    endless,
    links,
    partitions,
    pause_series,
    replicas,
    requests,
    store,
)
from bench.soak.faults.fault import FAULTS, Fault

__all__ = [
    "FAULTS",
    "Fault",
    "boxes",
    "configuration",
    "endless",
    "links",
    "partitions",
    "pause_series",
    "replicas",
    "requests",
    "store",
]

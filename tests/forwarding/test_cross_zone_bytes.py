"""Bytes to other zones are counted by kind and distance; those within the zone are not."""

from __future__ import annotations

import pytest

from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.metrics import BytesKind, ForwardingMetrics
from springrock.topology import Distance, Topology

TOPOLOGY = Topology(
    home="a-1", zones=("a-1", "a-2", "b-1"), regions={"a-1": "a", "a-2": "a", "b-1": "b"}
)


def counted_bytes(metrics: ForwardingMetrics) -> dict[tuple[str, str], float]:
    """Return the counted bytes by kind and distance, without zeros."""
    return {
        (sample.labels["kind"], sample.labels["distance"]): sample.value
        for metric in metrics.registry.collect()
        for sample in metric.samples
        if sample.name == "springrock_bytes_away_total" and sample.value
    }


@pytest.mark.parametrize(
    ("zone", "distance"), [("a-1", None), ("a-2", "own_region"), ("b-1", "other_region")]
)
def test_an_exchange_counts_by_the_distance_of_its_replica(zone: str, distance: str | None) -> None:
    metrics = ForwardingMetrics()
    counters = CrossZoneBytes(metrics, TOPOLOGY)
    counters.counter_for(zone)(700, 90)
    counters.counter_for(zone)(300, 10)
    found = {("requests", distance): 1000.0, ("answers", distance): 100.0}
    assert counted_bytes(metrics) == ({} if distance is None else found)


def test_bytes_of_links_are_counted_separately() -> None:
    metrics = ForwardingMetrics()
    metrics.cross_zone_byte_counter(BytesKind.LINKS, Distance.OTHER_REGION)(40)
    metrics.cross_zone_byte_counter(BytesKind.LINKS, Distance.OWN_ZONE)(40)
    assert counted_bytes(metrics) == {("links", "other_region"): 40.0}

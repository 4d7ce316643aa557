"""Counts the bytes of requests and answers exchanged with other zones and regions."""

from __future__ import annotations

from springrock.forwarding.exchange import OnClose
from springrock.metrics import BytesKind, ForwardingMetrics
from springrock.topology import Distance, Topology


class CrossZoneBytes:
    """Byte counters for each distance, looked up once in advance.

    Args:
        metrics: The metrics to count in.
        topology: The zones, as seen from this box.
    """

    def __init__(self, metrics: ForwardingMetrics, topology: Topology) -> None:
        self._topology = topology
        self._counters = {distance: _counter(metrics, distance) for distance in Distance}

    def counter_for(self, zone: str) -> OnClose:
        """Return the callback that counts the bytes of an exchange with a replica of a zone."""
        return self._counters[self._topology.distance(zone)]


def _counter(metrics: ForwardingMetrics, distance: Distance) -> OnClose:
    count_request = metrics.cross_zone_byte_counter(BytesKind.REQUESTS, distance)
    count_answer = metrics.cross_zone_byte_counter(BytesKind.ANSWERS, distance)

    def _count(sent: int, received: int) -> None:
        count_request(sent)
        count_answer(received)

    return _count

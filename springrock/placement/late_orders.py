"""Orders without an answer, which an engine may carry out later, even after it started anew."""

from __future__ import annotations

from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.placement.control import Order, OrderKind

_ORDER_LIFETIME_S = 15.0
"""How long an order may be on its way: the platform's pages say seconds; our days of late orders go
up to 12 s."""


class _Sent(NamedTuple):
    instance: str
    order: Order
    until: float


class LateOrders:
    """Loads that a placer ordered without an answer.

    An engine that starts anew under its id counts its sequence anew, and can come to the very one
    that such an order to its earlier start expects. It then takes an adapter that nobody counts.
    """

    def __init__(self) -> None:
        self._sent: dict[str, list[_Sent]] = {}

    def record_sent(self, record: ReplicaRecord, order: Order) -> None:
        """Note an order that is about to be sent."""
        if order.kind is not OrderKind.LOAD:
            return
        now = monotonic()
        for replica_id, sent in list(self._sent.items()):
            self._store(replica_id, [item for item in sent if now < item.until])
        sent = self._sent.setdefault(record.replica_id, [])
        sent.append(_Sent(record.instance, order, now + _ORDER_LIFETIME_S))

    def record_answered(self, record: ReplicaRecord, order: Order) -> None:
        """Note that an order was answered, and so will not be carried out any more."""
        sent = self._sent.get(record.replica_id, [])
        self._store(record.replica_id, [item for item in sent if item.order is not order])

    def pending_loads(self, record: ReplicaRecord, sequence: int | None) -> int:
        """Return how many orders to earlier starts an engine may yet carry out.

        Args:
            record: What the engine says of itself.
            sequence: Its sequence, which only rises; None if it is not known.
        """
        now = monotonic()
        return sum(
            item.instance != record.instance
            and now < item.until
            and _is_ahead(item.order.expected_sequence, sequence)
            for item in self._sent.get(record.replica_id, ())
        )

    def _store(self, replica_id: str, sent: list[_Sent]) -> None:
        if sent:
            self._sent[replica_id] = sent
        else:
            self._sent.pop(replica_id, None)


def _is_ahead(expected: int | None, sequence: int | None) -> bool:
    return expected is None or sequence is None or expected >= sequence

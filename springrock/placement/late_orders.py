"""Load orders that got no answer and may be executed late, even after the engine restarted."""

from __future__ import annotations

from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.placement.control import Order, OrderKind

_ORDER_LIFETIME_S = 15.0
"""Time within which an order may still reach its engine.

The platform documents delays of seconds; the fault tests delay orders by up to 12 s.
"""


class _SentOrder(NamedTuple):
    instance: str
    order: Order
    expires_at: float


class LateOrders:
    """The load orders of a placer that got no answer.

    An engine that restarts under the same id resets its sequence. It can reach the number that an
    unanswered order to its earlier process expects, and then executes that order. The adapter
    would occupy a place that the placer counts as free.
    """

    def __init__(self) -> None:
        self._sent: dict[str, list[_SentOrder]] = {}

    def record_sent(self, record: ReplicaRecord, order: Order) -> None:
        """Record an order that is about to be sent; only loads are kept."""
        if order.kind is not OrderKind.LOAD:
            return
        now = monotonic()
        for replica_id, sent in list(self._sent.items()):
            self._store(replica_id, [item for item in sent if now < item.expires_at])
        sent = self._sent.setdefault(record.replica_id, [])
        sent.append(_SentOrder(record.instance, order, now + _ORDER_LIFETIME_S))

    def record_answered(self, record: ReplicaRecord, order: Order) -> None:
        """Drop an order that was answered, as it cannot be executed later."""
        sent = self._sent.get(record.replica_id, [])
        self._store(record.replica_id, [item for item in sent if item.order is not order])

    def pending_loads(self, record: ReplicaRecord, sequence: int | None) -> int:
        """Return how many load orders to its earlier processes an engine may still execute.

        Args:
            record: The engine's own record.
            sequence: The engine's current sequence, which only rises; None if it is not known.
        """
        now = monotonic()
        return sum(
            item.instance != record.instance
            and now < item.expires_at
            and _is_ahead(item.order.expected_sequence, sequence)
            for item in self._sent.get(record.replica_id, ())
        )

    def _store(self, replica_id: str, sent: list[_SentOrder]) -> None:
        if sent:
            self._sent[replica_id] = sent
        else:
            self._sent.pop(replica_id, None)


def _is_ahead(expected: int | None, sequence: int | None) -> bool:
    return expected is None or sequence is None or expected >= sequence

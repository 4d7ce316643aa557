"""A platform client that relays table calls through peers when direct calls fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

from springrock.clock import monotonic
from springrock.coordination.link import Link
from springrock.coordination.peers import Peers
from springrock.coordination.stored import stored_value
from springrock.errors import PeerUnreachable, PlatformUnavailable
from springrock.metrics import Metrics
from springrock.plugins import Platform
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire import peer as peer_wire
from springrock.wire import platform as wire

T = TypeVar("T")

_RELAY_TIMEOUT_S = 1.5
_MAX_RELAYS = 3
_DIRECT_RETRY_DELAY_S = 1.0


class RelayedPlatform:
    """Calls the platform directly; table calls also through peers of the zone.

    A transaction that is sent both directly and through a peer takes effect twice only if its
    checks allow that. All transactions of this package check the rows that they write.

    Args:
        direct: The client that calls the platform from this box.
        zone: This box's availability zone.
        metrics: The metrics to count in.
        on_failure: Called when a direct call to the table has failed.
    """

    def __init__(
        self,
        direct: Platform,
        *,
        zone: str,
        metrics: Metrics,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_failure = on_failure
        self._direct = direct
        self._zone = zone
        self._metrics = metrics
        self._peers: Peers | None = None
        self._skip_direct_until = 0.0

    def use_peers(self, peers: Peers) -> None:
        """Relay calls through these peers, and execute the calls that they relay to this box."""
        self._peers = peers
        peers.handle(peer_wire.RelayCall, self._on_relay_call)

    def transact(self, transaction: wire.Transaction) -> wire.TransactionAnswer:
        """Execute a table transaction.

        Raises:
            PlatformUnavailable: If the table did not answer; the writes may have taken effect.
        """
        call = peer_wire.RelayCall(0, "", msgspec.json.encode(transaction))
        return self._call(
            "transact",
            lambda: self._direct.transact(transaction),
            lambda: self._relay(call, wire.TransactionAnswer),
        )

    def rows(self, prefix: str) -> list[wire.Row]:
        """Read the rows under a prefix.

        Raises:
            PlatformUnavailable: If the table did not answer.
        """
        call = peer_wire.RelayCall(0, prefix, b"")
        return self._call(
            "read",
            lambda: self._direct.rows(prefix),
            lambda: self._relay(call, wire.Rows).rows,
        )

    def get_object(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it does not exist."""
        return self._direct.get_object(name)

    def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""
        self._direct.put_object(name, data)

    def listing(self) -> wire.Listing:
        """Read the lagging list of boxes and upstreams."""
        return self._direct.listing()

    def _call(self, kind: str, direct: Callable[[], T], relayed: Callable[[], T]) -> T:
        """Call directly, then through peers; in reverse order after a recent direct failure."""
        if self._direct_allowed():
            try:
                return self._call_directly(kind, direct)
            except PlatformUnavailable:
                return relayed()
        try:
            return relayed()
        except PlatformUnavailable:
            return self._call_directly(kind, direct)

    def _call_directly(self, kind: str, direct: Callable[[], T]) -> T:
        try:
            answer = direct()
        except PlatformUnavailable:
            self._record_failure(kind)
            raise
        self._count(kind, "done")
        return answer

    def _direct_allowed(self) -> bool:
        return monotonic() >= self._skip_direct_until

    def _record_failure(self, kind: str) -> None:
        self._count(kind, "failed")
        self._on_failure()
        self._skip_direct_until = monotonic() + _DIRECT_RETRY_DELAY_S

    def _count(self, kind: str, result: str) -> None:
        self._metrics.table_requests.labels(kind, result).inc()

    def _relay(self, call: peer_wire.RelayCall, kind: type[T]) -> T:
        links = self._peers.links(self._zone) if self._peers is not None else []
        for link in links[:_MAX_RELAYS]:
            try:
                answer = link.ask(call, peer_wire.RelayAnswer, timeout_s=_RELAY_TIMEOUT_S)
            except PeerUnreachable:
                continue
            if answer.body:
                self._count("relayed", "done")
                return stored_value(answer.body, kind)
        raise PlatformUnavailable("neither this box nor its peers reach the table")

    def _on_relay_call(self, _: Link, call: peer_wire.RelayCall) -> peer_wire.RelayAnswer:
        """Execute a peer's call directly, never through another peer."""
        if not self._direct_allowed():
            return peer_wire.RelayAnswer(call.number, b"")
        try:
            body = self._execute(call)
        except (PlatformUnavailable, MalformedJson):
            body = b""
        return peer_wire.RelayAnswer(call.number, body)

    def _execute(self, call: peer_wire.RelayCall) -> bytes:
        if not call.transaction:
            return msgspec.json.encode(wire.Rows(rows=self._direct.rows(call.prefix)))
        transaction = decode_json(call.transaction, wire.Transaction)
        return msgspec.json.encode(self._direct.transact(transaction))

"""A box's link to the placer of a zone: one websocket that the box opens."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event
from websockets.sync.client import ClientConnection

from springrock.log import Log
from springrock.metrics import ignore_count
from springrock.placement.demand import DemandBook
from springrock.placement.dialing import DIAL_TIMEOUT_S, dial
from springrock.placement.link_server import LINK_FAILURES
from springrock.placement.messages import Demand, Hello, Message, decode, encode
from springrock.unknown_messages import UnknownKind, UnknownMessages

_SILENCE_TIMEOUT_S = 1.3
"""How long after its last message a placer counts as unreachable."""

_MAX_REPORT_INTERVAL_S = 0.7
"""Longest time between reports: well below the silence after which a placer drops a box."""


class PlacerClient:
    """This box's link to the placer.

    Args:
        box: The name of this box.
        home_zone: The zone of this box.
        zone: The zone whose placer to link to.
        strength: The processor cores of this box.
        address: The address at which this box accepts links; empty if it cannot take a lease over.
        process: The id of this process; empty if it cannot take a lease over.
        clients_address: Where this box accepts requests that other boxes pass on.
        demand: This box's requests for engines of the zone, and its uses of them.
        on_message: Called with each message of the placer.
        on_lost: Called when the link is broken.
        log: The log to write to.
        count_sent: Called with the number of bytes of each frame sent.
        count_unknown: Called with the kind of each message that this build does not know.

    Attributes:
        placer: The address of the placer while the link is open; else empty.
        lost: Set when the link is broken, cleared when it is opened.
    """

    def __init__(
        self,
        box: str,
        *,
        home_zone: str,
        zone: str,
        strength: float,
        address: str,
        process: str,
        clients_address: str,
        demand: DemandBook,
        on_message: Callable[[Message], None],
        on_lost: Callable[[], None],
        log: Log,
        count_sent: Callable[[float], None] = ignore_count,
        count_unknown: Callable[[int], None] = ignore_count,
    ) -> None:
        self._count_unknown = count_unknown
        self._box = box
        self._home_zone = home_zone
        self._zone = zone
        self._strength = strength
        self._address = address
        self._process = process
        self._clients_address = clients_address
        self._demand = demand
        self._on_message = on_message
        self._on_lost = on_lost
        self._log = log
        self._count_sent = count_sent
        self._connection: ClientConnection | None = None
        self.placer = ""
        self.lost = Event()

    @property
    def linked(self) -> bool:
        """Whether the link is open."""
        return self._connection is not None

    def link(self, address: str, *, incarnation: str) -> bool:
        """Open the link; return whether the placer accepted this box.

        Args:
            address: The address at which the placer accepts links.
            incarnation: The id of the placer's process; another one does not accept the link.
        """
        try:
            connection = dial(address)
        except LINK_FAILURES as error:
            self._log.info(
                "Could not link to the placer.", zone=self._zone, address=address, error=str(error)
            )
            return False
        try:
            connection.send(encode(self._hello(incarnation)))
            first = decode(connection.recv(timeout=DIAL_TIMEOUT_S))
        except (*LINK_FAILURES, UnknownKind) as error:
            self._log.info(
                "The placer did not accept this box.",
                zone=self._zone,
                address=address,
                error=str(error),
            )
            connection.close()
            return False
        self._connection = connection
        self.placer = address
        self.lost.clear()
        self._on_message(first)
        gevent.spawn(self._run, connection, address)
        return True

    def _hello(self, incarnation: str) -> Hello:
        return Hello(
            self._box,
            incarnation,
            self._zone,
            self._home_zone,
            self._strength,
            self._address,
            self._process,
            clients_address=self._clients_address,
        )

    def close(self) -> None:
        """Close the link."""
        if self._connection is not None:
            self._connection.close()

    def _run(self, connection: ClientConnection, address: str) -> None:
        writer = gevent.spawn(self._write, connection)
        unknown = UnknownMessages(address, log=self._log, count=self._count_unknown)

        def _receive() -> Message:
            return decode(connection.recv(timeout=_SILENCE_TIMEOUT_S))

        self._log.info("Linked to the placer.", zone=self._zone, address=address)
        try:
            while True:
                self._on_message(unknown.next_known(_receive))
        except LINK_FAILURES as error:
            self._log.info("Lost the placer.", zone=self._zone, address=address, error=str(error))
        finally:
            self._connection = None
            self.placer = ""
            writer.kill()
            self._on_lost()
            self.lost.set()
            connection.close()

    def _write(self, connection: ClientConnection) -> None:
        try:
            self._send(connection, self._demand.full_demand())
            while True:
                self._demand.wait_for_updates(timeout_s=_MAX_REPORT_INTERVAL_S)
                self._send(connection, self._demand.drain_updates())
        except LINK_FAILURES:
            return

    def _send(self, connection: ClientConnection, demand: Demand) -> None:
        frame = encode(demand)
        connection.send(frame)
        self._count_sent(len(frame))

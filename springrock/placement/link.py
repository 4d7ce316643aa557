"""The links between the placer and the other boxes: one websocket a box, dialed by the box."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.socket import create_connection
from websockets.exceptions import WebSocketException
from websockets.sync.client import ClientConnection, connect
from websockets.sync.server import Server, ServerConnection, serve

from springrock.errors import PeerRejected
from springrock.log import Log
from springrock.placement.messages import (
    Demand,
    Forecast,
    Hello,
    Message,
    Residents,
    decode,
    encode,
)
from springrock.settings import split_address

_DIAL_S = 0.6
_HELLO_S = 2.0
_CLOSE_S = 0.1
_SILENCE_S = 1.3
"""A placer that sends no heartbeat for so long is taken for unreachable."""

_DEMAND_PAUSE_S = 0.02
_DEMAND_AT_LEAST_EVERY_S = 0.5
_FRAME_LIMIT_BYTES = 1_048_576

_FAILURES = (OSError, WebSocketException, EOFError, TimeoutError, PeerRejected)


class Outbox:
    """What is still to be sent to one box; a newer message replaces an older one of its matter."""

    def __init__(self) -> None:
        self._messages: OrderedDict[tuple[str, ...], Message] = OrderedDict()
        self.filled = Event()

    def put(self, message: Message) -> None:
        """Add a message."""
        matter: tuple[str, ...]
        match message:
            case Residents(instance=instance):
                matter = ("residents", instance)
            case Forecast(model=model, adapter=adapter):
                matter = ("forecast", model, adapter)
            case _:
                matter = (type(message).__name__,)
        self._messages[matter] = message
        self.filled.set()

    def take(self) -> list[Message]:
        """Return all messages and be empty."""
        messages = list(self._messages.values())
        self._messages.clear()
        self.filled.clear()
        return messages


class PlacerServer:
    """Serves the links of the other boxes, while this one is the placer.

    Args:
        address: Where to listen.
        incarnation: This process; a box that means another one is turned away.
        accepts: Whether this box is the placer now.
        on_demand: Called with a box's name and its demand.
        on_lost: Called with the name of a box whose link broke.
        heartbeat: Returns the first message to a box, by which it knows that it is accepted.
        standing: Returns what a new box must be told.
        log: The log to write to.
    """

    def __init__(
        self,
        address: str,
        *,
        incarnation: str,
        accepts: Callable[[], bool],
        on_demand: Callable[[str, Demand], None],
        on_lost: Callable[[str], None],
        heartbeat: Callable[[], Message],
        standing: Callable[[], list[Message]],
        log: Log,
    ) -> None:
        self._address = address
        self._incarnation = incarnation
        self._accepts = accepts
        self._on_demand = on_demand
        self._on_lost = on_lost
        self._heartbeat = heartbeat
        self._standing = standing
        self._log = log
        self._outboxes: dict[str, Outbox] = {}
        self._connections: dict[str, ServerConnection] = {}
        self._server: Server | None = None
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Begin listening."""
        host, port = split_address(self._address)
        self._server = serve(
            self._serve_box,
            host,
            port,
            compression=None,
            max_size=_FRAME_LIMIT_BYTES,
            ping_interval=None,
            close_timeout=_CLOSE_S,
        )
        self._task = gevent.spawn(self._server.serve_forever)

    def stop(self) -> None:
        """Stop listening and close every link."""
        if self._server is not None:
            self._server.shutdown()
        self.close_links()

    def close_links(self) -> None:
        """Close every link, as when the lease is lost."""
        for connection in list(self._connections.values()):
            gevent.spawn(connection.close)

    def tell_all(self, message: Message) -> None:
        """Send a message to every linked box."""
        for outbox in self._outboxes.values():
            outbox.put(message)

    @property
    def boxes(self) -> int:
        """How many boxes are linked."""
        return len(self._outboxes)

    def _serve_box(self, connection: ServerConnection) -> None:
        try:
            hello = decode(connection.recv(timeout=_HELLO_S))
        except _FAILURES as error:
            self._log.say("Rejected a link.", error=str(error))
            return
        if not isinstance(hello, Hello) or hello.incarnation != self._incarnation:
            return
        if not self._accepts():
            return
        outbox = Outbox()
        outbox.put(self._heartbeat())
        self._outboxes[hello.box] = outbox
        self._connections[hello.box] = connection
        for message in self._standing():
            outbox.put(message)
        writer = gevent.spawn(_write_forever, connection, outbox)
        self._log.say("A box linked.", peer=hello.box)
        try:
            self._read(hello.box, connection)
        except _FAILURES as error:
            self._log.say("A box's link broke.", peer=hello.box, error=str(error))
        finally:
            writer.kill()
            if self._outboxes.get(hello.box) is outbox:
                del self._outboxes[hello.box]
                del self._connections[hello.box]
                self._on_lost(hello.box)

    def _read(self, box: str, connection: ServerConnection) -> None:
        while True:
            message = decode(connection.recv())
            if not isinstance(message, Demand):
                raise PeerRejected(f"an unexpected {type(message).__name__}")
            self._on_demand(box, message)


class PlacerClient:
    """This box's link to the placer.

    Args:
        box: The name of this box.
        demand: Returns all that this box wants and uses now.
        demand_changed: Set when that has changed.
        on_message: Called with each message of the placer.
        on_lost: Called when the link is gone.
        log: The log to write to.
    """

    def __init__(
        self,
        box: str,
        *,
        demand: Callable[[], Demand],
        demand_changed: Event,
        on_message: Callable[[Message], None],
        on_lost: Callable[[], None],
        log: Log,
    ) -> None:
        self._box = box
        self._demand = demand
        self._demand_changed = demand_changed
        self._on_message = on_message
        self._on_lost = on_lost
        self._log = log
        self._connection: ClientConnection | None = None
        self.lost = Event()

    @property
    def linked(self) -> bool:
        """Whether the placer can be told."""
        return self._connection is not None

    def link(self, address: str, *, incarnation: str) -> bool:
        """Dial the placer; return whether it accepted this box."""
        try:
            plain = create_connection(split_address(address), timeout=_DIAL_S)
            plain.settimeout(None)
            connection = connect(
                f"ws://{address}/",
                sock=plain,
                compression=None,
                proxy=None,
                max_size=_FRAME_LIMIT_BYTES,
                open_timeout=_DIAL_S,
                ping_interval=None,
                close_timeout=_CLOSE_S,
            ).__enter__()
        except _FAILURES as error:
            self._log.say("Could not link to the placer.", address=address, error=str(error))
            return False
        try:
            connection.send(encode(Hello(self._box, incarnation)))
            first = decode(connection.recv(timeout=_DIAL_S))
        except _FAILURES as error:
            self._log.say("The placer did not accept this box.", address=address, error=str(error))
            connection.close()
            return False
        self._connection = connection
        self.lost.clear()
        self._on_message(first)
        gevent.spawn(self._run, connection, address)
        return True

    def close(self) -> None:
        """Close the link."""
        if self._connection is not None:
            self._connection.close()

    def _run(self, connection: ClientConnection, address: str) -> None:
        writer = gevent.spawn(self._write, connection)
        self._log.say("Linked to the placer.", address=address)
        try:
            while True:
                self._on_message(decode(connection.recv(timeout=_SILENCE_S)))
        except _FAILURES as error:
            self._log.say("Lost the placer.", address=address, error=str(error))
        finally:
            self._connection = None
            writer.kill()
            self._on_lost()
            self.lost.set()
            connection.close()

    def _write(self, connection: ClientConnection) -> None:
        try:
            while True:
                self._demand_changed.clear()
                connection.send(encode(self._demand()))
                gevent.sleep(_DEMAND_PAUSE_S)
                self._demand_changed.wait(timeout=_DEMAND_AT_LEAST_EVERY_S)
        except _FAILURES:
            return


def _write_forever(connection: ServerConnection, outbox: Outbox) -> None:
    try:
        while True:
            outbox.filled.wait()
            for message in outbox.take():
                connection.send(encode(message))
    except _FAILURES:
        return

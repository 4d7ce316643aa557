"""The links of other boxes to the zones that this box places: one websocket per box and zone."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Collection
from typing import Any, Protocol

import gevent
from gevent.event import Event
from websockets.exceptions import WebSocketException
from websockets.sync.server import Server, ServerConnection, serve

from springrock import gevent_websockets as _  # noqa: F401
from springrock.clock import monotonic
from springrock.errors import PeerRejected
from springrock.log import Log
from springrock.metrics import ignore_count
from springrock.placement.messages import (
    Demand,
    Forecast,
    Heartbeat,
    Hello,
    KnownState,
    Message,
    decode,
    encode,
)
from springrock.placement.succession import HandoverTarget
from springrock.retrying_listener import RetryingListener
from springrock.settings import split_address
from springrock.unknown_messages import UnknownKind, UnknownMessages

CLOSE_TIMEOUT_S = 0.1
FRAME_LIMIT_BYTES = 1_048_576
_HELLO_TIMEOUT_S = 2.0
_SILENCE_TIMEOUT_S = 2.0
"""How long after its last message a linked box is dropped; it sends its demand at
least every 0.7 s."""

LINK_FAILURES = (OSError, WebSocketException, EOFError, TimeoutError, PeerRejected)
"""The errors that sending and receiving raise when a link is broken."""


class Outbox:
    """The frames waiting to be sent to one box.

    A newer heartbeat, or a newer forecast for the same adapter, replaces the older one.

    Attributes:
        filled: Set while frames are waiting.
        sent: Set while all frames are sent.
    """

    def __init__(self) -> None:
        self._frames: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self._unique_keys = 0
        self.filled = Event()
        self.sent = Event()
        self.sent.set()

    def put(self, message: Message, frame: bytes) -> None:
        """Add a message with its encoded frame, which the outboxes of several boxes may share."""
        replace_key: tuple[object, ...]
        match message:
            case Forecast(model=model, adapter=adapter):
                replace_key = ("forecast", model, adapter)
            case Heartbeat():
                replace_key = ("heartbeat",)
            case _:
                self._unique_keys += 1
                replace_key = (self._unique_keys,)
        self._frames[replace_key] = frame
        self.sent.clear()
        self.filled.set()

    def drain(self) -> list[bytes]:
        """Remove and return all waiting frames."""
        frames = list(self._frames.values())
        self._frames.clear()
        self.filled.clear()
        return frames

    def record_sent(self) -> None:
        """Record that all drained frames are sent."""
        if not self._frames:
            self.sent.set()


class _Link:
    """One linked box.

    Attributes:
        home_zone: The zone of the box.
        strength: The processor cores of the box.
        handover_target: The box as a target for a handover of the lease; None if it cannot be one.
        since: When it linked, on the local monotonic clock.
        stopping: Whether it is about to stop.
        clients_address: Where it accepts requests that other boxes pass on; empty if it does not.
        cut_off: Whether it reaches no replica.
        count_sent: Called with the number of bytes of each frame sent.
    """

    def __init__(
        self,
        connection: ServerConnection,
        hello: Hello,
        count_sent: Callable[[float], None] = ignore_count,
    ) -> None:
        self.connection = connection
        self.count_sent = count_sent
        self.outbox = Outbox()
        self.home_zone = hello.home_zone
        self.strength = hello.strength
        self.handover_target = (
            HandoverTarget(hello.box, hello.process, hello.address) if hello.process else None
        )
        self.since = monotonic()
        self.stopping = False
        self.clients_address = hello.clients_address
        self.cut_off = False


class LinkHost(Protocol):
    """The placer that handles the messages of linked boxes."""

    def first_messages(self) -> list[Message]:
        """Return the messages for a newly linked box; the first of them accepts the link."""

    def apply_demand(self, box: str, demand: Demand) -> None:
        """Apply a box's update of its requests for engines and its uses of them."""

    def record_silent(self, box: str) -> None:
        """Record that a box fell silent; its requests may run on, although it is then forgotten."""

    def forget_box(self, box: str) -> None:
        """Drop a box's requests for engines and its uses of them."""


class BoxLinks:
    """The linked boxes of one zone's placer.

    Args:
        host: Handles the messages of linked boxes.
        log: The log to write to.
        count_sent_to: Returns the counter of bytes sent to the boxes of a zone.
        is_far: Whether a box's zone is in another region.
        count_unknown: Called with the kind of each message that this build does not know.
    """

    def __init__(
        self,
        host: LinkHost,
        *,
        log: Log,
        count_sent_to: Callable[[str], Callable[[float], None]] = lambda zone: ignore_count,
        is_far: Callable[[str], bool] = lambda zone: False,
        count_unknown: Callable[[int], None] = ignore_count,
    ) -> None:
        self._count_unknown = count_unknown
        self._host = host
        self._log = log
        self._count_sent_to = count_sent_to
        self._is_far = is_far
        self._links: dict[str, _Link] = {}

    @property
    def count(self) -> int:
        """The number of linked boxes."""
        return len(self._links)

    def count_of(self, home_zone: str) -> int:
        """Return the number of linked boxes in a zone."""
        return sum(link.home_zone == home_zone for link in self._links.values())

    def home_zone(self, box: str) -> str | None:
        """Return the zone of a linked box; None if it is not linked or named no zone."""
        link = self._links.get(box)
        return None if link is None else link.home_zone or None

    def sample_boxes(self, max_count: int) -> list[str]:
        """Return a random sample of the linked boxes that are not stopping."""
        staying = [box for box, link in self._links.items() if not link.stopping]
        return random.sample(staying, min(max_count, len(staying)))

    def sample_reaching(self, max_count: int) -> list[str]:
        """Return the addresses of a sample of the boxes that may be passed requests."""
        addresses = [
            link.clients_address
            for link in self._links.values()
            if link.clients_address and not link.cut_off and not link.stopping
        ]
        return random.sample(addresses, min(max_count, len(addresses)))

    @property
    def has_reaching_box(self) -> bool:
        """Whether some linked box that is not stopping reaches replicas."""
        return any(not link.cut_off and not link.stopping for link in self._links.values())

    def has_linked_box(self, home_zone: str, *, for_s: float, strength: float = 0.0) -> bool:
        """Whether a box of a zone that can place is linked: not stopping, and not cut off.

        Args:
            home_zone: The zone.
            for_s: The least time since the box linked.
            strength: The least number of processor cores of the box.
        """
        now = monotonic()
        return any(
            link.home_zone == home_zone
            and link.strength >= strength
            and not link.stopping
            and not link.cut_off
            and now - link.since >= for_s
            for link in self._links.values()
        )

    def handover_target(
        self, home_zone: str, *, exclude_stopping: bool = True
    ) -> HandoverTarget | None:
        """Return the best box to hand the lease over to; None if there is none.

        Boxes that reach replicas come first, then those of the zone itself, then the strongest,
        then the one linked for longest.

        Args:
            home_zone: The zone.
            exclude_stopping: Whether to leave out boxes that are stopping.
        """
        links = [
            link
            for link in self._links.values()
            if link.handover_target and not (exclude_stopping and link.stopping)
        ]
        best = max(
            links,
            key=lambda link: (
                not link.cut_off,
                link.home_zone == home_zone,
                link.strength,
                -link.since,
            ),
            default=None,
        )
        return None if best is None else best.handover_target

    def flush(self, *, within_s: float) -> None:
        """Wait until all messages are sent, before the links are closed."""
        gevent.wait([link.outbox.sent for link in self._links.values()], timeout=within_s)

    def notify(self, box: str, message: Message) -> None:
        """Send a message to one box; it is dropped if the box is not linked any more."""
        link = self._links.get(box)
        if link is not None:
            link.outbox.put(message, encode(message))

    def broadcast(
        self, message: Message, *, home_zone: str | None = None, also: Collection[str] = ()
    ) -> None:
        """Send a message to every linked box.

        Args:
            message: The message.
            home_zone: If given, send only to boxes of this zone, and to those in `also`.
            also: Names of further boxes.
        """
        frame = encode(message)
        for box, link in self._links.items():
            if home_zone is None or link.home_zone == home_zone or box in also:
                link.outbox.put(message, frame)

    def send_to_zones(self, message: Message, *, far: bool) -> None:
        """Send a message to the linked boxes of this region, or to those of all others."""
        links = [link for link in self._links.values() if self._is_far(link.home_zone) is far]
        if not links:
            return
        frame = encode(message)
        for link in links:
            link.outbox.put(message, frame)

    def close_all(self) -> None:
        """Close every link, as after the lease was lost."""
        for link in self._links.values():
            gevent.spawn(link.connection.close)

    def serve(self, hello: Hello, connection: ServerConnection) -> None:
        """Serve a box whose `Hello` was received until its link breaks."""
        box = hello.box
        self._drop_older(box)
        link = _Link(connection, hello, self._count_sent_to(hello.home_zone))
        for message in self._host.first_messages():
            link.outbox.put(message, encode(message))
        self._links[box] = link
        writer = gevent.spawn(_write_loop, link)
        self._log.info("A box linked.", peer=box)
        try:
            self._read(box, link)
        except LINK_FAILURES as error:
            self._log.info("A box's link broke.", peer=box, error=str(error))
            if isinstance(error, TimeoutError) and self._links.get(box) is link:
                self._host.record_silent(box)
        finally:
            writer.kill()
            if self._links.get(box) is link:
                del self._links[box]
                self._host.forget_box(box)

    def _drop_older(self, box: str) -> None:
        """Drop an older link of a box, and its demand: the box sends all of it on the new link."""
        older = self._links.pop(box, None)
        if older is not None:
            self._host.forget_box(box)
            gevent.spawn(older.connection.close)

    def _read(self, box: str, link: _Link) -> None:
        unknown = UnknownMessages(box, log=self._log, count=self._count_unknown)

        def _receive() -> Message:
            return decode(link.connection.recv(timeout=_SILENCE_TIMEOUT_S))

        while True:
            message = unknown.next_known(_receive)
            if not isinstance(message, Demand):
                raise PeerRejected(f"unexpected {type(message).__name__} instead of a Demand")
            if self._links.get(box) is not link:
                return
            link.stopping = message.stopping
            link.cut_off = message.cut_off
            self._host.apply_demand(box, message)


class LinkServer:
    """Accepts links and passes each to the zone that its `Hello` names.

    Args:
        address: The address to listen at.
        incarnation: The id of this process; a link meant for another one is closed.
        links_of: Returns the links of a zone; None unless this box is its placer now.
        state_for: Returns this box's state, for a box that asks for it.
        log: The log to write to.
    """

    def __init__(
        self,
        address: str,
        *,
        incarnation: str,
        links_of: Callable[[str], BoxLinks | None],
        state_for: Callable[[Hello], KnownState],
        log: Log,
    ) -> None:
        self._address = address
        self._incarnation = incarnation
        self._links_of = links_of
        self._state_for = state_for
        self._log = log
        self._server: Server | None = None
        self._task: gevent.Greenlet[..., Any] | None = None

    def start(self) -> None:
        """Start listening."""
        host, port = split_address(self._address)
        self._server = serve(
            self._serve_box,
            sock=RetryingListener.from_address(host, port, on_failure=self._log_failed_accept),
            compression=None,
            max_size=FRAME_LIMIT_BYTES,
            open_timeout=_HELLO_TIMEOUT_S,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
        )
        self._task = gevent.spawn(self._server.serve_forever)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.shutdown()

    def _log_failed_accept(self, error: OSError) -> None:
        self._log.info("Could not accept a link; trying again.", error=str(error))

    def _serve_box(self, connection: ServerConnection) -> None:
        try:
            hello = decode(connection.recv(timeout=_HELLO_TIMEOUT_S))
        except (*LINK_FAILURES, UnknownKind) as error:
            self._log.info("Rejected a link.", error=str(error))
            return
        if not isinstance(hello, Hello):
            return
        if hello.asks_state:
            self._answer_state(hello, connection)
            return
        if hello.incarnation != self._incarnation:
            return
        links = self._links_of(hello.zone)
        if links is not None:
            links.serve(hello, connection)

    def _answer_state(self, hello: Hello, connection: ServerConnection) -> None:
        try:
            connection.send(encode(self._state_for(hello)))
        except LINK_FAILURES as error:
            self._log.info("Could not send this box's state.", peer=hello.box, error=str(error))


def _write_loop(link: _Link) -> None:
    try:
        while True:
            link.outbox.filled.wait()
            for frame in link.outbox.drain():
                link.connection.send(frame)
                link.count_sent(len(frame))
            link.outbox.record_sent()
    except LINK_FAILURES:
        return

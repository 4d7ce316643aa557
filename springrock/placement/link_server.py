"""The links of other boxes to the zones that this box places: one websocket a box and zone."""

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
from springrock.metrics import count_nothing
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
from springrock.settings import split_address
from springrock.unknown_messages import UnknownKind, UnknownMessages

CLOSE_S = 0.1
FRAME_LIMIT_BYTES = 1_048_576
_HELLO_S = 2.0
_SILENCE_S = 2.0
"""A box that tells no demand for so long is gone; it tells it twice a second."""

LINK_FAILURES = (OSError, WebSocketException, EOFError, TimeoutError, PeerRejected)
"""What sending and receiving raise when a link is broken."""


class Outbox:
    """What is still to be sent to one box; a newer forecast replaces an older one of its matter."""

    def __init__(self) -> None:
        self._frames: OrderedDict[tuple[object, ...], bytes] = OrderedDict()
        self._count = 0
        self.filled = Event()
        self.sent = Event()
        self.sent.set()

    def put(self, message: Message, frame: bytes) -> None:
        """Add a message with its frame, which all boxes may share."""
        matter: tuple[object, ...]
        match message:
            case Forecast(model=model, adapter=adapter):
                matter = ("forecast", model, adapter)
            case Heartbeat():
                matter = ("heartbeat",)
            case _:
                self._count += 1
                matter = (self._count,)
        self._frames[matter] = frame
        self.sent.clear()
        self.filled.set()

    def drain(self) -> list[bytes]:
        """Return all frames and be empty."""
        frames = list(self._frames.values())
        self._frames.clear()
        self.filled.clear()
        return frames

    def record_sent(self) -> None:
        """Learn that all frames that were taken are sent."""
        if not self._frames:
            self.sent.set()


class _Link:
    """One linked box.

    Attributes:
        home_zone: The zone in which the box stands.
        strength: The processor that the box has, in cores.
        handover_target: The box as one to which the role can be handed over; None if it cannot.
        since: When it linked, on the local monotonic clock.
        stopping: Whether it is about to stop.
        count_sent: Called with the bytes of each frame.
    """

    def __init__(
        self,
        connection: ServerConnection,
        hello: Hello,
        count_sent: Callable[[float], None] = count_nothing,
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


class LinkHost(Protocol):
    """Who is told what linked boxes send."""

    def first_messages(self) -> list[Message]:
        """Return what a newly linked box is told; the first message accepts it."""

    def apply_demand(self, box: str, demand: Demand) -> None:
        """Take all that a box now wants and uses."""

    def forget_box(self, box: str) -> None:
        """Drop what a box wanted and used."""


class BoxLinks:
    """The linked boxes of one zone's placer.

    Args:
        host: Who is told what they send.
        log: The log to write to.
        count_sent_to: Returns what counts the bytes of frames to the boxes of a zone.
        is_far: Whether a box's zone is of another region.
        count_unknown: Called with the kind of each message that this build does not know.
    """

    def __init__(
        self,
        host: LinkHost,
        *,
        log: Log,
        count_sent_to: Callable[[str], Callable[[float], None]] = lambda zone: count_nothing,
        is_far: Callable[[str], bool] = lambda zone: False,
        count_unknown: Callable[[int], None] = count_nothing,
    ) -> None:
        self._count_unknown = count_unknown
        self._host = host
        self._log = log
        self._count_sent_to = count_sent_to
        self._is_far = is_far
        self._links: dict[str, _Link] = {}

    @property
    def count(self) -> int:
        """How many boxes are linked."""
        return len(self._links)

    def count_of(self, home_zone: str) -> int:
        """How many of the linked boxes stand in a zone."""
        return sum(link.home_zone == home_zone for link in self._links.values())

    def home_zone(self, box: str) -> str | None:
        """Return where a linked box stands; None if it is not linked or has not said so."""
        link = self._links.get(box)
        return None if link is None else link.home_zone or None

    def sample_boxes(self, most: int) -> list[str]:
        """Return some linked boxes that are to stay, by chance."""
        staying = [box for box, link in self._links.items() if not link.stopping]
        return random.sample(staying, min(most, len(staying)))

    def has_linked_box(self, home_zone: str, *, for_s: float, strength: float = 0.0) -> bool:
        """Whether a box that stands in a zone, and is to stay, has been linked for so long.

        Args:
            home_zone: The zone.
            for_s: How long.
            strength: The processor that the box must have at least, in cores.
        """
        now = monotonic()
        return any(
            link.home_zone == home_zone
            and link.strength >= strength
            and not link.stopping
            and now - link.since >= for_s
            for link in self._links.values()
        )

    def handover_target(self, home_zone: str, *, staying: bool = True) -> HandoverTarget | None:
        """Return the box to which the role is best handed over; None if there is none.

        One of the zone itself comes first, then the strongest, then the one linked for longest.

        Args:
            home_zone: The zone.
            staying: Whether it must not be about to stop itself.
        """
        links = [
            link
            for link in self._links.values()
            if link.handover_target and not (staying and link.stopping)
        ]
        best = max(
            links,
            key=lambda link: (link.home_zone == home_zone, link.strength, -link.since),
            default=None,
        )
        return None if best is None else best.handover_target

    def flush(self, *, within_s: float) -> None:
        """Wait until all messages are sent, as before the links are closed."""
        gevent.wait([link.outbox.sent for link in self._links.values()], timeout=within_s)

    def notify(self, box: str, message: Message) -> None:
        """Send a message to one box; one that is not linked has lost its placer."""
        link = self._links.get(box)
        if link is not None:
            link.outbox.put(message, encode(message))

    def broadcast(
        self, message: Message, *, home_zone: str | None = None, also: Collection[str] = ()
    ) -> None:
        """Send a message to every linked box, or to those that stand in one zone and some more."""
        frame = encode(message)
        for box, link in self._links.items():
            if home_zone is None or link.home_zone == home_zone or box in also:
                link.outbox.put(message, frame)

    def send_to_zones(self, message: Message, *, far: bool) -> None:
        """Send a message to the linked boxes of the own region, or to those of other ones."""
        links = [link for link in self._links.values() if self._is_far(link.home_zone) is far]
        if not links:
            return
        frame = encode(message)
        for link in links:
            link.outbox.put(message, frame)

    def close_all(self) -> None:
        """Close every link, as when the lease is lost."""
        for link in self._links.values():
            gevent.spawn(link.connection.close)

    def serve(self, hello: Hello, connection: ServerConnection) -> None:
        """Serve a box that said hello until its link breaks."""
        box = hello.box
        self._drop_older(box)
        link = _Link(connection, hello, self._count_sent_to(hello.home_zone))
        for message in self._host.first_messages():
            link.outbox.put(message, encode(message))
        self._links[box] = link
        writer = gevent.spawn(_write_loop, link)
        self._log.say("A box linked.", peer=box)
        try:
            self._read(box, link)
        except LINK_FAILURES as error:
            self._log.say("A box's link broke.", peer=box, error=str(error))
        finally:
            writer.kill()
            if self._links.get(box) is link:
                del self._links[box]
                self._host.forget_box(box)

    def _drop_older(self, box: str) -> None:
        """Forget what an older link of a box told: it tells all that stands on the new one."""
        older = self._links.pop(box, None)
        if older is not None:
            self._host.forget_box(box)
            gevent.spawn(older.connection.close)

    def _read(self, box: str, link: _Link) -> None:
        unknown = UnknownMessages(box, log=self._log, count=self._count_unknown)

        def _receive() -> Message:
            return decode(link.connection.recv(timeout=_SILENCE_S))

        while True:
            message = unknown.next_known(_receive)
            if not isinstance(message, Demand):
                raise PeerRejected(f"an unexpected {type(message).__name__}")
            if self._links.get(box) is not link:
                return
            link.stopping = message.stopping
            self._host.apply_demand(box, message)


class LinkServer:
    """Listens for links and hands each to the zone that it means.

    Args:
        address: Where to listen.
        incarnation: This process; a box that means another one is turned away.
        links_of: Returns the links of a zone, if this box places it now.
        state_for: Returns what a box that asks for it is told of what is known.
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
        """Begin listening."""
        host, port = split_address(self._address)
        self._server = serve(
            self._serve_box,
            host,
            port,
            compression=None,
            max_size=FRAME_LIMIT_BYTES,
            ping_interval=None,
            close_timeout=CLOSE_S,
        )
        self._task = gevent.spawn(self._server.serve_forever)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.shutdown()

    def _serve_box(self, connection: ServerConnection) -> None:
        try:
            hello = decode(connection.recv(timeout=_HELLO_S))
        except (*LINK_FAILURES, UnknownKind) as error:
            self._log.say("Rejected a link.", error=str(error))
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
            self._log.say("Could not tell what is known.", peer=hello.box, error=str(error))


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

"""Links to the other boxes, which carry questions and notices.

Two boxes share one websocket, and one task reads each link. Within a zone the box whose name sorts
first dials the other. To each other zone a box keeps a few links, and either side may dial.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.socket import create_connection
from gevent.socket import socket as Socket
from websockets.sync.client import ClientConnection, connect
from websockets.sync.server import Server, ServerConnection, serve

from springrock import gevent_websockets as _  # noqa: F401
from springrock.coordination.link import SOCKET_FAILURES, Link
from springrock.coordination.members import Member, Members
from springrock.errors import PeerRejected, PeerUnreachable
from springrock.ids import rendezvous_order
from springrock.log import Log
from springrock.metrics import Metrics
from springrock.retrying_listener import RetryingListener
from springrock.settings import PeersSection, split_address
from springrock.unknown_messages import UnknownKind, UnknownMessages
from springrock.wire import peer as wire

Handler = Callable[[Link, Any], "wire.Answer | None"]

_DIAL_TIMEOUT_S = 2.0
_PING_INTERVAL_S = 4.0
_PING_TIMEOUT_S = 3.0
_CLOSE_TIMEOUT_S = 0.2
_DIAL_INTERVAL_S = 0.5


class Peers:
    """The links of one box.

    Args:
        settings: Address, shared key and limits.
        hello: Builds the first message of a link.
        members: The view of all boxes, with their addresses.
        log: The log to write to.
        metrics: The metrics to count in.
    """

    def __init__(
        self,
        settings: PeersSection,
        *,
        hello: Callable[[], wire.Hello],
        members: Members,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._hello = hello
        self._members = members
        self._log = log
        self._metrics = metrics
        self._handlers: dict[type[Any], Handler] = {}
        self._links: dict[str, Link] = {}
        self._dialing: set[str] = set()
        self._server: Server | None = None
        self._tasks: list[gevent.Greenlet[..., Any]] = []
        self.on_link: list[Callable[[Link], None]] = []
        self.on_lost: list[Callable[[Link], None]] = []

    def handle(self, kind: type[Any], handler: Handler) -> None:
        """Register the handler of a message type.

        A handler of questions runs in its own task and may block; its return value is the answer,
        or None for no answer. A handler of notices runs in the link's task and must not block.
        """
        self._handlers[kind] = handler

    def start(self) -> None:
        """Listen for links, and start dialing other boxes in the background."""
        host, port = split_address(self._settings.address)
        self._server = serve(
            self._serve_link,
            sock=RetryingListener.from_address(host, port, on_failure=self._log_failed_accept),
            process_request=self._check_key,
            compression=None,
            max_size=self._settings.frame_limit_bytes,
            open_timeout=_DIAL_TIMEOUT_S,
            ping_interval=_PING_INTERVAL_S,
            ping_timeout=_PING_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
        )
        self._tasks.append(gevent.spawn(self._server.serve_forever))
        self._tasks.append(gevent.spawn(self._dial_loop))

    def _log_failed_accept(self, error: OSError) -> None:
        self._log.info("Could not accept a link; trying again.", error=str(error))

    @property
    def address(self) -> str:
        """The address that the server is bound to."""
        assert self._server is not None
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening and dialing, and close all links."""
        for task in self._tasks[1:]:
            task.kill()
        if self._server is not None:
            self._server.shutdown()
        for link in list(self._links.values()):
            link.close()

    def links(self, zone: str | None = None) -> list[Link]:
        """Return the open links to one zone, or to all zones."""
        return [link for link in self._links.values() if zone in (None, link.zone)]

    def link_to(self, box: str) -> Link:
        """Return the link to a box, dialing it if there is none.

        Raises:
            PeerUnreachable: If the box is not known or cannot be dialed.
        """
        link = self._links.get(box)
        if link is not None and link.open:
            return link
        member = self._members.find(box)
        if member is None:
            raise PeerUnreachable(f"{box} is not known")
        return self._dial(member)

    def link_to_member(self, member: Member) -> Link:
        """Return a link to one incarnation of a box, lapsed or not.

        Raises:
            PeerUnreachable: If the box cannot be dialed, or has another incarnation now.
        """
        link = self._links.get(member.box)
        if link is None or not link.open:
            link = self._dial(member)
        if link.incarnation != member.value.incarnation:
            raise PeerUnreachable(f"{member.box} was restarted")
        return link

    def broadcast(self, message: wire.PeerMessage) -> None:
        """Send a message on every open link; a link that turns out to be broken is skipped."""
        for link in self.links():
            try:
                link.notify(message)
            except PeerUnreachable:
                continue

    # Dialing.

    def _dial_loop(self) -> None:
        while True:
            for member in self._members_to_dial():
                if member.box not in self._links and member.box not in self._dialing:
                    gevent.spawn(self._dial_logging_errors, member)
            gevent.sleep(_DIAL_INTERVAL_S)

    def _members_to_dial(self) -> list[Member]:
        own_hello = self._hello()
        to_dial = [
            member for member in self._members.live(own_hello.zone) if own_hello.box < member.box
        ]
        zones = {member.zone for member in self._members.live()} - {own_hello.zone}
        for zone in sorted(zones):
            by_box = {member.box: member for member in self._members.live(zone)}
            order = rendezvous_order(own_hello.box, by_box)
            to_dial += [by_box[box] for box in order[: self._settings.remote_zone_links]]
        return to_dial

    def _dial_logging_errors(self, member: Member) -> None:
        try:
            self._dial(member)
        except PeerUnreachable as error:
            self._log.info("Could not dial a peer.", peer=member.box, error=str(error))

    def _dial(self, member: Member) -> Link:
        self._dialing.add(member.box)
        ready: AsyncResult[Link] = AsyncResult()
        gevent.spawn(self._run_dialed, member, ready)
        try:
            link = ready.get()
        finally:
            self._dialing.discard(member.box)
        assert link is not None
        return link

    def _run_dialed(self, member: Member, ready: AsyncResult[Link]) -> None:
        """Dial a peer, set `ready` to the link or an error, and read the link until it breaks."""
        try:
            with self._connect(member) as connection:
                link = self._handshake(connection)
                if link.box != member.box:
                    link.close()
                    raise PeerRejected(f"answered as {link.box}")
                ready.set(link)
                self._read_link(link)
        except (*SOCKET_FAILURES, PeerRejected, UnknownKind) as error:
            if not ready.ready():
                ready.set_exception(PeerUnreachable(f"{member.box}: {error}"))

    def _connect(self, member: Member) -> AbstractContextManager[ClientConnection]:
        address = self._settings.reached_at.get(member.box, member.value.peer_address)
        raw_socket: Socket = create_connection(split_address(address), timeout=_DIAL_TIMEOUT_S)
        raw_socket.settimeout(None)
        return connect(
            f"ws://{address}/",
            sock=raw_socket,
            additional_headers={"Authorization": f"Bearer {self._settings.shared_key}"},
            compression=None,
            proxy=None,
            max_size=self._settings.frame_limit_bytes,
            open_timeout=_DIAL_TIMEOUT_S,
            ping_interval=_PING_INTERVAL_S,
            ping_timeout=_PING_TIMEOUT_S,
            close_timeout=_CLOSE_TIMEOUT_S,
        )

    def _check_key(self, connection: ServerConnection, request: Any) -> Any:
        presented = request.headers.get("Authorization", "")
        expected = f"Bearer {self._settings.shared_key}"
        if hmac.compare_digest(presented.encode(), expected.encode()):
            return None
        self._log.info("Rejected a connection without the shared key.")
        return connection.respond(401, "wrong key\n")

    # Links.

    def _serve_link(self, connection: ServerConnection) -> None:
        try:
            link = self._handshake(connection)
        except (*SOCKET_FAILURES, PeerRejected, UnknownKind) as error:
            self._log.info("Rejected a link.", error=str(error))
            connection.close()
            return
        self._read_link(link)

    def _handshake(self, connection: ClientConnection | ServerConnection) -> Link:
        connection.send(wire.encode(self._hello()))
        hello = wire.decode(connection.recv(timeout=_DIAL_TIMEOUT_S))
        if not isinstance(hello, wire.Hello):
            raise PeerRejected("the first message is not a hello")
        link = Link(connection, hello, self._metrics)
        self._add_link(link)
        return link

    def _add_link(self, link: Link) -> None:
        self._links[link.box] = link
        self._metrics.peer_links.set(len(self._links))
        self._log.info("Linked with a peer.", peer=link.box)
        for hook in self.on_link:
            gevent.spawn(hook, link)

    def _remove_link(self, link: Link) -> None:
        if self._links.get(link.box) is link:
            del self._links[link.box]
            self._log.info("Lost the link to a peer.", peer=link.box)
            for hook in self.on_lost:
                hook(link)
        self._metrics.peer_links.set(len(self._links))
        link.close()

    def _read_link(self, link: Link) -> None:
        unknown_messages = UnknownMessages(
            link.box, log=self._log, count=self._metrics.count_unknown_message
        )
        try:
            while True:
                self._handle_message(link, unknown_messages.next_known(link.receive))
        except SOCKET_FAILURES:
            pass
        except PeerRejected as error:
            self._log.info(
                "Closed the link to a peer that violated the protocol.",
                peer=link.box,
                error=str(error),
            )
        finally:
            self._remove_link(link)

    def _handle_message(self, link: Link, message: wire.PeerMessage) -> None:
        if isinstance(message, wire.Answer):
            link.resolve(message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            raise PeerRejected(f"an unexpected {type(message).__name__}")
        if isinstance(message, wire.Question):
            gevent.spawn(self._answer, link, handler, message)
        else:
            handler(link, message)

    def _answer(self, link: Link, handler: Handler, question: wire.Question) -> None:
        answer = handler(link, question)
        if answer is None:
            return
        try:
            link.notify(answer)
        except PeerUnreachable as error:
            self._log.info("Could not answer a peer.", peer=link.box, error=str(error))

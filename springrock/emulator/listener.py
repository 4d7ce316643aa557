"""A TCP listener that can leave new connections unanswered, or refuse them, and accept again."""

from __future__ import annotations

from collections.abc import Callable
from socket import SHUT_RDWR
from typing import Any, Literal

from gevent.lock import RLock
from gevent.server import StreamServer
from gevent.socket import create_connection

NewConnections = Literal["accepted", "unanswered", "refused"]

_BACKLOG = 128
_FILL_TIMEOUT_S = 0.05
_MAX_FILLERS = 4


class Listener:
    """Accepts connections at an address.

    Args:
        address: The host and port.
        serve: Called with each accepted socket, in a greenlet of its own.
    """

    def __init__(self, address: tuple[str, int], serve: Callable[[Any], None]) -> None:
        self._address = address
        self._serve = serve
        self._server = self._new_server()
        self._fillers: dict[Any, Any] = {}
        self._injected: NewConnections = "accepted"
        self._is_target_refusing = False
        self._mode: NewConnections = "accepted"
        self._is_stopped = False
        self._lock = RLock()

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening for good; accepted connections stay open."""
        self._is_stopped = True
        self._server.stop(timeout=0)

    def treat_new(self, mode: NewConnections) -> None:
        """Set what happens to new connections."""
        self._injected = mode
        self._apply()

    def refuse_with_target(self, refuses: bool) -> None:
        """Set whether the target refuses connections, so that accepting ones would mislead."""
        self._is_target_refusing = refuses
        self._apply()

    def _apply(self) -> None:
        with self._lock:
            mode = self._wanted_mode()
            if self._is_stopped or mode == self._mode:
                return
            self._accept_again()
            if mode == "refused":
                self._stop_listening()
            elif mode == "unanswered":
                self._leave_unanswered()
            self._mode = mode

    def _wanted_mode(self) -> NewConnections:
        if self._injected == "accepted" and self._is_target_refusing:
            return "refused"
        return self._injected

    def _new_server(self) -> StreamServer:
        return StreamServer(self._address, self._accept, backlog=_BACKLOG)

    def _accept(self, caller: Any, peer: Any) -> None:
        if self._fillers.pop(peer, None) is not None:
            caller.close()
            return
        self._serve(caller)

    def _leave_unanswered(self) -> None:
        """Fill the queue of connections to accept, so that the kernel drops further ones."""
        self._server.stop_accepting()
        self._server.socket.listen(0)
        for _ in range(_MAX_FILLERS):
            try:
                filler = create_connection(self._address, timeout=_FILL_TIMEOUT_S)
            except OSError:
                return
            self._fillers[filler.getsockname()] = filler

    def _stop_listening(self) -> None:
        # The hub closes the socket later; until then it must neither accept nor hold the address.
        self._server.socket.shutdown(SHUT_RDWR)
        self._server.stop(timeout=0)

    def _accept_again(self) -> None:
        if self._mode == "refused":
            self._server = self._new_server()
            self._server.start()
        elif self._mode == "unanswered":
            for filler in self._fillers.values():
                filler.close()
            self._server.socket.listen(_BACKLOG)
            self._server.start_accepting()

"""TCP proxy that injects network faults on named routes, for tests and experiments."""

from __future__ import annotations

from typing import Any, Literal

import bottle
import gevent
import msgspec
from gevent.socket import create_connection

from springrock.bottle_app import new_app
from springrock.emulator.listener import Listener, NewConnections
from springrock.emulator.settings import ProxySettings, RouteSettings
from springrock.emulator.unframed import reset_on_close
from springrock.httpd import HttpServer
from springrock.settings import split_address

Direction = Literal["to_target", "to_caller"]
_BLOCK_BYTES = 65_536
_CONNECT_TIMEOUT_S = 2.0
_BLOCKED_POLL_INTERVAL_S = 0.05
_ACCEPTS_POLL_INTERVAL_S = 0.05
_EXIT_S = 0.01
"""Time in which a process that exits closes its listener, before or after its connections."""


class RouteFault(msgspec.Struct, frozen=True, kw_only=True):
    """Injected faults of some routes; a fault with only defaults clears them.

    Attributes:
        routes: Names of the affected routes.
        cut: Open connections are closed and new ones refused.
        black_hole: No bytes pass in either direction, and connections stay open.
        one_way: No bytes pass in this direction.
        delay_s: Delay of each block of bytes, in both directions.
        half_answer_bytes: The connection is closed after this many bytes to the caller; 0 never.
        new_connections: What happens to new connections; open ones are not affected.
    """

    routes: list[str]
    cut: bool = False
    black_hole: bool = False
    one_way: Direction | None = None
    delay_s: float = 0.0
    half_answer_bytes: int = 0
    new_connections: NewConnections = "accepted"


class _Route:
    """A listening address with its target and its current fault.

    While the target refuses connections, the route refuses them as well.
    """

    def __init__(self, settings: RouteSettings) -> None:
        self._target = split_address(settings.target_address)
        self._open_sockets: set[Any] = set()
        self._awaits_target = False
        self.fault = RouteFault(routes=[])
        self.listener = Listener(split_address(settings.address), self._serve)

    def set_fault(self, fault: RouteFault) -> None:
        self.fault = fault
        self.listener.treat_new(fault.new_connections)
        if fault.cut:
            for open_socket in list(self._open_sockets):
                open_socket.close()

    def _serve(self, caller: Any) -> None:
        if self.fault.cut:
            caller.close()
            return
        try:
            target = create_connection(self._target, timeout=_CONNECT_TIMEOUT_S)
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                self._refuse_with_target()
            caller.close()
            return
        if self.fault.cut:
            # The cut was set while the connection to the target was being established.
            caller.close()
            target.close()
            return
        target.settimeout(None)
        self._open_sockets |= {caller, target}
        tasks = [
            gevent.spawn(self._pump, caller, target, "to_target"),
            gevent.spawn(self._pump, target, caller, "to_caller"),
        ]
        gevent.joinall(tasks, count=1)
        if tasks[1].ready():
            # A caller that sees the end of its connection must find a dead target refusing.
            gevent.sleep(_EXIT_S)
            self._refuse_with_target()
        caller.close()
        target.close()
        self._open_sockets -= {caller, target}
        gevent.killall(tasks)

    def _refuse_with_target(self) -> None:
        """Refuse connections if the target does, until it accepts them again."""
        if not self._target_refuses():
            return
        self.listener.refuse_with_target(True)
        if not self._awaits_target:
            self._awaits_target = True
            gevent.spawn(self._accept_with_target)

    def _accept_with_target(self) -> None:
        while self._target_refuses():
            gevent.sleep(_ACCEPTS_POLL_INTERVAL_S)
        self._awaits_target = False
        self.listener.refuse_with_target(False)

    def _target_refuses(self) -> bool:
        try:
            create_connection(self._target, timeout=_CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        return False

    def _pump(self, source: Any, sink: Any, direction: Direction) -> None:
        forwarded_bytes = 0
        try:
            while block := source.recv(_BLOCK_BYTES):
                if self.fault.delay_s:
                    gevent.sleep(self.fault.delay_s)
                while self._is_blocked(direction):
                    gevent.sleep(_BLOCKED_POLL_INTERVAL_S)
                limit = self.fault.half_answer_bytes
                if direction == "to_caller" and limit and forwarded_bytes + len(block) >= limit:
                    sink.sendall(block[: max(0, limit - forwarded_bytes)])
                    return
                sink.sendall(block)
                forwarded_bytes += len(block)
        except ConnectionResetError:
            reset_on_close(sink)
        except OSError:
            return

    def _is_blocked(self, direction: Direction) -> bool:
        return self.fault.black_hole or self.fault.one_way == direction


class Proxy:
    """The routes of one proxy process and the HTTP server that controls their faults.

    Args:
        settings: The routes and the address of the control server.
    """

    def __init__(self, settings: ProxySettings) -> None:
        self._routes = {route.name: _Route(route) for route in settings.routes}
        app = new_app()
        app.post("/standin/faults")(self._post_fault)
        self.server = HttpServer(app, settings.address)

    def start(self) -> None:
        """Start forwarding on all routes, and the control server."""
        for route in self._routes.values():
            route.listener.start()
        self.server.start()

    def stop(self) -> None:
        """Stop at once, without waiting for open connections."""
        for route in self._routes.values():
            route.listener.stop()
        self.server.stop(finish_within_s=0)

    def set_fault(self, fault: RouteFault) -> None:
        """Replace the faults of the routes that the fault names."""
        gevent.joinall(
            [gevent.spawn(self._routes[name].set_fault, fault) for name in fault.routes],
            raise_error=True,
        )

    def _post_fault(self) -> Any:
        self.set_fault(msgspec.json.decode(bottle.request.body.read(), type=RouteFault))
        return b""

"""A replica that sends scripted bytes, whatever the request."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections.abc import Callable
from types import TracebackType

SUCCESS = (
    b"HTTP/1.1 200 OK\r\nSpringrock-Request-Id: r1\r\nSpringrock-Response-Seal: seal-of-r1\r\n"
)
"""The head of a success for the request r1, up to the headers that state where its body ends."""

Script = Callable[[socket.socket], None]


class ScriptedReplica:
    """Accepts one connection after the other and runs the next script on each.

    Args:
        scripts: The scripts, in the order of the connections.
        concurrent: Whether a connection is accepted while the scripts of earlier ones run.
        receive_buffer_bytes: What the system keeps of a connection that is not read; None for its
            default.

    Attributes:
        ended: Number of connections that it has closed.
    """

    def __init__(
        self,
        *scripts: Script,
        concurrent: bool = False,
        receive_buffer_bytes: int | None = None,
    ) -> None:
        self._scripts = scripts
        self._concurrent = concurrent
        self._listener = socket.create_server(("127.0.0.1", 0))
        if receive_buffer_bytes is not None:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.ended = 0
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> ScriptedReplica:
        self._thread.start()
        return self

    def stop_listening(self) -> None:
        """Refuse all further connections, as after a crash."""
        # A close alone does not end the wait of the thread that accepts.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop_listening()

    def _serve(self) -> None:
        for script in self._scripts:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            if self._concurrent:
                threading.Thread(target=self._run, args=(script, connection), daemon=True).start()
            else:
                self._run(script, connection)

    def _run(self, script: Script, connection: socket.socket) -> None:
        with connection:
            script(connection)
        self.ended += 1


def read_request(connection: socket.socket) -> bytes:
    """Read a request whose body length is stated or 0; return b"" if the client closed."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65_536)
        if not more:
            return b""
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


def answer(request_id: str, body: bytes, *headers: str, status: str = "200 OK") -> bytes:
    """Return the bytes of a complete answer."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Springrock-Request-Id: {request_id}",
        f"Springrock-Response-Seal: seal-of-{request_id}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(connection: socket.socket) -> None:
    """Close the connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()

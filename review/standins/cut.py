"""A proxy before a replica that cuts the link to it: what is open is reset, what is new hangs."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_BACKLOG = 1024
_FILLERS = 4


class Link:
    """The link between the boxes and one replica.

    Args:
        target: The replica's own address.

    Attributes:
        address: Where the boxes reach the replica.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._fillers: list[socket.socket] = []
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(_BACKLOG)
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._task: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Accept connections from now on."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(_BACKLOG)
        self._task = asyncio.create_task(self._accept())

    def cut(self) -> int:
        """Reset the open connections and leave new ones unanswered; return how many were open."""
        assert self._task is not None
        self._task.cancel()
        # A full queue of connections to accept makes the kernel drop the packets that open others.
        self._listener.listen(0)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._listener.getsockname())
            self._fillers.append(filler)
        count = len(self._pairs)
        for near, far in list(self._pairs):
            with contextlib.suppress(OSError):
                near.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            near.transport.abort()
            far.transport.abort()
        return count

    async def _accept(self) -> None:
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            asyncio.create_task(self._serve(connection))  # noqa: RUF006

    async def _serve(self, connection: socket.socket) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
            near_reader, near = await asyncio.open_connection(sock=connection)
        except OSError:
            connection.close()
            return
        pair = (near, far)
        self._pairs.add(pair)
        await asyncio.gather(_pump(near_reader, far), _pump(far_reader, near))
        self._pairs.discard(pair)


async def _pump(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
    try:
        while data := await source.read(65_536):
            sink.write(data)
            await sink.drain()
    except OSError:
        pass
    finally:
        with contextlib.suppress(OSError, RuntimeError):
            sink.close()

"""A small HTTP/1.1 server and client on asyncio streams, with full control over every byte."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))


@dataclass(eq=False)
class Connection:
    """A connection that a stand-in serves; `late` is written before the next answer."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    late: bytes = b""
    extra: dict[str, object] = field(default_factory=dict)

    async def write(self, data: bytes) -> None:
        data, self.late = self.late + data, b""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Close the connection with a reset."""
        connection = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Handler = Callable[[Request, Connection], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def head(status: int, headers: dict[str, str]) -> bytes:
    reason = {200: "OK", 202: "Accepted", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    return head(status, {**(headers or {}), "Content-Length": str(len(body))}) + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def serve(handler: Handler, host: str = "127.0.0.1", port: int = 0) -> asyncio.Server:
    async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await read_request(reader)) is not None:
                await handler(request, connection)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    return await asyncio.start_server(_serve, host, port)


def address_of(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


@dataclass
class Answer:
    """What a client received: status 0 if the connection ended without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 20.0,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    got = Answer(0, {}, b"", False)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            sent = {**headers}
            if body or method != "GET":
                sent["Content-Length"] = str(len(body))
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in sent.items())]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await read_answer(reader, got)
    except (OSError, EOFError, TimeoutError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return got


async def read_answer(reader: asyncio.StreamReader, got: Answer) -> None:
    """Read an answer into `got`, so that a part of it stays if it breaks off."""
    status_line = await reader.readline()
    if not status_line.endswith(b"\n"):
        raise EOFError
    headers: dict[str, str] = {}
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    got.status, got.headers = int(status_line.split()[1]), headers
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size_line = await reader.readline()
            if not size_line.endswith(b"\n"):
                raise EOFError
            size = int(size_line, 16)
            if not size:
                break
            got.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in headers:
        got.body = await reader.readexactly(int(headers["content-length"]))
    else:
        got.body = await reader.read()
    got.complete = True

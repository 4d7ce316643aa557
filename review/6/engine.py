"""A stand-in of a model replica that can turn slow; it does only what the users' pages say.

It holds one base model and writes its entry about every `heartbeatMs`. A request begins to run with
its first token; one event of its stream holds several tokens. While it is slow, it works several
times as long. A run ends when its connection closes.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import sys
import time
from typing import Any

TOKENS_PER_EVENT = 7
STEP_S = 0.07
"""A loaded engine's step: an event takes 0.49 s, and the sheet allows pauses of 0.5 s."""

READ_S = 0.125
EVENTS = 8
HEARTBEAT_S = 1.2


class Engine:
    def __init__(self, settings: dict[str, Any]) -> None:
        self.name: str = settings["name"]
        self.address: str = settings["address"]
        self.store: str = settings["store"]
        self.zone: str = settings["zone"]
        self.service: str = settings["service"]
        self.slowness = 1.0
        self.runs: list[dict[str, Any]] = []

    async def serve(self) -> None:
        host, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self._connection, host, int(port))
        async with server:
            beat = asyncio.ensure_future(self._beat())
            await server.serve_forever()
            await beat

    async def _beat(self) -> None:
        value = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": 12,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "stage": "both",
            "models": [{"name": "base", "version": 1, "adapters": []}],
        }
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": "servers", "key": self.name, "value": encoded}
        body = json.dumps({"put": [row]}).encode()
        host, _, port = self.store.rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                head = f"POST /standin/transaction HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}"
                writer.write(f"{head}\r\nConnection: close\r\n\r\n".encode() + body)
                await reader.read()
                writer.close()
            await asyncio.sleep(HEARTBEAT_S)

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.rstrip().split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, path, _ = first.split(" ")
                await self._answer(method, path, headers, body, reader, writer)
        writer.close()

    async def _answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if path == "/standin/slow":
            self.slowness = float(json.loads(body)["x"])
            self._send(writer, 200, b"{}")
        elif path == "/standin/runs":
            self._send(writer, 200, json.dumps(self.runs).encode())
        elif headers.get("springrock-expect-instance", self.name) != self.name:
            self._send(writer, 421, b"", headers.get("springrock-request-id", ""))
        elif path == "/v1/report":
            held = [{"name": "base", "version": 1, "adapters": []}]
            running = sum(run["end"] is None for run in self.runs)
            report = {"stage": "both", "models": held, "busy": False, "sequence": 1, "queued": 0}
            self._send(writer, 200, json.dumps({**report, "running": running}).encode())
        elif path == "/v1/order":
            self._send(writer, 409, b"{}")
        else:
            await self._run(headers, reader, writer)
        await writer.drain()

    @staticmethod
    def _send(writer: asyncio.StreamWriter, status: int, body: bytes, request: str = "") -> None:
        named = f"Springrock-Request-Id: {request}\r\n" if request else ""
        head = f"HTTP/1.1 {status} Answer\r\n{named}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def _work(self, seconds: float) -> None:
        """Work for a time; what is left takes longer while the engine is slow."""
        left, before = seconds, time.monotonic()
        while left > 0:
            await asyncio.sleep(min(left * self.slowness, 0.005))
            now = time.monotonic()
            left -= (now - before) / self.slowness
            before = now

    async def _run(
        self, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = headers["springrock-request-id"]
        first = int(headers.get("last-event-id", "0")) + 1
        run: dict[str, Any] = {"request": request, "from": first, "begin": None, "end": None}
        run["arrived"] = time.monotonic()
        self.runs.append(run)
        work = asyncio.ensure_future(self._stream(run, request, first, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        run["how"] = "whole" if work.done() else "its connection closed"
        run["end"] = time.monotonic()
        work.cancel()
        if not gone.done():
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
            return
        raise OSError("the connection closed")

    async def _stream(
        self, run: dict[str, Any], request: str, first: int, writer: asyncio.StreamWriter
    ) -> None:
        await self._work(READ_S)
        run["begin"] = time.monotonic()
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Springrock-Request-Id: {request}\r\nSpringrock-Response-Seal: {self.name}.{first}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, EVENTS + 1):
            await self._work(TOKENS_PER_EVENT * STEP_S)
            event = f"id: {number}\ndata: part {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(Engine(json.loads(sys.argv[1])).serve())

"""The driver of model engines: streamed completions, fenced orders, reports, over urllib3."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from springrock.errors import (
    OrderFailed,
    StaleFence,
    UpstreamBroke,
    UpstreamGarbage,
    UpstreamSaidNo,
    UpstreamUnreachable,
    WrongAnswer,
)
from springrock.plugins import drivers
from springrock.retry_after import retry_after_in
from springrock.settings import UpstreamSection, split_address
from springrock.wire import engine as wire

T = TypeVar("T")

_CONNECTIONS = 64
_CONNECT_TIMEOUT_S = 2.0
_FIRST_ANSWER_LIMIT_S = 15.0
_REPORT_TIMEOUT_S = 2.0
_LOAD_TIMEOUT_S = 30.0
_EVENT_LIMIT_BYTES = 1_048_576
_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_NOT_RUN_STATUSES = frozenset({404, 409, 429, 503})

_JSON_HEADERS = {"Content-Type": "application/json"}
_FRESH_CONNECTION = {**_JSON_HEADERS, "Connection": "close"}


class Event(NamedTuple):
    """One verified event of an answer.

    Attributes:
        raw: The bytes as the engine sent them, framing included.
        chunk: What they say, or None for the closing event.
    """

    raw: bytes
    chunk: wire.Chunk | None


class EngineStream:
    """The stream of one answer, each event checked against the request.

    Attributes:
        position: The position of the next token.
        whole: Whether the last token has come and the closing event was given on.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, request: wire.EngineRequest, position: int
    ) -> None:
        self._response = response
        self._request = request
        self._finished = False
        self.position = position
        self.whole = False

    def __iter__(self) -> Iterator[Event]:
        try:
            yield from self._read()
        except (HTTPError, OSError) as error:
            if not self._finished:
                raise UpstreamBroke(f"the stream broke: {error}") from None
        if self.whole:
            return
        if not self._finished:
            raise UpstreamBroke("the stream ended early")
        # The last token says that it is the last; only the closing event was lost.
        self.whole = True
        yield Event(wire.encode_event(wire.DONE), None)

    def _read(self) -> Iterator[Event]:
        buffer = b""
        for data in self._response.stream():
            buffer += data
            *raw_events, buffer = buffer.split(_EVENT_END)
            for raw in raw_events:
                event = self._check(raw)
                if event is not None:
                    yield event
            if self.whole:
                return
            if len(buffer) > _EVENT_LIMIT_BYTES:
                raise UpstreamGarbage("an event without end")

    def abort(self) -> None:
        """End the stream from another task; whoever reads it sees it break."""
        with contextlib.suppress(OSError, ValueError, RuntimeError):
            self._response.shutdown()

    def close(self) -> None:
        """Give the connection back, or close it if the answer is not whole."""
        if self.whole:
            self._response.drain_conn()
            self._response.release_conn()
        else:
            self._response.close()

    def _check(self, raw: bytes) -> Event | None:
        if not raw.startswith(_DATA_PREFIX):
            raise UpstreamGarbage("an event without data")
        data = raw[len(_DATA_PREFIX) :]
        if data == wire.DONE:
            if not self._finished:
                raise UpstreamBroke("the stream closed before its last token")
            self.whole = True
            return Event(raw + _EVENT_END, None)
        try:
            chunk = wire.decode_chunk(data)
        except msgspec.MsgspecError as error:
            raise UpstreamGarbage(f"not a chunk: {error}") from None
        return self._check_chunk(chunk, raw)

    def _check_chunk(self, chunk: wire.Chunk, raw: bytes) -> Event | None:
        request = self._request
        if chunk.id != request.request_id or chunk.model != request.model:
            raise WrongAnswer(f"asked {request.model}, answered by {chunk.model}")
        if chunk.position < self.position:
            return None
        if chunk.position > self.position or not chunk.choices:
            raise UpstreamGarbage(f"a gap at position {self.position}")
        self.position += 1
        self._finished = chunk.choices[0].finish_reason is not None
        return Event(raw + _EVENT_END, chunk)


@drivers.register("engine")
class EngineDriver:
    """Speaks to one model engine.

    Args:
        upstream: Which engine, and where.
    """

    def __init__(self, upstream: UpstreamSection) -> None:
        host, port = split_address(upstream.address)
        self._pool = urllib3.HTTPConnectionPool(host, port, maxsize=_CONNECTIONS, retries=False)

    def begin(self, request: wire.EngineRequest) -> EngineStream:
        """Send a request and return its answer's stream.

        Raises:
            UpstreamUnreachable: If nothing was sent.
            UpstreamSaidNo: If the engine refused before running it.
            UpstreamBroke: If the outcome is not known.
        """
        path = wire.COMPLETIONS_PATH if request.messages is None else wire.CHAT_PATH
        headers = _JSON_HEADERS if request.repeatable else _FRESH_CONNECTION
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=_FIRST_ANSWER_LIMIT_S)
        response = self._send(
            "POST", path, body=msgspec.json.encode(request), headers=headers, timeout=timeout
        )
        if response.status == 200:
            return EngineStream(response, request, max(0, request.resume_from))
        reason = _reason_of(response)
        if response.status in _NOT_RUN_STATUSES:
            raise UpstreamSaidNo(reason, retry_after_in(response.headers))
        raise UpstreamBroke(f"status {response.status}: {reason}")

    def resume(self, request: wire.EngineRequest, position: int) -> EngineStream:
        """Go on with the retained stream of a request that was sent before.

        Raises:
            UpstreamUnreachable, UpstreamSaidNo, UpstreamBroke: If it cannot be resumed.
        """
        return self.begin(msgspec.structs.replace(request, resume_from=position))

    def cancel(self, request_id: str) -> bool:
        """Have a request cancelled; return whether the engine confirmed."""
        body = msgspec.json.encode({"request_id": request_id})
        try:
            response = self._send("POST", wire.CANCEL_PATH, body=body, timeout=_REPORT_TIMEOUT_S)
        except (UpstreamUnreachable, UpstreamBroke):
            return False
        return response.status == 200

    def order(self, order: wire.Order) -> None:
        """Give an order and wait until it is carried out.

        Raises:
            StaleFence: If the engine knows a newer fence.
            OrderFailed: If it refused or could not do it.
            UpstreamUnreachable: If nothing was sent.
            UpstreamBroke: If the outcome is not known.
        """
        body = msgspec.json.encode(order)
        response = self._send("POST", wire.ORDERS_PATH, body=body, timeout=_LOAD_TIMEOUT_S)
        answer = _decode(response, wire.OrderAnswer)
        if answer.done:
            return
        if answer.fence > order.fence:
            raise StaleFence(answer.reason)
        raise OrderFailed(answer.reason)

    def loaded(self) -> wire.LoadedAdapters:
        """Return the exact list of what the engine holds.

        Raises:
            UpstreamUnreachable, UpstreamBroke: If there is no usable answer.
        """
        response = self._send("GET", wire.ADAPTERS_PATH, timeout=_REPORT_TIMEOUT_S)
        if response.status != 200:
            raise UpstreamBroke(f"status {response.status}")
        return _decode(response, wire.LoadedAdapters)

    def _send(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        stream = path in (wire.COMPLETIONS_PATH, wire.CHAT_PATH)
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers or _JSON_HEADERS,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=not stream,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise UpstreamUnreachable(str(error)) from None
        except (HTTPError, OSError) as error:
            raise UpstreamBroke(str(error)) from None
        if stream:
            _wait_without_timeout(response)
        return response


def _wait_without_timeout(response: urllib3.BaseHTTPResponse) -> None:
    """Take the timeout off a stream's socket: a timer for each read is a tenth of a chunk's cost.

    Whoever reads the stream watches its progress instead.
    """
    connection = response.connection
    plain = getattr(connection, "sock", None)
    if plain is not None:
        plain.settimeout(None)


def _decode(response: urllib3.BaseHTTPResponse, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(response.data, type=kind)
    except msgspec.MsgspecError as error:
        raise UpstreamGarbage(str(error)) from None


def _reason_of(response: urllib3.BaseHTTPResponse) -> str:
    try:
        said = msgspec.json.decode(response.read(65_536), type=dict[str, str])
    except (msgspec.MsgspecError, HTTPError, OSError):
        return "no reason given"
    finally:
        response.close()
    return said.get("reason", "no reason given")

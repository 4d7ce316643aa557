"""The driver of model engines: streamed completions, orders with fences, and reports."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import NamedTuple, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from springrock.clock import Deadline
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
from springrock.strict_http import reader_of, strict_pool
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire import engine as wire

T = TypeVar("T")

_CONNECTIONS = 64
_CONNECT_TIMEOUT_S = 2.0
_FIRST_ANSWER_TIMEOUT_S = 15.0
_MIN_TIMEOUT_S = 0.001
_END_TIMEOUT_S = 0.05
_REPORT_TIMEOUT_S = 2.0
_LOAD_TIMEOUT_S = 30.0
_MAX_EVENT_BYTES = 1_048_576
_MAX_ANSWER_BYTES = 1_048_576
"""The most bytes of an answer that is no stream."""

_MAX_REASON_BYTES = 65_536
_MAX_PIECE_BYTES = 131_072
"""The most bytes between two pieces of a stream: one piece and its framing, or the trailers."""

_EVENT_END = b"\n\n"
_DATA_PREFIX = b"data: "
_NOT_RUN_STATUSES = frozenset({404, 409, 429, 503})

_JSON_HEADERS = {"Content-Type": "application/json"}
_SINGLE_USE_HEADERS = {**_JSON_HEADERS, "Connection": "close"}


class StreamEvent(NamedTuple):
    """One verified event of an answer.

    Attributes:
        raw: The bytes as the engine sent them, framing included.
        chunk: The decoded chunk, or None for the closing event.
    """

    raw: bytes
    chunk: wire.Chunk | None


class _EventBuffer:
    """Splits a stream into events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def add(self, data: bytes) -> list[bytes]:
        """Add the next bytes of the stream; return the events that they complete."""
        # The end of an event may have begun with the last byte before these.
        searched = max(0, len(self._rest) - len(_EVENT_END) + 1)
        self._rest += data
        raw_events = []
        begin = 0
        while (end := self._rest.find(_EVENT_END, searched)) >= 0:
            raw_events.append(bytes(self._rest[begin:end]))
            begin = searched = end + len(_EVENT_END)
        del self._rest[:begin]
        return raw_events

    @property
    def is_too_long(self) -> bool:
        """Whether the event that has begun exceeds the size limit."""
        return len(self._rest) > _MAX_EVENT_BYTES


class EngineStream:
    """The stream of one answer; checks that each event belongs to the request.

    The stream may last; another task ends it with `abort`.

    Attributes:
        position: The position of the next token.
        is_complete: Whether the last token arrived and the closing event was yielded.
    """

    def __init__(
        self, response: urllib3.BaseHTTPResponse, request: wire.EngineRequest, position: int
    ) -> None:
        self._response = response
        self._reader = reader_of(response)
        self._aborted = False
        self._request = request
        self._has_last_token = False
        self.position = position
        self.is_complete = False

    def __iter__(self) -> Iterator[StreamEvent]:
        try:
            yield from self._read_events()
        except (HTTPError, OSError) as error:
            if not self._has_last_token:
                raise UpstreamBroke(f"the stream broke: {error}") from None
        if self.is_complete:
            return
        if not self._has_last_token:
            raise UpstreamBroke("the stream ended before its last token")
        # The last token is marked as such, so the answer is complete without the closing event.
        self.is_complete = True
        yield StreamEvent(wire.encode_event(wire.DONE), None)

    def _read_events(self) -> Iterator[StreamEvent]:
        buffer = _EventBuffer()
        for data in self._read_pieces():
            for raw in buffer.add(data):
                event = self._check_event(raw)
                if event is not None:
                    yield event
            if self.is_complete:
                return
            if buffer.is_too_long:
                raise UpstreamGarbage("an event exceeds the size limit")

    def _read_pieces(self) -> Iterator[bytes]:
        pieces = self._response.stream()
        while not self._aborted:
            # Without a deadline: a timer for each read is a tenth of a chunk's cost.
            self._reader.begin_step(deadline=None, max_bytes=_MAX_PIECE_BYTES)
            data = next(pieces, None)
            if data is None:
                return
            yield data
        raise OSError("aborted")

    def abort(self) -> None:
        """End the stream from another task; its reader sees the connection break."""
        self._aborted = True
        # A connection that is shut down can still be read while bytes keep coming.
        self._reader.begin_step(deadline=Deadline(0.0), max_bytes=0)
        with contextlib.suppress(OSError, ValueError, RuntimeError):
            self._response.shutdown()

    def close(self) -> None:
        """Return the connection to the pool, or close it if the answer does not end at once."""
        if not self.is_complete:
            self._response.close()
            return
        self._reader.begin_step(deadline=Deadline(_END_TIMEOUT_S), max_bytes=_MAX_PIECE_BYTES)
        self._response.drain_conn()
        self._response.release_conn()

    def _check_event(self, raw: bytes) -> StreamEvent | None:
        if not raw.startswith(_DATA_PREFIX):
            raise UpstreamGarbage("an event has no data field")
        data = raw[len(_DATA_PREFIX) :]
        if data == wire.DONE:
            if not self._has_last_token:
                raise UpstreamBroke("the closing event came before the last token")
            self.is_complete = True
            return StreamEvent(raw + _EVENT_END, None)
        try:
            chunk = wire.decode_chunk(data)
        except MalformedJson as error:
            raise UpstreamGarbage(f"malformed chunk: {error}") from None
        return self._check_chunk(chunk, raw)

    def _check_chunk(self, chunk: wire.Chunk, raw: bytes) -> StreamEvent | None:
        request = self._request
        if chunk.id != request.request_id or chunk.model != request.model:
            raise WrongAnswer(f"expected an answer of {request.model}, got one of {chunk.model}")
        if chunk.position < self.position:
            return None
        if chunk.position > self.position or not chunk.choices:
            raise UpstreamGarbage(f"the chunk at position {self.position} is missing or empty")
        self.position += 1
        self._has_last_token = chunk.choices[0].finish_reason is not None
        return StreamEvent(raw + _EVENT_END, chunk)


@drivers.register("engine")
class EngineDriver:
    """Sends requests and orders to one model engine.

    Args:
        upstream: The engine's settings.
    """

    def __init__(self, upstream: UpstreamSection) -> None:
        host, port = split_address(upstream.address)
        self._pool = strict_pool(
            host, port, max_answer_bytes=_MAX_ANSWER_BYTES, maxsize=_CONNECTIONS
        )

    def begin(
        self, request: wire.EngineRequest, *, timeout_s: float = _FIRST_ANSWER_TIMEOUT_S
    ) -> EngineStream:
        """Send a request and return the stream of its answer.

        Args:
            request: The request.
            timeout_s: How long to wait for the head of the answer; 15 s at most.

        Raises:
            UpstreamUnreachable: If no connection could be made, so that nothing was sent.
            UpstreamSaidNo: If the engine refused before running it.
            UpstreamBroke: If it is unknown whether the engine ran the request.
        """
        path = wire.COMPLETIONS_PATH if request.messages is None else wire.CHAT_PATH
        headers = _JSON_HEADERS if request.repeatable else _SINGLE_USE_HEADERS
        timeout_s = min(_FIRST_ANSWER_TIMEOUT_S, max(_MIN_TIMEOUT_S, timeout_s))
        timeout = urllib3.Timeout(total=timeout_s, connect=min(_CONNECT_TIMEOUT_S, timeout_s))
        response = self._send(
            "POST", path, body=msgspec.json.encode(request), headers=headers, timeout=timeout
        )
        if response.status == 200:
            return EngineStream(response, request, max(0, request.resume_from))
        reason = _reason_of(response)
        if response.status in _NOT_RUN_STATUSES:
            raise UpstreamSaidNo(reason, retry_after_in(response.headers))
        raise UpstreamBroke(f"status {response.status}: {reason}")

    def resume(
        self,
        request: wire.EngineRequest,
        position: int,
        *,
        timeout_s: float = _FIRST_ANSWER_TIMEOUT_S,
    ) -> EngineStream:
        """Resume the stream that the engine has retained for an earlier request; see `begin`.

        Raises:
            UpstreamUnreachable, UpstreamSaidNo, UpstreamBroke: If the stream cannot be resumed.
        """
        resumed = msgspec.structs.replace(request, resume_from=position)
        return self.begin(resumed, timeout_s=timeout_s)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether the engine confirmed it."""
        body = msgspec.json.encode({"request_id": request_id})
        try:
            response = self._send("POST", wire.CANCEL_PATH, body=body, timeout=_REPORT_TIMEOUT_S)
        except (UpstreamUnreachable, UpstreamBroke):
            return False
        return response.status == 200

    def order(self, order: wire.Order) -> None:
        """Send an order and wait until it is executed.

        Raises:
            StaleFence: If the engine has seen a higher fence.
            OrderFailed: If the engine refused the order or could not execute it.
            UpstreamUnreachable: If no connection could be made, so that nothing was sent.
            UpstreamBroke: If it is unknown whether the engine executed the order.
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
        """Return the adapters that the engine holds.

        Raises:
            UpstreamUnreachable, UpstreamBroke: If no usable answer arrives.
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
        is_stream = path in (wire.COMPLETIONS_PATH, wire.CHAT_PATH)
        try:
            return self._pool.urlopen(
                method,
                path,
                body=body,
                headers=headers or _JSON_HEADERS,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=not is_stream,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise UpstreamUnreachable(str(error)) from None
        except (HTTPError, OSError) as error:
            raise UpstreamBroke(str(error)) from None


def _decode(response: urllib3.BaseHTTPResponse, kind: type[T]) -> T:
    try:
        return decode_json(response.data, kind)
    except MalformedJson as error:
        raise UpstreamGarbage(str(error)) from None


def _reason_of(response: urllib3.BaseHTTPResponse) -> str:
    deadline = Deadline(_REPORT_TIMEOUT_S)
    reader_of(response).begin_step(deadline=deadline, max_bytes=_MAX_PIECE_BYTES)
    try:
        body = decode_json(response.read(_MAX_REASON_BYTES), dict[str, str])
    except (MalformedJson, HTTPError, OSError):
        return "no reason given"
    finally:
        response.close()
    return body.get("reason", "no reason given")

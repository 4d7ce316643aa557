"""The body of a request, as the WSGI environment gives it to an application."""

from __future__ import annotations

import io
import re
from collections.abc import Callable

from springrock.errors import ReadBound, RequestNotRead
from springrock.request_reader import FRAMING_BYTES, RequestReader

_BLOCK_BYTES = 65_536
_MAX_LINE_BYTES = 8_192
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?::[^\r\n]*)?\r\n")


class RequestBody(io.BufferedIOBase):
    """The body of a request, without the framing of its chunks and its trailers.

    Args:
        source: Buffers what the reader reads.
        reader: Reads from the connection, with bounds.
        length: The stated length; None if none is stated, so that there is no body.
        chunked: Whether the body is in chunks, of whatever length.
        max_bytes: The longest body. It holds for the whole of the body, whatever changes meanwhile.
        max_trailer_bytes: The longest trailers.
        invite: Asks the caller for the body before the first read; None if it need not be asked.
    """

    def __init__(
        self,
        source: io.BufferedReader,
        reader: RequestReader,
        *,
        length: int | None,
        chunked: bool,
        max_bytes: int,
        max_trailer_bytes: int,
        invite: Callable[[], None] | None,
    ) -> None:
        super().__init__()
        self._source = source
        self._reader = reader
        self._chunked = chunked
        self._left = 0 if chunked else length or 0
        self._spare_framing_bytes = FRAMING_BYTES
        self._ended = not chunked and not self._left
        self._max_bytes = max_bytes
        self._chunks_bytes = 0
        self._max_trailer_bytes = max_trailer_bytes
        self._invite = invite
        self._abandoned = False
        if self._ended:
            reader.end_request()

    @property
    def at_end(self) -> bool:
        """Whether all of the body was read, so that the next request follows."""
        return self._ended

    def readable(self) -> bool:
        """Return True."""
        return True

    def read(self, size: int | None = -1) -> bytes:
        """Return the next bytes, fewer than asked for only at the end.

        Raises:
            RequestNotRead: If the body is malformed or over a bound.
            OSError: If the connection failed or ended before the body.
        """
        if self._ended or size == 0:
            return b""
        if not self._chunked and self._left > self._max_bytes:
            raise self._over(ReadBound.BODY_BYTES)
        if self._invite is not None:
            invite, self._invite = self._invite, None
            invite()
        limit = None if size is None or size < 0 else size
        if self._chunked:
            return self._read_chunks(limit)
        return self._read_stated(limit)

    def give_up(self) -> None:
        """Leave the rest of the body unread."""
        self._abandoned = True

    def discard_rest(self) -> None:
        """Drop the rest of the body, within bounds; `at_end` tells whether that succeeded."""
        if self._ended or self._abandoned or self._invite is not None:
            return
        self._reader.begin_rest()
        try:
            while self.read(_BLOCK_BYTES):
                continue
        except (OSError, RequestNotRead):
            return

    # Called by gevent's handler after each response.
    _discard = discard_rest

    def _read_stated(self, limit: int | None) -> bytes:
        wanted = self._left if limit is None else min(limit, self._left)
        data = bytearray()
        while len(data) < wanted:
            data += self._take(wanted - len(data))
        if not self._left:
            self._end()
        return bytes(data)

    def _read_chunks(self, limit: int | None) -> bytes:
        data = bytearray()
        while not self._ended and (limit is None or len(data) < limit):
            if not self._left:
                self._begin_chunk()
                continue
            wanted = self._left if limit is None else min(self._left, limit - len(data))
            data += self._take_of_chunk(wanted)
        return bytes(data)

    def _take(self, size: int) -> bytes:
        """Return bytes of the body as they arrive, at most a number of them.

        The wait for them needs no memory but the buffer of the source.
        """
        arrived = len(self._source.peek(1))
        if not arrived:
            raise self._cut()
        data = self._source.read1(min(size, arrived))
        self._left -= len(data)
        return data

    def _end(self) -> None:
        self._ended = True
        self._reader.end_request()

    # The framing of chunks.

    def _begin_chunk(self) -> None:
        line = self._read_line()
        stated = _CHUNK_SIZE.fullmatch(line)
        if stated is None:
            raise self._malformed()
        self._left = int(stated[1], 16)
        self._chunks_bytes += self._left
        if self._chunks_bytes > self._max_bytes:
            raise self._over(ReadBound.BODY_BYTES)
        self._spare_framing_bytes -= len(line)
        if self._spare_framing_bytes < 0:
            raise self._over(ReadBound.FRAMING_BYTES)
        if not self._left:
            self._skip_trailers()
            self._end()

    def _take_of_chunk(self, size: int) -> bytes:
        """Read a part of a chunk, and the end of the chunk with its last part."""
        data = self._take(size)
        self._spare_framing_bytes += len(data)
        if not self._left:
            self._read_end_of_chunk()
        return data

    def _read_end_of_chunk(self) -> None:
        end = self._source.read(2)
        if len(end) < 2:
            raise self._cut()
        if end != b"\r\n":
            raise self._malformed()

    def _skip_trailers(self) -> None:
        skipped_bytes = 0
        while (line := self._read_line()) != b"\r\n":
            if not _TRAILER.fullmatch(line):
                raise self._malformed()
            skipped_bytes += len(line)
            if skipped_bytes > self._max_trailer_bytes:
                raise self._over(ReadBound.TRAILER_BYTES)

    def _read_line(self) -> bytes:
        line = self._source.readline(_MAX_LINE_BYTES)
        if line.endswith(b"\n"):
            return line
        raise self._malformed() if len(line) == _MAX_LINE_BYTES else self._cut()

    def _malformed(self) -> RequestNotRead:
        return self._over(ReadBound.FRAMING)

    def _over(self, bound: ReadBound) -> RequestNotRead:
        self._abandoned = True
        return self._reader.error(bound)

    def _cut(self) -> OSError:
        self._abandoned = True
        return OSError("the connection ended before the request")

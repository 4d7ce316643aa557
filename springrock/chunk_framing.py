"""Checks the framing of a body in chunks, which the standard library reads leniently.

`http.client` takes a size for a number as the language writes it, with signs and prefixes, and
discards whatever two bytes follow a chunk.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from http.client import HTTPException

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]+)[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?\r?\n")
_CHUNK_END = b"\r\n"
_MAX_QUOTED = 40


class MalformedChunk(HTTPException):
    """The bytes between the parts of a body are no framing of chunks (RFC 9112, section 7.1)."""


class _Next(Enum):
    """What the body goes on with."""

    SIZE = auto()
    DATA = auto()
    END = auto()
    TRAILERS = auto()


class ChunkFraming:
    """Follows the reads of one body in chunks, of which none passes the end of a part."""

    def __init__(self) -> None:
        self._next = _Next.SIZE
        self._left_bytes = 0

    def check_line(self, line: bytes) -> None:
        """Check a line that was read whole.

        Raises:
            MalformedChunk: If it is not the size of a chunk where one is due.
        """
        if self._next is _Next.TRAILERS:
            return
        match = _SIZE_LINE.fullmatch(line)
        if match is None or self._next is not _Next.SIZE:
            raise MalformedChunk(f"malformed size of a chunk: {line[:_MAX_QUOTED]!r}")
        self._left_bytes = int(match[1], 16)
        self._next = _Next.DATA if self._left_bytes else _Next.TRAILERS

    def check_data(self, data: bytes) -> None:
        """Check bytes that were read, of a chunk or after it.

        Raises:
            MalformedChunk: If a chunk does not end where it should.
        """
        if self._next is _Next.DATA:
            self._left_bytes -= len(data)
            if not self._left_bytes:
                self._next = _Next.END
        elif self._next is _Next.END and len(data) == len(_CHUNK_END):
            if data != _CHUNK_END:
                raise MalformedChunk(f"a chunk goes on after its size: {data!r}")
            self._next = _Next.SIZE

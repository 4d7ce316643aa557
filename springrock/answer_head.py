"""Checks the head of an answer, which the standard library reads leniently.

`http.client` drops the rest of a head after a line that is no header, and takes a length that is no
number for no length.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from springrock.errors import SpringrockError

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?\r?\n")
_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r?\n")
_END = (b"\r\n", b"\n")
_MAX_QUOTED = 40


class MalformedHead(SpringrockError):
    """The bytes form no head of an answer, or do not say where its body ends (RFC 9112)."""


def check_lines(lines: Sequence[bytes]) -> None:
    """Raise `MalformedHead` unless each line of a head is one.

    Args:
        lines: The lines with their ends, the empty ones included. Interim answers may come first.
    """
    is_first = True
    for line in lines:
        if line in _END:
            is_first = True
            continue
        pattern = _STATUS_LINE if is_first else _HEADER_LINE
        if pattern.fullmatch(line) is None:
            raise MalformedHead(f"malformed head of the answer: {line[:_MAX_QUOTED]!r}")
        is_first = False


def check_framing(headers: Iterable[tuple[str, str]]) -> None:
    """Raise `MalformedHead` if the headers state the end of the body twice, or in unknown words."""
    lengths: set[str] = set()
    codings: list[str] = []
    for name, value in headers:
        if name.lower() == "content-length":
            lengths.add(value.strip())
        elif name.lower() == "transfer-encoding":
            codings.append(value.strip().lower())
    if any(not (length.isascii() and length.isdigit()) for length in lengths) or len(lengths) > 1:
        raise MalformedHead(f"the length of the answer is {sorted(lengths)}")
    if codings and (codings != ["chunked"] or lengths):
        raise MalformedHead(f"the answer is {codings} encoded, and its length is {sorted(lengths)}")

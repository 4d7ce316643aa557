"""Checks the head of an answer, which the standard library reads leniently.

`http.client` drops the rest of a head after a line that is no header, and takes a length that is no
number for no length.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from springrock.errors import SpringrockError

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?(\r?\n)")
"""Of a final or an interim answer; 101 is none, as no request asks to switch protocols."""

_HEADER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*(\r?\n)")
_MAX_QUOTED = 40


class MalformedHead(SpringrockError):
    """The bytes form no head of an answer, or do not say where its body ends (RFC 9112)."""


def check_lines(lines: Sequence[bytes]) -> None:
    """Raise `MalformedHead` unless each line of a head is one.

    All lines of a head have to end alike. A lone line feed among lines that end with a carriage
    return too would end the head before its other headers, which would begin the body.

    Args:
        lines: The lines with their ends, the empty ones included. Interim answers may come first.
    """
    line_end: bytes | None = None
    for line in lines:
        if line == line_end:
            line_end = None
            continue
        pattern = _STATUS_LINE if line_end is None else _HEADER_LINE
        match = pattern.fullmatch(line)
        if match is None or line_end not in (None, match[1]):
            raise MalformedHead(f"malformed head of the answer: {line[:_MAX_QUOTED]!r}")
        line_end = match[1]


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

"""Answers whose heads are broken, for tests of everything that reads answers."""

from __future__ import annotations

HEADERS = b"Springrock-Request-Id: r1\r\nSpringrock-Response-Seal: seal-of-r1\r\n"

STATUSES = (
    "000",
    "001",
    "099",
    "101",
    "600",
    "999",
    "",
    "0",
    "20",
    "0200",
    "2000",
    "-20",
    "+20",
    "2_0",
    "2x0",
    " 200",
)
"""What no status line may state; no request asks to switch protocols."""

_NAME_CHARACTERS = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
_ODD_BYTES = [bytes([code]) for code in range(256) if code not in _NAME_CHARACTERS + b":"]

ODD_LINES = [
    line
    for odd in _ODD_BYTES
    for line in (odd + b"X-Odd: 1\r\n", b"X-" + odd + b"Odd: 1\r\n", b"X-Odd" + odd + b": 1\r\n")
]
"""Lines of a head with a byte that names may not have before the name, in it and after it."""

SOME_ODD_LINES = (
    b"X Odd: 1\r\n",
    b" X-Odd: 1\r\n",
    b"X-Odd : 1\r\n",
    b"X-\x01Odd: 1\r\n",
    b"X-Odd\x00: 1\r\n",
    b"\rX-Odd: 1\r\n",
    b"\nX-Odd: 1\r\n",
    b"X-Odd\n: 1\r\n",
)


def with_status(status: str, body: bytes, *, headers: bytes = HEADERS) -> bytes:
    """Return an answer with a status."""
    length = b"Content-Length: %d\r\n" % len(body)
    return f"HTTP/1.1 {status} X\r\n".encode() + headers + length + b"\r\n" + body


def with_line(line: bytes, body: bytes, *, headers: bytes = HEADERS) -> list[bytes]:
    """Return answers with the line as the first of the headers, between others, and the last."""
    status = b"HTTP/1.1 200 OK\r\n"
    length = b"Content-Length: %d\r\n" % len(body)
    return [
        status + line + headers + length + b"\r\n" + body,
        status + headers + line + length + b"\r\n" + body,
        status + headers + length + line + b"\r\n" + body,
    ]


def cut_heads(*, headers: bytes = HEADERS) -> list[bytes]:
    """Return the head of a success without length, cut off after each of its bytes."""
    head = b"HTTP/1.1 200 OK\r\n" + headers + b"Content-Type: a/b\r\n\r\n"
    return [head[:size] for size in range(len(head))]

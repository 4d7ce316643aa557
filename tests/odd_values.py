"""JSON values that a decoder may choke on."""

from __future__ import annotations

DEEP = 100_000

NESTED = {
    "lists": b"[" * DEEP + b"]" * DEEP,
    "objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "unclosed lists": b"[" * DEEP,
}

NUMBERS = {
    "beyond 64 bits": str(2**64).encode(),
    "beyond a float": b"1" + b"0" * 400,
    "of 4,299 digits": b"1" + b"0" * 4_298,
    "of 5,001 digits": b"1" + b"0" * 5_000,
    "an infinite float": b"1e400",
    "a large float": b"1e308",
    "negative": b"-1" + b"0" * 400,
    "not a number": b"NaN",
}

PORTS = {
    f"port {port}": f'"127.0.0.1:{port}"'.encode()
    for port in ("65536", "99999", "0", "-1", "1" + "0" * 30, "", "8x")
}


def with_value(fields: dict[str, bytes], name: str, value: bytes) -> bytes:
    """Return a JSON object of encoded fields, one of them replaced or added."""
    changed = {**fields, name: value}
    return b"{" + b",".join(b'"%s":%s' % (key.encode(), changed[key]) for key in changed) + b"}"

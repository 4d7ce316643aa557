"""What the body of an answer must look like, and what a body holds."""

from __future__ import annotations

import re

from bench.soak.shape import STREAM_EVENTS

_EVENT = re.compile(rb"id: (\d+)\ndata: token (\d+)(?: by (\S+))?\n\n")


def plain_body(path: str) -> bytes:
    """Return the only correct body of a plain answer."""
    return f"POST {path} 5".encode()


def event_ids(body: bytes) -> list[int]:
    """Return the numbers of the complete events of a stream."""
    complete, _, _ = body.rpartition(b"\n\n")
    return [int(line[4:]) for line in complete.split(b"\n") if line.startswith(b"id: ")]


def foreign_bytes(body: bytes) -> bytes:
    """Return the first bytes of a stream from which on it does not consist of whole events."""
    position = 0
    while match := _EVENT.match(body, position):
        if match[1] != match[2]:
            break
        position = match.end()
    return body[position:]


def is_whole_stream(body: bytes, *, after: int = 0) -> bool:
    """Whether a stream has all its events after one of them, and nothing else."""
    return not foreign_bytes(body) and event_ids(body) == list(range(after + 1, STREAM_EVENTS + 1))


def software_in(body: bytes) -> list[str]:
    """Return the software versions that wrote the events of a stream, each once, in order."""
    found = [match[3].decode() for match in _EVENT.finditer(body) if match[3]]
    return list(dict.fromkeys(found))

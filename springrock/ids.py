"""Random identifiers, and rendezvous hashing."""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from hashlib import blake2b

_ID_SIZE_BYTES = 8


def new_id() -> str:
    """Return a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(_ID_SIZE_BYTES)


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the score of a candidate for a key; it is the same on every box."""
    digest = blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of their score for the key."""
    return sorted(candidates, key=lambda name: rendezvous_score(key, name), reverse=True)

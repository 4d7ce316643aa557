"""Identifiers: process incarnations, request ids and rendezvous scores."""

from __future__ import annotations

import secrets
from collections.abc import Iterable
from hashlib import blake2b

_ID_BYTES = 8


def new_id() -> str:
    """Return a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(_ID_BYTES)


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the weight of a candidate for a key, equal on every box."""
    digest = blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates, the best for the key first."""
    return sorted(candidates, key=lambda name: rendezvous_score(key, name), reverse=True)

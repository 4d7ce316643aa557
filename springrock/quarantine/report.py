"""The row in which a box reports a crash: the replica, and which of its requests were there."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from springrock.forwarding.fingerprint import DIGITS, Fingerprint
from springrock.ids import new_id
from springrock.rows import Row

KEY_PREFIX = "crash/"

MOST_REQUESTS = 256
"""A box with more at one replica reports those that came last: a row of 10 KB."""

_Digest = Annotated[str, Meta(pattern=f"^[0-9a-f]{{{DIGITS}}}$")]


class CrashReport(Struct, frozen=True):
    """What a box saw of one crash.

    Attributes:
        box: Who saw it.
        instance: The incarnation of the replica.
        requests: The fingerprints of the box's requests that broke there.
    """

    box: str
    instance: str
    requests: Annotated[list[_Digest], Meta(max_length=MOST_REQUESTS)]

    @property
    def fingerprints(self) -> list[Fingerprint]:
        """The requests that broke there."""
        return [Fingerprint(digest) for digest in self.requests]


def new_key() -> str:
    """Return the key of a new report; no other has it, so that it is written once."""
    return f"{KEY_PREFIX}{new_id()}"


def report_from(row: Row) -> CrashReport | None:
    """Return what a row says; None if it is no report."""
    try:
        return msgspec.json.decode(row.value, type=CrashReport)
    except msgspec.DecodeError:
        return None

"""The row in which a box reports a crash, or that what was suspected of crashes causes none."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from springrock.forwarding.fingerprint import FINGERPRINT_DIGITS, Fingerprint
from springrock.ids import new_id
from springrock.rows import Row
from springrock.strict_json import MalformedJson, decode_json

KEY_PREFIX = "crash/"

MAX_REQUESTS = 256
"""The most requests in one report, the latest ones; bounds a row at 10 KB."""

MAX_SHARED = 256
"""The most pieces that requests share in one report; bounds a row at 20 KB."""

_Digest = Annotated[str, Meta(pattern=f"^[0-9a-f]{{{FINGERPRINT_DIGITS}}}$")]


class CrashReport(Struct, frozen=True):
    """One crash as one box observed it; without an instance, only what it has cleared.

    Attributes:
        box: The box that reports it.
        instance: The incarnation of the replica.
        requests: The fingerprints of the box's requests that failed there.
        shared: What these requests may have in common with others, unless the box has reason to
            believe that it crashes no replica.
        cleared: What others may suspect, but a replica has written an answer on since.
    """

    box: str
    instance: str
    requests: Annotated[list[_Digest], Meta(max_length=MAX_REQUESTS)]
    shared: Annotated[list[_Digest], Meta(max_length=MAX_SHARED)] = []
    cleared: Annotated[list[_Digest], Meta(max_length=MAX_SHARED)] = []

    @property
    def fingerprints(self) -> list[Fingerprint]:
        """All that is suspected."""
        return [Fingerprint(digest) for digest in (*self.requests, *self.shared)]


def new_key() -> str:
    """Return a unique key for a new report, so that no two reports are written to one row."""
    return f"{KEY_PREFIX}{new_id()}"


def report_from(row: Row) -> CrashReport | None:
    """Decode the report in a row; return None if it is malformed."""
    try:
        return decode_json(row.value, CrashReport)
    except MalformedJson:
        return None

"""What a request is made of that may crash the replicas that run it."""

from __future__ import annotations

from typing import NamedTuple

from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.message import ClientRequest

_MAX_PARTS = 32
"""Parts of a prompt beyond this are not considered, as a client may name any number."""


class Suspects(NamedTuple):
    """The possible causes within a request, should a replica crash while running it.

    Attributes:
        whole: The request itself, which may come again under other ids.
        shared: What other requests may have in common with it.
    """

    whole: Fingerprint
    shared: tuple[Fingerprint, ...] = ()

    @classmethod
    def from_request(cls, request: ClientRequest) -> Suspects:
        """Return the suspects of a request: all of it, and each part of its prompt but the last."""
        part_ids = dict.fromkeys(part.part_id for part in request.prompt[:-1][:_MAX_PARTS])
        return cls(
            Fingerprint.from_request(request),
            tuple(Fingerprint.from_fields(b"prompt part", item.encode()) for item in part_ids),
        )

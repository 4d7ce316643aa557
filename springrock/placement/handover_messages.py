"""The messages of the placer of an evacuated zone to the placers of the remaining zones."""

from __future__ import annotations

from msgspec import Struct

from springrock.forwarding.message import AdapterKey


class AskedFor(Struct, frozen=True, array_like=True):
    """An adapter requested in an evacuated zone.

    Attributes:
        request_count: The number of requests for it there, decayed with time.
    """

    model: str
    adapter: str
    request_count: float

    @property
    def key(self) -> AdapterKey:
        """The adapter's key."""
        return AdapterKey(self.model, self.adapter)


class Handover(Struct, frozen=True, array_like=True, tag=10):
    """The adapters requested in an evacuated zone, the most requested first."""

    adapters: list[AskedFor]

"""What can go wrong in placement."""

from __future__ import annotations

from springrock.forwarding.errors import NoReplica


class PlacerSilent(NoReplica):
    """No placer of the zone tells when the adapter will be there.

    Args:
        retry_after_s: When to come back, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("no_placer_heard", retry_after_s)

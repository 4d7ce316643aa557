"""What this box sends to replicas that named a limit while no placer is heard that counts."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.permits.terms import uncounted_share
from springrock.quotas.bucket import TokenBucket
from springrock.remembered import Remembered

_REPLICAS_KEPT = 1000


class OwnShares:
    """This box's equal share of the limits of its own zone's replicas.

    Only boxes of a replica's zone send to it uncounted: they are few, and a zone that is cut off
    serves on. Others have replicas of their own, or are told to come back.

    Args:
        home_zone: Where this box stands.
        boxes: Returns how many boxes stand there; 0 if that is not known.
    """

    def __init__(self, *, home_zone: str, boxes: Callable[[], int]) -> None:
        self._home_zone = home_zone
        self._boxes = boxes
        self._buckets: Remembered[TokenBucket] = Remembered(at_most=_REPLICAS_KEPT)

    def take(self, record: ReplicaRecord, per_s: float) -> float | None:
        """Take one request of the share; return 0, the seconds until there is one, or None.

        Returns:
            0 if it may be sent now; None if this box may send nothing uncounted.
        """
        if record.zone != self._home_zone:
            return None
        limits = uncounted_share(per_s, boxes=self._boxes())
        if limits is None:
            return None
        now = monotonic()
        bucket = self._buckets.get(record.instance)
        if bucket is None:
            bucket = TokenBucket(limits, now=now, level=limits.depth)
        elif bucket.limits != limits:
            bucket.change(limits, now=now)
        self._buckets.record(record.instance, bucket)
        return bucket.take(1.0, now=now)

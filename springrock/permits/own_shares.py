"""Requests this box may send to limited replicas by itself while no placer counts permits."""

from __future__ import annotations

from collections.abc import Callable

from springrock.bounded_dict import BoundedDict
from springrock.clock import monotonic
from springrock.forwarding.directory import ReplicaRecord
from springrock.permits.terms import uncounted_share
from springrock.quotas.bucket import TokenBucket

_MAX_REPLICAS = 1000


class OwnShares:
    """This box's equal share of the named limits of replicas in its own zone.

    Only boxes of a replica's zone send to it uncounted: they are few, and a zone that is cut off
    keeps serving. Boxes of other zones use their own replicas, or their callers are asked to retry.

    Args:
        home_zone: The zone of this box.
        boxes: Returns how many boxes are in that zone; 0 if unknown.
    """

    def __init__(self, *, home_zone: str, boxes: Callable[[], int]) -> None:
        self._home_zone = home_zone
        self._boxes = boxes
        self._buckets: BoundedDict[TokenBucket] = BoundedDict(at_most=_MAX_REPLICAS)

    def take(self, record: ReplicaRecord, per_s: float) -> float | None:
        """Take one request of the share for a replica.

        Args:
            record: The replica.
            per_s: The limit that it named, in requests a second.

        Returns:
            0 if the request may be sent now, else the seconds until one may; None if this box may
            send nothing uncounted.
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

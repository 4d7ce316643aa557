"""The limits on the retries of one box, so that all boxes together stay within the budget."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.budget import RetryLimits

_FIRST_WINDOW_FRACTION = 0.25
"""Part of the usual ratio that a process uses in its first window.

It is what the budget leaves beside the retries that an earlier process of the same box may have
spent in the same window."""


class RetryTerms(NamedTuple):
    """The retry budget of a service, for all boxes together.

    Attributes:
        ratio: Retries allowed for each request of the window.
        allowance: Retries allowed in a window in addition to the ratio.
        window_s: The length of the window in seconds.
        least_boxes: The least number of boxes that the allowance is divided by.
    """

    ratio: float
    allowance: float
    window_s: float
    least_boxes: int


class OwnRetryLimits:
    """Divides the budget among the boxes.

    What a box has spent is counted in the memory of its process. An earlier process may thus have
    spent all that the box may in a window, and a process has no part of the allowance and little of
    the ratio until it is one window old.

    Args:
        terms: Returns the current terms.
        boxes: Returns how many boxes share the allowance, if this box has known it for at least the
            given seconds; else None.
    """

    def __init__(
        self, terms: Callable[[], RetryTerms], *, boxes: Callable[[float], int | None]
    ) -> None:
        self._terms = terms
        self._boxes = boxes
        self._started_at = monotonic()

    def current(self) -> RetryLimits:
        """Return the limits of this box now."""
        terms = self._terms()
        if monotonic() - self._started_at < terms.window_s:
            return RetryLimits(terms.ratio * _FIRST_WINDOW_FRACTION, 0.0, terms.window_s)
        boxes = self._boxes(terms.window_s)
        part = 0.0 if boxes is None else terms.allowance / max(terms.least_boxes, boxes)
        return RetryLimits(terms.ratio, part, terms.window_s)

"""A read on demand that all tasks share which wait for one at the same time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.clock import Deadline


class SharedRead:
    """Reads in a task of its own, one read at a time.

    Args:
        read: Reads once; handles its own errors.
    """

    def __init__(self, read: Callable[[], None]) -> None:
        self._read = read
        self._task: gevent.Greenlet[..., Any] | None = None

    def wait(self, *, timeout_s: float) -> None:
        """Wait for a read that begins after this call, at most for the timeout."""
        deadline = Deadline(timeout_s)
        if self._is_reading:
            self._join(deadline)
        if deadline.passed:
            return
        if not self._is_reading:
            self._task = gevent.spawn(self._read)
        self._join(deadline)

    @property
    def _is_reading(self) -> bool:
        return self._task is not None and not self._task.ready()

    def _join(self, deadline: Deadline) -> None:
        assert self._task is not None
        self._task.join(timeout=max(0.0, deadline.left_s))

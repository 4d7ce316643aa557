"""The platform's list of boxes and upstreams, read for the names of those that are leaving.

The list lags behind the real state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from springrock.errors import PlatformUnavailable
from springrock.log import Condition, Log
from springrock.plugins import Platform


class LeavingList:
    """Polls the list; keeps the last state while the platform cannot be reached.

    Args:
        platform: The platform client.
        poll_s: How often to poll.
        log: The log to write to.
        on_change: Called with the names of all leaving boxes and upstreams when they change.
    """

    def __init__(
        self,
        platform: Platform,
        *,
        poll_s: float,
        log: Log,
        on_change: Callable[[set[str]], None],
    ) -> None:
        self._platform = platform
        self._poll_s = poll_s
        self._log = log
        self._on_change = on_change
        self._read_failure = Condition(
            log, begins="Cannot read the list.", ends="The list is readable again."
        )
        self._task: gevent.Greenlet[..., Any] | None = None
        self.leaving: set[str] = set()

    def start(self) -> None:
        """Start polling in the background."""
        self._task = gevent.spawn(self._poll_loop)

    def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.kill()

    def poll(self) -> None:
        """Read the list once.

        Raises:
            PlatformUnavailable: If the list cannot be read.
        """
        entries = self._platform.listing().entries
        leaving = {entry.name for entry in entries if entry.state == "leaving"}
        if leaving != self.leaving:
            self.leaving = leaving
            self._log.info("The platform's list changed.", leaving=sorted(leaving))
            self._on_change(leaving)

    def _poll_loop(self) -> None:
        while True:
            try:
                self.poll()
                self._read_failure.end()
            except PlatformUnavailable as error:
                self._read_failure.begin(error=str(error))
            gevent.sleep(self._poll_s)

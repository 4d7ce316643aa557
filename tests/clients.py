"""Clients in the background of a test, each a thread that sends until it is told to stop."""

from __future__ import annotations

import threading
from collections.abc import Callable
from functools import partial
from typing import Any, Self

_ENDS_WITHIN_S = 30.0
"""No request of a test may take so long."""


class BackgroundClients:
    """Runs clients for as long as the block lasts that holds them.

    Attributes:
        stop: Set when they are to send nothing more.
    """

    def __init__(self) -> None:
        self.stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def add(self, send: Callable[..., None], *arguments: Any) -> None:
        """Add a client, which is to return soon after `stop` is set."""
        self._threads.append(threading.Thread(target=partial(send, *arguments), daemon=True))

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop.set()
        for thread in self._threads:
            thread.join(timeout=_ENDS_WITHIN_S)
        assert not any(thread.is_alive() for thread in self._threads)

"""Clients that send requests from background threads until the test stops them."""

from __future__ import annotations

import threading
from collections.abc import Callable
from functools import partial
from typing import Any, Self

_STOP_TIMEOUT_S = 30.0
"""Longer than any request of a test may take."""


class BackgroundClients:
    """A context manager that runs clients in threads for the duration of its block.

    Attributes:
        stop: Set when the clients must send no more requests.
    """

    def __init__(self) -> None:
        self.stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def add(self, send: Callable[..., None], *arguments: Any) -> None:
        """Add a client function; it must return soon after `stop` is set."""
        self._threads.append(threading.Thread(target=partial(send, *arguments), daemon=True))

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop.set()
        for thread in self._threads:
            thread.join(timeout=_STOP_TIMEOUT_S)
        assert not any(thread.is_alive() for thread in self._threads)

"""What is remembered by name, of which the longest unheard is forgotten."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

V = TypeVar("V")


class Remembered(OrderedDict[str, V]):
    """Values by name.

    Args:
        at_most: How many names are kept.
    """

    def __init__(self, *, at_most: int) -> None:
        super().__init__()
        self._at_most = at_most

    def record(self, name: str, value: V) -> None:
        """Remember a name as the one heard last."""
        self[name] = value
        self.move_to_end(name)
        if len(self) > self._at_most:
            self.popitem(last=False)

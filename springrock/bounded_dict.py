"""A dictionary of bounded size that drops the entry recorded longest ago."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

V = TypeVar("V")


class BoundedDict(OrderedDict[str, V]):
    """Values by name, with a bound on their number.

    Args:
        at_most: The highest number of names.
    """

    def __init__(self, *, at_most: int) -> None:
        super().__init__()
        self._at_most = at_most

    def record(self, name: str, value: V) -> None:
        """Set the value of a name as the latest entry; drop the oldest one beyond the bound."""
        self[name] = value
        self.move_to_end(name)
        if len(self) > self._at_most:
            self.popitem(last=False)

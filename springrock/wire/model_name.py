"""Model names of callers and engines: ``BASE``, ``BASE:ADAPTER``, ``BASE:ADAPTER@VERSION``."""

from __future__ import annotations

import re
from typing import NamedTuple

_NAME = r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}"
_MODEL_NAME = re.compile(
    rf"^(?P<base>{_NAME})(?::(?P<adapter>{_NAME})(?:@(?P<version>[0-9]{{1,9}}))?)?$"
)


class ModelName(NamedTuple):
    """A parsed model name.

    Attributes:
        base: The base model.
        adapter: The adapter, or empty for the base model alone.
        version: The adapter's version, or 0 for the current one.
    """

    base: str
    adapter: str = ""
    version: int = 0

    @classmethod
    def from_text(cls, text: str) -> ModelName | None:
        """Parse a name, or return None if it does not follow the grammar."""
        match = _MODEL_NAME.match(text)
        if match is None:
            return None
        version = int(match["version"] or 0)
        return cls(match["base"], match["adapter"] or "", version)

    @property
    def adapter_key(self) -> str:
        """``ADAPTER@VERSION``, or empty for the base model alone."""
        return f"{self.adapter}@{self.version}" if self.adapter else ""

    def __str__(self) -> str:
        if not self.adapter:
            return self.base
        if not self.version:
            return f"{self.base}:{self.adapter}"
        return f"{self.base}:{self.adapter}@{self.version}"

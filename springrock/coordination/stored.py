"""Decodes what boxes keep in the platform's table, to which others may write as well."""

from __future__ import annotations

from typing import TypeVar

from springrock.errors import PlatformGarbage
from springrock.strict_json import MalformedJson, decode_json

T = TypeVar("T")


def stored_value(data: bytes, kind: type[T]) -> T:
    """Decode a value of the table.

    Raises:
        PlatformGarbage: If it is not of that type.
    """
    try:
        return decode_json(data, kind)
    except MalformedJson as error:
        raise PlatformGarbage(f"malformed {kind.__name__} in the table: {error}") from None

"""Decodes JSON that another program wrote, so that all that is wrong with it is one error.

The decoder reports malformed JSON and unexpected types as its own errors, but raises
`RecursionError` for deep nesting, also of fields that it skips, and `UnicodeError` for some texts.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""An integer that can be converted to a float and encoded again, which larger ones cannot."""


class MalformedJson(ValueError):
    """The data is not JSON of the expected type."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON.

    Args:
        data: The encoded value.
        kind: Its type; fields that the type does not have are skipped.

    Raises:
        MalformedJson: If it is malformed, nested too deeply, or of another type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        # The decoder's error names the field and the expected type, but quotes no value.
        raise MalformedJson(str(error)) from None

"""Parses JSON with comments, with the line number of every value.

Text that is plain JSON apart from comment lines is parsed by the standard library. The parser of
`springrock.jsonc_grammar` would take a tenth of a box's start-up time, so it is imported only for
other texts and when line numbers are needed.
"""

from __future__ import annotations

import json
import re
from typing import Any

from springrock.errors import SpringrockError

_COMMENT_LINE = re.compile(r"^[ \t]*//[^\n]*", re.MULTILINE)

Path = tuple[str | int, ...]


class JsoncError(SpringrockError):
    """Text that is not valid JSON with comments."""

    def __init__(self, line: int, detail: str) -> None:
        self.line = line
        self.detail = detail
        super().__init__(f"line {line}: {detail}")


class Document:
    """A parsed text.

    Args:
        text: The text.
        data: Plain dicts, lists, strings, numbers, booleans and None.
        lines: The line of each key or list item, by its path; None to find them on first use.
    """

    def __init__(self, text: str, data: Any, lines: dict[Path, int] | None = None) -> None:
        self.data = data
        self._text = text
        self._lines = lines

    def line_of(self, path: Path) -> int:
        """Return the line of a value, or of its nearest ancestor that has one."""
        if self._lines is None:
            from springrock.jsonc_grammar import parse_with_lines

            _, self._lines = parse_with_lines(self._text)
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)


def parse(text: str) -> Document:
    """Parse JSON with comments and trailing commas.

    Raises:
        JsoncError: If the text does not follow the grammar or repeats a key.
    """
    try:
        return Document(text, _parse_plain_json(text))
    except ValueError:
        from springrock.jsonc_grammar import parse_with_lines

        data, lines = parse_with_lines(text)
        return Document(text, data, lines)


def _parse_plain_json(text: str) -> Any:
    """Parse plain JSON with comment lines.

    Raises:
        ValueError: If the text is anything else.
    """
    return json.loads(
        _COMMENT_LINE.sub("", text),
        object_pairs_hook=_unique_keys,
        parse_constant=_refuse_constant,
    )


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    data = dict(pairs)
    if len(data) < len(pairs):
        raise ValueError("duplicate key")
    return data


def _refuse_constant(constant: str) -> Any:
    raise ValueError(f"{constant} is not valid JSON")

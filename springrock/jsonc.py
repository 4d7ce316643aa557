"""JSON with comments, parsed so that every value knows the line it stands on.

A text that is plain JSON but for lines of comments is read by the standard library, as the
grammar's parser would take a tenth of a box's start; it is loaded for all else, and for lines.
"""

from __future__ import annotations

import json
import re
from typing import Any

from springrock.errors import SpringrockError

_LINE_OF_COMMENT = re.compile(r"^[ \t]*//[^\n]*", re.MULTILINE)

Path = tuple[str | int, ...]


class JsoncError(SpringrockError):
    """Text that is not JSON with comments."""

    def __init__(self, line: int, detail: str) -> None:
        self.line = line
        self.detail = detail
        super().__init__(f"line {line}: {detail}")


class Document:
    """A parsed text.

    Args:
        text: The text.
        data: Plain dicts, lists, strings, numbers, booleans and None.
        lines: The line of each key or list item, by its path; None if they were not sought yet.
    """

    def __init__(self, text: str, data: Any, lines: dict[Path, int] | None = None) -> None:
        self.data = data
        self._text = text
        self._lines = lines

    def line_of(self, path: Path) -> int:
        """Return the line of a path, or of its nearest ancestor."""
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
        return Document(text, _plain_json(text))
    except ValueError:
        from springrock.jsonc_grammar import parse_with_lines

        data, lines = parse_with_lines(text)
        return Document(text, data, lines)


def _plain_json(text: str) -> Any:
    """Return the data of plain JSON with lines of comments; raise ValueError for all else."""
    return json.loads(
        _LINE_OF_COMMENT.sub("", text),
        object_pairs_hook=_object_of,
        parse_constant=_refuse_constant,
    )


def _object_of(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a key stands twice")
    return found


def _refuse_constant(constant: str) -> Any:
    raise ValueError(f"{constant} is no JSON")

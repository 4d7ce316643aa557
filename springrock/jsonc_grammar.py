"""The grammar of JSON with comments, and its parser, which records the line of every value.

Imported only when needed, as loading it is slow; see `springrock.jsonc`.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput

from springrock.jsonc import JsoncError, Path

_GRAMMAR = r"""
?value: object | array | STRING -> string | NUMBER -> number
      | "true" -> true | "false" -> false | "null" -> null
array: "[" [value ("," value)* ","?] "]"
object: "{" [pair ("," pair)* ","?] "}"
pair: STRING ":" value
STRING: /"(\\.|[^"\\\x00-\x1f])*"/
NUMBER: /-?(0|[1-9]\d*)(\.\d+)?([eE][+-]?\d+)?/
LINE_COMMENT: /\/\/[^\n]*/
BLOCK_COMMENT: /\/\*(.|\n)*?\*\//
%ignore /[ \t\r\n]+/
%ignore LINE_COMMENT
%ignore BLOCK_COMMENT
"""


class _Pair(NamedTuple):
    key: str
    line: int
    value: Any


class _Object(list[_Pair]):
    pass


class _TreeBuilder(Transformer[Token, Any]):
    def string(self, tokens: list[Token]) -> Any:
        return json.loads(tokens[0])

    def number(self, tokens: list[Token]) -> Any:
        return json.loads(tokens[0])

    def true(self, _: list[Token]) -> bool:
        return True

    def false(self, _: list[Token]) -> bool:
        return False

    def null(self, _: list[Token]) -> None:
        return None

    def array(self, items: list[Any]) -> list[Any]:
        return list(items)

    def pair(self, items: list[Any]) -> _Pair:
        return _Pair(json.loads(items[0]), items[0].line, items[1])

    def object(self, items: list[Any]) -> _Object:
        return _Object(items)


_parser: Lark | None = None


def _get_parser() -> Lark:
    global _parser
    if _parser is None:
        _parser = Lark(_GRAMMAR, start="value", parser="lalr", maybe_placeholders=False)
    return _parser


def _to_plain(node: Any, path: Path, lines: dict[Path, int]) -> Any:
    if isinstance(node, _Object):
        return _to_plain_object(node, path, lines)
    if isinstance(node, list):
        return [_to_plain(item, (*path, index), lines) for index, item in enumerate(node)]
    return node


def _to_plain_object(node: _Object, path: Path, lines: dict[Path, int]) -> dict[str, Any]:
    plain: dict[str, Any] = {}
    for pair in node:
        if pair.key in plain:
            raise JsoncError(pair.line, f"duplicate key {pair.key!r}")
        lines[(*path, pair.key)] = pair.line
        plain[pair.key] = _to_plain(pair.value, (*path, pair.key), lines)
    return plain


def parse_with_lines(text: str) -> tuple[Any, dict[Path, int]]:
    """Return the data of a text, and the line of each key or list item by its path.

    Raises:
        JsoncError: If the text does not follow the grammar or repeats a key.
    """
    try:
        tree = _get_parser().parse(text)
    except UnexpectedInput as error:
        line = max(getattr(error, "line", 1), 1)
        raise JsoncError(line, f"syntax error at: {error.get_context(text).strip()}") from None
    lines: dict[Path, int] = {}
    return _to_plain(_TreeBuilder().transform(tree), (), lines), lines

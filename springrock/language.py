"""The operators' language: its grammar is assembled from the registered statements."""

from __future__ import annotations

from functools import cache

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

from springrock.errors import StatementError
from springrock.statements import Arguments, Statement, statements

_TERMINALS = r"""
ADAPTER: /[A-Za-z0-9][A-Za-z0-9._\/-]*:[A-Za-z0-9][A-Za-z0-9._\/-]*/
LOADED: /[A-Za-z0-9][A-Za-z0-9._\/-]*@[0-9]+/
NAME: /[A-Za-z0-9][A-Za-z0-9._\/-]*/
REPLICA: NAME
BOX: NAME
REQUEST: NAME
WORKLOAD: NAME
VERSION: /[0-9]{1,9}/
COUNT: /[0-9]{1,6}/
SEEN: /[0-9]{1,12}/
PRIORITY: /-?[0-9]{1,3}/
LIMIT: /[0-9]+(\.[0-9]+)?/
SHARE: /[0-9]+(\.[0-9]+)?/
WEIGHT: /[01](\.[0-9]+)?/
PATTERN: /"[^"\n]*"/
%ignore /[ \t\r\n]+/
"""
_MAX_STATEMENT_LENGTH = 10_000


def grammar() -> str:
    """Return the grammar of all statements in lark's notation."""
    rules = [f"{name}: {statement.pattern}" for name, statement in statements]
    return f"start: {' | '.join(statements.names)}\n" + "\n".join(rules) + _TERMINALS


@cache
def _parser(names: tuple[str, ...]) -> Lark:
    # The names serve only as the cache key, so that a new registration yields a new parser.
    return Lark(grammar(), parser="earley", lexer="dynamic")


def parse(text: str) -> tuple[Statement, Arguments]:
    """Parse a statement.

    Raises:
        StatementError: If the text is too long or is not a statement.
    """
    if len(text) > _MAX_STATEMENT_LENGTH:
        raise StatementError(f"a statement has at most {_MAX_STATEMENT_LENGTH} characters")
    try:
        tree = _parser(statements.names).parse(text)
    except UnexpectedInput as error:
        context = error.get_context(text).rstrip() if text.strip() else ""
        raise StatementError(f"not a statement; try: help\n{context}".rstrip()) from None
    rule = tree.children[0]
    assert isinstance(rule, Tree)
    return statements.get(str(rule.data)), _arguments_of(text, rule)


def _arguments_of(text: str, rule: Tree[Token]) -> Arguments:
    lists: dict[str, list[str]] = {}
    for token in rule.scan_values(lambda value: isinstance(value, Token)):
        lists.setdefault(token.type.lower().split("__")[-1], []).append(str(token).strip('"'))
    return Arguments(text, {name: values[0] for name, values in lists.items()}, lists)

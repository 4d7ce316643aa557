"""Statements of the operators' language. Modules here register themselves.

A statement has a pattern in lark's notation and a `run` function. The grammar of the language is
composed of the patterns of all registered statements.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from springrock.hosts import StatementHost
from springrock.kernel import Registry
from springrock.wire.operator import StatementAnswer


class Arguments(NamedTuple):
    """The values in an operator's statement, by the names of the pattern's terminals.

    Attributes:
        text: The full text of the statement.
        values: The first value of each name.
        lists: All values of each name.
    """

    text: str
    values: dict[str, str]
    lists: dict[str, list[str]]

    def get(self, name: str, default: str = "") -> str:
        """Return a value, or the default if the statement has none."""
        return self.values.get(name, default)

    def number(self, name: str, default: float) -> float:
        """Return a value as a number, or the default if the statement has none."""
        return float(self.values[name]) if name in self.values else default

    def integers(self, name: str) -> list[int]:
        """Return all values of a name as integers."""
        return [int(value) for value in self.lists.get(name, [])]


class Requester(NamedTuple):
    """The sender of a statement.

    Attributes:
        name: The operator's name.
        command_id: Identifies the statement across retries.
        wait_s: How long to wait until a change is in force on every box.
    """

    name: str
    command_id: str
    wait_s: float


class Statement(NamedTuple):
    """One statement of the language.

    Attributes:
        pattern: The syntax in lark's notation; `springrock.language` defines the named terminals.
        help: The syntax in one line for operators.
        run: Executes the statement.
    """

    pattern: str
    help: str
    run: Callable[[StatementHost, Arguments, Requester], StatementAnswer]


statements: Registry[Statement] = Registry("statement")

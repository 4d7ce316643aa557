"""Statements of the operators' language. Modules here register themselves.

A statement joins by having a pattern in lark's notation and a `run` method. The grammar of the
language is put together from the patterns of all that registered.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from springrock.hosts import StatementHost
from springrock.kernel import Registry
from springrock.wire.operator import StatementAnswer


class Arguments(NamedTuple):
    """What an operator wrote in one statement, by the names in the pattern.

    Attributes:
        text: The whole statement.
        values: The first value of each name.
        lists: All values of each name.
    """

    text: str
    values: dict[str, str]
    lists: dict[str, list[str]]

    def get(self, name: str, default: str = "") -> str:
        """Return a value, or the default where nothing was written."""
        return self.values.get(name, default)

    def number(self, name: str, default: float) -> float:
        """Return a number, or the default where nothing was written."""
        return float(self.values[name]) if name in self.values else default

    def integers(self, name: str) -> list[int]:
        """Return all values of a name as whole numbers."""
        return [int(value) for value in self.lists.get(name, [])]


class Requester(NamedTuple):
    """Who asks, and under which command id.

    Attributes:
        wait_s: How long to wait for a change to be in force everywhere.
    """

    name: str
    command_id: str
    wait_s: float


class Statement(NamedTuple):
    """One statement of the language.

    Attributes:
        pattern: Its form in lark's notation; the named terminals are in `language`.
        help: One line for operators.
        run: Carries it out.
    """

    pattern: str
    help: str
    run: Callable[[StatementHost, Arguments, Requester], StatementAnswer]


statements: Registry[Statement] = Registry("statement")

"""Rules of imports: no cycles, and plug-ins do not import the box."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAY_IMPORT_THE_BOX = ("springrock.cli", "springrock.emulator")


def modules() -> dict[str, ast.Module]:
    found = {}
    for path in (ROOT / "springrock").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name] = ast.parse(path.read_text())
    return found


def statements_of(tree: ast.Module, *, include_type_checking: bool) -> Iterator[ast.stmt]:
    """Yield the statements that run on import, and on request those only for type checkers."""
    for statement in tree.body:
        is_type_check = isinstance(statement, ast.If) and "TYPE_CHECKING" in ast.dump(
            statement.test
        )
        if not is_type_check:
            yield statement
        elif include_type_checking and isinstance(statement, ast.If):
            yield from statement.body


def imports_of(tree: ast.Module, own_modules: set[str], *, include_type_checking: bool) -> set[str]:
    found = set()
    for statement in statements_of(tree, include_type_checking=include_type_checking):
        if isinstance(statement, ast.ImportFrom) and statement.module:
            inner = {f"{statement.module}.{alias.name}" for alias in statement.names}
            found |= (inner & own_modules) or ({statement.module} & own_modules)
        elif isinstance(statement, ast.Import):
            found |= {alias.name for alias in statement.names} & own_modules
    return found


def test_only_the_command_line_and_the_emulator_import_the_box() -> None:
    trees = modules()
    own_modules = set(trees)
    importers = {
        name
        for name, tree in trees.items()
        if "springrock.box" in imports_of(tree, own_modules, include_type_checking=True)
    }
    assert {name for name in importers if not name.startswith(MAY_IMPORT_THE_BOX)} == set()


def test_no_import_cycles() -> None:
    trees = modules()
    remaining = {
        name: imports_of(tree, set(trees), include_type_checking=False)
        for name, tree in trees.items()
    }
    while remaining:
        importable = {
            name for name, imported in remaining.items() if not imported & remaining.keys()
        }
        assert importable, (
            f"these modules are part of an import cycle or depend on one: {sorted(remaining)}"
        )
        remaining = {
            name: imported for name, imported in remaining.items() if name not in importable
        }

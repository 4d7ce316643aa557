"""Which module may know which: no circles, and plug-ins know no whole box."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAY_KNOW_THE_BOX = ("springrock.cli", "springrock.emulator")


def modules() -> dict[str, ast.Module]:
    found = {}
    for path in (ROOT / "springrock").rglob("*.py"):
        parts = path.relative_to(ROOT).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name] = ast.parse(path.read_text())
    return found


def statements_of(tree: ast.Module, *, for_types_too: bool) -> Iterator[ast.stmt]:
    """Yield what runs when a module is imported, and what only the type checker reads."""
    for statement in tree.body:
        is_type_check = isinstance(statement, ast.If) and "TYPE_CHECKING" in ast.dump(
            statement.test
        )
        if not is_type_check:
            yield statement
        elif for_types_too and isinstance(statement, ast.If):
            yield from statement.body


def imports_of(tree: ast.Module, known: set[str], *, for_types_too: bool) -> set[str]:
    found = set()
    for statement in statements_of(tree, for_types_too=for_types_too):
        if isinstance(statement, ast.ImportFrom) and statement.module:
            inner = {f"{statement.module}.{alias.name}" for alias in statement.names}
            found |= (inner & known) or ({statement.module} & known)
        elif isinstance(statement, ast.Import):
            found |= {alias.name for alias in statement.names} & known
    return found


def test_only_the_command_line_and_the_emulator_know_the_box() -> None:
    trees = modules()
    known = set(trees)
    knowing = {
        name
        for name, tree in trees.items()
        if "springrock.box" in imports_of(tree, known, for_types_too=True)
    }
    assert {name for name in knowing if not name.startswith(MAY_KNOW_THE_BOX)} == set()


def test_no_modules_import_each_other_in_a_circle() -> None:
    trees = modules()
    left = {name: imports_of(tree, set(trees), for_types_too=False) for name, tree in trees.items()}
    while left:
        free = {name for name, needs in left.items() if not needs & left.keys()}
        assert free, f"each of these needs another of them: {sorted(left)}"
        left = {name: needs for name, needs in left.items() if name not in free}

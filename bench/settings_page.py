"""Writes docs/SETTINGS.md from the typed settings.

Run: python -m bench.settings_page
"""

from __future__ import annotations

import inspect
import re
import sys
from pathlib import Path
from typing import Any, get_args

import msgspec

from springrock.entry_settings import EntrySettings
from springrock.settings import BoxSettings, Section

PAGE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
_ATTRIBUTE = re.compile(r"^ {4}(\w+): (.*(?:\n {8}.*)*)", re.MULTILINE)
_HEAD = """# Settings

JSON with comments and trailing commas; unknown keys are refused. Made from the typed settings by
`python -m bench.settings_page`.
"""

_ENTRY_HEAD = """
# Settings of `springrock entry`
"""


def page() -> str:
    """Return the page in Markdown."""
    seen: list[type[Section]] = []
    box = _section(BoxSettings, "", seen)
    return _HEAD + "".join([*box, _ENTRY_HEAD, *_section(EntrySettings, "", seen)])


def _section(kind: type[Section], path: str, seen: list[type[Section]]) -> list[str]:
    seen.append(kind)
    doc = inspect.cleandoc(kind.__doc__ or "")
    meanings = dict(_ATTRIBUTE.findall(doc))
    lines = [f"\n## {path or 'the file'}\n\n{doc.partition(chr(10) * 2)[0]}\n\n"]
    lines.append("| key | kind | default | meaning |\n|---|---|---|---|\n")
    subsections: list[str] = []
    for field in msgspec.structs.fields(kind):
        meaning = " ".join(meanings.get(field.name, "").split())
        lines.append(f"| `{field.name}` | {_kind(field.type)} | {_default(field)} | {meaning} |\n")
        for inner in _sections_of(field.type):
            brackets = "[]" if get_args(field.type) else ""
            if inner not in seen:
                subsections += _section(inner, f"{path}.{field.name}{brackets}".lstrip("."), seen)
    return lines + subsections


def _sections_of(kind: Any) -> list[type[Section]]:
    kinds = [kind, *get_args(kind)]
    return [item for item in kinds if isinstance(item, type) and issubclass(item, Section)]


def _kind(kind: Any) -> str:
    names = {"str": "text", "float": "number", "int": "whole number", "bool": "true or false"}
    name = getattr(kind, "__name__", str(kind))
    if _sections_of(kind):
        return "list of sections" if get_args(kind) else "section"
    return names.get(name, "map of text" if name == "dict" else str(kind))


def _default(field: Any) -> str:
    if field.required:
        return "needed"
    if field.default is not msgspec.NODEFAULT:
        return f"`{field.default!r}`".replace("'", '"')
    return "empty" if field.default_factory in (list, dict) else "its defaults"


if __name__ == "__main__":
    PAGE.write_text(page())
    sys.exit(0)

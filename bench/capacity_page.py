"""Writes the table of measured slopes in docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from bench.meter import Slope

_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_BEGIN = "<!-- slopes begin -->"
_END = "<!-- slopes end -->"


class Row(NamedTuple):
    """One measured slope.

    Attributes:
        what: What was measured.
        points: The points, as text.
        slope: The increase for each unit, as text.
    """

    what: str
    points: str
    slope: str


def make_row(
    what: str, points: list[tuple[float, float]], unit: str, scale: float, form: str
) -> Row:
    """Return the row of measured points.

    Args:
        what: What was measured.
        points: Pairs of the varied quantity and the measured value.
        unit: The unit of the slope, after its scale.
        scale: The factor by which the slope is multiplied.
        form: The format string of a measured value.
    """
    slope = Slope.from_points(points)
    text = ", ".join(f"{x:.0f}: {form.format(y)}" for x, y in points)
    return Row(what, text, f"{slope.per_unit * scale:.3g} {unit}")


def make_table(rows: Iterable[Row]) -> str:
    """Return the table in Markdown."""
    lines = ["| what | points | slope |", "|---|---|---|"]
    lines += [f"| {row.what} | {row.points} | {row.slope} |" for row in rows]
    return "\n".join(lines)


def write_into_page(table: str) -> None:
    """Replace the table in the page; do nothing if there is no page."""
    if not _PAGE.exists():
        return
    head, _, rest = _PAGE.read_text().partition(_BEGIN)
    _, _, tail = rest.partition(_END)
    _PAGE.write_text(f"{head}{_BEGIN}\n\n{table}\n\n{_END}{tail}")

"""Draws the bars of docs/plots/policy.svg from docs/plots/policy.jsonc.

Run: python -m bench.plot
"""

from __future__ import annotations

import sys
from pathlib import Path
from xml.sax.saxutils import escape

from msgspec import Struct, convert

from springrock.jsonc import parse

FOLDER = Path(__file__).parent.parent / "docs" / "plots"

_WIDTH = 900
_LABELS_WIDTH = 430
_BAR_HEIGHT = 12
_GROUP_GAP = 14
_TOP = 46
_COLOURS = ("#33658a", "#f26419")


class Bar(Struct, frozen=True):
    """The values of one bar group, one for each series."""

    label: str
    values: tuple[float, ...]


class Chart(Struct, frozen=True):
    """The data of a bar chart.

    Attributes:
        title: The title, with the unit of the values.
        series: The names of the series.
        most: The value of a bar of full length.
        bars: The bar groups, from top to bottom.
    """

    title: str
    series: tuple[str, ...]
    most: float
    bars: tuple[Bar, ...]


def render_svg(chart: Chart) -> str:
    """Return the chart as an SVG image."""
    group_height = len(chart.series) * _BAR_HEIGHT + _GROUP_GAP
    height = _TOP + len(chart.bars) * group_height
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="8" y="18" font-size="14">{escape(chart.title)}</text>',
    ]
    parts += _legend(chart.series)
    for number, bar in enumerate(chart.bars):
        parts += _group(bar, y=_TOP + number * group_height, most=chart.most)
    return "\n".join([*parts, "</svg>", ""])


def _legend(series: tuple[str, ...]) -> list[str]:
    parts = []
    for number, (name, colour) in enumerate(zip(series, _COLOURS, strict=False)):
        x = _LABELS_WIDTH + number * 160
        parts.append(f'<rect x="{x}" y="26" width="10" height="10" fill="{colour}"/>')
        parts.append(f'<text x="{x + 14}" y="35">{escape(name)}</text>')
    return parts


def _group(bar: Bar, *, y: int, most: float) -> list[str]:
    parts = [f'<text x="8" y="{y + _BAR_HEIGHT + 4}">{escape(bar.label)}</text>']
    for number, (value, colour) in enumerate(zip(bar.values, _COLOURS, strict=False)):
        top = y + number * _BAR_HEIGHT
        width = round(value / most * (_WIDTH - _LABELS_WIDTH - 60))
        parts.append(
            f'<rect x="{_LABELS_WIDTH}" y="{top}" width="{width}" '
            f'height="{_BAR_HEIGHT - 2}" fill="{colour}"/>'
        )
        parts.append(
            f'<text x="{_LABELS_WIDTH + width + 4}" y="{top + 9}" font-size="10">{value:.3f}</text>'
        )
    return parts


def main() -> int:
    """Read the data and write the image."""
    data = parse((FOLDER / "policy.jsonc").read_text()).data
    (FOLDER / "policy.svg").write_text(render_svg(convert(data, Chart)))
    return 0


if __name__ == "__main__":
    sys.exit(main())

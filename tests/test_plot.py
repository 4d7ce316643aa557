"""The plot of docs/POLICY.md is that of its figures."""

from __future__ import annotations

from msgspec import convert

from bench.plot import FOLDER, Chart, svg_of
from springrock.jsonc import parse


def test_the_plot_is_drawn_from_the_figures_as_they_stand() -> None:
    data = parse((FOLDER / "policy.jsonc").read_text()).data
    assert (FOLDER / "policy.svg").read_text() == svg_of(convert(data, Chart))

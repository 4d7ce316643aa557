"""The plot in docs/POLICY.md matches its data."""

from __future__ import annotations

from msgspec import convert

from bench.plot import FOLDER, Chart, render_svg
from springrock.jsonc import parse


def test_the_plot_is_up_to_date_with_its_data() -> None:
    data = parse((FOLDER / "policy.jsonc").read_text()).data
    assert (FOLDER / "policy.svg").read_text() == render_svg(convert(data, Chart))

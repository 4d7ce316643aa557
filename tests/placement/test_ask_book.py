"""The software version that the combined want for an adapter needs."""

from __future__ import annotations

import pytest

from springrock.clock import monotonic
from springrock.placement.ask_book import AskBook
from springrock.placement.messages import Ask


@pytest.mark.parametrize(
    ("asks", "needed"),
    [
        ([(1.0, None)], None),
        ([(1.0, "v1")], "v1"),
        ([(1.0, "v1"), (2.0, "v2")], "v2"),
        ([(1.0, "v1"), (2.0, "v2"), (0.5, None)], None),
    ],
)
def test_a_want_needs_the_version_of_its_most_valuable_ask_if_all_need_one(
    asks: list[tuple[float, str | None]], needed: str | None
) -> None:
    book, now = AskBook(), monotonic()
    for number, (worth, software) in enumerate(asks):
        ask = Ask(number, "r", "m", "a", worth, 1000, software=software)
        book.add("box-1", ask, now=now)
    [want] = book.combined_wants(now)
    assert want.software == needed

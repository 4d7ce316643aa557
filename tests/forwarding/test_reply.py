"""Replies that a box generates."""

from __future__ import annotations

import pytest

from springrock.forwarding.reply import own_reply


@pytest.mark.parametrize(
    ("seconds", "header"),
    [
        (0.0, "0.00"),
        (-1.0, "0.00"),
        (0.0001, "0.01"),
        (0.004, "0.01"),
        (0.5, "0.50"),
        (1.231, "1.24"),
        (0.07, "0.07"),
    ],
)
def test_a_client_is_never_told_to_return_before_its_time(seconds: float, header: str) -> None:
    assert (
        own_reply(503, "limited", retry_after_s=seconds).head.headers.get("Retry-After") == header
    )

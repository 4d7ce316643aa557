"""What a request is known by from try to try."""

from __future__ import annotations

import pytest

from springrock.forwarding.fingerprint import Fingerprint
from tests.forwarding.test_values import make_request

BASE = {"method": "POST", "host": "h.example", "target": "/a/b?c", "body": b"words"}


def fingerprint(**more: object) -> Fingerprint:
    return Fingerprint.from_request(make_request(**{**BASE, **more}))


@pytest.mark.parametrize(
    "of_the_try",
    [
        {"request_id": "another"},
        {"deadline_s": 0.5},
        {"received_at": 9.0},
        {"last_event_id": "12"},
        {"host": "H.example"},
    ],
    ids=str,
)
def test_what_differs_from_try_to_try_is_not_in_it(of_the_try: dict[str, object]) -> None:
    assert fingerprint(**of_the_try) == fingerprint()


@pytest.mark.parametrize(
    "of_another",
    [
        {"method": "PUT"},
        {"host": "other.example"},
        {"target": "/a/b"},
        {"body": b"word"},
        {"key_digest": b"k"},
        {"target": "/a/b?cwords", "body": b""},
        {"method": "POS", "host": "Th.example"},
    ],
    ids=str,
)
def test_another_request_or_caller_has_another(of_another: dict[str, object]) -> None:
    assert fingerprint(**of_another) != fingerprint()


def test_a_log_shows_a_part_of_it() -> None:
    assert fingerprint().startswith(fingerprint().shown)
    assert len(fingerprint().shown) == 12

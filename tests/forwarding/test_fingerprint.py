"""Fingerprints: the same for all tries of a request, different for other requests."""

from __future__ import annotations

import pytest

from springrock.forwarding.fingerprint import Fingerprint
from tests.forwarding.test_values import make_request

BASE = {"method": "POST", "host": "h.example", "target": "/a/b?c", "body": b"words"}


def fingerprint(**overrides: object) -> Fingerprint:
    return Fingerprint.from_request(make_request(**{**BASE, **overrides}))


@pytest.mark.parametrize(
    "difference",
    [
        {"request_id": "another"},
        {"deadline_s": 0.5},
        {"received_at": 9.0},
        {"last_event_id": "12"},
        {"host": "H.example"},
    ],
    ids=str,
)
def test_tries_of_one_request_have_the_same_fingerprint(difference: dict[str, object]) -> None:
    assert fingerprint(**difference) == fingerprint()


@pytest.mark.parametrize(
    "difference",
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
def test_other_requests_and_callers_have_another_fingerprint(difference: dict[str, object]) -> None:
    assert fingerprint(**difference) != fingerprint()


def test_logs_show_the_start_of_the_fingerprint() -> None:
    assert fingerprint().startswith(fingerprint().short)
    assert len(fingerprint().short) == 12

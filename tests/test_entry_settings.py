"""Settings of a box that forwards routed requests: errors name the key."""

from __future__ import annotations

import json
from typing import Any

import pytest

from springrock.entry_settings import EntrySettings
from springrock.errors import SettingsError
from springrock.settings import parse_settings


def settings(**sections: Any) -> str:
    listen = ("clients", "readiness", "boxes", "metrics")
    return json.dumps(
        {
            "box": {"name": "box-1", "availability_zone": "zone-1"},
            "listen": {f"{name}_address": "127.0.0.1:1" for name in listen},
            "store": {"address": "127.0.0.1:2"},
            **sections,
        }
    )


def test_seeds_are_addresses() -> None:
    assert parse_settings(settings(), EntrySettings).start.seeds == ()
    parsed = parse_settings(settings(start={"seeds": ["10.0.0.1:80"]}), EntrySettings)
    assert parsed.start.seeds == ("10.0.0.1:80",)


@pytest.mark.parametrize("seed", ["", "nowhere", "10.0.0.1:", ":80", "10.0.0.1:many"])
def test_a_seed_that_is_no_address_is_rejected_with_its_key(seed: str) -> None:
    with pytest.raises(SettingsError, match=r"start\.seeds"):
        parse_settings(settings(start={"seeds": [seed]}), EntrySettings)

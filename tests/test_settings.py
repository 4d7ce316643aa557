from __future__ import annotations

import json
from typing import Any

import pytest

from springrock.emulator.deployment import Addresses, SettingsWriter, Shape
from springrock.errors import SettingsError
from springrock.settings import BoxSettings, parse_settings, split_address


def valid_settings() -> dict[str, Any]:
    shape = Shape.from_small()
    return SettingsWriter(shape, Addresses.for_shape(shape)).box("zone-1-a")


def problems(data: dict[str, Any]) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        parse_settings(json.dumps(data, indent=1), BoxSettings)
    return [str(problem) for problem in caught.value.problems]


def test_valid_settings_are_converted() -> None:
    settings = parse_settings(json.dumps(valid_settings()), BoxSettings)
    assert settings.box.availability_zone == "zone-1"
    assert settings.lease.lapse_after_s == 10.0


def test_every_error_is_reported_with_its_line_and_key() -> None:
    data = valid_settings()
    data["caller_door"]["adress"] = "x"
    data["caller_door"]["body_limit_bytes"] = "many"
    del data["peers"]["shared_key"]
    data["pools"][0]["replicas"][0]["address"] = "nowhere"
    found = problems(data)
    assert len(found) == 4
    assert any("caller_door.adress: unknown key" in line for line in found)
    assert any("caller_door.body_limit_bytes" in line for line in found)
    assert any("peers: key 'shared_key' is missing" in line for line in found)
    assert any("pools[0].replicas[0].address" in line and "HOST:PORT" in line for line in found)
    assert all(line.startswith("line ") for line in found)


@pytest.mark.parametrize(
    ("section", "key", "value", "expected"),
    [
        ("lease", "lapse_after_s", 4.0, "over twice renew_every_s"),
        ("platform", "request_timeout_s", -1, "must not be negative"),
        ("caller_door", "address", "localhost", "HOST:PORT"),
        ("caller_door", "address", "localhost:99999", "HOST:PORT"),
    ],
)
def test_invalid_values_are_rejected(section: str, key: str, value: Any, expected: str) -> None:
    data = valid_settings()
    data[section][key] = value
    assert any(expected in line for line in problems(data))


def test_a_duplicate_replica_is_rejected() -> None:
    data = valid_settings()
    data["pools"][0]["replicas"].append(data["pools"][0]["replicas"][0])
    assert any("duplicate replica name" in line for line in problems(data))


def test_an_address_is_split() -> None:
    assert split_address("127.0.0.1:80") == ("127.0.0.1", 80)

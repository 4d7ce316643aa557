"""Decoding of the operator's configurations with teams."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from springrock.forwarding.configuration import Configuration, QuotaUnit, Team
from springrock.forwarding.evacuations import Evacuations
from springrock.forwarding.keys import digest_of
from springrock.log import Log
from springrock.platform.records import MalformedRecord, configuration_from
from springrock.platform.tables import OperatorTable
from springrock.rows import Row
from springrock.topology import Topology

TENANT = {
    "name": "hule930",
    "apiKeys": ["asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"],
    "priority": 1,
    "unit": "tokens",
    "plainTokens": 200,
    "ratePerS": 216600,
    "burst": 216600,
}


def row(*tenants: dict[str, Any], version: int = 7) -> Row:
    value = {"version": version, "routes": [], "services": [], "tenants": list(tenants)}
    return Row("config", msgspec.json.encode(value), 1)


def test_a_team_is_decoded_without_keeping_its_keys() -> None:
    configuration = configuration_from(row(TENANT))
    assert configuration.teams == (
        Team(
            name="hule930",
            key_digests=frozenset(digest_of(key) for key in TENANT["apiKeys"]),  # type: ignore[attr-defined]
            priority=1,
            unit=QuotaUnit.TOKENS,
            rate=216600.0,
            burst=216600.0,
            plain_units=200,
        ),
    )
    assert "asnmgkcuyj8pjbvk9m68" not in repr(configuration)


def test_without_tenants_there_are_no_teams() -> None:
    value = msgspec.json.encode({"version": 1, "routes": [], "services": []})
    assert configuration_from(Row("config", value, 1)).teams is None
    assert configuration_from(row()).teams == ()


def test_a_team_without_keys_or_limits_is_accepted() -> None:
    [team] = configuration_from(row({"name": "idle"})).teams or ()
    assert (team.key_digests, team.limited) == (frozenset(), False)


@pytest.mark.parametrize(
    "wrong",
    [
        [{**TENANT, "ratePerS": -1}],
        [{**TENANT, "burst": -1}],
        [{**TENANT, "unit": "bytes"}],
        [{**TENANT, "apiKeys": [b"\x80".hex(), 3]}],
        [TENANT, {**TENANT, "name": "twin"}],
        [{"apiKeys": ["k"]}],
    ],
)
def test_errors_about_malformed_teams_do_not_contain_keys(wrong: list[dict[str, Any]]) -> None:
    with pytest.raises(MalformedRecord) as error:
        configuration_from(row(*wrong))
    assert not any(key in str(error.value) for key in TENANT["apiKeys"])  # type: ignore[attr-defined]


def test_a_malformed_configuration_is_reported_and_not_applied() -> None:
    applied: list[Configuration] = []
    unreadable: list[bool] = []
    table = OperatorTable(
        on_configuration=applied.append,
        on_unreadable=lambda: unreadable.append(True),
        on_version=lambda key, version: None,
        evacuations=Evacuations(Topology(home="zone-1"), log=Log("test", "box")),
        log=Log("test", "box"),
    )
    table.change(row(TENANT))
    table.change(Row("config", b'{"version": 8, "routes": [', 2))
    assert [configuration.version for configuration in applied] == [7]
    assert unreadable == [True]


@pytest.mark.parametrize("tokens, cost", [(None, 200), (1540, 1540), (0, 0)])
def test_a_request_costs_its_tokens_or_the_units_of_a_plain_request(
    tokens: int | None, cost: int
) -> None:
    [team] = configuration_from(row(TENANT)).teams or ()
    assert team.cost(tokens) == cost
    [by_requests] = configuration_from(row({**TENANT, "unit": "requests"})).teams or ()
    assert by_requests.cost(tokens) == 1

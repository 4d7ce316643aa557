"""Rows of other writers that describe nothing: real boxes go on and follow what comes after."""

from __future__ import annotations

import json
from collections.abc import Iterator

import pytest

from springrock.emulator.ports import free_addresses
from springrock.placement import origin_rows, placer_row
from springrock.platform import names
from springrock.quarantine import report
from tests.odd_values import NESTED, NUMBERS, PORTS, with_value
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, Deployment

REPLICA = {
    "service": b'"rosters"',
    "address": b'"127.0.0.1:80"',
    "zone": b'"zone-1"',
    "slots": b"8",
    "state": b'"ready"',
    "models": b"[]",
}
NUMBER_FIELDS = ("slots", "sequence", "born", "coldRemainingMs", "version", "models")
ODD_REPLICAS = [
    *NESTED.values(),
    *(with_value(REPLICA, name, value) for name in ("more", "models") for value in NESTED.values()),
    *(with_value(REPLICA, name, value) for name in NUMBER_FIELDS for value in NUMBERS.values()),
    *(with_value(REPLICA, "address", value) for value in PORTS.values()),
]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(tmp_path_factory.mktemp("odd"), boxes=2) as deployment:
        deployment.configure()
        deployment.wait_ready(replicas=REPLICAS)
        deployment.placer_and_other(deployment.zones[0])
        yield deployment


def followed(deployment: Deployment, name: str) -> None:
    """Wait until every box has read a row that was written after all others, and serves."""
    [address] = free_addresses(1)
    row = {key: json.loads(value) for key, value in REPLICA.items()} | {"address": address}
    before = deployment.metric("box-1", "springrock_forwarding_replicas")
    deployment.write_row(names.REPLICA_TABLE, name, json.dumps(row).encode())
    for box in deployment.clients:
        wait_until(
            lambda box=box: deployment.metric(box, "springrock_forwarding_replicas") > before,
            what=f"{box} reads rows that follow",
        )
    deployment.remove_row(names.REPLICA_TABLE, name)
    for box in deployment.clients:
        deployment.send_until_served(box, "/items/x", adapter="a1")


def assert_no_fault(deployment: Deployment) -> None:
    for box in deployment.clients:
        assert deployment.processes[box].poll() is None, f"{box} has ended"
        assert "Traceback" not in deployment.log(box)


def test_an_odd_row_of_a_replica_harms_nobody(deployment: Deployment) -> None:
    for number, value in enumerate(ODD_REPLICAS):
        deployment.write_row(names.REPLICA_TABLE, f"odd-{number}", value)
    followed(deployment, "last-1")
    assert_no_fault(deployment)


@pytest.mark.parametrize(
    ("table", "key"),
    [
        (placer_row.TABLE, placer_row.key_of("zone-9")),
        (placer_row.TABLE, f"{report.KEY_PREFIX}odd"),
        (origin_rows.TABLE, "zone-1/5"),
        (names.OPERATOR_TABLE, f"{names.VERSION_KEY_PREFIX}{'base'}.odd"),
    ],
    ids=["placer", "crash report", "origins", "adapter version"],
)
@pytest.mark.parametrize("value", NESTED.values(), ids=NESTED)
def test_a_deeply_nested_row_harms_nobody(
    deployment: Deployment, table: str, key: str, value: bytes
) -> None:
    deployment.write_row(table, key, value)
    refused = deployment.send(
        "box-1",
        "/items/x",
        adapter="a1",
        extra_headers={"Resumes": "ffffffffffffffff", "Last-Event-Id": "3"},
    )
    assert refused.status == 503
    followed(deployment, "last-2")
    placers = {zone for zone in deployment.zones if zone in deployment.placers()}
    assert placers == set(deployment.zones)
    assert_no_fault(deployment)

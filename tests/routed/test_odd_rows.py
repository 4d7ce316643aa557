"""Rows of other writers that describe nothing: real boxes go on and follow what comes after."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from springrock.placement import origin_rows, placer_row
from springrock.platform import names
from springrock.quarantine import report
from tests.odd_values import NESTED, NUMBERS, PORTS, with_value
from tests.processes import wait_until
from tests.routed.deployment import REPLICAS, ROUTES, Deployment, route

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


def assert_followed(deployment: Deployment) -> None:
    """Assert that every box reads what is written to each table from now on, and serves."""
    name = f"route-{deployment.version}"
    deployment.configure([*ROUTES, route(name, "safe", "rosters")])
    for box in deployment.clients:
        deployment.send_until_served(box, f"/{name}/x")
        deployment.send_until_served(box, "/items/x", adapter="a1")
        for table in ("replicas", "placers"):
            metric = f'springrock_forwarding_table_version{{table="{table}"}}'
            before = deployment.metric(box, metric)
            wait_until(
                lambda box=box, metric=metric, before=before: (
                    deployment.metric(box, metric) > before
                ),
                what=f"{box} reads later rows of {table}",
            )
    deployment.placer_and_other(deployment.zones[0])
    for box in deployment.clients:
        assert deployment.processes[box].poll() is None, f"{box} has ended"
        assert "Traceback" not in deployment.log(box)


def test_an_odd_row_of_a_replica_harms_nobody(deployment: Deployment) -> None:
    for number, value in enumerate(ODD_REPLICAS):
        deployment.write_row(names.REPLICA_TABLE, f"odd-{number}", value)
    assert_followed(deployment)


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
    assert_followed(deployment)


def test_a_box_that_starts_beside_odd_rows_serves(deployment: Deployment) -> None:
    """Its first reading has all of these rows at once."""
    deployment.processes.kill("box-2")
    deployment.processes.restart("box-2")
    deployment.wait_ready(replicas=REPLICAS)
    assert_followed(deployment)

"""Tests that the stand-in of a replica tells the version of its software."""

from __future__ import annotations

import base64
import contextlib
import json
from pathlib import Path

import pytest
import urllib3

from springrock.emulator.ports import free_addresses
from springrock.emulator.replica_events import read_replica_events
from springrock.platform import names
from tests.processes import Processes, wait_until


@pytest.mark.parametrize("version", [2, "2", ""])
def test_the_version_is_in_the_row_and_in_each_event(tmp_path: Path, version: int | str) -> None:
    store, replica = free_addresses(2)
    settings = {
        "address": replica,
        "service": "s",
        "store_address": store,
        "availability_zone": "zone-1",
        "base_model": "base",
        "needs_instance": False,
        "events": 2,
        "events_path": str(tmp_path / "events"),
        "software_version": json.dumps(version) if version else "",
    }
    processes = Processes(tmp_path)
    try:
        processes.spawn("store", ["standin", "rowstore"], {"address": store})
        processes.spawn("replica", ["standin", "replica"], settings)
        row = wait_until(lambda: row_in(store), what="the replica writes its row")
        body = urllib3.request("POST", f"http://{replica}/x", body=b"").data
    finally:
        processes.stop()
    assert row.get("version", "") == version
    assert type(row.get("version", "")) is type(version)
    by = " by 2" if version else ""
    assert body.decode() == f"id: 1\ndata: token 1{by}\n\nid: 2\ndata: token 2{by}\n\n"
    assert {event.software for event in read_replica_events(tmp_path / "events")} == {str(version)}


def row_in(store: str) -> dict[str, object] | None:
    """Return the only row of the replicas' table; None as long as there is none."""
    url = f"http://{store}/v1/rows-get?table={names.REPLICA_TABLE}&part="
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        for row in urllib3.request("GET", url, retries=False).json()["rows"]:
            decoded: dict[str, object] = json.loads(base64.b64decode(row["value"]))
            return decoded
    return None

"""The client of the platform's store, against the stand-in in a process of its own."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from springrock.emulator.ports import free_addresses
from springrock.eras import era_of, number_of, version_in
from springrock.platform.store import PlatformStore
from springrock.rows import Removed, Row, RowStoreUnavailable
from tests.processes import Processes, wait_until

TABLE = "replicas"


@pytest.fixture
def address(tmp_path: Path) -> Iterator[str]:
    (address,) = free_addresses(1)
    processes = Processes(tmp_path)
    processes.spawn("store", ["standin", "rowstore"], {"address": address})
    try:
        wait_until(lambda: answers(PlatformStore(address)), what="the store answers")
        yield address
    finally:
        processes.stop()


def answers(store: PlatformStore) -> bool:
    try:
        store.read_all(TABLE)
    except RowStoreUnavailable:
        return False
    return True


def remove(address: str, key: str, *, version: int) -> None:
    body = {"remove": [{"table": TABLE, "key": key, "ver": version}]}
    url = f"http://{address}/standin/transaction"
    assert urllib3.request("POST", url, body=json.dumps(body)).status == 200


def test_the_store_tells_changes_in_their_order(address: str) -> None:
    store = PlatformStore(address)
    first = store.write(TABLE, "a", b"1", expected=0)
    remove(address, "a", version=number_of(first))
    second = store.write(TABLE, "a", b"2", expected=0)
    before = version_in(era_of(first), 0)
    changes = store.changes(TABLE, after=before, wait_s=0.0)
    assert changes.changes == [
        Row("a", b"1", first),
        Removed("a", first + 1),
        Row("a", b"2", second),
    ]
    assert changes.version == second

"""The client of the platform's store, against the stand-in in a separate process."""

from __future__ import annotations

import json

import urllib3

from springrock.eras import era_of, number_of, version_in
from springrock.platform.store import PlatformStore
from springrock.rows import Removed, Row
from tests.platform.conftest import TABLE


def remove(address: str, key: str, *, version: int) -> None:
    body = {"remove": [{"table": TABLE, "key": key, "ver": version}]}
    url = f"http://{address}/standin/transaction"
    assert urllib3.request("POST", url, body=json.dumps(body)).status == 200


def test_changes_arrive_in_the_order_of_their_commits(address: str) -> None:
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

"""The client of the platform's store, against the stand-in in a separate process."""

from __future__ import annotations

import json
import socket

import pytest
import urllib3

from springrock.eras import era_of, number_of, version_in
from springrock.platform.store import PlatformStore
from springrock.rows import Removed, Row, RowStoreUnavailable
from tests.forwarding.scripted import ScriptedReplica, read_request
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


def test_an_answer_with_a_malformed_head_is_none() -> None:
    """Guards against a page without the store's era, which its head names."""
    body = b'{"ver": 7, "rows": []}'
    spoilt = b"HTTP/1.1 200 OK\r\nStore-Era\x1a 1\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(spoilt)

    with ScriptedReplica(_script) as replica, pytest.raises(RowStoreUnavailable):
        PlatformStore(replica.address).changes(TABLE, after=0, wait_s=0.0)

"""The client of the platform's store, against the stand-in in a separate process."""

from __future__ import annotations

import base64
import json
import socket

import pytest
import urllib3

from springrock.eras import era_of, number_of, version_in
from springrock.platform.store import PlatformStore
from springrock.rows import Removed, Row, RowStoreUnavailable
from tests.endless import ENDLESS, FLOODS, ending_within, endless, other_tasks_running
from tests.forwarding.scripted import ScriptedReplica, answer, read_request
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


STORE_TIMEOUT_S = 0.8


@pytest.mark.parametrize(("first", "block", "pause_s"), ENDLESS)
def test_an_answer_without_end_is_none_in_time(first: bytes, block: bytes, pause_s: float) -> None:
    with (
        ScriptedReplica(endless(first, block, pause_s)) as replica,
        ending_within(STORE_TIMEOUT_S + 0.5),
        pytest.raises(RowStoreUnavailable),
    ):
        PlatformStore(replica.address).read_all(TABLE)


def test_other_tasks_run_while_a_page_keeps_coming() -> None:
    with (
        ScriptedReplica(endless(*FLOODS["chunks"])) as replica,
        other_tasks_running(),
        pytest.raises(RowStoreUnavailable),
    ):
        PlatformStore(replica.address).read_all(TABLE)


@pytest.mark.parametrize("key", ["\x00" * 196, "k" * 196])
def test_the_largest_page_is_read(key: str) -> None:
    keys = [f"{number:04}{key}" for number in range(500)]
    value = base64.b64encode(bytes(2100)).decode()
    rows = [{"table": TABLE, "key": key, "value": value, "ver": 1} for key in keys]
    body = json.dumps({"ver": 7, "rows": rows}).encode()

    def _script(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(answer("", body, "Store-Era: 1"))

    with ScriptedReplica(_script) as replica:
        assert len(PlatformStore(replica.address).read_all(TABLE).rows) == len(keys)

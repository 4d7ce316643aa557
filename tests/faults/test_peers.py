"""The peer port rejects unauthenticated peers and malformed frames; the box keeps serving."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import cbor2
import pytest
from websockets.exceptions import ConnectionClosed, InvalidStatus
from websockets.sync.client import ClientConnection, connect

from springrock.emulator.deployment import SHARED_KEY, Shape
from springrock.wire import peer as wire
from tests.cluster import Cluster
from tests.processes import wait_until

BOX = "zone-1-a"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder: Path = tmp_path_factory.mktemp("peers")
    with Cluster(folder, Shape.from_small(zones=1, engines=1)) as cluster:
        yield cluster
        assert cluster.complete(BOX, 1).status == 200
        assert cluster.violations() == {}


def dial(cluster: Cluster, key: str = SHARED_KEY) -> ClientConnection:
    return connect(
        f"ws://{cluster.addresses.peers[BOX]}/",
        additional_headers={"Authorization": f"Bearer {key}"},
        compression=None,
        proxy=None,
        legacy=True,
    )


def exchange_hellos(connection: ClientConnection, name: str = "stranger") -> None:
    connection.send(wire.encode(wire.Hello(name, "zone-9", "1234", 0)))
    assert isinstance(wire.decode(connection.recv()), wire.Hello)


def test_a_peer_with_a_wrong_key_is_rejected(cluster: Cluster) -> None:
    with pytest.raises(InvalidStatus):
        dial(cluster, "a wrong key")


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xff\xff",
        cbor2.dumps("text"),
        cbor2.dumps([300, 1, 2]),
        cbor2.dumps([-1, 1, 2]),
        cbor2.dumps([2, "not a number"]),
        cbor2.dumps({"a": 1}),
        cbor2.dumps([1, [[[[]]]]]),
    ],
)
def test_a_malformed_frame_closes_the_link(cluster: Cluster, frame: bytes) -> None:
    connection = dial(cluster)
    exchange_hellos(connection)
    connection.send(frame)
    with pytest.raises(ConnectionClosed):
        while True:
            connection.recv(timeout=10)


def test_a_message_of_an_unknown_kind_is_ignored_and_the_link_stays_open(cluster: Cluster) -> None:
    connection = dial(cluster)
    exchange_hellos(connection)
    for _ in range(2):
        connection.send(cbor2.dumps([99, "a field of a later build"]))
    connection.send(wire.encode(wire.Probe(7)))
    answers: list[wire.PeerMessage] = []

    def _probe_is_answered() -> bool:
        answers.append(wire.decode(connection.recv(timeout=10)))
        return any(isinstance(item, wire.ProbeAnswer) and item.number == 7 for item in answers)

    wait_until(_probe_is_answered, what="the link still answers")
    assert '"kind":99' in cluster.processes.log(BOX)
    connection.close()


def test_an_oversized_frame_closes_the_link(cluster: Cluster) -> None:
    connection = dial(cluster)
    exchange_hellos(connection)
    with pytest.raises(ConnectionClosed):
        connection.send(b"\0" * 2_000_000)
        while True:
            connection.recv(timeout=10)


def test_a_link_that_sends_no_hello_is_closed(cluster: Cluster) -> None:
    connection = dial(cluster)
    with pytest.raises(ConnectionClosed):
        while True:
            connection.recv(timeout=10)


def test_a_permit_of_a_disconnected_peer_expires(cluster: Cluster) -> None:
    """A permit granted to a peer that disconnects is outstanding only until it expires."""
    owner = cluster.owner_of("small-engine-1")
    connection = connect(
        f"ws://{cluster.addresses.peers[owner]}/",
        additional_headers={"Authorization": f"Bearer {SHARED_KEY}"},
        compression=None,
        proxy=None,
        legacy=True,
    )
    exchange_hellos(connection, "leaver")
    ask = wire.Ask(1, "gone-1", "small-engine-1", "", "default", 1.0, 0, 1, 1.0)
    connection.send(wire.encode(ask))
    while not isinstance(wire.decode(connection.recv(timeout=10)), wire.Grant):
        continue
    assert cluster.metric(owner, "springrock_permits_outstanding") == 1
    connection.close()
    wait_until(
        lambda: cluster.metric(owner, "springrock_permits_outstanding") == 0,
        what="the permit expires",
    )

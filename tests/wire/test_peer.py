from __future__ import annotations

from typing import get_args

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.errors import Cause, PeerRejected, Refusal
from springrock.unknown_messages import UnknownKind
from springrock.wire import peer as wire

EXAMPLES: list[wire.PeerMessage] = [
    wire.Hello("suva-1-a", "suva-1", "0123456789abcdef", 7),
    wire.Ask(1, "r-1", "engine-1", "harvest@3", "minutes", 1.0, 0, 64, 20.0),
    wire.Grant(1, 5, "engine-1", "harvest@3", 2, 2.0, 20.0, 0.0, 0.0),
    wire.Deny(1, Refusal(Cause.QUEUE_FULL, "full")),
    wire.Return("engine-1", 5, 2, 64),
    wire.Withdraw(1),
    wire.ReplicaReport("engine-1", "suva-1-a", 2, True, 3, 0, 1, 500, 700, ["a@1"], []),
    wire.FenceNotice(1, "engine-1", 3),
    wire.HeldPermits(1, [wire.HeldPermit(2, 5, "harvest@3", 12.5)]),
    wire.Head(9),
    wire.Probe(1, ["engine-1"]),
    wire.ProbeAnswer(1, 0.5, [3]),
    wire.LoadBid(1, "engine-1", "harvest@3", 2.0),
    wire.LoadTurn(1, 5.0),
    wire.LoadOver("engine-1"),
    wire.FetchChanges(1, 3),
    wire.Changes(1, [b"{}"]),
    wire.RelayCall(1, "session/", b""),
    wire.RelayAnswer(1, b"{}"),
    wire.Demand(["minutes"], [2.5]),
    wire.HandOver("engine-1"),
    wire.StatusQuery(1),
    wire.Status(1, "suva-1-a", "suva-1", 7, True, 0, True, ["engine-1"]),
    wire.StopBox(1, "operator"),
]


def test_every_kind_of_message_has_an_example() -> None:
    assert {type(item) for item in EXAMPLES} == set(get_args(wire.PeerMessage))


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda item: type(item).__name__)
def test_a_message_survives_encoding_and_decoding(message: wire.PeerMessage) -> None:
    assert wire.decode(wire.encode(message)) == message


def test_tags_are_all_different() -> None:
    tags = [msgspec.to_builtins(item)[0] for item in EXAMPLES]
    assert len(set(tags)) == len(tags)


@given(st.binary(max_size=100))
def test_no_frame_breaks_the_decoder(frame: bytes) -> None:
    try:
        wire.decode(frame)
    except (PeerRejected, UnknownKind):
        return


CBOR = st.recursive(
    st.none() | st.booleans() | st.integers(-10, 40) | st.text(max_size=4) | st.binary(max_size=4),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=10,
)


@given(st.integers(0, 30), st.lists(CBOR, max_size=10))
def test_no_array_breaks_the_decoder(tag: int, items: list[object]) -> None:
    try:
        wire.decode(cbor2.dumps([tag, *items]))
    except PeerRejected:
        return
    except UnknownKind:
        assert tag not in {msgspec.to_builtins(item)[0] for item in EXAMPLES}


def test_the_messages_of_a_permit_are_small() -> None:
    """The budget for control messages is 8 KB/s on each node; see docs/CAPACITY.md."""
    sizes = [len(wire.encode(item)) for item in EXAMPLES[1:5] if not isinstance(item, wire.Deny)]
    assert sum(sizes) < 200

"""Frames between placers and boxes: long ones are compressed, malformed ones are rejected."""

from __future__ import annotations

import json
import zlib

import cbor2
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from springrock.errors import PeerRejected
from springrock.forwarding.directory import HeldAdapter
from springrock.permits.messages import (
    PermitAsk,
    PermitStage,
    Permitted,
    PermitUse,
    PermitVerdict,
    ReplicaObservation,
)
from springrock.placement import messages as messages_module
from springrock.placement.messages import (
    Demand,
    EngineHolds,
    Grant,
    Heartbeat,
    OriginQuestion,
    Residents,
    TableNews,
    TableRow,
    decode,
    encode,
)
from springrock.unknown_messages import UnknownKind

ROUTES = [
    {
        "name": f"r-{number:06x}",
        "host": f"team{number % 20}.example",
        "pathPrefix": f"/{number * 7919 % 100_000}/",
        "service": "language",
        "kind": "streaming",
        "timeoutMs": 5000 + number % 40,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
    }
    for number in range(1400)
]


def table_news(value: bytes) -> TableNews:
    return TableNews("op", 7, 9, [TableRow("config", value, 9), TableRow("old", b"", 8, gone=True)])


def test_a_full_configuration_is_compressed_to_a_tenth_and_decoded_unchanged() -> None:
    updates = table_news(json.dumps({"routes": ROUTES}).encode())
    frame = encode(updates)
    assert len(frame) < len(updates.rows[0].value) / 10
    assert decode(frame) == updates


def test_residents_of_eight_engines_are_compressed_to_a_third_and_decoded_unchanged() -> None:
    engines = [
        EngineHolds(
            f"i-{number * 7919 % 100_003:010x}@{1764720000000 + number}",
            [HeldAdapter("model-7", f"a{number * 31 + at * 977}", 1) for at in range(9)],
        )
        for number in range(8)
    ]
    residents = Residents(engines)
    plain = cbor2.dumps(msgspec.to_builtins(residents))
    assert len(encode(residents)) < len(plain) / 3
    assert decode(encode(residents)) == residents


def test_a_short_message_is_not_compressed() -> None:
    grant = Grant(3, "i-1", saves=120)
    assert cbor2.loads(encode(grant)) == [3, 3, "i-1", False, 120]
    assert decode(encode(grant)) == grant


@pytest.mark.parametrize(
    "frame",
    [
        cbor2.dumps(b"not compressed"),
        cbor2.dumps(zlib.compress(b"\xff not CBOR")),
        cbor2.dumps(encode(table_news(bytes(range(256)) * 64))[:200]),
        cbor2.dumps(zlib.compress(cbor2.dumps([3, 3]))),
        b"",
    ],
)
def test_a_malformed_frame_is_rejected_with_a_typed_error(frame: bytes) -> None:
    with pytest.raises(PeerRejected):
        decode(frame)


def test_a_truncated_or_too_long_message_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    frame = encode(table_news(bytes(100_000)))
    compressed_message = cbor2.loads(frame)
    with pytest.raises(PeerRejected, match="truncated message, or one longer"):
        decode(cbor2.dumps(compressed_message[:-8]))
    monkeypatch.setattr(messages_module, "_LARGEST_BYTES", 50_000)
    with pytest.raises(PeerRejected, match="truncated message, or one longer"):
        decode(frame)


def test_messages_about_cold_replicas_are_decoded_unchanged() -> None:
    demand = Demand(
        permits=[PermitAsk(4, "r", "s", "i-1", True, 3)],
        observations=[ReplicaObservation("i-2", True)],
    )
    refused = Permitted.from_verdict(4, PermitVerdict(False, 0.05, 0.25))
    heartbeat = Heartbeat(row_version=1, lease_left_ms=900, room=0, suspected=("i-2",))
    for message in (demand, refused, heartbeat, Grant(5, "i-1", True)):
        assert decode(encode(message)) == message
    assert refused.verdict == PermitVerdict(False, 0.05, 0.25)
    assert Permitted(4, counts=False).verdict is None


def test_a_message_of_an_older_or_a_newer_build_is_understood() -> None:
    demand = Demand(
        stopping=True,
        origin_questions=[OriginQuestion(1, "r", "s")],
        permit_uses=[PermitUse("i-1", "r", PermitStage.REFUSED)],
    )
    fields = cbor2.loads(encode(demand))
    assert decode(cbor2.dumps(fields[:-1])) == Demand(
        stopping=True, origin_questions=[OriginQuestion(1, "r", "s")]
    )
    assert decode(cbor2.dumps([*fields, "what a later build tells"])) == demand


@pytest.mark.parametrize("compressed", [False, True])
def test_a_kind_of_a_later_build_is_unknown_rather_than_malformed(compressed: bool) -> None:
    frame = cbor2.dumps([200, "something", {"new": 1}])
    if compressed:
        frame = cbor2.dumps(zlib.compress(frame))
    with pytest.raises(UnknownKind) as unknown:
        decode(frame)
    assert unknown.value.kind == 200


@pytest.mark.parametrize("kind", [0, -1, 256, 2**40, True, "5", None, 2.0, [], {}])
def test_an_invalid_kind_is_malformed(kind: object) -> None:
    with pytest.raises(PeerRejected):
        decode(cbor2.dumps([kind, 1, 2]))


@given(st.binary(max_size=60))
def test_any_bytes_decode_to_a_message_or_raise_a_typed_error(frame: bytes) -> None:
    try:
        decode(frame)
    except (PeerRejected, UnknownKind):
        pass

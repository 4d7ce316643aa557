"""A sample of every message between boxes, with a distinct value in each field.

It also runs under earlier builds, so it depends on nothing but the types of the messages' fields.
"""

from __future__ import annotations

import json
import sys
import types
from enum import Enum
from itertools import count
from typing import Any, Union, get_args, get_origin, get_type_hints

from msgspec import Struct

from springrock.placement import messages as placement
from springrock.wire import peer

PROTOCOLS: dict[str, Any] = {"placement": placement, "peer": peer}
"""The modules of both link protocols, by the name under which their frames are stored."""


def messages_of(protocol: str) -> tuple[type[Struct], ...]:
    """Return the message classes of a protocol."""
    union = placement.Message if protocol == "placement" else peer.PeerMessage
    kinds: tuple[type[Struct], ...] = get_args(union)
    return kinds


def sample_of(kind: type[Struct]) -> Struct:
    """Return a sample of a message class."""
    sample: Struct = _sample(kind, count(1))
    return sample


def frames_of(protocol: str) -> dict[str, str]:
    """Return the frame of each message of a protocol, in hex, by the message's name."""
    encode = PROTOCOLS[protocol].encode
    return {kind.__name__: encode(sample_of(kind)).hex() for kind in messages_of(protocol)}


def _sample(kind: Any, numbers: count[int]) -> Any:
    origin, inner = get_origin(kind), get_args(kind)
    if origin in (Union, types.UnionType):
        return _sample(next(item for item in inner if item is not type(None)), numbers)
    if origin in (list, tuple, frozenset, set):
        items = [item for item in inner if item is not Ellipsis]
        if origin is tuple and Ellipsis not in inner:
            return tuple(_sample(item, numbers) for item in items)
        return origin([_sample(items[0], numbers)])
    if origin is dict:
        return {_sample(inner[0], numbers): _sample(inner[1], numbers)}
    if issubclass(kind, Enum):
        return list(kind)[-1]
    if issubclass(kind, Struct):
        hints = get_type_hints(kind)
        return kind(*(_sample(hints[name], numbers) for name in kind.__struct_fields__))
    number = next(numbers)
    values: dict[type, Any] = {
        bool: True,
        int: number,
        float: number + 0.5,
        str: f"text-{number}",
        bytes: f"bytes-{number}".encode(),
    }
    return values[kind]


def main() -> None:
    """Print this build's frames, or the errors of those on the input that it cannot decode."""
    if sys.argv[1:] == ["write"]:
        print(json.dumps({name: frames_of(name) for name in PROTOCOLS}, indent=1))
        return
    for protocol, frames in json.load(sys.stdin).items():
        for name, frame in frames.items():
            try:
                PROTOCOLS[protocol].decode(bytes.fromhex(frame))
            except Exception as error:
                print(f"{protocol} {name}: {error!r}")


if __name__ == "__main__":
    main()

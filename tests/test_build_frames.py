"""What an earlier build sends is read by this one, and what this one sends by the earlier one.

The frames of a landing stay as they were written by it. One that fails here tells that a field was
moved, retyped, made necessary or put elsewhere than last: an upgrade box by box would break.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import zlib
from pathlib import Path
from typing import Any

import cbor2
import pytest

from tests.builds import LAST_LANDING, build_at
from tests.samples import PROTOCOLS, frames_of

_TREE = Path(__file__).parent.parent
_KEPT = _TREE / "tests" / "golden" / "frames"
_LANDINGS = sorted(path.stem for path in _KEPT.glob("*.json"))

_WITHIN_S = 60.0


def kept_frames() -> list[tuple[str, str, str]]:
    """Every frame that is kept: the protocol, the message's name and the frame."""
    return [
        (protocol, name, frame)
        for landing in _LANDINGS
        for protocol, frames in json.loads((_KEPT / f"{landing}.json").read_text()).items()
        for name, frame in frames.items()
    ]


def fields_of(frame: bytes) -> Any:
    """The fields of a frame, which may be compressed."""
    fields = cbor2.loads(frame)
    return cbor2.loads(zlib.decompress(fields)) if isinstance(fields, bytes) else fields


def begins_with(fields: Any, earlier: Any) -> bool:
    """Whether fields are those of an earlier build, with nothing but new ones after them."""
    if isinstance(earlier, list) and isinstance(fields, list):
        pairs = zip(fields, earlier, strict=False)
        return len(fields) >= len(earlier) and all(begins_with(*pair) for pair in pairs)
    return bool(fields == earlier)


def run_samples(build: Path, *arguments: str, given: str = "") -> str:
    """Run the samples under a build: its folder comes first where modules are looked for."""
    ran = subprocess.run(
        [sys.executable, "-c", "from tests.samples import main; main()", *arguments],
        cwd=build,
        env={**os.environ, "PYTHONPATH": str(_TREE)},
        input=given,
        capture_output=True,
        text=True,
        timeout=_WITHIN_S,
        check=True,
    )
    return ran.stdout


def test_the_frames_of_the_last_landing_are_kept() -> None:
    assert LAST_LANDING in _LANDINGS


@pytest.mark.parametrize(
    ("protocol", "name", "frame"), kept_frames(), ids=lambda value: str(value)[:20]
)
def test_what_an_earlier_build_sent_is_read_as_it_was_meant(
    protocol: str, name: str, frame: str
) -> None:
    module = PROTOCOLS[protocol]
    message = module.decode(bytes.fromhex(frame))
    assert type(message).__name__ == name
    assert begins_with(fields_of(module.encode(message)), fields_of(bytes.fromhex(frame)))


def test_what_this_build_sends_is_read_by_the_last_landing(tmp_path: Path) -> None:
    build = build_at(LAST_LANDING, tmp_path)
    kept = json.loads((_KEPT / f"{LAST_LANDING}.json").read_text())
    assert json.loads(run_samples(build, "write")) == kept, "it is this build that was asked"
    sent = {
        protocol: {name: frame for name, frame in frames_of(protocol).items() if name in frames}
        for protocol, frames in kept.items()
    }
    assert run_samples(build, given=json.dumps(sent)) == ""


def test_a_field_that_was_moved_is_noticed() -> None:
    assert begins_with([1, [2, 3], 4], [1, [2]])
    assert not begins_with([1, [2], 4], [1, 4, [2]])
    assert not begins_with([1], [1, 2])

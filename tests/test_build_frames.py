"""This build decodes frames of earlier builds, and the previous release decodes those of this one.

The frames of each release are stored unchanged. A failure here means that a field was moved,
has another type, became required or was not added last, which would break a rolling upgrade.
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

from tests.builds import LAST_RELEASE, build_at
from tests.samples import PROTOCOLS, frames_of

_TREE = Path(__file__).parent.parent
_STORED = _TREE / "tests" / "golden" / "frames"
_LANDINGS = sorted(path.stem for path in _STORED.glob("*.json"))

_WITHIN_S = 60.0


def stored_frames() -> list[tuple[str, str, str]]:
    """Every stored frame: the protocol, the message's name and the frame."""
    return [
        (protocol, name, frame)
        for landing in _LANDINGS
        for protocol, frames in json.loads((_STORED / f"{landing}.json").read_text()).items()
        for name, frame in frames.items()
    ]


def fields_of(frame: bytes) -> Any:
    """The fields of a frame, which may be compressed."""
    fields = cbor2.loads(frame)
    return cbor2.loads(zlib.decompress(fields)) if isinstance(fields, bytes) else fields


def begins_with(fields: Any, earlier: Any) -> bool:
    """Whether fields are those of an earlier build, followed only by new ones."""
    if isinstance(earlier, list) and isinstance(fields, list):
        pairs = zip(fields, earlier, strict=False)
        return len(fields) >= len(earlier) and all(begins_with(*pair) for pair in pairs)
    return bool(fields == earlier)


def run_samples(build: Path, *arguments: str, input_text: str = "") -> str:
    """Run `tests.samples` under a build, whose folder is first on the module path."""
    ran = subprocess.run(
        [sys.executable, "-c", "from tests.samples import main; main()", *arguments],
        cwd=build,
        env={**os.environ, "PYTHONPATH": str(_TREE)},
        input=input_text,
        capture_output=True,
        text=True,
        timeout=_WITHIN_S,
        check=True,
    )
    return ran.stdout


def test_the_frames_of_the_last_landing_are_stored() -> None:
    assert LAST_RELEASE in _LANDINGS


@pytest.mark.parametrize(
    ("protocol", "name", "frame"), stored_frames(), ids=lambda value: str(value)[:20]
)
def test_a_frame_of_an_earlier_build_is_decoded(protocol: str, name: str, frame: str) -> None:
    module = PROTOCOLS[protocol]
    message = module.decode(bytes.fromhex(frame))
    assert type(message).__name__ == name
    assert begins_with(fields_of(module.encode(message)), fields_of(bytes.fromhex(frame)))


def test_the_last_landing_decodes_the_frames_of_this_build(tmp_path: Path) -> None:
    build = build_at(LAST_RELEASE, tmp_path)
    stored = json.loads((_STORED / f"{LAST_RELEASE}.json").read_text())
    assert json.loads(run_samples(build, "write")) == stored, "the samples ran under this build"
    sent = {
        protocol: {name: frame for name, frame in frames_of(protocol).items() if name in frames}
        for protocol, frames in stored.items()
    }
    assert run_samples(build, input_text=json.dumps(sent)) == ""


def test_a_moved_field_is_detected() -> None:
    assert begins_with([1, [2, 3], 4], [1, [2]])
    assert not begins_with([1, [2], 4], [1, 4, [2]])
    assert not begins_with([1], [1, 2])

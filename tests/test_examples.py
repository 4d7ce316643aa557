from __future__ import annotations

import subprocess
import sys
from pathlib import Path

EXAMPLES = Path(__file__).parent.parent / "examples"


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, *arguments], capture_output=True, text=True)


def test_the_example_settings_are_valid() -> None:
    checked = run("-m", "springrock", "check", str(EXAMPLES / "box.jsonc"))
    assert checked.returncode == 0, checked.stderr


def test_invalid_settings_are_reported_with_line_and_key(tmp_path: Path) -> None:
    path = tmp_path / "bad.jsonc"
    text = (EXAMPLES / "box.jsonc").read_text().replace('"shared_key"', '"shared_kex"')
    path.write_text(text)
    checked = run("-m", "springrock", "check", str(path))
    assert checked.returncode == 2
    assert "line 15: peers.shared_kex: unknown key" in checked.stderr
    assert "peers: key 'shared_key' is missing" in checked.stderr


def test_the_coordination_parts_can_be_embedded() -> None:
    result = run(str(EXAMPLES / "embed_claims.py"))
    assert result.returncode == 0, result.stderr
    assert result.stdout.splitlines() == [
        "first worker runs the job",
        "second worker leaves it: the request was taken before, by box first worker; "
        "its outcome is not known here",
    ]

"""Tests that a process connects over its own links, whatever library it connects with."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from bench.soak.rerouting import write_links

_SCRIPT = """
from gevent import monkey
monkey.patch_all()
import sys
from pathlib import Path
import http.client, socket, urllib3
import gevent.socket
from bench.soak.rerouting import reroute_connections

reroute_connections(Path(sys.argv[1]))
host, port = sys.argv[2].split(":")
if sys.argv[3] == "socket":
    socket.create_connection((host, int(port)), timeout=5).close()
elif sys.argv[3] == "gevent":
    gevent.socket.create_connection((host, int(port)), timeout=5).close()
elif sys.argv[3] == "connect_ex":
    assert socket.socket().connect_ex((host, int(port))) == 0
elif sys.argv[3] == "urllib3":
    try:
        urllib3.request("GET", f"http://{host}:{port}/", timeout=1, retries=False)
    except urllib3.exceptions.HTTPError:
        pass
"""


@pytest.mark.parametrize("library", ["socket", "gevent", "connect_ex", "urllib3"])
@pytest.mark.parametrize("has_link", [True, False])
def test_a_process_connects_over_its_own_link(tmp_path: Path, library: str, has_link: bool) -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as shared,
        socket.create_server(("127.0.0.1", 0)) as own,
    ):
        shared_address, own_address = ("{}:{}".format(*s.getsockname()) for s in (shared, own))
        settings = tmp_path / "box-1.jsonc"
        if has_link:
            write_links(settings, {shared_address: own_address})
        command = [sys.executable, "-c", _SCRIPT, str(settings), shared_address, library]
        subprocess.run(command, check=True, timeout=60)
        reached, other = (own, shared) if has_link else (shared, own)
        for server in (reached, other):
            server.settimeout(0.0)
        reached.accept()
        with pytest.raises(BlockingIOError):
            other.accept()

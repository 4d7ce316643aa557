"""Links are accepted again after a box had no descriptor left."""

from __future__ import annotations

import json
import subprocess
import sys
import textwrap

PROGRAM = textwrap.dedent(
    """
    from gevent import monkey
    monkey.patch_all()
    import json, os, resource, socket, sys, time
    from websockets.sync.client import connect
    from springrock.log import Journal, Log
    from springrock.placement.link_server import LinkServer

    listener = socket.create_server(("127.0.0.1", 0))
    address = "127.0.0.1:%d" % listener.getsockname()[1]
    listener.close()
    journal = Journal()
    server = LinkServer(
        address, incarnation="1", links_of=lambda zone: None, state_for=lambda hello: None,
        log=Log("link", "test", journal),
    )
    server.start()
    time.sleep(0.1)
    waiting = socket.socket()
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    next_one = os.dup(0)
    os.close(next_one)
    resource.setrlimit(resource.RLIMIT_NOFILE, (next_one, limits[1]))
    waiting.connect(("127.0.0.1", int(address.split(":")[1])))
    time.sleep(0.3)
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    opened = 0
    for options in ({"sock": waiting}, {}):
        try:
            connect(f"ws://{address}", open_timeout=3, **options)
            opened += 1
        except (OSError, TimeoutError):
            pass
    failures = journal.lines_with("error", "[Errno 24] Too many open files")
    print(json.dumps({"opened": opened, "failures": len(failures)}))
    sys.stdout.flush()
    os._exit(0)
    """
)


def test_a_box_accepts_links_again_after_it_had_no_descriptor_left() -> None:
    """Guards against an accept loop that ends for good at its first error."""
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, timeout=30, text=True
    )
    assert result.returncode == 0, result.stderr
    found = json.loads(result.stdout.splitlines()[-1])
    assert found == {"opened": 2, "failures": 1}

"""A peer that keeps sending on a link, or instead of one, stops neither the box nor its caller."""

from __future__ import annotations

import json
import subprocess
import sys
import textwrap

import pytest

OPEN_TIMEOUT_S = 0.6
CLOSE_TIMEOUT_S = 0.1
HELLO_TIMEOUT_S = 2.0
RECEIVING_S = 1.0
SENDING_S = 6.0
MAX_HOLD_S = 0.3
"""A box that answers nothing for this long misses heartbeats."""

COMMON = textwrap.dedent(
    """
    from gevent import monkey
    monkey.patch_all()
    import base64, hashlib, json, os, socket, sys, time
    import gevent
    from springrock.log import Log

    ACCEPTED = (
        b"HTTP/1.1 101 Switching Protocols\\r\\nUpgrade: websocket\\r\\n"
        b"Connection: Upgrade\\r\\nSec-WebSocket-Accept: %s\\r\\n\\r\\n"
    )

    def read_head(connection):
        head = b""
        while b"\\r\\n\\r\\n" not in head:
            head += connection.recv(4096)
        return head

    def accept_link(connection):
        lines = [line.split(b": ") for line in read_head(connection).split(b"\\r\\n")]
        key = next(line[1] for line in lines if line[0].lower() == b"sec-websocket-key")
        magic = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
        connection.sendall(ACCEPTED % base64.b64encode(hashlib.sha1(key + magic).digest()))

    def keep_sending(connection, block, pause_s):
        ends_at = time.monotonic() + {sending_s}
        try:
            while time.monotonic() < ends_at:
                connection.sendall(block)
                if pause_s:
                    time.sleep(pause_s)
        except OSError:
            pass
        os._exit(0)

    gaps = []

    def record_gaps():
        last = time.monotonic()
        while True:
            gevent.sleep(0.001)
            gaps.append(time.monotonic() - last)
            last = time.monotonic()

    def measure(block):
        gevent.spawn(record_gaps)
        gevent.sleep(0.05)
        gaps.clear()
        began_at = time.monotonic()
        error = block()
        took_s = time.monotonic() - began_at
        gevent.sleep(0.01)
        print(json.dumps({{"took_s": took_s, "hold_s": max(gaps), "error": error}}), flush=True)
        os._exit(0)

    mode = sys.argv[1]
    """
).format(sending_s=SENDING_S)

DIALING = COMMON + textwrap.dedent(
    """
    from springrock.placement.dialing import dial
    from springrock.placement.link_server import LINK_FAILURES

    PEERS = {{
        "pings": (b"", b"\\x89\\x00" * 1000, 0),
        "frames": (b"", b"\\x82\\x05hello" * 1000, 0),
        "fragments": (b"\\x02\\x01a", b"\\x00\\x01a" * 1000, 0),
        "frame trickled": (b"\\x82\\x7d", b"a", 0.05),
        "interim heads": (b"", b"HTTP/1.1 100 Continue\\r\\n\\r\\n" * 100, 0),
        "header": (b"HTTP/1.1 101 Switching Protocols\\r\\nName: ", b"x" * 1000, 0),
        "headers": (b"HTTP/1.1 101 Switching Protocols\\r\\n", b"Name: x\\r\\n" * 100, 0),
        "body": (b"HTTP/1.1 200 OK\\r\\n\\r\\n", b"x" * 10_000, 0),
        "head trickled": (b"HTTP/1.1 101 Switching Protocols\\r\\nName: ", b"x", 0.05),
    }}
    LINKED = ("pings", "frames", "fragments", "frame trickled")

    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    if os.fork() == 0:
        connection, _ = listener.accept()
        if mode in LINKED:
            accept_link(connection)
        else:
            read_head(connection)
        first, block, pause_s = PEERS[mode]
        connection.sendall(first)
        keep_sending(connection, block, pause_s)
    listener.close()

    def talk():
        try:
            connection = dial(f"127.0.0.1:{{port}}")
        except LINK_FAILURES as error:
            return repr(error)
        error = ""
        try:
            ends_at = time.monotonic() + {receiving_s}
            while time.monotonic() < ends_at:
                connection.recv(timeout=ends_at - time.monotonic())
        except LINK_FAILURES as failure:
            error = repr(failure)
        connection.close()
        return error

    measure(talk)
    """
).format(receiving_s=RECEIVING_S)

SERVING = COMMON + textwrap.dedent(
    """
    from springrock.placement.link_server import LinkServer

    def masked(opcode, data):
        return bytes([0x80 | opcode, 0x80 | len(data)]) + bytes(4) + data

    REQUEST = (
        b"GET / HTTP/1.1\\r\\nHost: a\\r\\nUpgrade: websocket\\r\\nConnection: Upgrade\\r\\n"
        b"Sec-WebSocket-Version: 13\\r\\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\\r\\n"
    )
    PEERS = {
        "pings": (REQUEST + b"\\r\\n", masked(9, b"") * 1000, 0),
        "frame trickled": (REQUEST + b"\\r\\n\\x82\\xfd" + bytes(4), b"a", 0.05),
        "header": (REQUEST + b"Name: ", b"x" * 1000, 0),
        "headers": (REQUEST, b"Name: x\\r\\n" * 100, 0),
    }

    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    listener.close()
    server = LinkServer(
        f"127.0.0.1:{port}", incarnation="1", links_of=lambda zone: None,
        state_for=lambda hello: None, log=Log("link", "test"),
    )
    server.start()
    reading, writing = os.pipe()
    if os.fork() == 0:
        os.close(reading)
        connection = socket.create_connection(("127.0.0.1", port))
        first, block, pause_s = PEERS[mode]
        connection.sendall(first)
        keep_sending(connection, block, pause_s)
    os.close(writing)

    def wait_for_end():
        # The pipe ends with the process of the peer, whose connection was closed.
        gevent.os.tp_read(reading, 1)
        return ""

    measure(wait_for_end)
    """
)


def run(program: str, mode: str) -> dict[str, float]:
    result = subprocess.run(
        [sys.executable, "-c", program, mode], capture_output=True, timeout=30, text=True
    )
    assert result.returncode == 0, result.stderr
    found: dict[str, float] = json.loads(result.stdout.splitlines()[-1])
    return found


@pytest.mark.parametrize("mode", ["pings", "frames", "fragments", "frame trickled"])
def test_other_tasks_run_while_a_peer_keeps_sending_on_a_link(mode: str) -> None:
    found = run(DIALING, mode)
    assert found["hold_s"] < MAX_HOLD_S, found
    assert found["took_s"] < RECEIVING_S + CLOSE_TIMEOUT_S + 0.5, found


@pytest.mark.parametrize("mode", ["interim heads", "header", "headers", "body", "head trickled"])
def test_a_handshake_without_end_ends_by_its_timeout(mode: str) -> None:
    found = run(DIALING, mode)
    assert found["error"]
    assert found["hold_s"] < MAX_HOLD_S, found
    assert found["took_s"] < 2 * OPEN_TIMEOUT_S + 0.5, found


@pytest.mark.parametrize("mode", ["pings", "frame trickled", "header", "headers"])
def test_a_caller_that_sends_no_hello_is_closed_in_time(mode: str) -> None:
    found = run(SERVING, mode)
    assert found["hold_s"] < MAX_HOLD_S, found
    assert found["took_s"] < HELLO_TIMEOUT_S + 1.0, found

"""Closing a link must not crash the process if the peer keeps sending and ignores the close."""

from __future__ import annotations

import subprocess
import sys
import textwrap

PROGRAM = textwrap.dedent(
    """
    from gevent import monkey
    monkey.patch_all()
    import base64, hashlib, os, socket
    import gevent
    from websockets.sync.client import connect
    {patch}

    def talk(connection):
        try:
            while True:
                connection.sendall(bytes([0x82, 5]) + b"hello")
                gevent.sleep(0.0005)
        except OSError:
            pass

    def serve(listener):
        while True:
            connection, _ = listener.accept()
            head = b""
            while b"\\r\\n\\r\\n" not in head:
                head += connection.recv(4096)
            lines = [line.split(b": ") for line in head.split(b"\\r\\n")]
            key = next(line[1] for line in lines if line[0].lower() == b"sec-websocket-key")
            magic = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
            accept = base64.b64encode(hashlib.sha1(key + magic).digest())
            connection.sendall(
                b"HTTP/1.1 101 Switching Protocols\\r\\nUpgrade: websocket\\r\\n"
                b"Connection: Upgrade\\r\\nSec-WebSocket-Accept: " + accept + b"\\r\\n\\r\\n"
            )
            gevent.spawn(talk, connection)

    listener = socket.create_server(("127.0.0.1", 0))
    gevent.spawn(serve, listener)
    address = listener.getsockname()
    for _ in range(20):
        plain = gevent.socket.create_connection(address)
        plain.settimeout(None)
        connection = connect(
            f"ws://127.0.0.1:{{address[1]}}/", sock=plain, compression=None, proxy=None,
            ping_interval=None, close_timeout=0.05,
        ).__enter__()
        connection.close()
    os._exit(0)
    """
)


def run(patch: str) -> int:
    program = PROGRAM.format(patch=patch)
    result = subprocess.run([sys.executable, "-c", program], capture_output=True, timeout=60)
    return result.returncode


def test_closing_a_link_whose_peer_keeps_sending_does_not_crash_the_process() -> None:
    assert run("import springrock.gevent_websockets") == 0

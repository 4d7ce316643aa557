"""A step of an exchange has one bound in time and bytes, whatever loop reads it."""

from __future__ import annotations

import contextlib
import errno
import socket
import threading
from collections.abc import Iterator

import gevent
import gevent.socket
import pytest

from springrock.bounded_reader import BoundedReader, TooManyBytes
from springrock.clock import Deadline, monotonic

STEP_S = 0.3


@contextlib.contextmanager
def sending(block: bytes, *, pause_s: float) -> Iterator[socket.socket]:
    """Yield a socket whose peer sends a block again and again."""
    reading, writing = socket.socketpair()
    ended = threading.Event()

    def _send() -> None:
        try:
            while not ended.wait(pause_s):
                writing.sendall(block)
        except OSError:
            return

    thread = threading.Thread(target=_send, daemon=True)
    thread.start()
    try:
        yield reading
    finally:
        ended.set()
        with contextlib.suppress(OSError):
            writing.shutdown(socket.SHUT_RDWR)
        thread.join()
        reading.close()
        writing.close()


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_lines_that_keep_coming_do_not_outlast_the_step(pause_s: float) -> None:
    with sending(b"line\n", pause_s=pause_s) as connection:
        reader = BoundedReader(connection)
        began_at = monotonic()
        reader.begin_step(deadline=Deadline(STEP_S), max_bytes=2**40)
        with pytest.raises(TimeoutError):
            while reader.readline():
                continue
        assert STEP_S <= monotonic() - began_at < 2 * STEP_S


def test_a_step_reads_no_more_than_its_bytes() -> None:
    with sending(b"x" * 1000, pause_s=0.0) as connection:
        reader = BoundedReader(connection)
        reader.begin_step(deadline=Deadline(5.0), max_bytes=10_000)
        with pytest.raises(TooManyBytes):
            while reader.read1(100):
                continue
        assert reader.step_bytes == 10_000


def test_the_next_step_reads_what_the_one_before_has_left() -> None:
    with sending(b"x" * 1000, pause_s=0.0) as connection:
        reader = BoundedReader(connection)
        reader.begin_step(deadline=Deadline(5.0), max_bytes=10)
        with pytest.raises(TooManyBytes):
            reader.read(20)
        reader.begin_step(deadline=Deadline(5.0), max_bytes=100)
        assert reader.read(20) == b"x" * 20


def test_no_memory_is_taken_for_a_stated_length_beyond_the_bound() -> None:
    with sending(b"x", pause_s=0.0) as connection:
        reader = BoundedReader(connection)
        reader.begin_step(deadline=Deadline(5.0), max_bytes=1000)
        with pytest.raises(TooManyBytes):
            reader.read(2**50)


def test_nothing_is_read_before_a_step_begins() -> None:
    with sending(b"x", pause_s=0.0) as connection, pytest.raises(TimeoutError):
        BoundedReader(connection).read(1)


def test_a_peer_that_keeps_sending_does_not_keep_other_tasks_from_running() -> None:
    longest_s = 0.0

    def _measure_waits() -> None:
        nonlocal longest_s
        while True:
            began_at = monotonic()
            gevent.sleep(0.001)
            longest_s = max(longest_s, monotonic() - began_at)

    with sending(b"x" * 1_000_000, pause_s=0.0) as connection:
        reader = BoundedReader(gevent.socket.socket(fileno=connection.detach()))
        reader.begin_step(deadline=Deadline(STEP_S), max_bytes=2**40)
        task = gevent.spawn(_measure_waits)
        with pytest.raises(TimeoutError):
            while reader.read(1000):
                continue
        task.kill()
    assert 0.0 < longest_s < STEP_S / 2


def test_timers_run_while_a_peer_keeps_sending() -> None:
    """Guards against turns in which only tasks run that were ready."""
    turns = 0

    def _count_turns() -> None:
        nonlocal turns
        while True:
            gevent.sleep(0.001)
            turns += 1

    with sending(b"1\r\n" * 300_000, pause_s=0.0) as connection:
        reader = BoundedReader(gevent.socket.socket(fileno=connection.detach()))
        reader.begin_step(deadline=Deadline(STEP_S), max_bytes=2**40)
        task = gevent.spawn(_count_turns)
        with pytest.raises(TimeoutError):
            while reader.readline():
                continue
        task.kill()
    assert turns > 10


@pytest.mark.parametrize("number", [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH])
def test_the_error_that_sending_was_told_of_is_raised_where_the_bytes_end(number: int) -> None:
    local, peer = socket.socketpair()
    with local, peer:
        peer.sendall(b"line\nrest")
        peer.close()
        reader = BoundedReader(local)
        reader.record_send_error(OSError(number, "failed"))
        reader.begin_step(deadline=Deadline(1.0), max_bytes=100)
        assert reader.readline() == b"line\n"
        with pytest.raises(OSError, match="failed"):
            reader.read()


@pytest.mark.parametrize("error", [BrokenPipeError(errno.EPIPE, "pipe"), TimeoutError("late")])
def test_an_end_in_order_is_none_although_sending_failed(error: OSError) -> None:
    local, peer = socket.socketpair()
    with local, peer:
        peer.sendall(b"all")
        peer.close()
        reader = BoundedReader(local)
        reader.record_send_error(error)
        reader.begin_step(deadline=Deadline(1.0), max_bytes=100)
        assert reader.read() == b"all"

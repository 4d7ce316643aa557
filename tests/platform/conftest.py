"""Runs the stand-in of the platform's store in a separate process."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from springrock.emulator.ports import free_addresses
from springrock.platform.store import PlatformStore
from springrock.rows import RowStoreUnavailable
from tests.processes import Processes, wait_until

TABLE = "replicas"


@pytest.fixture
def address(tmp_path: Path) -> Iterator[str]:
    (address,) = free_addresses(1)
    processes = Processes(tmp_path)
    processes.spawn("store", ["standin", "rowstore"], {"address": address})
    try:
        wait_until(lambda: answers(PlatformStore(address)), what="the store answers")
        yield address
    finally:
        processes.stop()


def answers(store: PlatformStore) -> bool:
    try:
        store.read_all(TABLE)
    except RowStoreUnavailable:
        return False
    return True

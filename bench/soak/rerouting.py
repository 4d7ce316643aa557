"""Leads a box's connections to replicas over links of its own.

The replicas' records name one address for all boxes. Links from single boxes can be cut as a box
connects to an address of its own instead, whatever library it connects with.
"""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

from springrock.settings import split_address


def links_path(settings_path: Path) -> Path:
    """Return the path of the file that maps replicas' addresses to those of a box's own links."""
    return settings_path.with_suffix(".links.json")


def write_links(settings_path: Path, links: dict[str, str]) -> None:
    """Write the addresses of a box's own links, by the address in the replica's record."""
    links_path(settings_path).write_text(json.dumps(links, indent=1))


def reroute_connections(settings_path: Path) -> None:
    """Make this process connect over its own links, if it has any."""
    path = links_path(settings_path)
    if not path.exists():
        return
    links = {
        split_address(address): split_address(link)
        for address, link in json.loads(path.read_text()).items()
    }
    _patch("connect", links)
    _patch("connect_ex", links)


def _patch(method: str, links: dict[tuple[str, int], tuple[str, int]]) -> None:
    original = getattr(socket.socket, method)

    def _connect(self: Any, address: Any) -> Any:
        is_inet = isinstance(address, tuple) and self.family == socket.AF_INET
        return original(self, links.get(address[:2], address) if is_inet else address)

    setattr(socket.socket, method, _connect)

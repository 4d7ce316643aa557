"""A resolver for gevent that parses numeric addresses directly and looks names up in threads.

By default gevent resolves the address of every new connection in a thread, as looking up a name can
be slow. A numeric address needs no look-up, and the switch to the thread would take longer than
all other work for it.
"""

from __future__ import annotations

import socket
from typing import Any

from gevent import monkey
from gevent.hub import Hub

_getaddrinfo = monkey.get_original("socket", "getaddrinfo")


class Resolver:
    """Implements the resolver interface of gevent's sockets.

    Args:
        hub: The gevent hub, whose thread pool looks up names.
    """

    def __init__(self, hub: Hub) -> None:
        self._hub = hub
        self._thread_resolver: Any = None

    def getaddrinfo(
        self,
        host: str | bytes | None,
        port: str | int | None,
        family: int = 0,
        socktype: int = 0,
        proto: int = 0,
        flags: int = 0,
    ) -> list[Any]:
        """Return the addresses of a host."""
        if isinstance(host, str) and is_numeric(host):
            # A host given as bytes skips the IDNA encoding of names.
            addresses: list[Any] = _getaddrinfo(
                host.encode(), port, family, socktype, proto, flags | socket.AI_NUMERICHOST
            )
            return addresses
        named: list[Any] = self._name_resolver.getaddrinfo(
            host, port, family, socktype, proto, flags
        )
        return named

    def gethostbyname(self, *args: Any, **options: Any) -> Any:
        """Return the address of a host."""
        return self._name_resolver.gethostbyname(*args, **options)

    def gethostbyname_ex(self, *args: Any, **options: Any) -> Any:
        """Return the names and addresses of a host."""
        return self._name_resolver.gethostbyname_ex(*args, **options)

    def gethostbyaddr(self, ip_address: str) -> Any:
        """Return the names of an address."""
        return self._name_resolver.gethostbyaddr(ip_address)

    def getnameinfo(self, sockaddr: Any, flags: int) -> Any:
        """Return the names of an address and of its port."""
        return self._name_resolver.getnameinfo(sockaddr, flags)

    def close(self) -> None:
        """Close the resolver for names."""
        if self._thread_resolver is not None:
            self._thread_resolver.close()

    @property
    def _name_resolver(self) -> Any:
        if self._thread_resolver is None:
            from gevent.resolver.thread import Resolver as ThreadResolver

            self._thread_resolver = ThreadResolver(self._hub)
        return self._thread_resolver


def is_numeric(host: str) -> bool:
    """Whether a host is a numeric address of either family."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except (OSError, ValueError):
        return False
    return True

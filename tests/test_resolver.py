"""Numeric addresses are parsed without a thread; names go to gevent's thread resolver."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from gevent.hub import get_hub

from springrock.resolver import Resolver, is_numeric


class RecordingThreadPool:
    """Replaces the thread pool of gevent's hub; runs each call directly and records it."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def apply(self, function: Any, args: Any = (), kwargs: Any = None) -> Any:
        self.calls.append(tuple(args))
        return function(*args, **(kwargs or {}))


class HubWithoutThreads:
    """Fakes the parts of gevent's hub that a resolver uses."""

    def __init__(self) -> None:
        self.threadpool = RecordingThreadPool()
        self.NOT_ERROR = get_hub().NOT_ERROR


@pytest.fixture
def hub() -> HubWithoutThreads:
    return HubWithoutThreads()


@pytest.fixture
def resolver(hub: HubWithoutThreads) -> Resolver:
    return Resolver(hub)  # type: ignore[arg-type]


@pytest.mark.parametrize("host", ["127.0.0.1", "10.1.2.3", "::1"])
def test_a_numeric_address_is_parsed_without_a_thread(
    host: str, hub: HubWithoutThreads, resolver: Resolver
) -> None:
    found = resolver.getaddrinfo(host, 80, 0, socket.SOCK_STREAM)
    assert found == socket.getaddrinfo(host, 80, 0, socket.SOCK_STREAM)
    assert hub.threadpool.calls == []


def test_a_name_is_looked_up_in_a_thread(hub: HubWithoutThreads, resolver: Resolver) -> None:
    found = resolver.getaddrinfo("localhost", 80, 0, socket.SOCK_STREAM)
    assert found
    assert [call[0] for call in hub.threadpool.calls] == ["localhost"]


def test_an_address_of_another_family_fails(resolver: Resolver) -> None:
    with pytest.raises(socket.gaierror):
        resolver.getaddrinfo("127.0.0.1", 80, socket.AF_INET6)


def test_other_look_ups_go_to_the_thread_resolver(
    hub: HubWithoutThreads, resolver: Resolver
) -> None:
    assert resolver.gethostbyname("127.0.0.1") == "127.0.0.1"
    assert hub.threadpool.calls == [("127.0.0.1",)]


def test_an_unused_resolver_can_be_closed(resolver: Resolver) -> None:
    resolver.close()


@pytest.mark.parametrize("host", ["", "localhost", "1.2.3", "box-1", "1.2.3.4.5", "::g", "a\0"])
def test_names_are_not_numeric(host: str) -> None:
    assert not is_numeric(host)

"""The links of boxes to a placer: replaced links, handover targets and the messages sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import cbor2
import gevent
from gevent.event import Event
from gevent.queue import Queue

from springrock.log import Log
from springrock.placement.link_server import BoxLinks, Outbox
from springrock.placement.messages import (
    Ask,
    Demand,
    Forecast,
    Grant,
    Hello,
    Message,
    encode,
)
from springrock.placement.succession import HandoverTarget

SILENCE = b""
"""Stands for the timeout after which a silent box is dropped."""


class Connection:
    """A connection that receives the frames a test queues; closing it ends the reader."""

    def __init__(self) -> None:
        self.frames: Queue[bytes | None] = Queue()
        self.closed = Event()
        self.sent: list[bytes] = []

    def recv(self, timeout: float) -> bytes:
        frame = self.frames.get(timeout=10)
        if frame is None:
            raise EOFError("closed")
        if frame == SILENCE:
            raise TimeoutError("timed out")
        return frame

    def send(self, frame: bytes) -> None:
        self.sent.append(frame)

    def close(self) -> None:
        self.closed.set()
        self.frames.put(None)


class Host:
    """A host that records the demands and departures of boxes."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def first_messages(self) -> list[Message]:
        return []

    def apply_demand(self, box: str, demand: Demand) -> None:
        self.events.append((box, [ask.number for ask in demand.asks]))

    def record_silent(self, box: str) -> None:
        self.events.append(f"silent {box}")

    def forget_box(self, box: str) -> None:
        self.events.append(f"forget {box}")


def demand_frame(number: int) -> bytes:
    return encode(Demand(asks=[Ask(number, "r", "m", "a", 1.0, 500)]))


def wait_for_events(host: Host, count: int) -> list[Any]:
    with gevent.Timeout(10):
        while len(host.events) < count:
            gevent.sleep(0.01)
    return host.events


def test_a_new_link_of_a_box_replaces_its_older_link_and_demand() -> None:
    host, older, newer = Host(), Connection(), Connection()
    links = BoxLinks(host, log=Log("link", "test"))
    hello = Hello("box-1", "1", "zone-1", "zone-1")
    gevent.spawn(links.serve, hello, older)
    older.frames.put(demand_frame(1))
    assert wait_for_events(host, 1) == [("box-1", [1])]
    gevent.spawn(links.serve, hello, newer)
    gevent.sleep(0)
    older.frames.put(demand_frame(2))
    newer.frames.put(demand_frame(1))
    assert wait_for_events(host, 3) == [("box-1", [1]), "forget box-1", ("box-1", [1])]
    assert older.closed.wait(timeout=10)
    assert links.count == 1
    newer.close()
    assert wait_for_events(host, 4)[-1] == "forget box-1"
    assert links.count == 0


def test_only_a_box_that_fell_silent_may_still_run_requests() -> None:
    """Guards against unloads under the requests of a paused box."""
    host, silent, ended = Host(), Connection(), Connection()
    links = BoxLinks(host, log=Log("link", "test"))
    silent.frames.put(SILENCE)
    links.serve(Hello("box-1", "1", "zone-1", "zone-1"), silent)
    ended.close()
    links.serve(Hello("box-2", "1", "zone-1", "zone-1"), ended)
    assert host.events == ["silent box-1", "forget box-1", "forget box-2"]


def test_frames_are_counted_by_the_zone_of_the_receiving_box() -> None:
    sent: dict[str, float] = {}

    def count_sent_to(zone: str) -> Callable[[float], None]:
        return lambda size: sent.update({zone: sent.get(zone, 0.0) + size})

    host = Host()
    links = BoxLinks(host, log=Log("link", "test"), count_sent_to=count_sent_to)
    connections = {zone: Connection() for zone in ("zone-1", "zone-2")}
    for zone, connection in connections.items():
        gevent.spawn(links.serve, Hello(f"box-{zone}", "1", "zone-1", zone), connection)
    with gevent.Timeout(10):
        while links.count < 2:
            gevent.sleep(0.01)
    assert links.home_zone("box-zone-2") == "zone-2"
    assert links.home_zone("box-9") is None
    grant = Grant(1, "i-1")
    links.broadcast(grant)
    links.notify("box-zone-2", grant)
    with gevent.Timeout(10):
        while sum(sent.values()) < 3 * len(encode(grant)):
            gevent.sleep(0.01)
    assert sent == {"zone-1": len(encode(grant)), "zone-2": 2 * len(encode(grant))}
    for connection in connections.values():
        connection.close()


def test_messages_can_be_sent_to_the_boxes_of_one_region_only() -> None:
    host = Host()
    links = BoxLinks(host, log=Log("link", "test"), is_far=lambda zone: zone == "far")
    connections = {zone: Connection() for zone in ("near", "far")}
    for zone, connection in connections.items():
        gevent.spawn(links.serve, Hello(f"box-{zone}", "1", "zone-1", zone), connection)
    with gevent.Timeout(10):
        while links.count < 2:
            gevent.sleep(0.01)
    links.send_to_zones(Grant(1, "i-1"), far=False)
    links.send_to_zones(Grant(2, "i-1"), far=True)
    with gevent.Timeout(10):
        while not all(connection.sent for connection in connections.values()):
            gevent.sleep(0.01)
    assert connections["near"].sent == [encode(Grant(1, "i-1"))]
    assert connections["far"].sent == [encode(Grant(2, "i-1"))]
    for connection in connections.values():
        connection.close()


def test_the_handover_target_is_the_strongest_box_of_the_zone_and_flush_sends_all() -> None:
    links = BoxLinks(Host(), log=Log("link", "test"))
    hellos = [
        Hello("earlier", "1", "zone-1", "zone-1", 9.0),
        Hello("away", "1", "zone-1", "zone-2", 9.0, "127.0.0.1:1", "a"),
        Hello("weak", "1", "zone-1", "zone-1", 0.5, "127.0.0.1:2", "b"),
        Hello("strong", "1", "zone-1", "zone-1", 2.0, "127.0.0.1:3", "c"),
    ]
    connections = {hello.box: Connection() for hello in hellos}
    for hello in hellos:
        gevent.spawn(links.serve, hello, connections[hello.box])
    with gevent.Timeout(10):
        while links.count < len(hellos):
            gevent.sleep(0.01)
    assert links.handover_target("zone-1") == HandoverTarget("strong", "c", "127.0.0.1:3")
    for box in ("strong", "weak"):
        connections[box].frames.put(encode(Demand(stopping=True)))
    with gevent.Timeout(10):
        while links.handover_target("zone-1") != HandoverTarget("away", "a", "127.0.0.1:1"):
            gevent.sleep(0.01)
    links.broadcast(Grant(1, "i-1"))
    links.flush(within_s=10.0)
    assert all(connection.sent for connection in connections.values())
    for connection in connections.values():
        connection.close()


def test_an_outbox_keeps_every_grant_and_the_newest_forecast_of_each_adapter() -> None:
    outbox = Outbox()
    messages: list[Message] = [
        Forecast("m", "a", 300),
        Grant(1, "i-1"),
        Forecast("m", "a", 200),
        Forecast("m", "b", 100),
        Grant(2, "i-1"),
    ]
    for message in messages:
        outbox.put(message, encode(message))
    assert outbox.drain() == [encode(messages[at]) for at in (2, 1, 3, 4)]
    assert outbox.drain() == []


def test_a_message_of_an_unknown_kind_is_counted_and_the_link_stays_open() -> None:
    counted: list[int] = []
    host, connection = Host(), Connection()
    links = BoxLinks(host, log=Log("link", "test"), count_unknown=counted.append)
    gevent.spawn(links.serve, Hello("box-1", "1", "zone-1", "zone-1"), connection)
    for _ in range(2):
        connection.frames.put(cbor2.dumps([200, "a message of a later build"]))
    connection.frames.put(demand_frame(1))
    assert wait_for_events(host, 1) == [("box-1", [1])]
    assert counted == [200, 200]
    assert links.count == 1
    connection.frames.put(cbor2.dumps([2, "not a list of asks"]))
    assert wait_for_events(host, 2)[-1] == "forget box-1", "a malformed frame cuts the link"
    connection.close()

"""How a box handles the messages of a zone's placer and, as the placer, those of other boxes."""

from __future__ import annotations

import msgspec

from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, ReplicaRecord
from springrock.forwarding.software_history import SoftwareHistory
from springrock.forwarding.stream_origins import OriginBook
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.messages import LimitReport, NamedLimit
from springrock.permits.terms import SlowStartTerms
from springrock.placement.box_count import BoxCount
from springrock.placement.messages import Demand, Heartbeat, TableNews, TableRow, decode, encode
from springrock.placement.origin_exchange import OriginExchange
from springrock.placement.origin_rows import OriginRows
from springrock.placement.peer_boxes import PeerBoxes
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.residency import Residency, Versions
from springrock.placement.settings import PlacementSettings
from springrock.placement.wait_estimate import WaitEstimate
from springrock.placement.zone import ZonePlacement
from springrock.placement.zone_dependencies import ZoneDependencies
from springrock.quotas.shares import QuotaTerms
from springrock.store_clock import StoreClock
from springrock.topology import Distance
from tests.factories import make_brittle, make_limits, make_routing_state, make_warmup
from tests.placement.test_lease import Store
from tests.placement.test_origin_rows import RowsStore
from tests.placement.test_placer import SlowEngine

RECORD = ReplicaRecord(instance="i-1", service="s", address="127.0.0.1:1", zone="zone-2")


def make_zone(
    directory: Directory,
    updates: list[TableNews] | None = None,
    box_count: BoxCount | None = None,
) -> ZonePlacement:
    versions = Versions()
    dependencies = ZoneDependencies(
        incarnation="1",
        store=Store(),
        board=PlacerBoard(age_s=lambda: 0.0),
        configuration=Configuration,
        directory=directory,
        versions=versions,
        routing_state=make_routing_state,
        residency=Residency(directory, versions),
        control=SlowEngine("m"),
        quota_terms=lambda: QuotaTerms(8.0, 0.1, 0.0, 1),
        slow_start_terms=lambda: SlowStartTerms(1.0, 0.0),
        warmup=make_warmup(),
        limits=make_limits(),
        brittle=make_brittle(directory),
        box_count=box_count or BoxCount(3),
        peer_boxes=PeerBoxes("127.0.0.1:1", distance=lambda zone: Distance.OWN_REGION),
        cut_off=lambda: False,
        origins=OriginExchange(
            own=OriginBook(),
            of_others=OriginBook(),
            rows=OriginRows(
                RowsStore(), book=OriginBook(), clock=StoreClock(), log=Log("origins", "box-1")
            ),
            history=SoftwareHistory(age_s=lambda: 0.0),
            links=dict,
            board=PlacerBoard(age_s=lambda: 0.0),
            clock=StoreClock(),
        ),
        on_table_news=lambda zone, reported: None if updates is None else updates.append(reported),
        on_placer_contact=lambda: None,
        on_placer_lost=lambda zone: None,
        on_copy_worthwhile=lambda zone, key, saves: None,
        log_of=lambda part: Log(part, "box-1"),
        metrics=ForwardingMetrics(),
    )
    settings = PlacementSettings("box-1", "zone-1", "127.0.0.1:0", 3.0, True, 1.0, 2.0)
    return ZonePlacement("zone-2", settings, dependencies)


def test_a_heartbeat_updates_the_zone_and_its_leaving_replicas() -> None:
    directory = Directory(Log("directory", "box-1"))
    directory.update(RECORD)
    box_count = BoxCount(3)
    zone = make_zone(directory, box_count=box_count)
    heartbeat = Heartbeat(
        row_version=3,
        lease_left_ms=900,
        room=4,
        boxes=7,
        spread=("m/hot",),
        leaving=("i-1", "i-2"),
        pressure=130,
        wait_ms=40,
    )
    zone.handle(decode(encode(heartbeat)))
    assert (zone.room, box_count.most, zone.spread) == (4, 7, frozenset({"m/hot"}))
    assert zone.wait_estimate == WaitEstimate(pressure=1.3, wait_s=0.04)
    assert directory.leaving() == ("i-1",)
    directory.update(msgspec.structs.replace(RECORD, instance="i-2"))
    assert directory.leaving() == ("i-1", "i-2")


def test_the_placer_s_reading_of_a_table_is_passed_on_unchanged() -> None:
    updates: list[TableNews] = []
    zone = make_zone(Directory(Log("directory", "box-1")), updates)
    rows = [TableRow("config", b"\x00{}", 8), TableRow("i-1", b"", 9, gone=True)]
    reported = TableNews("op", 7, 9, rows)
    zone.handle(decode(encode(reported)))
    assert updates == [reported]


def test_the_placer_passes_leaving_replicas_of_a_box_on_to_all_boxes() -> None:
    directory = Directory(Log("directory", "box-1"))
    directory.update(RECORD)
    zone = make_zone(directory)
    zone.apply_demand("box-2", Demand(leaving=["i-1", "i-unknown"]))
    assert directory.leaving() == ("i-1",)
    assert [item.leaving for item in zone.first_messages() if isinstance(item, Heartbeat)] == [
        ("i-1",)
    ]


def test_the_placer_passes_on_to_all_boxes_how_brittle_a_replica_is() -> None:
    directory = Directory(Log("directory", "box-1"))
    directory.update(RECORD)
    zone = make_zone(directory)
    zone.apply_demand("box-2", Demand(brittle=[LimitReport("i-1", 8.0), LimitReport("i-9", 8.0)]))
    assert [item.brittle for item in zone.first_messages() if isinstance(item, Heartbeat)] == [
        (NamedLimit("i-1", 8.0),)
    ]

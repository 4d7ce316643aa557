"""The objects that the zones of one box share."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory
from springrock.forwarding.eligibility import RoutingState
from springrock.forwarding.message import AdapterKey
from springrock.log import Log
from springrock.metrics import ForwardingMetrics
from springrock.permits.brittle import BrittleReplicas
from springrock.permits.named_limits import NamedLimits
from springrock.permits.terms import SlowStartTerms
from springrock.permits.warmup import WarmupTracker
from springrock.placement.box_count import BoxCount
from springrock.placement.control import EngineControl
from springrock.placement.handover_messages import Handover
from springrock.placement.messages import TableNews
from springrock.placement.origin_exchange import OriginExchange
from springrock.placement.peer_boxes import PeerBoxes
from springrock.placement.placer_board import PlacerBoard
from springrock.placement.residency import Residency, Versions
from springrock.quotas.shares import QuotaTerms
from springrock.rows import RowStore


class ZoneDependencies(NamedTuple):
    """The objects and callbacks that the zones of one box share.

    Attributes:
        incarnation: The id of this process.
        store: The store with the placers' rows.
        board: The last known placer rows.
        configuration: Returns the configuration in force.
        directory: The known replicas.
        versions: The newest versions of adapters.
        routing_state: Returns the topology, the evacuated zones, and the cold and limited replicas.
        residency: Which replicas hold which adapters.
        control: The client of the engines' control interface.
        quota_terms: Returns the rules for applying the quotas of teams.
        slow_start_terms: Returns the rules for the bound on requests to cold replicas.
        warmup: Which replicas are cold.
        limits: The limits that replicas have named.
        brittle: Which replicas are brittle.
        box_count: Records how many boxes the placers report.
        peer_boxes: Records the boxes that reach replicas, as placers report them.
        cut_off: Returns whether this box reaches no replica.
        origins: The origins of streams that boxes keep for each other.
        on_table_news: Called with a zone and a reading of the store's tables by its placer.
        on_placer_contact: Called after each heartbeat of a zone's placer.
        on_placer_lost: Called with a zone when this box has lost its placer.
        on_copy_worthwhile: Called with a zone, an adapter that it holds, and the hundredths of a
            load that a copy near this box would save.
        log_of: Returns the log of a component, by name.
        metrics: The metrics to count in.
        on_handover: Called with an evacuated zone and the adapters that its placer hands over.
    """

    incarnation: str
    store: RowStore
    board: PlacerBoard
    configuration: Callable[[], Configuration]
    directory: Directory
    versions: Versions
    routing_state: Callable[[], RoutingState]
    residency: Residency
    control: EngineControl
    quota_terms: Callable[[], QuotaTerms]
    slow_start_terms: Callable[[], SlowStartTerms]
    warmup: WarmupTracker
    limits: NamedLimits
    brittle: BrittleReplicas
    box_count: BoxCount
    peer_boxes: PeerBoxes
    cut_off: Callable[[], bool]
    origins: OriginExchange
    on_table_news: Callable[[str, TableNews], None]
    on_placer_contact: Callable[[], None]
    on_placer_lost: Callable[[str], None]
    on_copy_worthwhile: Callable[[str, AdapterKey, int], None]
    log_of: Callable[[str], Log]
    metrics: ForwardingMetrics
    on_handover: Callable[[str, Handover], None] = lambda zone, handover: None

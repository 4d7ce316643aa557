"""Prometheus metrics of a box: names include units, label values come from closed sets."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from springrock.topology import Distance

_SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.94, 2, 5, 10, 30, 60)

_MAX_TEAM_LABELS = 100
"""Limit for the values of the team label, so that the metrics page does not grow with the number
of customers."""

_OTHER_TEAMS_LABEL = "(others)"


class BytesKind(StrEnum):
    """The kinds of traffic to other zones."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    LINKS = "links"
    """Messages between boxes and placers."""


def ignore_count(number: float) -> None:
    """Ignore a number, such as that of bytes that stay in the own zone."""


class Metrics:
    """The metrics of a box that runs `springrock serve`, in a registry of their own."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        self.requests = Counter(
            "springrock_requests", "Requests by how they ended.", ["run_state"], registry=registry
        )
        self.refusals = Counter(
            "springrock_refusals", "Refusals and failures by cause.", ["cause"], registry=registry
        )
        self.open_requests = Gauge(
            "springrock_open_requests", "Requests now in this box.", registry=registry
        )
        self.chunks = Counter(
            "springrock_relayed_chunks", "Streamed chunks relayed.", registry=registry
        )
        self.stall_seconds = Histogram(
            "springrock_load_stall_seconds",
            "Time that a request waited because its adapter was not loaded.",
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self.first_token_seconds = Histogram(
            "springrock_first_token_seconds",
            "Time from arrival to the first token.",
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self.loads = Counter(
            "springrock_adapter_loads", "Adapter loads ordered.", ["result"], registry=registry
        )
        self.unloads = Counter("springrock_adapter_unloads", "Unloads ordered.", registry=registry)
        self.permits = Counter(
            "springrock_permits", "Permits asked of this box.", ["result"], registry=registry
        )
        self.permits_outstanding = Gauge(
            "springrock_permits_outstanding", "Permits granted and not returned.", registry=registry
        )
        self.owned_replicas = Gauge(
            "springrock_owned_replicas", "Replicas that this box owns.", registry=registry
        )
        self.revision = Gauge(
            "springrock_configuration_revision",
            "The revision in force here.",
            registry=registry,
        )
        self.peer_links = Gauge("springrock_peer_links", "Open peer links.", registry=registry)
        self.peer_bytes = Counter(
            "springrock_peer_bytes", "Bytes of peer messages.", ["direction"], registry=registry
        )
        self.peer_messages = Counter(
            "springrock_peer_messages", "Peer messages.", ["direction"], registry=registry
        )
        self.table_requests = Counter(
            "springrock_table_requests",
            "Requests to the platform's table.",
            ["kind", "result"],
            registry=registry,
        )
        self.count_unknown_message = _unknown_message_counter(registry)
        self.lease_held = Gauge(
            "springrock_lease_held", "1 while this box may act as an owner.", registry=registry
        )

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)


def _unknown_message_counter(registry: CollectorRegistry) -> Callable[[int], None]:
    """Return a function that counts messages of kinds unknown to this build, by the kind."""
    counter = Counter(
        "springrock_unknown_messages",
        "Messages of other boxes of a kind that this build does not know, by kind.",
        ["kind"],
        registry=registry,
    )
    return lambda kind: counter.labels(str(kind)).inc()


class ForwardingMetrics:
    """The metrics of a box that forwards routed requests, in a registry of their own."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        self.requests = Counter(
            "springrock_forwarded_requests",
            "Requests by status, or by this box's own reason for its ending.",
            ["outcome"],
            registry=registry,
        )
        self.request_seconds = Histogram(
            "springrock_forwarded_request_seconds",
            "Time from a request's head to the end of its answer.",
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self.attempts = Counter(
            "springrock_forwarding_attempts",
            "Attempts at replicas, by how they ended.",
            ["outcome"],
            registry=registry,
        )
        self.open_requests = Gauge(
            "springrock_forwarding_open_requests",
            "Requests now in this box.",
            registry=registry,
        )
        self.configuration = Gauge(
            "springrock_forwarding_configuration_version",
            "The configuration in force here.",
            registry=registry,
        )
        self.replicas = Gauge(
            "springrock_forwarding_replicas", "Replicas that may get work.", registry=registry
        )
        self.intake_bytes = Gauge(
            "springrock_intake_bytes",
            "Bytes of requests that all connections of clients hold together.",
            registry=registry,
        )
        self.intake_connections = Gauge(
            "springrock_intake_connections", "Open connections of clients.", registry=registry
        )
        self.intake_evicted = Counter(
            "springrock_intake_evicted",
            "Connections that were ended as all together held too much.",
            registry=registry,
        )
        self.intake_refused = Counter(
            "springrock_intake_refused",
            "New connections that were closed unread, as none of the others could be evicted.",
            registry=registry,
        )
        self.malformed_replica_rows = Counter(
            "springrock_forwarding_replica_rows_passed_over",
            "Rows in the replicas' table that name no replica to use, by cause.",
            ["cause"],
            registry=registry,
        )
        self.count_unknown_message = _unknown_message_counter(registry)
        self.replica_notices = Counter(
            "springrock_forwarding_replica_notices",
            "What replicas told of themselves in their answers and this box had not known.",
            ["notice"],
            registry=registry,
        )
        self.stream_origins = Counter(
            "springrock_forwarding_stream_origins",
            "Streams that clients took up, by where the version that began them was found.",
            ["source"],
            registry=registry,
        )
        self.table_age_seconds = Gauge(
            "springrock_forwarding_table_age_seconds",
            "Seconds since a table of the store was last read.",
            ["table"],
            registry=registry,
        )
        self.table_version = Gauge(
            "springrock_forwarding_table_version",
            "The version of the store up to which a table is known.",
            ["table"],
            registry=registry,
        )
        self.store_era = Gauge(
            "springrock_store_era",
            "How often the store has come back from a copy, as its last answer said.",
            registry=registry,
        )
        self.loop_late_seconds = Histogram(
            "springrock_loop_late_seconds",
            "By how much this process's loop was late, looked at twice a second.",
            buckets=(0.005, 0.025, 0.1, 0.25, 0.5, 1.0, 2.5),
            registry=registry,
        )
        self.orders = Counter(
            "springrock_placement_orders",
            "Orders given to engines.",
            ["kind", "answer"],
            registry=registry,
        )
        self.store_calls = Counter(
            "springrock_store_calls",
            "Calls to the store, by what was asked and whether it answered.",
            ["call", "table", "answer"],
            registry=registry,
        )
        self.grant_seconds = Histogram(
            "springrock_placement_grant_seconds",
            "Time from a request's ask to its grant, at the zone's placer.",
            ["zone"],
            buckets=_SECONDS_BUCKETS,
            registry=registry,
        )
        self._charges = Counter(
            "springrock_quota_charges",
            "Requests to be charged to teams, at the placer that counts, by its answer.",
            ["team", "answer"],
            registry=registry,
        )
        self._permits = Counter(
            "springrock_slow_start_permits",
            "Requests to be sent to cold or limited replicas, at the placer that counts.",
            ["answer"],
            registry=registry,
        )
        self.permits_unanswered = Counter(
            "springrock_slow_start_permits_unheard",
            "Asks for permits that no placer answered.",
            registry=registry,
        )
        self.cold_replicas = Gauge(
            "springrock_slow_start_cold_replicas",
            "Replicas that this box does not know to be warm.",
            registry=registry,
        )
        self.limited_replicas = Gauge(
            "springrock_limited_replicas",
            "Replicas that take but so many requests a second from all boxes together.",
            registry=registry,
        )
        self.brittle_replicas = Gauge(
            "springrock_brittle_replicas",
            "Replicas that fall over if they turn too many requests away in a second.",
            registry=registry,
        )
        self._teams: set[str] = set()
        self.quarantined = Gauge(
            "springrock_quarantine_requests",
            "Requests, or parts of prompts, that no replica is sent, as replicas crash under them.",
            registry=registry,
        )
        self.placer = Gauge(
            "springrock_placement_placer",
            "1 while this box gives orders to a zone's engines.",
            ["zone"],
            registry=registry,
        )
        self.boxes = Gauge(
            "springrock_placement_boxes",
            "The most boxes that one placer had linked.",
            registry=registry,
        )
        self.cut_off = Gauge(
            "springrock_forwarding_cut_off",
            "1 while this box reaches few replicas of each service, or of each with engines.",
            registry=registry,
        )
        self.retries = Counter(
            "springrock_forwarding_retries",
            "Retries that the budget of a service allowed or refused.",
            ["service", "outcome"],
            registry=registry,
        )
        self.retry_allowance = Gauge(
            "springrock_forwarding_retry_allowance",
            "This box's part of the allowance of retries; 0 until it knows how many share it.",
            registry=registry,
        )
        self.zone_evacuated = Gauge(
            "springrock_evacuation_zone",
            "1 while a zone is evacuated, as this box knows.",
            ["zone"],
            registry=registry,
        )
        self.zone_evacuated_seconds = Gauge(
            "springrock_evacuation_seconds",
            "Seconds since this box learnt that a zone is evacuated; 0 if it is not.",
            ["zone"],
            registry=registry,
        )
        self.evacuated_running = Gauge(
            "springrock_evacuation_running_requests",
            "Requests of this box that run in an evacuated zone.",
            ["zone"],
            registry=registry,
        )
        self.adapters_to_prefetch = Gauge(
            "springrock_evacuation_adapters_to_come",
            "Adapters of evacuated zones that this box, as a zone's placer, is yet to bring.",
            ["zone"],
            registry=registry,
        )
        self.dropped_lines = Gauge(
            "springrock_log_dropped_lines",
            "Log lines dropped for want of room.",
            registry=registry,
        )
        bytes_away = Counter(
            "springrock_bytes_away",
            "Bytes of requests, answers and links that left the zone: to the region or beyond.",
            ["kind", "distance"],
            registry=registry,
        )
        self._bytes_away = {
            (kind, distance): bytes_away.labels(kind.value, distance.name.lower()).inc
            for kind in BytesKind
            for distance in (Distance.OWN_REGION, Distance.OTHER_REGION)
        }

    def cross_zone_byte_counter(
        self, kind: BytesKind, distance: Distance
    ) -> Callable[[float], None]:
        """Return a function that counts bytes of a kind sent over a distance.

        Code that counts often should keep the function instead of asking for it each time.
        """
        return self._bytes_away.get((kind, distance), ignore_count)

    def count_charge(self, team: str, accepted: bool) -> None:
        """Count a charge to a team; teams beyond the label limit share one label."""
        if team not in self._teams:
            if len(self._teams) >= _MAX_TEAM_LABELS:
                team = _OTHER_TEAMS_LABEL
            self._teams.add(team)
        self._charges.labels(team, "taken" if accepted else "no_room").inc()

    def count_permit(self, granted: bool) -> None:
        """Count the answer to a request for a permit."""
        self._permits.labels("granted" if granted else "no_room").inc()

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

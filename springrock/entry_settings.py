"""Typed settings of a box that forwards routed requests; key names include their units."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from springrock.forwarding.answer_limits import DEFAULT_LIMITS, AnswerLimits
from springrock.forwarding.distance_cost import DistanceCosts, DistancePrices
from springrock.forwarding.evacuations import DEFAULT_WITHIN_S
from springrock.forwarding.keys import KeyTerms
from springrock.permits.terms import SlowStartTerms
from springrock.quarantine.terms import QuarantineTerms
from springrock.settings import IntakeSection, Section
from springrock.topology import Topology


class IdentitySection(Section, frozen=True, kw_only=True):
    """The identity and location of this box.

    Attributes:
        name: The name of the box, unique in the deployment.
        availability_zone: The availability zone that the box runs in.
        zones: All availability zones of the deployment. Each counts an equal share of the teams'
            quotas, so all boxes must have the same list. Without it, teams with a quota are not
            served.
        regions: The region of each availability zone. Without it, all zones are in one region.
    """

    name: str
    availability_zone: str
    zones: tuple[str, ...] = ()
    regions: dict[str, str] = field(default_factory=dict)

    @property
    def topology(self) -> Topology:
        """The zones and regions as seen from this box."""
        return Topology(home=self.availability_zone, zones=self.zones, regions=self.regions)


class ListenSection(Section, frozen=True, kw_only=True):
    """The addresses that the box listens on.

    Attributes:
        clients_address: For requests of clients.
        readiness_address: For the readiness checks of the balancer.
        boxes_address: For links from other boxes.
        metrics_address: For Prometheus.
    """

    clients_address: str
    readiness_address: str
    boxes_address: str
    metrics_address: str


class ProcessorSection(Section, frozen=True, kw_only=True):
    """The processor capacity of this box; boxes with more capacity are preferred as placers.

    Attributes:
        share: The share of a core that the box gets.
        speed: The speed of that core, relative to a reference core.
    """

    share: float = 1.0
    speed: float = 1.0

    @property
    def strength(self) -> float:
        """The processor capacity, in reference cores."""
        return self.share * self.speed


class StoreSection(Section, frozen=True, kw_only=True):
    """The platform's metadata store."""

    address: str


class RetrySection(Section, frozen=True, kw_only=True):
    """The retry budget, shared by all boxes.

    Attributes:
        ratio: Retries allowed per request.
        allowance: Additional retries allowed per window, for all boxes together.
        window_s: The length of the window.
        boxes: The least number of boxes that the allowance is divided by. If this box knows of
            more boxes, it is divided by their number.
    """

    ratio: float = 0.2
    allowance: float = 50.0
    window_s: float = 10.0
    boxes: int = 12


class PlacementSection(Section, frozen=True, kw_only=True):
    """The placement of adapters.

    Attributes:
        lease_s: How long the placer's lease lasts without a renewal.
        checks_fence: Whether engines refuse orders under an older fence.
        ceiling_ratio: The highest rate of base model loads, as a multiple of the configured rate.
    """

    lease_s: float = 3.0
    checks_fence: bool = True
    ceiling_ratio: float = 1.1


class DistanceSection(Section, frozen=True, kw_only=True):
    """The cost of traffic between zones and regions, in any common unit.

    Adapters are loaded or copied near their callers where that costs less than the traffic of
    their requests.

    Attributes:
        zone_mb: Price of a megabyte between two zones of a region.
        region_mb: Price of a megabyte between two regions.
        adapter_load: Price of loading an adapter from the weight store.
        region_round_trip_s: The round-trip time to another region.
    """

    zone_mb: float = 1.0
    region_mb: float = 2.0
    adapter_load: float = 0.03
    region_round_trip_s: float = 0.02

    @property
    def prices(self) -> DistancePrices:
        """The prices of traffic and of adapter loads."""
        return DistancePrices(self.zone_mb, self.region_mb, self.adapter_load)

    @property
    def costs(self) -> DistanceCosts:
        """The costs of distance for the choice of a replica."""
        return DistanceCosts.from_prices(self.prices, region_round_trip_s=self.region_round_trip_s)


class KeySection(Section, frozen=True, kw_only=True):
    """How long the keys of teams are trusted, where the configuration has teams.

    Attributes:
        revoke_s: For how long a revoked key may still be served after its revocation was
            acknowledged.
        fail_closed: Whether a box refuses keys while it cannot check whether they were revoked.
    """

    revoke_s: float = 5.0
    fail_closed: bool = True

    @property
    def terms(self) -> KeyTerms:
        """How long keys are trusted."""
        return KeyTerms(self.revoke_s, self.fail_closed)


class QuotaSection(Section, frozen=True, kw_only=True):
    """How far teams may exceed their quotas, over all boxes together.

    Attributes:
        window_s: The length of the window in which a team's use is measured.
        overage: The fraction by which a team may exceed its rate and burst.
        slack: Requests or tokens by which it may exceed them in addition.
    """

    window_s: float = 8.0
    overage: float = 0.0
    slack: float = 0.0


class SlowStartSection(Section, frozen=True, kw_only=True):
    """How strictly requests to cold replicas are limited, over all boxes together.

    Attributes:
        overage: The highest rate that a cold replica may receive, as a multiple of the configured
            rate.
        slack: Requests that it may receive per second in addition.
    """

    overage: float = 1.0
    slack: float = 0.0

    @property
    def terms(self) -> SlowStartTerms:
        """The limit and its tolerance."""
        return SlowStartTerms(self.overage, self.slack)


class EvacuationSection(Section, frozen=True, kw_only=True):
    """The evacuation of zones.

    Attributes:
        within_s: For how long the replicas of a zone may still receive requests after its
            evacuation was acknowledged.
    """

    within_s: float = DEFAULT_WITHIN_S


class QuarantineSection(Section, frozen=True, kw_only=True):
    """The quarantine of requests that crash the replicas that run them.

    Attributes:
        crashes: The number of crashed replicas after which a request is no longer sent to any.
        for_s: For how long a crash counts against a request.
    """

    crashes: Annotated[int, Meta(ge=1)] = QuarantineTerms().crashes
    for_s: Annotated[float, Meta(gt=0.0)] = QuarantineTerms().for_s

    @property
    def terms(self) -> QuarantineTerms:
        """The terms on which a request is quarantined."""
        return QuarantineTerms(self.crashes, self.for_s)


class AnswerSection(Section, frozen=True, kw_only=True):
    """How much of each answer of a replica the box keeps in memory.

    Attributes:
        kept_bytes: A plain answer up to this length is read whole before it is sent on, so that the
            request may run elsewhere if it breaks off. The rest of a longer one is sent on as the
            client accepts it.
        event_bytes: The length of the longest event of a stream; one that is longer breaks the
            stream off.
    """

    kept_bytes: Annotated[int, Meta(ge=0)] = DEFAULT_LIMITS.kept_bytes
    event_bytes: Annotated[int, Meta(ge=1)] = DEFAULT_LIMITS.event_bytes

    @property
    def limits(self) -> AnswerLimits:
        """The limits of what is kept."""
        return AnswerLimits(self.kept_bytes, self.event_bytes)


class StartSection(Section, frozen=True, kw_only=True):
    """What a box that starts knows of the deployment.

    Attributes:
        seeds: Addresses at which other boxes may listen for boxes, to fetch their state from while
            the store does not answer. They may be out of date.
        first: Whether the whole deployment starts for the first time, so that no box has served
            before. False for every later start of a box.
    """

    seeds: tuple[Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]+$")], ...] = ()
    first: bool = False


class StopSection(Section, frozen=True, kw_only=True):
    """A planned stop.

    Attributes:
        within_s: The time after the stop signal at which the platform kills the process.
        notice_s: For how long clients are still accepted, so that the balancer can see that the
            box is not ready.
    """

    within_s: float = 8.0
    notice_s: float = 2.5


class EntrySettings(Section, frozen=True, kw_only=True):
    """The settings of a box that forwards routed requests."""

    box: IdentitySection
    listen: ListenSection
    store: StoreSection
    processor: ProcessorSection = field(default_factory=ProcessorSection)
    retries: RetrySection = field(default_factory=RetrySection)
    placement: PlacementSection = field(default_factory=PlacementSection)
    distance: DistanceSection = field(default_factory=DistanceSection)
    keys: KeySection = field(default_factory=KeySection)
    quotas: QuotaSection = field(default_factory=QuotaSection)
    slow_start: SlowStartSection = field(default_factory=SlowStartSection)
    evacuation: EvacuationSection = field(default_factory=EvacuationSection)
    quarantine: QuarantineSection = field(default_factory=QuarantineSection)
    answers: AnswerSection = field(default_factory=AnswerSection)
    intake: IntakeSection = field(default_factory=IntakeSection)
    start: StartSection = field(default_factory=StartSection)
    stop: StopSection = field(default_factory=StopSection)

"""Which replica a request is tried at next, and whether it may be tried at all."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from springrock.clock import monotonic
from springrock.forwarding.adapters import AdapterRequest, Adapters, Use, UseOutcome, WaitTerms
from springrock.forwarding.balancing import Balancer
from springrock.forwarding.budget import RetryBudget
from springrock.forwarding.configuration import Configuration
from springrock.forwarding.directory import Directory, Replica
from springrock.forwarding.distance_cost import RequestSize
from springrock.forwarding.eligibility import METERED, Obstacle
from springrock.forwarding.errors import NoReplica, Quarantined, Rejection
from springrock.forwarding.fingerprint import Fingerprint
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.request_progress import RequestProgress
from springrock.permits.choice import AsksPermits, Pick, pick
from springrock.permits.terms import LEAST_PERMIT_S

MIN_SEND_TIME_S = 0.02
"""With less time left a request is not sent any more."""

RETRY_AFTER_S = 0.5
_NO_PLACER_RETRY_S = 1.0
"""When to come back if no placer is heard: by then a link is made anew."""

_MAX_REPLICAS_REACHED = 3
_HIGHEST_PRIORITY_WORTH = 4.0


_MAX_RETRY_WAIT_FRACTION = 1 / 3
"""Of the time that is left to it, a client waits at most this part before it comes back."""

_SHORT_DEADLINE_RATIO = 0.93

_MAX_PLACER_ASKS = 3
"""So often a placer is asked whose grant has been overtaken by a replica's own word."""

_RETRY_AFTER_JITTER_S = 0.5
"""Over so long clients come back that were turned away for a rest: else all are there as it ends,
and the replica turns them away again."""

_REPORTED_BY_REPLICAS = (Obstacle.LEAVING, Obstacle.BACKING_OFF)

_ZONE_OBSTACLES = (Obstacle.OUTSIDE_REGIONS, Obstacle.EVACUATED)
"""Where these stand in the way of every replica no placer can help."""


class _LongestDeadlines:
    """The longest deadline seen on each route: a client that has less has tried before."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def record(self, progress: RequestProgress) -> None:
        """Learn from a request."""
        deadline_s = progress.request.deadline_s or 0.0
        name = progress.route.name
        self._longest[name] = max(self._longest.get(name, 0.0), deadline_s)

    def is_shortened(self, progress: RequestProgress) -> bool:
        """Whether a request has less time than others of its route have at first."""
        deadline_s = progress.request.deadline_s
        longest_s = self._longest.get(progress.route.name, 0.0)
        return deadline_s is not None and deadline_s < longest_s * _SHORT_DEADLINE_RATIO


class Chosen(NamedTuple):
    """A replica that a request is to be sent to.

    Attributes:
        use: The use of its adapter, to be ended by who sends the request; None without an adapter.
        permit_until: Until when, on the local monotonic clock, it may be sent there even if the
            replica is cold or limited; None if there is no permit.
    """

    replica: Replica
    use: Use | None
    permit_until: float | None = None

    @property
    def permitted(self) -> bool:
        """Whether it may be sent there now even if the replica is cold or limited."""
        return self.permit_until is not None and monotonic() < self.permit_until


class Quarantine(Protocol):
    """Knows which requests crash the replicas that run them."""

    def quarantined_for_s(self, fingerprint: Fingerprint) -> float | None:
        """Return for how long a request is sent to no replica; None if it may be sent."""

    def may_be_retried(self, fingerprint: Fingerprint) -> bool:
        """Whether a request that may have run may run again in the same try."""


class _NoQuarantine:
    """Implements `Quarantine` where nobody looks at crashes."""

    def quarantined_for_s(self, fingerprint: Fingerprint) -> float | None:
        return None

    def may_be_retried(self, fingerprint: Fingerprint) -> bool:
        return True


NO_QUARANTINE = _NoQuarantine()


class ReplicaChooser:
    """Chooses replicas for requests, within the rules of retries.

    Args:
        configuration: Returns the configuration in force.
        directory: The known replicas.
        balancer: Chooses among them.
        adapters: Where adapters stand.
        budget_of: Returns the retry budget of a service.
        permits: Asks whether requests may be sent to cold or limited replicas.
        check_key: Raises if a request's key is not to be served any more.
        quarantine: Knows which requests crash replicas.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        directory: Directory,
        balancer: Balancer,
        adapters: Adapters,
        budget_of: Callable[[str], RetryBudget],
        permits: AsksPermits,
        check_key: Callable[[RequestProgress], None] = lambda progress: None,
        quarantine: Quarantine = NO_QUARANTINE,
    ) -> None:
        self._check_key = check_key
        self._quarantine = quarantine
        self._configuration = configuration
        self._directory = directory
        self._balancer = balancer
        self._adapters = adapters
        self._budget_of = budget_of
        self._permits = permits
        self._deadlines = _LongestDeadlines()
        self._random = random.Random()

    def record_request(self, progress: RequestProgress) -> None:
        """Count a new request."""
        self._budget_of(progress.service).record_request()
        self._deadlines.record(progress)

    def is_client_retry(self, progress: RequestProgress) -> bool:
        """Whether a request's client has tried before, as its deadline tells."""
        return self._deadlines.is_shortened(progress)

    def next_replica(self, progress: RequestProgress, *, until: float) -> Chosen:
        """Return the replica to try next, after a wait for its adapter if need be.

        Args:
            progress: The request and what was tried for it.
            until: How long a wait makes sense, on the local monotonic clock.

        Raises:
            NoReplica: If there is none, or no more may be tried.
            KeyUnknown: If its key was taken away while it waited.
            KeysStale: If that is not known surely enough.
            Quarantined: If it crashes the replicas that run it.
        """
        self._check_quarantine(progress)
        if progress.left_s < MIN_SEND_TIME_S:
            raise NoReplica("out_of_time", RETRY_AFTER_S)
        if not progress.may_run_again:
            raise NoReplica("may_have_run", RETRY_AFTER_S)
        if progress.arrivals >= _MAX_REPLICAS_REACHED:
            raise NoReplica("tried_enough", RETRY_AFTER_S)
        chosen = self._find(progress, until=until)
        try:
            self._check_sending(progress, chosen)
        except Rejection:
            if chosen.use is not None:
                chosen.use.end(UseOutcome.ENDED)
            raise
        return chosen

    def may_send(self, progress: RequestProgress, chosen: Chosen) -> bool:
        """Whether nothing stands in the way of sending a request now, as it may have waited."""
        if self._quarantine.quarantined_for_s(progress.fingerprint) is not None:
            return False
        return self._obstacle(progress, chosen) is None

    def _obstacle(self, progress: RequestProgress, chosen: Chosen) -> Obstacle | None:
        return self._balancer.obstacle(
            chosen.replica, bounds=progress.bounds, permitted=chosen.permitted
        )

    def _check_sending(self, progress: RequestProgress, chosen: Chosen) -> None:
        """Raise if a request is not to be sent after all, as it may have waited."""
        obstacle = self._obstacle(progress, chosen)
        if obstacle is not None:
            raise NoReplica(obstacle, RETRY_AFTER_S)
        self._check_quarantine(progress)
        if not progress.resuming:
            self._check_key(progress)
        if progress.arrivals and not self._budget_of(progress.service).try_spend():
            raise NoReplica("retry_budget", RETRY_AFTER_S)

    def _check_quarantine(self, progress: RequestProgress) -> None:
        """Raise if a request crashes the replicas that run it, as other boxes may have learnt."""
        left_s = self._quarantine.quarantined_for_s(progress.fingerprint)
        if left_s is not None:
            raise Quarantined(left_s)
        if progress.runs and not self._quarantine.may_be_retried(progress.fingerprint):
            raise NoReplica("crashes_suspected", RETRY_AFTER_S)

    def _find(self, progress: RequestProgress, *, until: float) -> Chosen:
        key = progress.request.adapter_key
        self._check_regions(progress)
        if key is None or not self._has_engines(progress.service):
            picked = self._choose(progress)
            return Chosen(picked.replica, None, picked.send_by)
        while True:
            granted = self._find_granted(progress, key, until=until)
            if granted is not None:
                return granted
            try:
                return self._find_without_placer(progress, key)
            except NoReplica as refusal:
                if refusal.reason in _ZONE_OBSTACLES or not self._adapters.await_placer(
                    until=until
                ):
                    raise

    def _check_regions(self, progress: RequestProgress) -> None:
        """Raise at once if no replica stands where the request may be served: no wait helps."""
        if progress.bounds.regions is None:
            return
        replicas = self._directory.of_service(progress.service)
        if replicas and not self._balancer.in_bounds(replicas, bounds=progress.bounds):
            raise NoReplica(Obstacle.OUTSIDE_REGIONS, RETRY_AFTER_S)

    def _find_granted(
        self, progress: RequestProgress, key: AdapterKey, *, until: float
    ) -> Chosen | None:
        """Return the replica that a placer grants; None if no placer is heard."""
        without_permit: frozenset[str] = frozenset()
        for _ in range(_MAX_PLACER_ASKS):
            adapter_request = self._adapter_request(progress, key, until=until)
            use = self._adapters.find(
                adapter_request._replace(avoid=adapter_request.avoid | without_permit)
            )
            if use is None:
                return None
            replica = self._directory.find(use.instance)
            obstacle = None
            if replica is not None:
                obstacle = self._balancer.obstacle(replica, bounds=progress.bounds, permitted=True)
                if obstacle is None:
                    chosen = self._with_permit(progress, replica, use)
                    if chosen is not None:
                        return chosen
                    # It has no room any more, or the placer knows nothing of its limit.
                    without_permit |= {use.instance}
                    continue
            # The placer knows more, or less, than this box: go by what this box knows.
            use.end(UseOutcome.ENDED)
            if obstacle not in _REPORTED_BY_REPLICAS:
                return None
            # The replica has said so since the ask; the next one names it among what it avoids.
        return None

    def _adapter_request(
        self, progress: RequestProgress, key: AdapterKey, *, until: float
    ) -> AdapterRequest:
        # The placer may not know yet what this box knows, and would grant what it cannot use.
        replicas = self._directory.of_service(progress.service)
        unusable = {replica.instance for replica in replicas if _is_unusable(replica)}
        resting = {replica.instance for replica in replicas if replica.health.resting}
        return AdapterRequest(
            request_id=progress.request.request_id,
            key=key,
            terms=self._wait_terms(progress, until=until),
            prompt=progress.request.prompt,
            avoid=progress.tried | unusable | resting,
            failed_at=progress.failed_at - unusable,
            bounds=progress.bounds,
        )

    def _with_permit(self, progress: RequestProgress, replica: Replica, use: Use) -> Chosen | None:
        """Return a granted engine, with a permit if it needs one; None if there is none for it."""
        chosen = Chosen(replica, use, use.permit_until)
        left_s = 0.0 if use.permit_until is None else use.permit_until - monotonic()
        if left_s >= LEAST_PERMIT_S or self._permit_obstacle(progress, replica) is None:
            return chosen
        permit = self._permits.ask(
            replica.record,
            request=progress.request.request_id,
            returns=False,
            grant=use.number,
        )
        if permit.good_until is None:
            use.end(UseOutcome.ENDED)
            return None
        return chosen._replace(permit_until=permit.good_until)

    def _permit_obstacle(self, progress: RequestProgress, replica: Replica) -> Obstacle | None:
        """Return why a replica needs a permit; None if it needs none, or none would help."""
        obstacle = self._balancer.obstacle(replica, bounds=progress.bounds)
        return obstacle if obstacle in METERED else None

    def _find_without_placer(self, progress: RequestProgress, key: AdapterKey) -> Chosen:
        """Return a replica by this box's own knowledge, as no placer is heard."""
        try:
            picked = self._choose(progress)
        except NoReplica as refusal:
            if refusal.reason in (*_ZONE_OBSTACLES, *METERED):
                raise
            raise NoReplica("no_placer_heard", _NO_PLACER_RETRY_S) from None
        use = self._adapters.use(picked.replica.instance, key)
        return Chosen(picked.replica, use, picked.send_by)

    def _choose(self, progress: RequestProgress) -> Pick:
        request = progress.request
        key = request.adapter_key

        def _fits(replica: Replica) -> bool:
            if key is not None and replica.record.models:
                return self._adapters.holds(replica, key)
            return not request.model or request.model in replica.record.models

        # For an adapter on a resting replica, a load elsewhere is better than to try that one.
        replicas = self._directory.of_service(progress.service)
        size = RequestSize(len(request.body), progress.route.target_s)

        def _best(*, even_metered: bool, but: frozenset[str] = frozenset()) -> Replica | None:
            return self._balancer.choose(
                replicas,
                bounds=progress.bounds,
                tried=progress.tried | but,
                fits=_fits,
                even_resting=key is None,
                even_metered=even_metered,
                size=size,
            )

        picked = pick(
            _best,
            metered=lambda replica: self._permit_obstacle(progress, replica),
            permits=self._permits,
            request=request.request_id,
        )
        if picked is None:
            raise self._no_replica_error(progress, replicas)
        return picked

    def _no_replica_error(self, progress: RequestProgress, replicas: list[Replica]) -> NoReplica:
        """Return the refusal of a request that no replica can take, which says what binds."""
        replicas = self._balancer.in_bounds(replicas, bounds=progress.bounds)
        found = self._balancer.count_obstacles(replicas, bounds=progress.bounds)
        if found.total() < len(replicas) or not found:
            return NoReplica("no_replica", RETRY_AFTER_S)
        [(most_frequent, _)] = found.most_common(1)
        if most_frequent is Obstacle.BACKING_OFF:
            return NoReplica(most_frequent, self._retry_after_backoff_s(replicas))
        return NoReplica(most_frequent, RETRY_AFTER_S)

    def _retry_after_backoff_s(self, replicas: list[Replica]) -> float:
        """Return when a client may come back whom only resting replicas could serve."""
        left_s = [replica.backoff.left_s for replica in replicas if replica.backoff.active]
        return min(left_s, default=RETRY_AFTER_S) + self._random.uniform(0.0, _RETRY_AFTER_JITTER_S)

    def _wait_terms(self, progress: RequestProgress, *, until: float) -> WaitTerms:
        is_last_try = progress.resuming or self.is_client_retry(progress)
        return WaitTerms(
            worth=_worth_of_priority(progress.priority),
            target_at=progress.target_at,
            until=until,
            returns_within_s=0.0 if is_last_try else progress.left_s * _MAX_RETRY_WAIT_FRACTION,
        )

    def _has_engines(self, service: str) -> bool:
        return service in self._configuration().engine_services


def first_event_wait_s(progress: RequestProgress) -> float:
    """Return the seconds until the client of a stream gives up waiting for its first event."""
    return max(MIN_SEND_TIME_S, progress.first_event_deadline - monotonic())


def _is_unusable(replica: Replica) -> bool:
    """Whether this box must send a replica nothing, even for want of another."""
    record = replica.record
    return replica.backoff.active or record.leaving or not record.understood


def _worth_of_priority(priority: int) -> float:
    """Return what a request is worth beside others; the more urgent the more."""
    return _HIGHEST_PRIORITY_WORTH / (1 + max(0, priority))

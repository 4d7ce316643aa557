"""Chooses the next replica for a request, or rejects it if no attempt is allowed."""

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
from springrock.forwarding.eligibility import ANYWHERE, METERED, Obstacle
from springrock.forwarding.errors import NoReplica, Quarantined
from springrock.forwarding.message import AdapterKey
from springrock.forwarding.planned_stop import PlannedStop
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.run_times import RunTimes
from springrock.forwarding.suspects import Suspects
from springrock.permits.choice import PermitRequester, Pick, pick
from springrock.permits.terms import MIN_PERMIT_LEFT_S

MIN_SEND_TIME_S = 0.02
"""A request with less time left is not sent."""

RETRY_AFTER_S = 0.5
_NO_PLACER = "no_placer_heard"
_NO_PLACER_RETRY_S = 1.0
"""Retry-After value while no placer can be reached: links are reopened within this time."""

_MAX_REPLICAS_REACHED = 3
"""Maximum number of replicas that a request is sent to, whether they run it or refuse it."""

_HIGHEST_PRIORITY_WORTH = 4.0

_MAX_RETRY_WAIT_FRACTION = 1 / 3
"""A client waits at most this fraction of its remaining time before it retries."""

_SHORT_DEADLINE_RATIO = 0.93
"""A deadline below this fraction of the longest one of its route counts as shortened."""

_MAX_PLACER_REQUESTS = 3
"""How many grants of placers a request tries in a row. A grant is unusable if the replica has since
reported that it is leaving, backing off or at its limit."""

_RETRY_AFTER_JITTER_S = 0.5
"""Range of the random delay added to Retry-After while replicas back off. Without it all rejected
clients would return when the back-off ends, and the replica would reject them again."""

_REPORTED_BY_REPLICAS = (Obstacle.LEAVING, Obstacle.BACKING_OFF)

_ZONE_OBSTACLES = (Obstacle.OUTSIDE_REGIONS, Obstacle.EVACUATED)
"""If these obstacles apply to every replica, no placer can grant a usable one."""


class _LongestDeadlines:
    """The longest deadline seen on each route.

    A client that retries sends the time that is left to it, so a clearly shorter deadline than the
    route's longest marks a retry.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def record(self, progress: RequestProgress) -> None:
        """Include a request's deadline."""
        deadline_s = progress.request.deadline_s or 0.0
        name = progress.route.name
        self._longest[name] = max(self._longest.get(name, 0.0), deadline_s)

    def is_shortened(self, progress: RequestProgress) -> bool:
        """Whether a request's deadline is clearly shorter than the longest of its route."""
        deadline_s = progress.request.deadline_s
        longest_s = self._longest.get(progress.route.name, 0.0)
        return deadline_s is not None and deadline_s < longest_s * _SHORT_DEADLINE_RATIO


class ChosenReplica(NamedTuple):
    """A replica that a request is to be sent to.

    Attributes:
        use: The use of the adapter on the replica, which the sender must end; None for a request
            without an adapter.
        permit_until: Expiry of the permit to send to the replica although it is cold or limited,
            on the local monotonic clock; None if there is no permit.
    """

    replica: Replica
    use: Use | None
    permit_until: float | None = None

    @property
    def permitted(self) -> bool:
        """Whether there is a permit that has not expired."""
        return self.permit_until is not None and monotonic() < self.permit_until


class Quarantine(Protocol):
    """Knows which requests crash the replicas that run them."""

    def quarantined_for_s(self, suspects: Suspects) -> float | None:
        """Return for how many seconds a request stays quarantined; None if it may be sent."""

    def may_be_retried(self, suspects: Suspects) -> bool:
        """Whether a request that a replica may have run may be sent to another one."""


class _NoQuarantine:
    """A `Quarantine` that holds no request."""

    def quarantined_for_s(self, suspects: Suspects) -> float | None:
        return None

    def may_be_retried(self, suspects: Suspects) -> bool:
        return True


NO_QUARANTINE = _NoQuarantine()


class ReplicaChooser:
    """Chooses replicas for requests and enforces the limits on retries.

    Args:
        configuration: Returns the current configuration.
        directory: The known replicas.
        balancer: Ranks the candidates.
        adapters: Finds replicas that hold an adapter, with the help of placers.
        budget_of: Returns the retry budget of a service.
        permits: Asks for permits to send requests to cold or limited replicas.
        check_key: Raises if a request's key is no longer valid.
        quarantine: Knows which requests crash replicas.
        stop: The planned stop of this box, if one has begun.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], Configuration],
        directory: Directory,
        balancer: Balancer,
        adapters: Adapters,
        budget_of: Callable[[str], RetryBudget],
        permits: PermitRequester,
        check_key: Callable[[RequestProgress], None] = lambda progress: None,
        quarantine: Quarantine = NO_QUARANTINE,
        stop: PlannedStop | None = None,
    ) -> None:
        self._stop = stop or PlannedStop(RunTimes())
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
        """Record a new request in the retry budget and among the deadlines of its route."""
        self._budget_of(progress.service).record_request()
        self._deadlines.record(progress)

    def is_client_retry(self, progress: RequestProgress) -> bool:
        """Whether the request is a client's retry, judged by its shortened deadline."""
        return self._deadlines.is_shortened(progress)

    def next_replica(self, progress: RequestProgress, *, until: float) -> ChosenReplica:
        """Return the replica to try next; waits for the adapter to be loaded if necessary.

        Args:
            progress: The request and the attempts so far.
            until: Latest useful end of a wait, on the local monotonic clock.

        Raises:
            NoReplica: If no replica is usable, or no further attempt is allowed.
            KeyUnknown: If the request's key was revoked while it waited.
            KeysStale: If the key cannot be checked, as this box's list of keys is too old.
            Quarantined: If the request crashes the replicas that run it.
        """
        self._check_quarantine(progress)
        self._stop.check(progress)
        if progress.left_s < MIN_SEND_TIME_S:
            raise NoReplica("out_of_time", RETRY_AFTER_S)
        if not progress.may_run_again:
            raise NoReplica("may_have_run", RETRY_AFTER_S)
        if progress.arrivals >= _MAX_REPLICAS_REACHED:
            raise NoReplica("tried_enough", RETRY_AFTER_S)
        chosen = self._find(progress, until=until)
        try:
            self._check_sending(progress, chosen)
        except BaseException:
            if chosen.use is not None:
                chosen.use.end(UseOutcome.ENDED)
            raise
        return chosen

    def is_quarantined(self, progress: RequestProgress) -> bool:
        """Whether the request is known to crash the replicas that run it."""
        return self._quarantine.quarantined_for_s(progress.suspects) is not None

    def may_send(self, progress: RequestProgress, chosen: ChosenReplica) -> bool:
        """Whether the chosen replica may still be sent the request.

        Checked right before sending, as the wait for a connection may have taken long.
        """
        if self.is_quarantined(progress) or not self._stop.leaves_time_for(progress):
            return False
        return self._obstacle(progress, chosen) is None

    def _obstacle(self, progress: RequestProgress, chosen: ChosenReplica) -> Obstacle | None:
        return self._balancer.obstacle(
            chosen.replica, bounds=progress.bounds, permitted=chosen.permitted
        )

    def _check_sending(self, progress: RequestProgress, chosen: ChosenReplica) -> None:
        """Raise if the request may no longer be sent after the wait for its replica."""
        obstacle = self._obstacle(progress, chosen)
        if obstacle is not None:
            raise NoReplica(obstacle, RETRY_AFTER_S)
        self._check_quarantine(progress)
        self._stop.check(progress)
        if not progress.resuming:
            self._check_key(progress)
        if progress.arrivals and not self._may_retry(progress):
            raise NoReplica("retry_budget", RETRY_AFTER_S)

    def _may_retry(self, progress: RequestProgress) -> bool:
        budget = self._budget_of(progress.service)
        return budget.try_spend(request=progress.request.request_id)

    def _check_quarantine(self, progress: RequestProgress) -> None:
        """Raise if this box or another one found that the request crashes replicas."""
        left_s = self._quarantine.quarantined_for_s(progress.suspects)
        if left_s is not None:
            raise Quarantined(left_s)
        if progress.runs and not self._quarantine.may_be_retried(progress.suspects):
            raise NoReplica("crashes_suspected", RETRY_AFTER_S)

    def _find(self, progress: RequestProgress, *, until: float) -> ChosenReplica:
        key = progress.request.adapter_key
        self._check_bounds(progress)
        if key is None or not self._has_engines(progress.service):
            picked = self._choose(progress, allow_resting=key is None)
            return ChosenReplica(picked.replica, None, picked.send_by)
        # Otherwise each search would take a grant from others before it is refused.
        if progress.arrivals and not self._budget_of(progress.service).allows_retry():
            raise NoReplica("retry_budget", RETRY_AFTER_S)
        while True:
            granted = self._find_granted(progress, key, until=until)
            if granted is not None:
                return granted
            try:
                return self._find_without_placer(progress, key)
            except NoReplica as rejection:
                if rejection.reason in _ZONE_OBSTACLES:
                    raise
                if self._adapters.await_placer(until=until):
                    continue
                if rejection.reason != _NO_PLACER:
                    raise
            return self._find_without_placer(progress, key, allow_resting=True)

    def _check_bounds(self, progress: RequestProgress) -> None:
        """Raise without a wait if the request is restricted to replicas that do not exist."""
        bounds = progress.bounds
        if bounds == ANYWHERE:
            return
        replicas = self._directory.of_service(progress.service)
        if not replicas:
            return
        allowed = self._balancer.in_bounds(replicas, bounds=bounds)
        if not allowed:
            raise NoReplica(Obstacle.OUTSIDE_REGIONS, RETRY_AFTER_S)
        fitting = [item for item in allowed if bounds.allow_software(item.record)]
        if bounds.software is not None and all(item.record.leaving for item in fitting):
            raise NoReplica(Obstacle.OTHER_SOFTWARE, RETRY_AFTER_S)

    def _find_granted(
        self, progress: RequestProgress, key: AdapterKey, *, until: float
    ) -> ChosenReplica | None:
        """Return the replica that a placer grants; None without a placer or a usable grant."""
        without_permit: frozenset[str] = frozenset()
        for _ in range(_MAX_PLACER_REQUESTS):
            adapter_request = self._adapter_request(progress, key, until=until)
            use = self._adapters.find(
                adapter_request._replace(avoid=adapter_request.avoid | without_permit)
            )
            if use is None:
                return None
            replica = self._directory.find(use.instance)
            obstacle = None
            # A placer goes by its own configuration, which may be an older one.
            if replica is not None and replica.record.service == progress.service:
                obstacle = self._balancer.obstacle(replica, bounds=progress.bounds, permitted=True)
                if obstacle is None:
                    try:
                        chosen = self._with_permit(progress, replica, use)
                    except BaseException:
                        use.end(UseOutcome.ENDED)
                        raise
                    if chosen is not None:
                        return chosen
                    # The replica is at its limit, which the placer may not know yet.
                    without_permit |= {use.instance}
                    continue
            # The placer's state of the replica differs from this box's, which takes precedence.
            use.end(UseOutcome.ENDED)
            if obstacle not in _REPORTED_BY_REPLICAS:
                return None
            # The replica reported this after the placer was asked; the next ask excludes it.
        return None

    def _adapter_request(
        self, progress: RequestProgress, key: AdapterKey, *, until: float
    ) -> AdapterRequest:
        # Without this list the placer could grant replicas that only this box knows as unusable.
        replicas = self._directory.of_service(progress.service)
        unusable = {replica.instance for replica in replicas if _is_unusable(replica)}
        resting = {replica.instance for replica in replicas if replica.health.resting}
        # A placer of an earlier build heeds this list, but no software version.
        unusable |= {
            replica.instance
            for replica in replicas
            if not progress.bounds.allow_software(replica.record)
        }
        return AdapterRequest(
            request_id=progress.request.request_id,
            key=key,
            terms=self._wait_terms(progress, until=until),
            prompt=progress.request.prompt,
            avoid=progress.tried_instances | unusable | resting,
            failed_at=progress.failed_instances - unusable,
            bounds=progress.bounds,
        )

    def _with_permit(
        self, progress: RequestProgress, replica: Replica, use: Use
    ) -> ChosenReplica | None:
        """Return a granted engine, with a permit if it needs one; None if the permit is refused."""
        chosen = ChosenReplica(replica, use, use.permit_until)
        left_s = 0.0 if use.permit_until is None else use.permit_until - monotonic()
        if left_s >= MIN_PERMIT_LEFT_S or self._permit_obstacle(progress, replica) is None:
            return chosen
        permit = self._permits.ask(
            replica.record,
            request=progress.request.request_id,
            reserve_retry=False,
            grant=use.number,
        )
        if permit.valid_until is None:
            use.end(UseOutcome.ENDED)
            return None
        return chosen._replace(permit_until=permit.valid_until)

    def _permit_obstacle(self, progress: RequestProgress, replica: Replica) -> Obstacle | None:
        """Return why a replica needs a permit; None if it needs none, or is unusable anyway."""
        obstacle = self._balancer.obstacle(replica, bounds=progress.bounds)
        return obstacle if obstacle in METERED else None

    def _find_without_placer(
        self, progress: RequestProgress, key: AdapterKey, *, allow_resting: bool = False
    ) -> ChosenReplica:
        """Return a replica chosen from this box's own state, as no placer answers."""
        try:
            picked = self._choose(progress, allow_resting=allow_resting)
        except NoReplica as rejection:
            if rejection.reason in (*_ZONE_OBSTACLES, *METERED):
                raise
            raise NoReplica(_NO_PLACER, _NO_PLACER_RETRY_S) from None
        use = self._adapters.use(picked.replica.instance, key)
        return ChosenReplica(picked.replica, use, picked.send_by)

    def _choose(self, progress: RequestProgress, *, allow_resting: bool) -> Pick:
        request = progress.request
        key = request.adapter_key

        def _fits(replica: Replica) -> bool:
            if key is not None and replica.record.models:
                return self._adapters.holds(replica, key)
            return not request.model or request.model in replica.record.models

        replicas = self._directory.of_service(progress.service)
        size = RequestSize(len(request.body), progress.route.target_s)

        def _best(
            *, include_metered: bool, excluded: frozenset[str] = frozenset()
        ) -> Replica | None:
            return self._balancer.choose(
                replicas,
                bounds=progress.bounds,
                tried=progress.tried_instances | excluded,
                fits=_fits,
                allow_resting=allow_resting,
                include_metered=include_metered,
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
        """Return the rejection, with the most frequent obstacle if every replica has one."""
        replicas = self._balancer.in_bounds(replicas, bounds=progress.bounds)
        found = self._balancer.count_obstacles(replicas, bounds=progress.bounds)
        if found.total() < len(replicas) or not found:
            return NoReplica("no_replica", RETRY_AFTER_S)
        [(most_frequent, _)] = found.most_common(1)
        if most_frequent is Obstacle.BACKING_OFF:
            return NoReplica(most_frequent, self._retry_after_backoff_s(replicas))
        return NoReplica(most_frequent, RETRY_AFTER_S)

    def _retry_after_backoff_s(self, replicas: list[Replica]) -> float:
        """Return the seconds after which a client may retry, if all usable replicas back off."""
        left_s = [replica.backoff.left_s for replica in replicas if replica.backoff.active]
        return min(left_s, default=RETRY_AFTER_S) + self._random.uniform(0.0, _RETRY_AFTER_JITTER_S)

    def _wait_terms(self, progress: RequestProgress, *, until: float) -> WaitTerms:
        is_last_try = progress.resuming or self.is_client_retry(progress)
        return WaitTerms(
            worth=_worth_of_priority(progress.priority),
            target_at=progress.target_at,
            until=until,
            retry_within_s=0.0 if is_last_try else progress.left_s * _MAX_RETRY_WAIT_FRACTION,
            run_s=self._stop.run_s_of(progress),
        )

    def _has_engines(self, service: str) -> bool:
        return service in self._configuration().engine_services


def _is_unusable(replica: Replica) -> bool:
    """Whether this box must not send to a replica even if there is no other."""
    record = replica.record
    return replica.backoff.active or record.leaving or not record.understood


def _worth_of_priority(priority: int) -> float:
    """Return the weight of a request's wait against other requests; urgent ones weigh more."""
    return _HIGHEST_PRIORITY_WORTH / (1 + max(0, priority))

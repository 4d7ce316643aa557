"""Plain services: chooses a replica of the pool, sends the call, and retries it where allowed."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable

import gevent
from expression import Error, Ok, Result

from springrock.backoff import Backoff
from springrock.clock import Deadline, monotonic
from springrock.coordination.claims import Claims
from springrock.drivers.service import ServiceAnswer, ServiceDriver
from springrock.errors import (
    Cause,
    Refusal,
    RunState,
    UpstreamBroke,
    UpstreamSaidNo,
    UpstreamUnreachable,
)
from springrock.log import Log
from springrock.serving.retry_budget import RetryBudget
from springrock.settings import PoolSection, UpstreamSection
from springrock.wire.caller import REPEATABLE_HEADER, REQUEST_ID_HEADER, Terms

_MAX_ATTEMPTS = 3
_EJECTION_S = 2.0
_FAILURES_TO_EJECT = 3
_RETRY_AFTER_S = 1.0


class Services:
    """Routes calls to plain services.

    Args:
        zone: This box's availability zone; replicas in it are preferred.
        pools: All pools.
        claims: Claims the identifiers of calls that are not repeatable, so that they run once.
        out_of_service: Returns whether a replica is leaving or drained.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        zone: str,
        pools: list[PoolSection],
        claims: Claims,
        out_of_service: Callable[[str], bool],
        log: Log,
    ) -> None:
        self._zone = zone
        self._pools = {pool.name: pool for pool in pools if pool.driver == "service"}
        self._claims = claims
        self._out_of_service = out_of_service
        self._log = log
        self._budget = RetryBudget()
        self._running: Counter[str] = Counter()
        self._failures: Counter[str] = Counter()
        self._ejected_until: dict[str, float] = {}
        self._backoffs: defaultdict[str, Backoff] = defaultdict(Backoff)
        self._drivers = {
            upstream.name: ServiceDriver(upstream)
            for pool in self._pools.values()
            for upstream in pool.replicas
        }

    def call(
        self,
        pool_name: str,
        method: str,
        path: str,
        *,
        body: bytes,
        content_type: str,
        request_id: str,
        terms: Terms,
    ) -> Result[ServiceAnswer, Refusal]:
        """Run a call on a pool, on other replicas after failures where that is safe."""
        pool = self._pools.get(pool_name)
        if pool is None:
            detail = f"there is no service {pool_name!r}"
            return Error(Refusal(Cause.UNKNOWN_SERVICE, detail))
        claimed = not terms.repeatable and bool(terms.request_id)
        if claimed:
            claim = self._claims.claim(terms.request_id)
            if claim.is_error():
                return Error(claim.error)
        headers = {
            "Content-Type": content_type,
            REQUEST_ID_HEADER: request_id,
            REPEATABLE_HEADER: "yes" if terms.repeatable else "no",
        }
        if not terms.repeatable:
            headers["Connection"] = "close"
        result = self._try_replicas(pool, method, path, body, headers, terms)
        if claimed and result.is_error() and result.error.run_state is RunState.NOT_RUN:
            gevent.spawn(self._claims.release, terms.request_id)
        return result

    def _try_replicas(
        self,
        pool: PoolSection,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        terms: Terms,
    ) -> Result[ServiceAnswer, Refusal]:
        deadline = Deadline(terms.deadline_s)
        tried: set[str] = set()
        self._budget.earn()
        refusal = _no_upstream_refusal(pool.name)
        may_have_run: Refusal | None = None
        for _ in range(_MAX_ATTEMPTS):
            upstream = self._choose(pool, tried) or self._choose(pool, set())
            if upstream is None:
                refusal = self._backoff_refusal(pool) or refusal
                break
            self._log.info(
                f"Route {headers[REQUEST_ID_HEADER]} to {upstream.name}.",
                request=headers[REQUEST_ID_HEADER],
                replica=upstream.name,
                running=self._running[upstream.name],
            )
            tried.add(upstream.name)
            result = self._send(upstream, method, path, body, headers, deadline)
            if result.is_ok():
                return result
            refusal = result.error
            if refusal.run_state is not RunState.NOT_RUN:
                may_have_run = refusal
            safe_to_retry = refusal.run_state is RunState.NOT_RUN or terms.repeatable
            if not safe_to_retry or deadline.passed or not self._budget.spend():
                break
        return Error(may_have_run or refusal)

    def _send(
        self,
        upstream: UpstreamSection,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        deadline: Deadline,
    ) -> Result[ServiceAnswer, Refusal]:
        driver = self._drivers[upstream.name]
        self._running[upstream.name] += 1
        try:
            answer = driver.call(
                method, path, body=body, headers=headers, timeout_s=max(0.01, deadline.left_s)
            )
        except UpstreamUnreachable as error:
            self._record_failure(upstream.name)
            return Error(_failure_refusal(Cause.NO_UPSTREAM, str(error), RunState.NOT_RUN))
        except UpstreamSaidNo as error:
            self._record_refusal(upstream.name, error.retry_after_s)
            return Error(_failure_refusal(Cause.UPSTREAM_REFUSED, error.reason, RunState.NOT_RUN))
        except UpstreamBroke as error:
            self._record_failure(upstream.name)
            return Error(_failure_refusal(Cause.UPSTREAM_FAILED, str(error), RunState.UNKNOWN))
        finally:
            self._running[upstream.name] -= 1
        self._failures[upstream.name] = 0
        return Ok(answer)

    def _choose(self, pool: PoolSection, tried: set[str]) -> UpstreamSection | None:
        now = monotonic()
        available = [
            upstream
            for upstream in pool.replicas
            if upstream.name not in tried
            and not self._out_of_service(upstream.name)
            and not self._backoffs[upstream.name].active
        ]
        healthy = [item for item in available if self._ejected_until.get(item.name, 0.0) <= now]
        return min(healthy or available, key=self._preference_key, default=None)

    def _record_refusal(self, name: str, backoff_s: float) -> None:
        """Start the backoff that a replica requested with its refusal."""
        backoff = self._backoffs[name]
        if backoff_s <= backoff.left_s:
            return
        backoff.extend(backoff_s)
        self._log.info("A service requested a backoff.", replica=name, for_s=round(backoff_s, 3))

    def _backoff_refusal(self, pool: PoolSection) -> Refusal | None:
        """Return a refusal with the time until the first backoff in a pool ends.

        None if no replica is backing off.
        """
        backoffs = [self._backoffs[upstream.name] for upstream in pool.replicas]
        left_s = [backoff.left_s for backoff in backoffs if backoff.active]
        if not left_s:
            return None
        detail = f"the replicas of {pool.name} are backing off"
        return Refusal(Cause.UPSTREAM_REFUSED, detail, RunState.NOT_RUN, min(left_s))

    def _preference_key(self, upstream: UpstreamSection) -> tuple[float, str]:
        in_other_zone = upstream.availability_zone != self._zone
        return self._running[upstream.name] + (0.5 if in_other_zone else 0.0), upstream.name

    def _record_failure(self, name: str) -> None:
        self._failures[name] += 1
        if self._failures[name] < _FAILURES_TO_EJECT:
            return
        # After each ejection the next failure ejects again at once; a success resets the count.
        self._failures[name] = _FAILURES_TO_EJECT - 1
        self._ejected_until[name] = monotonic() + _EJECTION_S
        self._log.info(
            "Ejected a service after repeated failures.", replica=name, for_s=_EJECTION_S
        )


def _no_upstream_refusal(pool: str) -> Refusal:
    detail = f"no replica of {pool} takes work now"
    return Refusal(Cause.NO_UPSTREAM, detail, RunState.NOT_RUN, _RETRY_AFTER_S)


def _failure_refusal(cause: Cause, detail: str, run_state: RunState) -> Refusal:
    retry_after_s = _RETRY_AFTER_S if run_state is RunState.NOT_RUN else 0.0
    return Refusal(cause, detail, run_state, retry_after_s)

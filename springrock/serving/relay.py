"""The relay: sends a permitted request to its engine and returns the verified answer.

A request that has certainly not run is tried on another replica. One that may have run is run
again only if it is repeatable and nothing was sent to the caller. Any other failure ends
with a typed refusal.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from expression import Error, Ok, Result

from springrock.clock import monotonic
from springrock.coordination.claims import Claims
from springrock.drivers.engine import EngineDriver, EngineStream
from springrock.errors import (
    Cause,
    Refusal,
    RunState,
    UpstreamBroke,
    UpstreamSaidNo,
    UpstreamUnreachable,
)
from springrock.log import Log
from springrock.metrics import Metrics
from springrock.serving.answer import (
    BROKEN_RETRY_AFTER_S,
    MAX_RESUMES_WITHOUT_PROGRESS,
    RESUME_PAUSE_S,
    Answer,
    cancel_until_confirmed,
    cause_of,
)
from springrock.serving.request import ServingRequest
from springrock.serving.retry_budget import RetryBudget
from springrock.serving.router import Permitted, Router
from springrock.wire.engine import EngineRequest
from springrock.wire.peer import NOT_LOADED


class Relay:
    """Runs requests under permits.

    Args:
        router: Gets the permits.
        claims: Claims the identifiers of requests that are not repeatable, so that they run once.
        driver_for: Returns the driver of a replica.
        log: The log to write to.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        *,
        router: Router,
        claims: Claims,
        driver_for: Callable[[str], EngineDriver],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._claims = claims
        self._driver_for = driver_for
        self._log = log
        self._metrics = metrics
        self._budget = RetryBudget()

    def open(self, request: ServingRequest) -> Result[Answer, Refusal]:
        """Get a permit, send the request and wait for the first token.

        Returns:
            The answer, which must be closed, or the refusal.
        """
        self._budget.earn()
        claim = _Claim(self._claims, request)
        avoid: frozenset[str] = frozenset()
        may_have_run: Refusal | None = None
        refusal: Refusal | None = None
        try:
            while True:
                permit = self._router.permit(request, avoid=avoid)
                if permit.is_error():
                    claim.release()
                    if refusal is None or permit.error.cause is not Cause.NO_UPSTREAM:
                        refusal = permit.error
                    return Error(may_have_run or refusal)
                permitted = permit.ok
                attempt = self._run_once(request, permitted, claim)
                if attempt.is_ok():
                    return attempt
                refusal = attempt.error
                if refusal.run_state is not RunState.NOT_RUN:
                    may_have_run = refusal
                if not self._may_retry(request, refusal):
                    if may_have_run is None:
                        claim.release()
                    return Error(may_have_run or refusal)
                avoid |= {permitted.upstream.name}
                self._log.info(
                    f"Retry {request.request_id}: {refusal.cause}.",
                    request=request.request_id,
                    cause=refusal.cause,
                )
        except BaseException:
            claim.release_if_unsent()
            raise

    def _may_retry(self, request: ServingRequest, refusal: Refusal) -> bool:
        if request.deadline.passed or refusal.cause is Cause.ALREADY_CLAIMED:
            return False
        safe_to_retry = refusal.run_state is RunState.NOT_RUN or request.terms.repeatable
        return safe_to_retry and self._budget.spend()

    def _run_once(
        self, request: ServingRequest, permitted: Permitted, claim: _Claim
    ) -> Result[Answer, Refusal]:
        """Run a request once under a permit; refund the permit if there is no answer."""
        refund = _only_once(lambda tokens: self._router.refund(permitted, tokens))
        try:
            claimed = claim.claim()
        except BaseException:
            refund(0)
            raise
        if claimed.is_error():
            refund(0)
            return Error(claimed.error)
        if monotonic() >= permitted.start_before:
            refund(0)
            return Error(
                Refusal(Cause.PERMIT_EXPIRED, "the permit came too late", retry_after_s=1.0)
            )
        driver = self._driver_for(permitted.upstream.name)
        return self._send(request, permitted, claim, driver, refund)

    def _send(
        self,
        request: ServingRequest,
        permitted: Permitted,
        claim: _Claim,
        driver: EngineDriver,
        refund: Callable[[int], None],
    ) -> Result[Answer, Refusal]:
        sent = request.to_engine()
        claim.sent = True
        try:
            stream = driver.begin(sent, timeout_s=permitted.held.ends_at - monotonic())
        except UpstreamUnreachable as error:
            claim.sent = False
            refund(0)
            return Error(_not_run_refusal(Cause.NO_UPSTREAM, str(error), BROKEN_RETRY_AFTER_S))
        except UpstreamSaidNo as error:
            claim.sent = False
            refund(NOT_LOADED if "not loaded" in error.reason else 0)
            return Error(
                _not_run_refusal(Cause.UPSTREAM_REFUSED, error.reason, error.retry_after_s or 1.0)
            )
        except UpstreamBroke as error:
            started_stream = _find_started_stream(driver, sent, permitted.held.ends_at)
            if started_stream is None:
                gevent.spawn(
                    cancel_until_confirmed,
                    driver,
                    sent.request_id,
                    permitted.held.ends_at,
                    refund,
                )
                return Error(_may_have_run_refusal(error))
            stream = started_stream
        except BaseException:
            gevent.spawn(
                cancel_until_confirmed, driver, sent.request_id, permitted.held.ends_at, refund
            )
            raise
        answer = Answer(
            sent,
            permitted,
            driver,
            stream,
            refund=refund,
            log=self._log,
            metrics=self._metrics,
        )
        return self._first_token(request, answer)

    def _first_token(self, request: ServingRequest, answer: Answer) -> Result[Answer, Refusal]:
        try:
            answer.wait_for_first_event()
        except UpstreamBroke as error:
            answer.close()
            return Error(_may_have_run_refusal(error))
        except BaseException:
            answer.close()
            raise
        self._metrics.first_token_seconds.observe(monotonic() - request.arrived_at)
        return Ok(answer)


class _Claim:
    """The claim on the identifier of one request; without effect for repeatable requests.

    Attributes:
        sent: Whether the request may have reached an engine.
    """

    def __init__(self, claims: Claims, request: ServingRequest) -> None:
        terms = request.terms
        self._claims = claims
        self._request_id = "" if terms.repeatable else terms.request_id
        self._is_claimed = False
        self.sent = False

    def claim(self) -> Result[None, Refusal]:
        if not self._request_id or self._is_claimed:
            return Ok(None)
        result = self._claims.claim(self._request_id)
        self._is_claimed = result.is_ok()
        return result

    def release(self) -> None:
        if self._is_claimed:
            self._is_claimed = False
            gevent.spawn(self._claims.release, self._request_id)

    def release_if_unsent(self) -> None:
        if not self.sent:
            self.release()


def _find_started_stream(
    driver: EngineDriver, sent: EngineRequest, ends_at: float
) -> EngineStream | None:
    """Return the stream of a request whose response was lost, if the engine has started it."""
    for _ in range(MAX_RESUMES_WITHOUT_PROGRESS):
        if monotonic() >= ends_at:
            return None
        try:
            return driver.resume(sent, 0, timeout_s=ends_at - monotonic())
        except UpstreamBroke:
            gevent.sleep(RESUME_PAUSE_S)
        except (UpstreamUnreachable, UpstreamSaidNo):
            return None
    return None


def _only_once(refund: Callable[[int], None]) -> Callable[[int], None]:
    """Return a function that refunds a permit at its first call and does nothing at later ones."""
    unused = [refund]

    def _refund_once(tokens: int) -> None:
        if unused:
            unused.pop()(tokens)

    return _refund_once


def _not_run_refusal(cause: Cause, detail: str, retry_after_s: float) -> Refusal:
    return Refusal(cause, detail, RunState.NOT_RUN, retry_after_s)


def _may_have_run_refusal(error: UpstreamBroke) -> Refusal:
    return Refusal(cause_of(error), str(error), RunState.UNKNOWN, BROKEN_RETRY_AFTER_S)

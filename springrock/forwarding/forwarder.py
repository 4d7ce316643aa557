"""Forwards a request over its route.

A request that may have run is never answered as if it had not.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from springrock.forwarding.answer_limits import DEFAULT_LIMITS, AnswerLimits
from springrock.forwarding.choosing import (
    MIN_SEND_TIME_S,
    RETRY_AFTER_S,
    ChosenReplica,
    ReplicaChooser,
)
from springrock.forwarding.configuration import Route, RouteTable, Team
from springrock.forwarding.errors import (
    BehindOtherBox,
    ExchangeError,
    NoReplica,
    OutcomeUnknown,
    Rejection,
)
from springrock.forwarding.keys import KeyGate, digest_prefix
from springrock.forwarding.message import AnswerHead, ClientRequest
from springrock.forwarding.passed_on import PassedOnRequests
from springrock.forwarding.passing_on import PassingOn
from springrock.forwarding.plain_run import PlainRun
from springrock.forwarding.reply import Reply, own_reply, rejection_reply, relayed_reply
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.sending import Sender
from springrock.forwarding.stream_origins import StreamOrigins
from springrock.forwarding.stream_run import StreamRun
from springrock.forwarding.streaming import StreamRelay
from springrock.log import Log

_MAX_LOGGED_AGE_S = 3600.0
"""Upper bound of a logged age; also logged where the age is unknown."""


class Receipt(Protocol):
    """The charge of a request to its team's quota."""

    def refund(self) -> None:
        """Refund the charge, as the request did not run."""


class QuotaCharger(Protocol):
    """Charges requests to their teams' quotas."""

    def charge(self, team: Team | None, *, tokens: int | None, request: str) -> Receipt:
        """Charge a request once, however many attempts it takes.

        Raises:
            Rejection: If the quota is used up, or no box that counts it can be reached.
        """


class Forwarder:
    """Forwards requests of all routes.

    Args:
        routes: Returns the current route table.
        gate: Admits requests by their keys.
        charging: Charges requests to their teams' quotas.
        chooser: Chooses replicas.
        sender: Sends requests to them.
        relay: Relays streams.
        passing_on: Passes requests on to other boxes while this one reaches no replica.
        passed_on: Checks the requests that other boxes pass on.
        origins: Finds the software versions that began streams.
        log: The log to write to.
        limits: How much of an answer is kept.
        configuration_origin: Returns the version, source and age of the operator's table, as fields
            of a log line.
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable],
        gate: KeyGate,
        charging: QuotaCharger,
        chooser: ReplicaChooser,
        sender: Sender,
        relay: StreamRelay,
        passing_on: PassingOn,
        passed_on: PassedOnRequests,
        origins: StreamOrigins,
        log: Log,
        limits: AnswerLimits = DEFAULT_LIMITS,
        configuration_origin: Callable[[], dict[str, object]] = dict,
    ) -> None:
        self._limits = limits
        self._configuration_origin = configuration_origin
        self._routes = routes
        self._gate = gate
        self._charging = charging
        self._chooser = chooser
        self._sender = sender
        self._relay = relay
        self._passing_on = passing_on
        self._passed_on = passed_on
        self._origins = origins
        self._log = log
        self._random = random.Random()

    def forward(self, request: ClientRequest) -> Reply:
        """Return the reply to a request; the body may still be arriving."""
        table = self._routes()
        version = table.configuration.version
        try:
            self._passed_on.check(request, version)
        except BehindOtherBox as rejection:
            reply = rejection_reply(rejection)
        else:
            reply = self._forward_by(table, request)
        return self._passed_on.mark(request, reply, version)

    def _forward_by(self, table: RouteTable, request: ClientRequest) -> Reply:
        """Return the reply to a request that is handled by one route table."""
        version = table.configuration.version
        if not version:
            return own_reply(503, "no_configuration", retry_after_s=RETRY_AFTER_S)
        route = table.find(request.host, request.path)
        if route is None:
            self._log_no_route(request, version)
            return own_reply(404, "no_route")
        try:
            admission = self._gate.admit(table, route, request.key_digest)
        except Rejection as rejection:
            self._log_not_admitted(request, route, rejection, version)
            return rejection_reply(rejection)
        progress = RequestProgress(
            request,
            route,
            route.pick_service(self._random),
            admission,
            known=self._passed_on.knowledge_for(request, version),
        )
        # The other box may not know yet what crashes replicas.
        if self._passing_on.is_due(progress) and not self._chooser.is_quarantined(progress):
            passed_on = self._passing_on.forward(progress)
            if passed_on is not None:
                return passed_on._replace(due_at=progress.ends_at)
        self._chooser.record_request(progress)
        reply = self._charge_and_forward(progress)
        self._log_reply(progress, reply, version)
        return reply._replace(due_at=progress.ends_at)

    def _charge_and_forward(self, progress: RequestProgress) -> Reply:
        """Charge a request to its team and forward it; refund the charge if it never ran."""
        team, request = progress.admission.team, progress.request
        try:
            self._origins.bind(progress)
            receipt = self._charging.charge(team, tokens=request.tokens, request=request.request_id)
        except Rejection as rejection:
            return rejection_reply(rejection)
        try:
            return (
                self._forward_stream(progress)
                if progress.streaming
                else self._forward_plain(progress)
            )
        finally:
            if not progress.runs:
                receipt.refund()

    # Plain requests.

    def _forward_plain(self, progress: RequestProgress) -> Reply:
        failure_reply: Reply | None = None
        while True:
            try:
                self._check_reach(progress)
                chosen = self._chooser.next_replica(progress, until=progress.ends_at)
                reply = self._attempt_plain(progress, chosen)
            except Rejection as rejection:
                return failure_reply or self._reply_to_rejected(progress, rejection)
            except ExchangeError:
                continue
            if reply.head.status < 500 or not progress.may_run_again:
                return reply
            if isinstance(reply.body, PlainRun):
                reply.body.close()
            else:
                failure_reply = reply

    def _attempt_plain(self, progress: RequestProgress, chosen: ChosenReplica) -> Reply:
        kept_bytes = self._limits.kept_bytes
        return PlainRun(self._sender, progress, chosen, kept_bytes=kept_bytes).open()

    # Streams.

    def _forward_stream(self, progress: RequestProgress) -> Reply:
        failure_reply: Reply | None = None
        while True:
            try:
                self._check_reach(progress)
                head, run = self._relay.open(progress, until=progress.first_event_deadline)
            except Rejection as rejection:
                return failure_reply or self._reply_to_rejected(progress, rejection)
            except ExchangeError:
                continue
            if head.status < 500 or not progress.may_run_again:
                return relayed_reply(head, self._relay.relay(progress, run))
            failure_reply = _read_failed_stream(head, run, max_bytes=self._limits.kept_bytes)

    def _check_reach(self, progress: RequestProgress) -> None:
        """Raise if a request that no replica received should rather be passed on."""
        if progress.attempts and self._passing_on.is_due(progress):
            raise NoReplica("cut_off", RETRY_AFTER_S)

    def _reply_to_rejected(self, progress: RequestProgress, rejection: Rejection) -> Reply:
        """Return the reply of another box if this one has reached no replica for the request."""
        if self._passing_on.is_last_resort(progress, rejection):
            passed_on = self._passing_on.forward(progress)
            if passed_on is not None:
                return passed_on
        return _reply_without_answer(progress, rejection)

    def _log_no_route(self, request: ClientRequest, version: int) -> None:
        self._log.info(
            "Found no route for a request.",
            request=request.request_id,
            configuration=version,
            **self._configuration_origin(),
        )

    def _log_not_admitted(
        self, request: ClientRequest, route: Route, rejection: Rejection, version: int
    ) -> None:
        self._log.info(
            "Did not admit a request.",
            request=request.request_id,
            route=route.name,
            key=digest_prefix(request.key_digest),
            configuration=version,
            stale_ms=round(min(self._gate.staleness_s, _MAX_LOGGED_AGE_S) * 1000),
            status=rejection.status,
            reason=rejection.reason,
            retry_after=rejection.retry_after_s,
        )

    def _log_reply(self, progress: RequestProgress, reply: Reply, version: int) -> None:
        self._log.info(
            "Refused a request." if reply.reason else "Answered a request.",
            request=progress.request.request_id,
            fingerprint=progress.fingerprint.short,
            shared=[item.short for item in progress.suspects.shared] if reply.reason else [],
            route=progress.route.name,
            service=progress.service,
            team="" if progress.admission.team is None else progress.admission.team.name,
            key=digest_prefix(progress.request.key_digest),
            configuration=version,
            adapter=str(progress.request.adapter_key or ""),
            status=reply.head.status,
            reason=reply.reason,
            retry_after=reply.head.headers.get("retry-after") if reply.reason else None,
            age_ms=round(progress.age_s * 1000),
            target_ms=round(progress.route.target_s * 1000),
            deadline_ms=round((progress.request.deadline_s or 0.0) * 1000),
            returning=self._chooser.is_client_retry(progress),
            resumes=progress.request.resumes,
            resumes_after=progress.request.last_event_id,
            attempts=progress.attempt_summaries(),
        )


def _reply_without_answer(progress: RequestProgress, rejection: Rejection) -> Reply:
    """Return the reply to a request that no replica answered."""
    if not progress.runs:
        return rejection_reply(rejection)
    if progress.left_s < MIN_SEND_TIME_S:
        return own_reply(504, "outcome_unknown")
    return own_reply(502, "outcome_unknown")


def _read_failed_stream(head: AnswerHead, run: StreamRun, *, max_bytes: int) -> Reply | None:
    """Read a failure answer and return it as a reply; None if it breaks off or is too long."""
    body = bytearray()
    try:
        for data in run:
            body += data
            if len(body) > max_bytes:
                return None
    except OutcomeUnknown:
        return None
    finally:
        run.close()
    return relayed_reply(head, [bytes(body)])

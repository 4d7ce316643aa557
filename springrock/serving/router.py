"""The router: chooses a replica for a request and gets a permit from its owner."""

from __future__ import annotations

from typing import NamedTuple

import gevent
from expression import Error, Ok, Result

from springrock.clock import monotonic
from springrock.coordination.peers import Peers
from springrock.coordination.permits import HeldPermitBook, HeldPermitEntry
from springrock.errors import Cause, PeerUnreachable, Refusal, RunState
from springrock.log import Log
from springrock.policies import Routing, Scored
from springrock.serving.owner import Owner
from springrock.serving.request import ServingRequest
from springrock.serving.view import RoutingView
from springrock.settings import UpstreamSection
from springrock.wire import peer as wire

_MAX_ATTEMPTS = 4
_ANSWER_MARGIN_S = 1.0
_NO_UPSTREAM_RETRY_AFTER_S = 2.0
_TRY_ELSEWHERE = frozenset(
    {
        Cause.NOT_OWNER,
        Cause.OWNER_UNREACHABLE,
        Cause.UPSTREAM_LEAVING,
        Cause.QUEUE_FULL,
        Cause.PERMIT_EXPIRED,
        Cause.LOAD_FAILED,
    }
)


class Permitted(NamedTuple):
    """A permit to run a request on a replica.

    Attributes:
        upstream: Settings of the replica.
        owner: The box that granted the permit.
        held: The permit's entry in this box's book.
        start_before: Time on the local monotonic clock before which the request must be sent.
        waited_s: Seconds that the request waited at the owner.
        stall_s: Seconds of the wait that an adapter load took.
    """

    upstream: UpstreamSection
    owner: str
    held: HeldPermitEntry
    start_before: float
    waited_s: float
    stall_s: float


class Router:
    """Gets permits for requests.

    Args:
        box: The name of this box.
        view: The last reported state of the replicas.
        owner: Grants the permits for the replicas that this box owns.
        peers: The links to the other owners.
        held: The permits that this box holds.
        routing: Ranks the candidates.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        box: str,
        view: RoutingView,
        owner: Owner,
        peers: Peers,
        held: HeldPermitBook,
        routing: Routing,
        log: Log,
    ) -> None:
        self._box = box
        self._view = view
        self._owner = owner
        self._peers = peers
        self._held = held
        self._routing = routing
        self._log = log
        peers.handle(wire.ReplicaReport, lambda _, report: view.apply(report))

    def permit(
        self, request: ServingRequest, *, avoid: frozenset[str]
    ) -> Result[Permitted, Refusal]:
        """Get a permit for a request; after some refusals try the owners of other replicas.

        Args:
            request: The request.
            avoid: Replicas on which the request has failed before.
        """
        refusal = _no_upstream_refusal(request)
        tried = set(avoid)
        for _ in range(_MAX_ATTEMPTS):
            chosen = self._choose(request, tried)
            if chosen is None:
                break
            replica = chosen.candidate.replica
            answer = self._ask(request, replica)
            if answer.is_ok():
                return answer
            refusal = answer.error
            self._log.info(
                f"{replica} refused {request.request_id}: {refusal.cause}.",
                request=request.request_id,
                replica=replica,
                cause=refusal.cause,
            )
            if refusal.cause not in _TRY_ELSEWHERE or request.deadline.passed:
                break
            tried.add(replica)
        return Error(refusal)

    def refund(self, permitted: Permitted, tokens: int) -> None:
        """Refund a permit to the owner that granted it, and to a newer owner if one is known."""
        held = permitted.held
        self._held.release(held)
        notice = wire.Return(held.replica, held.number, held.fence, tokens)
        for owner in self._held.owners_to_notify(held, permitted.owner):
            self._notify_end(owner, notice)

    def _notify_end(self, owner: str, notice: wire.Return) -> None:
        if owner == self._box:
            self._owner.refund(notice)
            return
        try:
            self._peers.link_to(owner).notify(notice)
        except PeerUnreachable:
            return

    def _choose(self, request: ServingRequest, tried: set[str]) -> Scored | None:
        candidates = self._view.candidates(request.pool, request.model.adapter_key)
        remaining = [item for item in candidates if item.replica not in tried]
        if not remaining:
            return None
        ranked = self._routing.rank(remaining)
        best = ranked[0]
        self._log.info(
            f"Route {request.request_id} to {best.candidate.replica}: {best.reason}.",
            request=request.request_id,
            model=str(request.model),
            scores={item.candidate.replica: round(item.score, 4) for item in ranked},
        )
        return best

    def _ask(self, request: ServingRequest, replica: str) -> Result[Permitted, Refusal]:
        report = self._view.report(replica)
        assert report is not None
        self._view.record_sent(replica)
        asked_at = monotonic()
        ask = wire.Ask(
            number=0,
            request_id=request.request_id,
            replica=replica,
            adapter=request.model.adapter_key,
            workload=request.terms.workload,
            worth=request.terms.worth,
            priority=request.priority,
            max_tokens=request.body.max_tokens,
            deadline_s=round(request.deadline.left_s, 3),
        )
        answer = (
            self._owner.request_permit(ask)
            if report.owner == self._box
            else self._ask_peer(ask, report.owner)
        )
        if answer.is_error():
            return Error(answer.error)
        return self._accept_grant(answer.ok, report.owner, asked_at)

    def _ask_peer(self, ask: wire.Ask, owner: str) -> Result[wire.Grant, Refusal]:
        try:
            link = self._peers.link_to(owner)
            number, result = link.send_question(ask)
        except PeerUnreachable as error:
            return self._owner_unreachable(ask, str(error))
        try:
            answer = result.get(timeout=ask.deadline_s + _ANSWER_MARGIN_S)
        except (PeerUnreachable, gevent.Timeout) as error:
            link.withdraw(number)
            return self._owner_unreachable(ask, str(error))
        except BaseException:
            link.withdraw(number)
            if result.ready() and isinstance(result.value, wire.Grant):
                link.decline(result.value)
            raise
        if isinstance(answer, wire.Deny):
            return Error(answer.refusal)
        if not isinstance(answer, wire.Grant):
            return self._owner_unreachable(ask, "unexpected type of answer from the owner")
        return Ok(answer)

    def _owner_unreachable(self, ask: wire.Ask, detail: str) -> Result[wire.Grant, Refusal]:
        self._view.avoid(ask.replica)
        return Error(Refusal(Cause.OWNER_UNREACHABLE, detail, RunState.NOT_RUN, 1.0))

    def _accept_grant(
        self, grant: wire.Grant, owner: str, asked_at: float
    ) -> Result[Permitted, Refusal]:
        """Store a granted permit, unless it arrived too late or has an outdated fence."""
        ends_at = asked_at + grant.waited_s + grant.end_within_s
        held = self._held.add_granted(grant, ends_at=ends_at)
        if held is None:
            return Error(_unusable_permit_refusal("a newer owner of the replica is known"))
        permitted = Permitted(
            upstream=self._view.upstream(grant.replica),
            owner=owner,
            held=held,
            start_before=asked_at + grant.start_within_s,
            waited_s=grant.waited_s,
            stall_s=grant.stall_s,
        )
        if monotonic() >= permitted.start_before:
            self.refund(permitted, 0)
            return Error(_unusable_permit_refusal("the permit came too late to be used"))
        return Ok(permitted)


def _no_upstream_refusal(request: ServingRequest) -> Refusal:
    detail = f"no replica of {request.pool.name} takes work now"
    return Refusal(Cause.NO_UPSTREAM, detail, RunState.NOT_RUN, _NO_UPSTREAM_RETRY_AFTER_S)


def _unusable_permit_refusal(detail: str) -> Refusal:
    return Refusal(Cause.PERMIT_EXPIRED, detail, RunState.NOT_RUN, 1.0)

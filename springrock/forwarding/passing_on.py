"""Passes requests on to another box while this one is cut off from replicas for them."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Protocol

from springrock.bounded_dict import BoundedDict
from springrock.clock import Deadline
from springrock.errors import AnswerCut
from springrock.forwarding.answer_limits import DEFAULT_LIMITS, AnswerLimits
from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.connection import ConnectionPool
from springrock.forwarding.dialect import Dialect, Handling, PassedOnReply
from springrock.forwarding.errors import (
    AnswerSilent,
    ForeignAnswer,
    NoReplica,
    OutcomeUnknown,
    Rejection,
    ReplicaUnreachable,
)
from springrock.forwarding.events import EventSplitter
from springrock.forwarding.exchange import Answer
from springrock.forwarding.planned_stop import PlannedStop
from springrock.forwarding.reply import Reply, own_reply, relayed_reply
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.run_times import RunTimes
from springrock.log import Log

_MAX_BOXES_TRIED = 2
_MAX_POOLS = 100
_REFUSAL_READ_TIMEOUT_S = 0.5


class Peers(Protocol):
    """The boxes that reach replicas."""

    @property
    def any_usable(self) -> bool:
        """Whether there is one that may be passed requests."""

    def pick(self, *, besides: Collection[str] = ()) -> str | None:
        """Return the address of one of them, besides some; None if there is none."""

    def record_failed(self, address: str) -> None:
        """Record that a box could not be reached."""


class PassingOn:
    """Passes requests on to boxes that reach replicas.

    The other box handles the request as its own: it checks the key, charges the quota and counts
    the retries. It passes nothing on that was passed on to it, and handles nothing if it knows less
    than this box; then another one is tried.

    Args:
        reach: Whether this box reaches replicas.
        peers: The boxes that do.
        dialect: Writes the request to the other box.
        log: The log to write to.
        limits: How much of an answer is kept.
        stop: The planned stop of this box, within which the other box must answer.
    """

    def __init__(
        self,
        *,
        reach: BoxReach,
        peers: Peers,
        dialect: Dialect,
        log: Log,
        limits: AnswerLimits = DEFAULT_LIMITS,
        stop: PlannedStop | None = None,
    ) -> None:
        self._limits = limits
        self._stop = stop or PlannedStop(RunTimes())
        self._reach = reach
        self._peers = peers
        self._dialect = dialect
        self._log = log
        self._pools: BoundedDict[ConnectionPool] = BoundedDict(at_most=_MAX_POOLS)

    def is_due(self, progress: RequestProgress) -> bool:
        """Whether a request that has not been sent to a replica should be passed on now."""
        return (
            self._reach.of(progress.service).cut_off
            and self._may_pass(progress)
            and self._peers.any_usable
        )

    def is_last_resort(self, progress: RequestProgress, rejection: Rejection) -> bool:
        """Whether a request that is about to be rejected should be passed on instead.

        That is the case if every connection for it failed, as with a cut that not every replica or
        connection is affected by.
        """
        return (
            isinstance(rejection, NoReplica)
            and bool(progress.attempts)
            and all(item.outcome is AttemptOutcome.UNREACHABLE for item in progress.attempts)
            and self._may_pass(progress)
        )

    def _may_pass(self, progress: RequestProgress) -> bool:
        return (
            not progress.arrivals
            and not progress.request.passed_on
            and self._stop.leaves_time_for(progress)
        )

    def forward(self, progress: RequestProgress) -> Reply | None:
        """Return the reply of another box; None if no box has handled the request or will."""
        tried: set[str] = set()
        while len(tried) < _MAX_BOXES_TRIED:
            address = self._peers.pick(besides=tried)
            if address is None:
                return None
            tried.add(address)
            try:
                reply = self._ask(progress, address)
            except ReplicaUnreachable:
                self._peers.record_failed(address)
                continue
            except OutcomeUnknown as error:
                self._peers.record_failed(address)
                self._log_passed(progress, address, error=str(error))
                return own_reply(504 if isinstance(error, AnswerSilent) else 502, "outcome_unknown")
            if reply is not None:
                return reply
        return None

    def _ask(self, progress: RequestProgress, address: str) -> Reply | None:
        """Return the reply of one box; None if it has not handled the request.

        Raises:
            ReplicaUnreachable: If nothing was sent.
            OutcomeUnknown: If the request may have run and no usable answer arrived.
        """
        answer = self._send(progress, address)
        stated = self._dialect.passed_on_reply(answer.head)
        self._log_passed(progress, address, stated=stated)
        match stated.handling:
            case Handling.HANDLED:
                answer.head = stated.head
                return self._reply(progress, answer)
            case Handling.UNKNOWN:
                answer.close()
                raise ForeignAnswer("another box answered without saying what it did")
            case Handling.NOT_UNDERSTOOD:
                self._peers.record_failed(address)
        answer.skip(deadline=Deadline(_REFUSAL_READ_TIMEOUT_S))
        answer.close()
        return None

    def _send(self, progress: RequestProgress, address: str) -> Answer:
        """Send the request and return the answer once its head has arrived.

        Raises:
            ReplicaUnreachable: If nothing was sent.
            OutcomeUnknown: If the request may have run and no answer arrived.
        """
        request = progress.request
        pool = self._pools.get(address) or ConnectionPool(address)
        self._pools.record(address, pool)
        left_s = self._stop.left_s_for(progress)
        deadline = Deadline(left_s)
        connection = pool.acquire(
            request.request_id,
            conservative=not progress.route.repeatable,
            timeout_s=deadline.left_s,
        )
        try:
            connection.send(
                request_id=request.request_id,
                method=request.method,
                target=request.target,
                headers=self._dialect.passed_on_headers(
                    request, left_s=left_s, required=progress.known
                ),
                body=request.body,
                timeout_s=deadline.left_s,
            )
            head = connection.receive_head(timeout_s=deadline.left_s)
        except BaseException:
            connection.close()
            raise
        return Answer(head, connection, pool, lambda sent, received: None)

    def _reply(self, progress: RequestProgress, answer: Answer) -> Reply:
        if progress.streaming and answer.head.succeeded:
            return relayed_reply(answer.head, self._relay(progress, answer))
        try:
            deadline = Deadline(self._stop.left_s_for(progress))
            kept = answer.read_kept(self._limits.kept_bytes, deadline=deadline)
        except OutcomeUnknown:
            answer.close()
            return own_reply(502, "outcome_unknown")
        except BaseException:
            answer.close()
            raise
        if not answer.complete:
            return relayed_reply(answer.head, self._relay_rest(progress, answer, kept))
        answer.close()
        return relayed_reply(answer.head, [kept])

    def _relay_rest(
        self, progress: RequestProgress, answer: Answer, kept: bytes
    ) -> Iterator[bytes]:
        """Yield a long answer as it arrives.

        Raises:
            AnswerCut: If it breaks off, or is not complete by the deadline.
        """
        try:
            yield kept
            while data := answer.read(timeout_s=progress.left_s):
                yield data
        except OutcomeUnknown as error:
            raise AnswerCut(f"from another box: {error}") from None
        finally:
            answer.close()

    def _relay(self, progress: RequestProgress, answer: Answer) -> Iterator[bytes]:
        """Yield complete events as they arrive.

        The other box deals with replicas that are silent, and no third box may go on with the
        stream. Its silence is therefore waited out until the deadline: the system of a box that
        died ends the connection at once, and a box that is cut off may be heard again.

        Raises:
            AnswerCut: If the stream breaks, or ends inside an event, whatever the other box says.
        """
        splitter = EventSplitter(max_event_bytes=self._limits.event_bytes)
        try:
            while data := answer.read(timeout_s=progress.left_s):
                events = splitter.feed(data)
                if events:
                    yield b"".join(event.raw for event in events)
        except OutcomeUnknown as error:
            raise AnswerCut(f"from another box: {error}") from None
        finally:
            answer.close()
        if splitter.inside_event:
            raise AnswerCut("the stream of the other box ended inside an event")
        yield splitter.drain_incomplete()

    def _log_passed(
        self,
        progress: RequestProgress,
        address: str,
        *,
        stated: PassedOnReply | None = None,
        error: str = "",
    ) -> None:
        self._log.info(
            "Passed a request on to another box.",
            request=progress.request.request_id,
            route=progress.route.name,
            to=address,
            configuration=progress.known.configuration,
            adapter_version=progress.known.adapter,
            status=0 if stated is None else stated.head.status,
            handling=None if stated is None else stated.handling,
            handled_by=None if stated is None else stated.configuration,
            error=error,
            cut_off=self._reach.of(progress.service).cut_off,
            attempts=progress.attempt_summaries(),
            age_ms=round(progress.age_s * 1000),
        )

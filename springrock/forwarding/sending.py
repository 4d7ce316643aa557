"""One attempt at one replica: sends the request and records what the outcome shows."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.forwarding.adapters import Adapters, UseOutcome
from springrock.forwarding.box_reach import BoxReach
from springrock.forwarding.choosing import ChosenReplica
from springrock.forwarding.cross_zone_bytes import CrossZoneBytes
from springrock.forwarding.dialect import Dialect, SendTerms
from springrock.forwarding.directory import Replica, ReplicaRecord
from springrock.forwarding.errors import (
    AnswerBroken,
    AnswerSilent,
    ConnectionRefused,
    ExchangeError,
    OutcomeUnknown,
    ReplicaChanged,
    ReplicaFull,
    ReplicaUnreachable,
    SendingForbidden,
)
from springrock.forwarding.exchange import Answer, exchange
from springrock.forwarding.message import AnswerHead
from springrock.forwarding.notices import ReplicaNotices
from springrock.forwarding.request_progress import Attempt, AttemptOutcome, RequestProgress
from springrock.forwarding.run_times import RunTimes
from springrock.forwarding.work_probe import WorkProbe
from springrock.log import Log
from springrock.permits.messages import PermitStage
from springrock.permits.warmup import WarmupTracker
from springrock.quarantine.crash_detector import CrashDetector

_OUTCOME_BY_ERROR: tuple[tuple[type[ExchangeError], AttemptOutcome], ...] = (
    (ReplicaUnreachable, AttemptOutcome.UNREACHABLE),
    (SendingForbidden, AttemptOutcome.WITHHELD),
    (ReplicaFull, AttemptOutcome.FULL),
    (ReplicaChanged, AttemptOutcome.CHANGED),
    (AnswerSilent, AttemptOutcome.SILENT),
    (OutcomeUnknown, AttemptOutcome.BROKEN),
)

_USE_OUTCOME_BY_ATTEMPT = {
    AttemptOutcome.CHANGED: UseOutcome.ADAPTER_MISSING,
    AttemptOutcome.FULL: UseOutcome.FULL,
    AttemptOutcome.UNREACHABLE: UseOutcome.UNREACHABLE,
    AttemptOutcome.BROKEN: UseOutcome.FAILED,
    AttemptOutcome.SILENT: UseOutcome.FAILED,
    AttemptOutcome.FAILED: UseOutcome.FAILED,
}

RecordUse = Callable[[ReplicaRecord, str, PermitStage], None]
"""Records what became of a request that was sent to a replica."""

_MAX_LOGGED_PARTS = 8

_MIN_SILENCE_AS_FAILURE_S = 0.5
"""A request that timed out earlier than this after its arrival, or after a part of its answer, does
not count as a silence of the replica: a route may allow less time than a healthy replica needs."""


class Sender:
    """Sends requests to replicas and records the outcomes.

    Args:
        dialect: Writes requests to replicas and reads their answers.
        adapters: Supplies the newest version of an adapter; receives which replicas lack one.
        warmup: Receives which replicas answered or failed, as a failed one may have restarted.
        may_send: Whether a request may still be sent to a replica; asked once the connection is
            open.
        log: The log to write to.
        byte_counters: Counts the bytes exchanged with replicas of other zones.
        crash_detector: Receives the outcomes that show whether a request crashes replicas.
        notices: Receives what the heads of answers say about their replicas.
        reach: Receives what shows whether this box reaches replicas of a service at all.
        run_times: Receives how long whole runs took.
        work_probe: Finds out whether a replica that is not heard is at work.
        is_brittle: Whether a replica may fall over for the requests that it turns away.
        record_use: Called with a replica, the client's id of a request and what became of it.
        count_attempt: Called with the outcome of each attempt.
    """

    def __init__(
        self,
        *,
        dialect: Dialect,
        adapters: Adapters,
        warmup: WarmupTracker,
        may_send: Callable[[RequestProgress, ChosenReplica], bool],
        byte_counters: CrossZoneBytes,
        log: Log,
        crash_detector: CrashDetector,
        notices: ReplicaNotices,
        reach: BoxReach,
        run_times: RunTimes | None = None,
        work_probe: WorkProbe | None = None,
        is_brittle: Callable[[ReplicaRecord], bool] = lambda record: False,
        record_use: RecordUse = lambda record, request, stage: None,
        count_attempt: Callable[[AttemptOutcome], None] = lambda outcome: None,
    ) -> None:
        self._dialect = dialect
        self._adapters = adapters
        self._warmup = warmup
        self._may_send = may_send
        self._log = log
        self._byte_counters = byte_counters
        self._crash_detector = crash_detector
        self._notices = notices
        self._reach = reach
        self._run_times = run_times or RunTimes()
        self.work_probe = work_probe or WorkProbe()
        self._is_brittle = is_brittle
        self._record_use = record_use
        self._count_attempt = count_attempt

    def start_attempt(self, progress: RequestProgress, replica: Replica) -> Attempt:
        """Start an attempt at a replica; the caller must pass it to `finish_attempt`."""
        replica.running += 1
        self._reach.of(replica.record.service).begin_wait(replica.instance)
        return progress.start_attempt(
            replica.instance,
            record_age_s=monotonic() - replica.recorded_at,
            software=replica.record.software,
        )

    def finish_attempt(self, chosen: ChosenReplica, attempt: Attempt) -> None:
        """Finish an attempt: release its place at the replica and report its outcome."""
        chosen.replica.running -= 1
        self._reach.of(chosen.replica.record.service).end_wait(chosen.replica.instance)
        self._count_attempt(attempt.outcome)
        full = attempt.outcome is AttemptOutcome.FULL
        stage = PermitStage.REFUSED if full else PermitStage.ENDED
        self._record_use(chosen.replica.record, attempt.request_id, stage)
        if chosen.use is not None:
            chosen.use.end(
                _USE_OUTCOME_BY_ATTEMPT.get(attempt.outcome, UseOutcome.ENDED),
                backoff_s=attempt.notice.backoff_s,
            )

    def send(
        self,
        progress: RequestProgress,
        chosen: ChosenReplica,
        attempt: Attempt,
        *,
        head_timeout_s: float,
        after_event: str = "",
    ) -> Answer:
        """Send the request and return the answer, to be closed by the caller.

        Args:
            progress: The request.
            chosen: The replica to send to.
            attempt: Receives what the answer's head says about the replica.
            head_timeout_s: Timeout for the head of the answer.
            after_event: Id of the event after which a stream resumes, or empty.

        Raises:
            ExchangeError: If the exchange gave no answer for the client.
        """
        key = progress.request.adapter_key
        replica = chosen.replica
        terms = SendTerms(
            instance=replica.record.replica_id,
            left_s=progress.left_s,
            adapter_version=0 if key is None else self._adapters.newest(key),
            priority=progress.priority if progress.streaming else None,
            after_event=after_event,
            team=progress.admission.team_for_replicas,
        )
        return exchange(
            progress.request,
            pool=replica.pool,
            terms=terms,
            dialect=self._dialect,
            repeatable=progress.route.repeatable,
            head_timeout_s=head_timeout_s,
            may_send=lambda: self._may_send(progress, chosen),
            on_close=self._byte_counters.counter_for(replica.record.zone),
            on_head=lambda head: self._handle_head(progress, replica, attempt, head),
            on_data=lambda: self._record_heard(replica),
        )

    def _record_heard(self, replica: Replica) -> None:
        replica.heard_at = monotonic()
        replica.health.record_heard()
        self._reach.of(replica.record.service).record_heard(replica.instance)

    def _handle_head(
        self, progress: RequestProgress, replica: Replica, attempt: Attempt, head: AnswerHead
    ) -> None:
        """Record what an answer's head says about its replica.

        Done when the head arrives, as the body of a stream may take long.
        """
        notice = attempt.notice = self._dialect.notice(head)
        if not self._dialect.not_run(head):
            self._record_use(replica.record, progress.request.request_id, PermitStage.ADMITTED)
        sent_at = progress.request.received_at + attempt.began_s
        self._notices.handle_answer(replica, notice, sent_at=sent_at)

    def record_answer(
        self, progress: RequestProgress, replica: Replica, attempt: Attempt, status: int
    ) -> None:
        """Record the status of an answer as evidence on the replica."""
        sent_at = progress.request.received_at + attempt.began_s
        self._warmup.record_answered(replica.record, sent_at=sent_at)
        self._crash_detector.record_answered(replica.instance, sent_at=sent_at)
        if status >= 500:
            attempt.outcome = AttemptOutcome.FAILED
            replica.health.record_failure()
        else:
            attempt.outcome = AttemptOutcome.ANSWERED
            replica.health.record_success()

    def record_silence(self, replica: Replica, attempt: Attempt, *, since: float) -> None:
        """Record that a replica has sent nothing for too long; the exchange may go on.

        Args:
            replica: The replica.
            attempt: The attempt.
            since: When it was last heard in the exchange, or else the request was sent, on the
                local monotonic clock.
        """
        attempt.silent = True
        replica.health.record_silence(for_s=monotonic() - since)
        self._warmup.record_silent(replica.record, since=since)
        self._reach.of(replica.record.service).record_unreachable()

    def record_went_on(self, replica: Replica, attempt: Attempt, *, sent_at: float) -> None:
        """Record that a replica has sent more in an exchange in which it was silent."""
        attempt.silent = False
        self._warmup.record_went_on(replica.record, sent_at=sent_at)

    def record_writing(self, progress: RequestProgress, head: AnswerHead) -> None:
        """Record that a replica has begun to write the answer, and goes on."""
        if head.succeeded:
            self._crash_detector.record_writing(progress.suspects.shared)

    def record_completion(self, progress: RequestProgress, head: AnswerHead) -> None:
        """Record that a replica completed the request without crashing."""
        if head.succeeded:
            run_s = progress.age_s - progress.attempts[-1].began_s
            self._run_times.record(progress.route.name, run_s)
        self._crash_detector.record_completion(progress.suspects.whole)
        self.record_writing(progress, head)

    def record_failure(
        self,
        progress: RequestProgress,
        replica: Replica,
        attempt: Attempt,
        error: ExchangeError,
        *,
        heard_at: float | None = None,
    ) -> None:
        """Record and log an exchange that gave no answer.

        Args:
            progress: The request.
            replica: The replica.
            attempt: The attempt.
            error: What ended the exchange.
            heard_at: When the replica was last heard in the exchange, on the local monotonic clock;
                None if it sent nothing.
        """
        attempt.outcome = next(
            outcome for kind, outcome in _OUTCOME_BY_ERROR if isinstance(error, kind)
        )
        self._record_fault_evidence(progress, replica, attempt, error, heard_at=heard_at)
        self._report_to_crash_detector(progress, replica, attempt, error)
        self._log.info(
            "An attempt failed.",
            request=progress.request.request_id,
            fingerprint=progress.fingerprint.short,
            parts=progress.shared_parts[:_MAX_LOGGED_PARTS],
            number=len(progress.attempts),
            after_event=progress.last_event_id,
            instance=replica.instance,
            outcome=attempt.outcome,
            other_running=replica.running - 1,
            error=str(error),
            replica_leaving=attempt.notice.leaving,
            requested_backoff_s=round(attempt.notice.backoff_s, 2),
            failure_rate=round(replica.health.failure_rate, 2),
            cooldown_s=round(replica.health.rest_left_s, 2),
            age_ms=round(progress.age_s * 1000),
        )

    def _report_to_crash_detector(
        self, progress: RequestProgress, replica: Replica, attempt: Attempt, error: ExchangeError
    ) -> None:
        """Pass on what an attempt without an answer shows about crashes of the replica."""
        match error:
            case AnswerBroken() if self._is_brittle(replica.record):
                pass  # A brittle replica falls over for what it turns away, not for what it runs.
            case AnswerBroken():
                self._crash_detector.record_break(
                    progress.suspects, replica.record, is_writing=attempt.is_writing
                )
            case ReplicaFull():
                sent_at = progress.request.received_at + attempt.began_s
                self._crash_detector.record_answered(replica.instance, sent_at=sent_at)
            case ReplicaUnreachable() if not isinstance(error, ConnectionRefused):
                self._crash_detector.record_unreachable(replica.instance)

    def _record_fault_evidence(
        self,
        progress: RequestProgress,
        replica: Replica,
        attempt: Attempt,
        error: ExchangeError,
        *,
        heard_at: float | None,
    ) -> None:
        key = progress.request.adapter_key
        if isinstance(error, ReplicaUnreachable):
            self._reach.of(replica.record.service).record_unreachable()
            refused = isinstance(error, ConnectionRefused)
            self._warmup.record_failed(replica.record, refused=refused)
            replica.health.record_unreachable()
        elif isinstance(error, AnswerSilent):
            self._reach.of(replica.record.service).record_unreachable()
            waited_s = progress.age_s if heard_at is None else monotonic() - heard_at
            if waited_s >= _MIN_SILENCE_AS_FAILURE_S and not attempt.silent:
                sent_at = progress.request.received_at + attempt.began_s
                since = sent_at if heard_at is None else heard_at
                self.record_silence(replica, attempt, since=since)
        elif isinstance(error, OutcomeUnknown):
            self._warmup.record_failed(replica.record, refused=False)
            replica.health.record_failure()
        elif isinstance(error, ReplicaFull):
            replica.health.record_full()
        elif not isinstance(error, ReplicaChanged):
            return
        elif key is not None:
            self._adapters.record_missing(replica.instance, key)
        else:
            replica.health.record_failure()

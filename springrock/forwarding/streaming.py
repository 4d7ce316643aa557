"""Relays streams of events in complete events, and resumes broken ones at another replica."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from springrock.clock import Deadline, monotonic
from springrock.errors import AnswerCut
from springrock.forwarding.choosing import (
    MIN_SEND_TIME_S,
    ChosenReplica,
    ReplicaChooser,
    first_event_wait_s,
)
from springrock.forwarding.errors import AnswerBroken, ExchangeError, OutcomeUnknown, Rejection
from springrock.forwarding.events import EventSplitter
from springrock.forwarding.exchange import Answer
from springrock.forwarding.message import AnswerHead, BodyEnd
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.sending import Sender
from springrock.log import Log

_STALL_TIMEOUT_S = 1.5
"""A resumable stream counts as stalled after this time without an event."""

_RESUME_TIMEOUT_S = 2.0
"""Time allowed for resuming a broken stream at another replica."""


OnBegun = Callable[[RequestProgress, str], None]


class StreamRun:
    """One run of a stream at one replica; yields its complete events, several at a time.

    Args:
        sender: Sends the request.
        progress: The request.
        chosen: The replica that runs it.
        on_begun: Called with the request and the replica's software version before the run's first
            event with an id is yielded.
    """

    def __init__(
        self,
        sender: Sender,
        progress: RequestProgress,
        chosen: ChosenReplica,
        *,
        on_begun: OnBegun,
    ) -> None:
        self._on_begun = on_begun
        self._sender = sender
        self._progress = progress
        self._chosen = chosen
        self._replica = chosen.replica
        self._splitter = EventSplitter()
        self._first_events = b""
        self._attempt = sender.start_attempt(progress, chosen.replica)
        self._closed = False
        self._begun = False
        self._writing = False
        self._heard_at = monotonic()
        self._answer: Answer | None = None

    @property
    def body_end(self) -> BodyEnd | None:
        """What marks the end of the answer's body; None without an answer."""
        return None if self._answer is None else self._answer.head.body_end

    @property
    def silent_s(self) -> float:
        """Seconds since the run began or its latest event arrived."""
        return monotonic() - self._heard_at

    def open(self) -> AnswerHead:
        """Send the request, read up to the first complete event, and return the head.

        Raises:
            ExchangeError: If there is no answer, or it broke before the first event.
        """
        try:
            answer = self._send()
            self._first_events = self._read_events(answer, timeout_s=self._open_timeout_s())
            self._attempt.first_event_at = monotonic()
        except ExchangeError as error:
            self._sender.record_failure(self._progress, self._replica, self._attempt, error)
            self.close()
            raise
        except BaseException:
            self.close()
            raise
        self._heard_at = monotonic()
        self._sender.record_answer(self._progress, self._replica, self._attempt, answer.head.status)
        if self._chosen.use is not None and answer.head.succeeded:
            self._chosen.use.record_first_event()
        return answer.head

    def __iter__(self) -> Iterator[bytes]:
        assert self._answer is not None
        data = self._first_events
        while data:
            yield data
            data = self._read_next(self._answer)
            self._heard_at = monotonic()
            self._record_writing()
        self._sender.record_completion(self._progress, self._answer.head)

    def close(self) -> None:
        """Finish the attempt and release its connection; safe to call again."""
        if self._closed:
            return
        self._closed = True
        self._sender.finish_attempt(self._chosen, self._attempt)
        if self._answer is not None:
            self._answer.close()

    def _send(self) -> Answer:
        self._answer = self._sender.send(
            self._progress,
            self._chosen,
            self._attempt,
            head_timeout_s=self._open_timeout_s(),
            after_event=self._progress.last_event_id,
        )
        return self._answer

    def _open_timeout_s(self) -> float:
        if self._progress.resuming:
            return min(_RESUME_TIMEOUT_S, self._progress.left_s)
        return first_event_wait_s(self._progress)

    def _record_writing(self) -> None:
        """Record once that the replica goes on after the beginning of its answer."""
        if self._writing or not self._attempt.is_writing:
            return
        self._writing = True
        assert self._answer is not None
        self._sender.record_writing(self._progress, self._answer.head)

    def _read_next(self, answer: Answer) -> bytes:
        progress = self._progress
        stall_s = _STALL_TIMEOUT_S if progress.may_run_again else progress.event_timeout_s
        try:
            return self._read_events(answer, timeout_s=min(stall_s, progress.left_s))
        except OutcomeUnknown as error:
            self._sender.record_failure(progress, self._replica, self._attempt, error)
            raise

    def _read_events(self, answer: Answer, *, timeout_s: float) -> bytes:
        """Return the next complete events; at the end of the body what is left of it, if anything.

        Raises:
            AnswerBroken: If the stream broke off.
            AnswerSilent: If no event was complete within the timeout.
        """
        deadline = Deadline(max(MIN_SEND_TIME_S, timeout_s))
        while True:
            data = answer.read(timeout_s=deadline.left_s)
            if not data:
                return self._read_end(answer)
            events = self._splitter.feed(data)
            for event in events:
                if event.event_id:
                    self._progress.record_event(event.event_id)
            if events:
                self._record_begun()
                return b"".join(event.raw for event in events)

    def _record_begun(self) -> None:
        """Restrict the stream to the replica's version once it can go on after an event."""
        if self._begun or not self._progress.resuming:
            return
        self._begun = True
        self._progress.bind_software(self._attempt.software)
        self._on_begun(self._progress, self._attempt.software)

    def _read_end(self, answer: Answer) -> bytes:
        """Return what is left at the end of the body: a failure without events, or line ends.

        Raises:
            AnswerBroken: If a stream ended inside an event. No framing shows that it is complete:
                the replica may have broken off before anyone in between stated its end.
        """
        broken_off = self._splitter.inside_event and answer.head.succeeded
        incomplete = self._splitter.drain_incomplete()
        if broken_off:
            raise AnswerBroken(f"the stream ended inside an event, after {len(incomplete)} bytes")
        return incomplete


class _Break(NamedTuple):
    """The break of a stream.

    Attributes:
        run: The run that broke.
        error: What broke it.
        silent_s: For how long the replica had sent no event, in seconds.
    """

    run: StreamRun
    error: OutcomeUnknown
    silent_s: float


class StreamRelay:
    """Opens streams and relays them to clients, resuming at other replicas where that is allowed.

    Args:
        chooser: Chooses replicas.
        sender: Sends requests to them.
        log: The log to write to.
        on_begun: See `StreamRun`.
    """

    def __init__(
        self,
        *,
        chooser: ReplicaChooser,
        sender: Sender,
        log: Log,
        on_begun: OnBegun = lambda progress, software: None,
    ) -> None:
        self._on_begun = on_begun
        self._chooser = chooser
        self._sender = sender
        self._log = log

    def open(self, progress: RequestProgress, *, until: float) -> tuple[AnswerHead, StreamRun]:
        """Start the stream at one replica; return the head of the answer and the run.

        Raises:
            Rejection: If no replica may be tried.
            ExchangeError: If the replica gave no answer.
        """
        chosen = self._chooser.next_replica(progress, until=until)
        run = StreamRun(self._sender, progress, chosen, on_begun=self._on_begun)
        return run.open(), run

    def relay(self, progress: RequestProgress, run: StreamRun) -> Iterator[bytes]:
        """Yield complete events.

        Raises:
            AnswerCut: If the stream broke and cannot be resumed at another replica.
        """
        while True:
            try:
                yield from run
                self._log_end(progress, run)
                return
            except OutcomeUnknown as error:
                broken = _Break(run, error, run.silent_s)
            finally:
                run.close()
            run = self._resume(progress, broken)

    def _resume(self, progress: RequestProgress, broken: _Break) -> StreamRun:
        until = min(progress.ends_at, monotonic() + _RESUME_TIMEOUT_S)
        refused = "" if progress.resuming else "nothing_sent"
        while progress.resuming and progress.may_run_again:
            try:
                head, run = self.open(progress, until=until)
            except Rejection as rejection:
                refused = rejection.reason
                break
            except ExchangeError:
                continue
            if head.succeeded:
                self._log_break("Resumed a stream.", progress, broken)
                return run
            run.close()
        self._log_break("Cut a stream.", progress, broken, refused=refused or "may_have_run")
        raise AnswerCut(str(broken.error))

    def _log_end(self, progress: RequestProgress, run: StreamRun) -> None:
        self._log.info(
            "A stream ended.",
            request=progress.request.request_id,
            last_event=progress.last_event_id,
            body_end=run.body_end,
            attempts=progress.attempt_summaries(),
            age_ms=round(progress.age_s * 1000),
        )

    def _log_break(
        self,
        sentence: str,
        progress: RequestProgress,
        broken: _Break,
        *,
        refused: str = "",
    ) -> None:
        self._log.info(
            sentence,
            request=progress.request.request_id,
            after_event=progress.last_event_id,
            body_end=broken.run.body_end,
            error=str(broken.error),
            silent_ms=round(broken.silent_s * 1000),
            left_ms=round(progress.left_s * 1000),
            refused=refused,
            attempts=progress.attempt_summaries(),
            age_ms=round(progress.age_s * 1000),
        )

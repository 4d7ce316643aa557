"""One run of a stream at one replica, read in complete events."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent

from springrock.clock import Deadline, monotonic
from springrock.forwarding.answer_limits import DEFAULT_LIMITS, AnswerLimits
from springrock.forwarding.choosing import MIN_SEND_TIME_S, ChosenReplica
from springrock.forwarding.errors import AnswerBroken, AnswerSilent, ExchangeError, OutcomeUnknown
from springrock.forwarding.events import Event, EventSplitter
from springrock.forwarding.exchange import Answer
from springrock.forwarding.message import AnswerHead, BodyEnd
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.sending import Sender

_MAX_LATE_S = 0.25
"""For how long events that arrive without a pause are sent on after the deadline."""

OnBegun = Callable[[RequestProgress, str], None]


class StreamRun:
    """One run of a stream at one replica.

    Events that were read count as sent on only once they are committed, so that a run that is read
    beside another one leaves no trace in the request unless it goes on with the stream.

    Args:
        sender: Sends the request.
        progress: The request.
        chosen: The replica that runs it.
        on_begun: Called with the request and the replica's software version before the run's first
            event with an id is sent on.
        limits: How much of an answer is kept.

    Attributes:
        began_at: When the run was begun, on the local monotonic clock.
    """

    def __init__(
        self,
        sender: Sender,
        progress: RequestProgress,
        chosen: ChosenReplica,
        *,
        on_begun: OnBegun,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self._on_begun = on_begun
        self._sender = sender
        self._progress = progress
        self._chosen = chosen
        self._replica = chosen.replica
        self._splitter = EventSplitter(max_event_bytes=limits.event_bytes)
        self._first_events: list[Event] = []
        self._attempt = sender.start_attempt(progress, chosen.replica)
        self._closed = False
        self._begun = False
        self._writing = False
        self.began_at = monotonic()
        self._heard_at = self.began_at
        self._answer: Answer | None = None
        self._late: Deadline | None = None

    @property
    def instance(self) -> str:
        """The incarnation of the replica."""
        return self._replica.instance

    @property
    def body_end(self) -> BodyEnd | None:
        """What marks the end of the answer's body; None without an answer."""
        return None if self._answer is None else self._answer.head.body_end

    @property
    def silent_s(self) -> float:
        """Seconds since the run began or its latest event arrived."""
        return monotonic() - self._heard_at

    @property
    def replica_heard_at(self) -> float:
        """When the replica last sent a part of any answer, or answered a probe.

        On the local monotonic clock.
        """
        return max(self._replica.heard_at, self._replica.at_work_at)

    def probe(self) -> None:
        """Find out whether the replica is at work, unless it was heard lately."""
        self._sender.work_probe.ask(self._replica)

    def open(self, *, silent_after_s: float) -> AnswerHead:
        """Send the request, read up to the first complete event, and return the head.

        Args:
            silent_after_s: Time without an event after which the replica counts as silent; the
                event is waited for until the deadline.

        Raises:
            ExchangeError: If there is no answer, or it broke before the first event.
        """
        silence = gevent.spawn_later(silent_after_s, self.record_silence)
        try:
            answer = self._send()
            self._first_events = self._read_events(answer)
            self._attempt.first_event_at = monotonic()
        except ExchangeError as error:
            self._sender.record_failure(self._progress, self._replica, self._attempt, error)
            self.close()
            raise
        except BaseException:
            self.close()
            raise
        finally:
            silence.kill(block=False)
        self._record_heard()
        self._sender.record_answer(self._progress, self._replica, self._attempt, answer.head.status)
        if self._chosen.use is not None and answer.head.succeeded:
            self._chosen.use.record_first_event()
        if not self._first_events:
            self._sender.record_completion(self._progress, answer.head)
        return answer.head

    def __iter__(self) -> Iterator[bytes]:
        """Yield complete events, several at a time, each committed before.

        Raises:
            OutcomeUnknown: If the answer broke off, or was not complete by the deadline.
        """
        events = self._first_events
        while events:
            yield self.commit(events)
            events = self.read()

    def commit_first(self) -> bytes:
        """Commit the events that `open` has read and return their bytes."""
        return self.commit(self._first_events)

    def read(self) -> list[Event]:
        """Return the next complete events; none at the end of the answer.

        Raises:
            OutcomeUnknown: If the answer broke off, or was not complete by the deadline.
        """
        assert self._answer is not None
        try:
            events = self._read_events(self._answer)
        except OutcomeUnknown as error:
            self.record_failure(error)
            raise
        self._record_heard()
        self._record_writing()
        if not events:
            self._sender.record_completion(self._progress, self._answer.head)
        return events

    def commit(self, events: list[Event]) -> bytes:
        """Record that events are being sent to the client, and return their bytes."""
        for event in events:
            if event.event_id:
                self._progress.record_event(event.event_id)
        self._record_begun()
        return b"".join(event.raw for event in events)

    def record_failure(self, error: OutcomeUnknown) -> None:
        """Record that the run gave no whole answer."""
        self._sender.record_failure(
            self._progress, self._replica, self._attempt, error, heard_at=self._heard_at
        )

    def record_silence(self) -> None:
        """Record that the replica has sent no event for too long; the run goes on."""
        self._sender.record_silence(self._replica, self._attempt, since=self._heard_at)

    def record_given_up(self, reason: str) -> AnswerSilent:
        """Record that another replica goes on with the stream; return what counts as the error."""
        error = AnswerSilent(reason)
        self.record_failure(error)
        return error

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
            head_timeout_s=self._progress.left_s,
            after_event=self._progress.last_event_id,
        )
        return self._answer

    def _record_heard(self) -> None:
        self._heard_at = monotonic()
        if self._attempt.silent:
            self._sender.record_went_on(self._replica, self._attempt, sent_at=self.began_at)

    def _record_writing(self) -> None:
        """Record once that the replica goes on after the beginning of its answer."""
        if self._writing or not self._attempt.is_writing:
            return
        self._writing = True
        assert self._answer is not None
        self._sender.record_writing(self._progress, self._answer.head)

    def _read_events(self, answer: Answer) -> list[Event]:
        """Return the next complete events; at the end of the body what is left of it, if anything.

        Raises:
            AnswerBroken: If the stream broke off.
            AnswerSilent: If no event was complete by the deadline, or the stream goes on after it.
            AnswerTooLarge: If an event, or the framing of the stream, has too many bytes.
        """
        deadline = Deadline(max(MIN_SEND_TIME_S, self._progress.left_s))
        while True:
            data = answer.read(timeout_s=deadline.left_s)
            if not data:
                return self._read_end(answer)
            events = self._splitter.feed(data)
            self._require_in_time()
            if events:
                return events

    def _require_in_time(self) -> None:
        """Raise if the stream has gone on for too long after the deadline.

        What arrived while this box was paused is sent on nevertheless.

        Raises:
            AnswerSilent: If it has.
        """
        if self._progress.left_s > 0:
            return
        if self._late is None:
            self._late = Deadline(_MAX_LATE_S)
        elif self._late.passed:
            self._record_heard()
            raise AnswerSilent("the stream did not end by the deadline")

    def _record_begun(self) -> None:
        """Restrict the stream to the replica's version once it can go on after an event."""
        if self._begun or not self._progress.resuming:
            return
        self._begun = True
        self._progress.bind_software(self._attempt.software)
        self._on_begun(self._progress, self._attempt.software)

    def _read_end(self, answer: Answer) -> list[Event]:
        """Return what is left at the end of the body: a failure without events, or line ends.

        Raises:
            AnswerBroken: If a stream ended inside an event. No framing shows that it is complete:
                the replica may have broken off before anyone in between stated its end.
        """
        broken_off = self._splitter.inside_event and answer.head.succeeded
        incomplete = self._splitter.drain_incomplete()
        if broken_off:
            raise AnswerBroken(f"the stream ended inside an event, after {len(incomplete)} bytes")
        return [Event(incomplete, "")] if incomplete else []

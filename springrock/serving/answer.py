"""An answer in progress: verified events; a broken stream is resumed at the exact position."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent

from springrock.clock import monotonic
from springrock.drivers.engine import EngineDriver, EngineStream, StreamEvent
from springrock.errors import (
    Cause,
    Refusal,
    RequestRefused,
    RunState,
    UpstreamBroke,
    UpstreamGarbage,
    UpstreamSaidNo,
    UpstreamUnreachable,
    WrongAnswer,
)
from springrock.log import Log
from springrock.metrics import Metrics
from springrock.serving.router import Permitted
from springrock.wire.engine import EngineRequest

MAX_RESUMES_WITHOUT_PROGRESS = 3
RESUME_PAUSE_S = 0.05
_CANCEL_INTERVAL_S = 0.5
BROKEN_RETRY_AFTER_S = 1.0
_CHECK_INTERVAL_S = 5.0
_MAX_SILENCE_S = 15.0


class Answer:
    """An answer in progress. Iterating yields its events; it must always be closed.

    Args:
        request: The request as sent to the engine.
        permitted: The permit under which it runs.
        driver: Opens streams of the engine and cancels requests.
        stream: The open stream.
        refund: Refunds the permit; takes the number of tokens of a complete answer, or 0.
        log: The log to write to.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        request: EngineRequest,
        permitted: Permitted,
        driver: EngineDriver,
        stream: EngineStream,
        *,
        refund: Callable[[int], None],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._request = request
        self._driver = driver
        self._stream = stream
        self._refund = refund
        self._log = log
        self._metrics = metrics
        self._closed = False
        self._resumes_left = MAX_RESUMES_WITHOUT_PROGRESS
        self._events = iter(stream)
        self._first: StreamEvent | None = None
        self._ends_at = permitted.held.ends_at
        self._last_position = -1
        self._last_progress_at = monotonic()
        self._watch_task = gevent.spawn_later(self._next_check_in_s, self._watch_loop)
        self.permitted = permitted

    @property
    def tokens(self) -> int:
        """Number of tokens received."""
        return self._stream.position

    def wait_for_first_event(self) -> None:
        """Wait for the first event.

        Raises:
            UpstreamBroke: If the engine does not deliver it.
        """
        self._first = self._next()

    def __iter__(self) -> Iterator[StreamEvent]:
        """Yield the events.

        Raises:
            RequestRefused: If the answer cannot be completed.
        """
        if self._first is not None:
            event, self._first = self._first, None
            yield event
        while not self._stream.is_complete:
            try:
                event = self._next()
            except UpstreamBroke as error:
                raise RequestRefused(self._cut_refusal(error)) from None
            yield event

    def close(self) -> None:
        """Refund the permit; before that, cancel an incomplete answer in the engine."""
        if self._closed:
            return
        self._closed = True
        self._metrics.chunks.inc(self._stream.position)
        self._watch_task.kill(block=False)
        is_complete = self._stream.is_complete
        self._stream.close()
        if is_complete:
            self._refund(self._stream.position)
        else:
            request_id = self._request.request_id
            gevent.spawn(
                cancel_until_confirmed, self._driver, request_id, self._ends_at, self._refund
            )

    @property
    def _next_check_in_s(self) -> float:
        return min(_CHECK_INTERVAL_S, max(0.0, self._ends_at - monotonic()))

    def _watch_loop(self) -> None:
        """Abort the stream when the permit expires or the engine sends nothing for too long."""
        while True:
            now = monotonic()
            if self._stream.position != self._last_position:
                self._last_position = self._stream.position
                self._last_progress_at = now
            if now >= self._ends_at:
                self._stream.abort()
                return
            if now - self._last_progress_at > _MAX_SILENCE_S:
                # The reader may resume the stream: the silence is then measured from here.
                self._last_progress_at = now
                self._stream.abort()
            gevent.sleep(self._next_check_in_s)

    def _next(self) -> StreamEvent:
        while True:
            try:
                event = next(self._events)
                self._resumes_left = MAX_RESUMES_WITHOUT_PROGRESS
                return event
            except (WrongAnswer, UpstreamGarbage):
                raise
            except UpstreamBroke as error:
                self._resume(error)
            except StopIteration:
                raise UpstreamBroke("the stream ended") from None

    def _resume(self, break_error: UpstreamBroke) -> None:
        """Resume after the last event received; raise the error if that is impossible."""
        if not self._resumes_left or monotonic() >= self._ends_at:
            raise break_error
        self._resumes_left -= 1
        position = self._stream.position
        self._stream.close()
        gevent.sleep(RESUME_PAUSE_S)
        try:
            stream = self._driver.resume(
                self._request, position, timeout_s=self._ends_at - monotonic()
            )
        except (UpstreamUnreachable, UpstreamSaidNo) as error:
            raise UpstreamBroke(f"{break_error}; {error}") from None
        self._log.info(
            f"Resumed {self._request.request_id} at {position}.",
            request=self._request.request_id,
            position=position,
        )
        self._stream = stream
        self._events = iter(stream)

    def _cut_refusal(self, error: UpstreamBroke) -> Refusal:
        if monotonic() >= self._ends_at:
            return Refusal(Cause.DEADLINE_PASSED, "the deadline passed", RunState.CUT)
        return Refusal(cause_of(error), str(error), RunState.CUT, BROKEN_RETRY_AFTER_S)


def cancel_until_confirmed(
    driver: EngineDriver, request_id: str, ends_at: float, refund: Callable[[int], None]
) -> None:
    """Cancel a request and refund its permit once the engine has confirmed the cancellation.

    Without confirmation the permit expires at its owner. The owner then counts the adapter as used
    and repeats the cancellation until it is confirmed.
    """
    while monotonic() < ends_at:
        if driver.cancel(request_id):
            refund(0)
            return
        gevent.sleep(_CANCEL_INTERVAL_S)


def cause_of(error: UpstreamBroke) -> Cause:
    """Return the cause of the refusal that callers receive for a broken stream."""
    if isinstance(error, WrongAnswer):
        return Cause.WRONG_ADAPTER
    if isinstance(error, UpstreamGarbage):
        return Cause.UPSTREAM_GARBAGE
    return Cause.UPSTREAM_FAILED

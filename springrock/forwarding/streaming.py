"""Relays streams of events in complete events, and resumes broken ones at another replica."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.errors import AnswerCut
from springrock.forwarding.answer_limits import DEFAULT_LIMITS, AnswerLimits
from springrock.forwarding.choosing import MIN_SEND_TIME_S, ChosenReplica, ReplicaChooser
from springrock.forwarding.errors import OutcomeUnknown
from springrock.forwarding.message import AnswerHead
from springrock.forwarding.request_progress import RequestProgress
from springrock.forwarding.resumption import Resumption
from springrock.forwarding.sending import Sender
from springrock.forwarding.silence_guard import Overtaken, SilenceGuard
from springrock.forwarding.stream_run import OnBegun, StreamRun
from springrock.log import Log


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
        limits: How much of an answer is kept.
    """

    def __init__(
        self,
        *,
        chooser: ReplicaChooser,
        sender: Sender,
        log: Log,
        on_begun: OnBegun = lambda progress, software: None,
        limits: AnswerLimits = DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
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
        run = self._prepare(progress, chosen)
        silent_after_s = max(MIN_SEND_TIME_S, progress.first_event_deadline - monotonic())
        return run.open(silent_after_s=silent_after_s), run

    def relay(self, progress: RequestProgress, run: StreamRun) -> Iterator[bytes]:
        """Yield complete events.

        Raises:
            AnswerCut: If the stream broke and cannot be resumed at another replica.
        """
        while True:
            guard = self._guard(progress, run)
            try:
                yield from self._read(run, guard)
            except Overtaken as overtaken:
                broken = _Break(run, run.record_given_up(str(overtaken)), run.silent_s)
            except OutcomeUnknown as error:
                broken = _Break(run, error, run.silent_s)
            except BaseException:
                guard.close()
                raise
            else:
                guard.close()
                self._log_end(progress, run)
                return
            finally:
                run.close()
            run = self._resume(progress, broken, guard)

    def _read(self, run: StreamRun, guard: SilenceGuard) -> Iterator[bytes]:
        """Yield the events of one run while no other replica goes on with the stream."""
        data = run.commit_first()
        while data:
            yield data
            data = run.commit(guard.read())

    def _prepare(self, progress: RequestProgress, chosen: ChosenReplica) -> StreamRun:
        return StreamRun(
            self._sender, progress, chosen, on_begun=self._on_begun, limits=self._limits
        )

    def _guard(self, progress: RequestProgress, run: StreamRun) -> SilenceGuard:
        def _new_resumption(on_won: Callable[[], None]) -> Resumption:
            return Resumption(
                progress,
                chooser=self._chooser,
                prepare=lambda chosen: self._prepare(progress, chosen),
                on_won=on_won,
            )

        guard = SilenceGuard(
            run,
            may_resume=lambda: progress.resuming and progress.may_run_again,
            new_resumption=_new_resumption,
            on_silent=lambda: self._record_silence(progress, run),
        )
        guard.start()
        return guard

    def _resume(self, progress: RequestProgress, broken: _Break, guard: SilenceGuard) -> StreamRun:
        """Return the run that goes on with a stream.

        Raises:
            AnswerCut: If no replica does.
        """
        resumption = guard.release_resumption()
        try:
            run = resumption.await_winner()
        finally:
            resumption.cancel()
        if run is None:
            self._log_break("Cut a stream.", progress, broken, refused=resumption.refused)
            raise AnswerCut(str(broken.error))
        self._log_break("Resumed a stream.", progress, broken)
        return run

    def _record_silence(self, progress: RequestProgress, run: StreamRun) -> None:
        run.record_silence()
        self._log.info(
            "A replica is silent during a stream.",
            request=progress.request.request_id,
            instance=run.instance,
            after_event=progress.last_event_id,
            silent_ms=round(run.silent_s * 1000),
            left_ms=round(progress.left_s * 1000),
            attempts=progress.attempt_summaries(),
        )

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

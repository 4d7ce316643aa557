"""One run of a request with a plain answer at one replica."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

import gevent

from springrock.clock import Deadline, monotonic
from springrock.errors import AnswerCut
from springrock.forwarding.choosing import ChosenReplica
from springrock.forwarding.connection import MIN_SILENCE_S
from springrock.forwarding.errors import (
    AnswerSilent,
    AnswerTooLarge,
    ExchangeError,
    OutcomeUnknown,
)
from springrock.forwarding.exchange import Answer
from springrock.forwarding.reply import Reply, relayed_reply
from springrock.forwarding.request_progress import AttemptOutcome, RequestProgress
from springrock.forwarding.sending import Sender

_RELEASE_PAUSE_S = 0.1


class PlainRun:
    """One run of a request with a plain answer at one replica.

    A short answer is read whole before any of it is sent on, so that the request may still run
    elsewhere if it breaks off. The rest of a long one is sent on as the client accepts it: iterate
    over the run, and close it.

    Args:
        sender: Sends the request.
        progress: The request.
        chosen: The replica that runs it.
        kept_bytes: The length of the longest answer that is read whole.
    """

    def __init__(
        self,
        sender: Sender,
        progress: RequestProgress,
        chosen: ChosenReplica,
        *,
        kept_bytes: int,
    ) -> None:
        self._sender = sender
        self._progress = progress
        self._chosen = chosen
        self._replica = chosen.replica
        self._kept_bytes = kept_bytes
        self._attempt = sender.start_attempt(progress, chosen.replica)
        self._answer: Answer | None = None
        self._kept = b""
        self._sent_bytes = 0
        self._sending = False
        self._release: gevent.Greenlet[..., Any] | None = None
        self._closed = False

    def open(self) -> Reply:
        """Send the request and return the reply; its body is this run if the answer is long.

        Raises:
            ExchangeError: If there is no answer, or a short one broke off.
        """
        try:
            answer = self._answer = self._sender.send(
                self._progress,
                self._chosen,
                self._attempt,
                head_timeout_s=self._progress.left_s,
            )
            self._kept = answer.read_kept(
                self._kept_bytes, deadline=Deadline(self._progress.left_s)
            )
        except ExchangeError as error:
            self._sender.record_failure(self._progress, self._replica, self._attempt, error)
            self.close()
            raise
        except BaseException:
            self.close()
            raise
        if not answer.complete:
            if answer.head.status >= 500:
                self._record_answer(answer)
            return relayed_reply(answer.head, self)
        self._record_answer(answer)
        self._record_completion(answer)
        self.close()
        return relayed_reply(answer.head, [self._kept])

    def __iter__(self) -> Iterator[bytes]:
        """Yield a long answer as it arrives.

        Raises:
            AnswerCut: If it broke off, or was not complete by the deadline.
        """
        assert self._answer is not None
        # A client that accepts nothing must not hold a place at the replica.
        self._release = gevent.spawn_later(max(0.0, self._progress.left_s), self._release_late)
        began_at = monotonic()
        client_s = 0.0
        data = self._kept
        self._kept = b""
        while data:
            sending_at = monotonic()
            self._sending = True
            yield data
            self._sending = False
            client_s += monotonic() - sending_at
            self._sent_bytes += len(data)
            data = self._read(self._answer, waited_for_client=2 * client_s > _since(began_at))
        if self._attempt.outcome is AttemptOutcome.UNDER_WAY:
            self._record_answer(self._answer)
        self._record_completion(self._answer)

    def close(self) -> None:
        """Finish the attempt and release its connection; safe to call again."""
        if self._closed:
            return
        self._closed = True
        if self._release is not None:
            self._release.kill(block=False)
        if self._answer is not None:
            self._answer.close()
        self._sender.finish_attempt(self._chosen, self._attempt)

    def _release_late(self) -> None:
        """Finish the attempt after the deadline, once the client is waited for."""
        while not self._sending:
            gevent.sleep(_RELEASE_PAUSE_S)
        assert self._answer is not None
        with contextlib.suppress(OutcomeUnknown):
            # The client may still accept the last part of an answer that has arrived whole.
            self._answer.read(timeout_s=0.0)
        self.close()

    def _read(self, answer: Answer, *, waited_for_client: bool) -> bytes:
        """Return the next bytes of the answer; record a break.

        Raises:
            AnswerCut: If it broke off, or was not complete by the deadline.
        """
        if self._closed and not answer.complete:
            raise AnswerCut("not complete by the deadline, as the client accepted too little")
        waiting_since = monotonic()
        try:
            return answer.read(timeout_s=self._progress.left_s)
        except OutcomeUnknown as error:
            found = error
        is_silent = isinstance(found, AnswerSilent)
        was_at_work = not waited_for_client and _since(waiting_since) < MIN_SILENCE_S
        if is_silent and was_at_work and self._progress.left_s <= 0:
            found = AnswerTooLarge(f"no end by the deadline, after {self._sent_bytes} bytes")
        # The replica was not silent while the client accepted nothing.
        self._sender.record_failure(
            self._progress, self._replica, self._attempt, found, heard_at=waiting_since
        )
        raise AnswerCut(str(found))

    def _record_answer(self, answer: Answer) -> None:
        """Record the status as evidence; the beginning of a success is none."""
        status = answer.head.status
        self._sender.record_answer(self._progress, self._replica, self._attempt, status)

    def _record_completion(self, answer: Answer) -> None:
        self._sender.record_completion(self._progress, answer.head)


def _since(at: float) -> float:
    return monotonic() - at

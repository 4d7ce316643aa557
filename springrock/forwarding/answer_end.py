"""Tells what ended the connection of a client before its answer was complete."""

from __future__ import annotations

from enum import StrEnum

from gevent import GreenletExit

from springrock.errors import AnswerCut, CallerGone


class EndedBy(StrEnum):
    """What ended an answer early."""

    CLIENT_CLOSED = "client_closed"
    CLIENT_FAILED = "client_failed"
    """The connection to the client failed."""
    READ_TIMED_OUT = "read_timed_out"
    """The client did not send the rest of its request."""
    SEND_TIMED_OUT = "send_timed_out"
    """The client accepted no bytes of the answer."""
    ANSWER_CUT = "answer_cut"
    """The answer broke off before it reached this box, or this box gave it up."""
    FAULT = "fault"
    """An exception that this box does not expect."""
    KILLED = "killed"
    """The task that served the request was killed."""
    STOPPING = "stopping"
    """The box stopped while the request was open."""


def ended_by(error: BaseException, *, reading: bool, sending: bool) -> EndedBy:
    """Return what ended an answer early.

    Args:
        error: What broke the answer off.
        reading: Whether it was raised while the request was read from the client.
        sending: Whether it was raised by sending to the client.
    """
    match error:
        case CallerGone():
            return EndedBy.CLIENT_CLOSED if error.__cause__ is None else EndedBy.CLIENT_FAILED
        case AnswerCut():
            return EndedBy.ANSWER_CUT
        case GreenletExit():
            return EndedBy.KILLED
        case TimeoutError() if sending:
            return EndedBy.SEND_TIMED_OUT
        case TimeoutError() if reading:
            return EndedBy.READ_TIMED_OUT
        case OSError() if sending or reading:
            return EndedBy.CLIENT_FAILED
        case _:
            return EndedBy.FAULT

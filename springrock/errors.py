"""Exception classes, and the value that describes a refused request.

Subclasses of `SpringrockError` are raised. `Refusal` is returned, in an `expression.Result`, by
components for which refusing a request is an ordinary outcome.
"""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus

import msgspec


class RunState(StrEnum):
    """How far a request is known to have been executed."""

    ANSWERED = "answered"
    """The complete answer was delivered."""
    NOT_RUN = "not_run"
    """No upstream ran any part of the request."""
    UNKNOWN = "unknown"
    """The request was sent, but its outcome is not known."""
    CUT = "cut"
    """The request ran, but its answer ended before it was complete."""


class Cause(StrEnum):
    """The closed set of reasons for which a request is refused or fails."""

    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    BAD_CREDENTIAL = "bad_credential"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_WORKLOAD = "unknown_workload"
    ADAPTER_NOT_ALLOWED = "adapter_not_allowed"
    RATE_LIMITED = "rate_limited"
    BOX_STARTING = "box_starting"
    BOX_STOPPING = "box_stopping"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_LEAVING = "upstream_leaving"
    NOT_OWNER = "not_owner"
    OWNER_UNREACHABLE = "owner_unreachable"
    CANNOT_FINISH = "cannot_finish"
    DEADLINE_PASSED = "deadline_passed"
    QUEUE_FULL = "queue_full"
    LOAD_FAILED = "load_failed"
    PERMIT_EXPIRED = "permit_expired"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ALREADY_CLAIMED = "already_claimed"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_GARBAGE = "upstream_garbage"
    WRONG_ADAPTER = "wrong_adapter"
    CALLER_GONE = "caller_gone"
    INTERNAL_FAULT = "internal_fault"


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """The reason why a request ended without a complete answer.

    Attributes:
        cause: The reason.
        detail: An explanation for people, in one sentence.
        run_state: How far the request is known to have been executed.
        retry_after_s: Seconds after which a retry can succeed; 0 if a retry is pointless.
    """

    cause: Cause
    detail: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float = 0.0


class SpringrockError(Exception):
    """The base class of all exceptions of this package."""


class SettingsError(SpringrockError):
    """A settings file is invalid or cannot be read.

    Args:
        problems: Every problem found, in the order of the file.
    """

    def __init__(self, problems: tuple[object, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class UnknownPlugin(SpringrockError):
    """No plug-in is registered under a name."""

    def __init__(self, family: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(f"no {family} named {name!r}; known: {', '.join(known) or 'none'}")


class RequestRefused(SpringrockError):
    """Carries a `Refusal` where it cannot be returned as a value."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(f"{refusal.cause}: {refusal.detail}")


class PlatformUnavailable(SpringrockError):
    """The platform did not answer; a write may or may not have taken effect."""


class PlatformGarbage(PlatformUnavailable):
    """The platform sent an answer that violates its protocol."""


class TransactionConflict(SpringrockError):
    """The checks of a table transaction failed; nothing was written."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        self.keys = keys
        super().__init__(f"changed concurrently: {', '.join(keys)}")


class PeerUnreachable(SpringrockError):
    """A peer box could not be reached or did not answer in time."""


class PeerRejected(SpringrockError):
    """A peer box presented a wrong key or sent a frame that violates the protocol."""


class UpstreamUnreachable(SpringrockError):
    """An upstream could not be connected to, so it received nothing."""


class UpstreamBroke(SpringrockError):
    """An upstream failed after it may have received the request."""


class UpstreamGarbage(UpstreamBroke):
    """An upstream sent an answer that violates its protocol."""


class WrongAnswer(UpstreamBroke):
    """An upstream answered for a different request, adapter or version than the one sent."""


class UpstreamSaidNo(SpringrockError):
    """An upstream refused a request before running it.

    Args:
        reason: The reason that the upstream gave.
        retry_after_s: Seconds after which it may be retried; 0 if the upstream named none.
    """

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(reason)


class StaleFence(SpringrockError):
    """An upstream refused an order because it has seen a newer fence."""


class OrderFailed(SpringrockError):
    """An upstream accepted an order but could not carry it out."""


class BadRequest(SpringrockError):
    """A client's request violates the protocol; it was not run."""


class ReadBound(StrEnum):
    """The bounds of the reading of a request."""

    HEAD_TIME = "head_time"
    HEAD_BYTES = "head_bytes"
    HEAD_END = "head_end"
    """The caller ended its connection within the head."""
    BODY_TIME = "body_time"
    BODY_BYTES = "body_bytes"
    """The body, or the body with the framing of its chunks."""
    FRAMING_BYTES = "framing_bytes"
    """The framing of chunks, compared to their content."""
    TRAILER_BYTES = "trailer_bytes"
    FRAMING = "framing"
    """The chunks of the body are malformed."""
    OVERLOAD = "overload"
    """All callers together sent more than the process can hold."""


_STATUS_BY_BOUND = {
    ReadBound.HEAD_TIME: HTTPStatus.REQUEST_TIMEOUT,
    ReadBound.HEAD_BYTES: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    ReadBound.HEAD_END: HTTPStatus.BAD_REQUEST,
    ReadBound.BODY_TIME: HTTPStatus.REQUEST_TIMEOUT,
    ReadBound.BODY_BYTES: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ReadBound.FRAMING_BYTES: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ReadBound.TRAILER_BYTES: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    ReadBound.FRAMING: HTTPStatus.BAD_REQUEST,
    ReadBound.OVERLOAD: HTTPStatus.SERVICE_UNAVAILABLE,
}


class RequestNotRead(SpringrockError):
    """A request was not read to its end, so it was not run; its connection must be closed.

    Args:
        bound: The bound that ended the reading.
        read_bytes: Bytes of the request that were read.
        took_s: Seconds since the first of them.
    """

    def __init__(self, bound: ReadBound, *, read_bytes: int = 0, took_s: float = 0.0) -> None:
        self.bound = bound
        self.read_bytes = read_bytes
        self.took_s = took_s
        super().__init__(f"not read whole: {bound} after {read_bytes} bytes in {took_s:.1f} s")

    @property
    def status(self) -> HTTPStatus:
        """The status of the answer."""
        return _STATUS_BY_BOUND[self.bound]

    @property
    def fields(self) -> dict[str, object]:
        """What a log line says about it."""
        return {
            "ended_by": self.bound,
            "status": self.status,
            "read_bytes": self.read_bytes,
            "took_ms": round(self.took_s * 1000),
        }


class AnswerCut(SpringrockError):
    """An answer broke off after its head was sent; the connection must be closed mid-answer."""


class CallerGone(SpringrockError):
    """The caller closed its connection before the answer was complete."""


class StatementError(SpringrockError):
    """An operator's statement cannot be parsed or carried out."""


class ConfigurationConflict(StatementError):
    """A configuration change conflicts with a change committed before it.

    Args:
        key: The configuration key that both changes set.
        committed_by: Who made the committed change, and in which revision.
    """

    def __init__(self, key: str, committed_by: str) -> None:
        self.key = key
        self.committed_by = committed_by
        super().__init__(f"{key} was changed concurrently by {committed_by}")

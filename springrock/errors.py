"""Typed failures: one small class each, named for what went wrong.

Two families live here. `SpringrockError` subclasses are raised. `Refusal` is a value: the
ordinary answer "no" of a part that decides, carried in `expression.Result`.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec


class RunState(StrEnum):
    """What is known about the execution of a request."""

    ANSWERED = "answered"
    """The whole answer was delivered."""
    NOT_RUN = "not_run"
    """No upstream ran any part of the request."""
    UNKNOWN = "unknown"
    """The request was sent and its outcome is lost."""
    CUT = "cut"
    """The request ran, and the answer ended before it was whole."""


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
    """A request that ends without a whole answer.

    Attributes:
        cause: Why.
        detail: One sentence for a person.
        run_state: What is known about execution.
        retry_after_s: Seconds after which a new try makes sense; 0 when none does.
    """

    cause: Cause
    detail: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float = 0.0


class SpringrockError(Exception):
    """The base of every failure raised by this package."""


class SettingsError(SpringrockError):
    """A settings file that cannot be used.

    Args:
        problems: Every problem found, in the order of the file.
    """

    def __init__(self, problems: tuple[object, ...]) -> None:
        self.problems = problems
        super().__init__("\n".join(str(problem) for problem in problems))


class UnknownPlugin(SpringrockError):
    """A plug-in name that nothing registered."""

    def __init__(self, family: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(f"no {family} named {name!r}; known: {', '.join(known) or 'none'}")


class RequestRefused(SpringrockError):
    """A request that ended with a `Refusal`, raised where a value cannot be returned."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(f"{refusal.cause}: {refusal.detail}")


class PlatformUnavailable(SpringrockError):
    """The platform did not answer; a write may or may not have taken effect."""


class PlatformGarbage(PlatformUnavailable):
    """The platform answered something that its protocol does not allow."""


class TransactionConflict(SpringrockError):
    """A table transaction whose checks failed; nothing was written."""

    def __init__(self, keys: tuple[str, ...]) -> None:
        self.keys = keys
        super().__init__(f"changed meanwhile: {', '.join(keys)}")


class PeerUnreachable(SpringrockError):
    """A peer box that cannot be reached or did not answer in time."""


class PeerRejected(SpringrockError):
    """A peer that showed a wrong key or sent a frame that the protocol does not allow."""


class UpstreamUnreachable(SpringrockError):
    """An upstream that refused the connection: it received nothing."""


class UpstreamBroke(SpringrockError):
    """An upstream that failed after it may have received the request."""


class UpstreamGarbage(UpstreamBroke):
    """An upstream whose answer does not follow its protocol."""


class WrongAnswer(UpstreamBroke):
    """An upstream that answered another request, adapter or version than the one asked."""


class UpstreamSaidNo(SpringrockError):
    """An upstream that refused a request before running it."""

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s
        super().__init__(reason)


class StaleFence(SpringrockError):
    """An order that an upstream refused because it knows a newer fence."""


class OrderFailed(SpringrockError):
    """An order that an upstream took and could not carry out."""


class BadRequest(SpringrockError):
    """A client's request that breaks the protocol; it was not run."""


class AnswerCut(SpringrockError):
    """An answer that broke off after its head was sent; the connection must show it."""


class CallerGone(SpringrockError):
    """The caller closed its connection before the answer was whole."""


class StatementError(SpringrockError):
    """An operator's statement that cannot be parsed or carried out."""


class ConfigurationConflict(StatementError):
    """A configuration change that lost against another one.

    Args:
        key: What both changed.
        winner: Who made the change that stands, and in which revision.
    """

    def __init__(self, key: str, winner: str) -> None:
        self.key = key
        self.winner = winner
        super().__init__(f"{key} was changed meanwhile by {winner}")

"""The refusals of a replica's owner, each before the request has run."""

from __future__ import annotations

from springrock.errors import Cause, Refusal, RunState

_MOVED_RETRY_S = 1.0


def moved(replica: str) -> Refusal:
    """Return what is told to those who ask where the replica no longer is."""
    detail = f"{replica} is owned elsewhere now"
    return Refusal(Cause.NOT_OWNER, detail, RunState.NOT_RUN, _MOVED_RETRY_S)


def leaving(replica: str) -> Refusal:
    """Return what is told while a replica takes nothing."""
    detail = f"{replica} takes no new work"
    return Refusal(Cause.UPSTREAM_LEAVING, detail, RunState.NOT_RUN, _MOVED_RETRY_S)


def queue_full(*, retry_after_s: float) -> Refusal:
    """Return what is told while too many wait."""
    return Refusal(Cause.QUEUE_FULL, "the queue is full", RunState.NOT_RUN, retry_after_s)


def too_late(need_s: float, deadline_s: float, *, retry_after_s: float) -> Refusal:
    """Return what is told at once to a request that cannot finish in time."""
    detail = f"needs {need_s:.2f} s and has {deadline_s:.2f} s"
    return Refusal(Cause.CANNOT_FINISH, detail, RunState.NOT_RUN, retry_after_s)


def waited_in_vain(*, retry_after_s: float) -> Refusal:
    """Return what is told to a request that waited and cannot finish in time any more."""
    detail = "waited until it could no longer finish in time"
    return Refusal(Cause.CANNOT_FINISH, detail, RunState.NOT_RUN, retry_after_s)

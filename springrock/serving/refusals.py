"""Refusals by the owner of a replica, each before the request has run."""

from __future__ import annotations

from springrock.errors import Cause, Refusal, RunState

_RETRY_AFTER_S = 1.0


def owner_changed(replica: str) -> Refusal:
    """Return the refusal of requests to a box that no longer owns the replica."""
    detail = f"{replica} is owned elsewhere now"
    return Refusal(Cause.NOT_OWNER, detail, RunState.NOT_RUN, _RETRY_AFTER_S)


def not_accepting(replica: str) -> Refusal:
    """Return the refusal while a replica accepts no requests."""
    detail = f"{replica} takes no new work"
    return Refusal(Cause.UPSTREAM_LEAVING, detail, RunState.NOT_RUN, _RETRY_AFTER_S)


def queue_full(*, retry_after_s: float) -> Refusal:
    """Return the refusal while the queue is at its limit."""
    return Refusal(Cause.QUEUE_FULL, "the queue is full", RunState.NOT_RUN, retry_after_s)


def cannot_finish(needed_s: float, deadline_s: float, *, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that cannot finish before its deadline on arrival."""
    detail = f"needs {needed_s:.2f} s and has {deadline_s:.2f} s"
    return Refusal(Cause.CANNOT_FINISH, detail, RunState.NOT_RUN, retry_after_s)


def cannot_finish_any_more(*, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that has waited too long to finish before its deadline."""
    detail = "waited until it could no longer finish in time"
    return Refusal(Cause.CANNOT_FINISH, detail, RunState.NOT_RUN, retry_after_s)

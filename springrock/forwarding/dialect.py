"""What forwarding needs of the protocol spoken by clients and replicas.

The names of headers and fields belong to the platform that clients and replicas live on; an
implementation translates and decides nothing.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from springrock.forwarding.message import AnswerHead, ClientRequest, Headers


class SendTerms(NamedTuple):
    """What a request to one replica carries beside what the client sent.

    Attributes:
        instance: The incarnation that alone may run it.
        left_s: The time that the replica may take.
        adapter_version: The version of the adapter that alone may run it; 0 for any.
        priority: The rank at the replica, 0 first; None for the default.
        after_event: The event after which a stream goes on; empty for the client's own wish.
        team: The team that the replica is told, or empty; None where there are no teams, and what
            a client sends of keys and teams is its own.
    """

    instance: str
    left_s: float
    adapter_version: int = 0
    priority: int | None = None
    after_event: str = ""
    team: str | None = None


class ReplicaNotice(NamedTuple):
    """What the head of an answer tells of its replica, whatever became of the request.

    Attributes:
        leaving: Whether the replica gets no new work any more.
        backoff_s: For how long, from now on, it wants nothing from this box; 0 if it said nothing.
        unreadable: What it said that cannot be understood, for logs.
        limit_per_s: How many requests a second it takes from all boxes together, for as long as
            it says so; None if it says nothing of it.
        of_replica: Whether it is the replica that was meant that answers.
        unknown: Names under which it says something that this build does not know.
    """

    leaving: bool = False
    backoff_s: float = 0.0
    unreadable: str = ""
    limit_per_s: float | None = None
    of_replica: bool = True
    unknown: tuple[str, ...] = ()


NOTHING_SAID = ReplicaNotice()
NO_NOTICE = ReplicaNotice(of_replica=False)


class Dialect(Protocol):
    """Reads requests of clients and writes requests to replicas."""

    def read_request(
        self, *, method: str, target: str, headers: Headers, body: bytes, received_at: float
    ) -> ClientRequest:
        """Return a client's request.

        Raises:
            BadRequest: If a field that the box must understand is malformed.
        """

    def request_headers(self, request: ClientRequest, terms: SendTerms) -> Headers:
        """Return the headers of the request to a replica."""

    def answers(self, head: AnswerHead, request_id: str) -> bool:
        """Whether an answer carries the id of a request."""

    def not_run(self, head: AnswerHead) -> bool:
        """Whether an answer promises that the replica did not run the request."""

    def wrong_replica(self, head: AnswerHead) -> bool:
        """Whether an answer says that this replica is not the one, or lacks what was asked."""

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return what an answer tells of the replica that was meant."""

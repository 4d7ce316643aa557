"""The interface between forwarding and the platform's protocol with clients and replicas.

The platform defines the names of headers and fields. An implementation only translates between them
and the types of this module; it makes no routing decisions.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, Protocol

from springrock.forwarding.message import AnswerHead, ClientRequest, Headers, Knowledge


class SendTerms(NamedTuple):
    """What is sent to a replica in addition to the client's request.

    Attributes:
        instance: The id of the replica that must run the request; any other must refuse it.
        left_s: Seconds that the replica may take.
        adapter_version: The version of the adapter that must run the request; 0 for any.
        priority: The priority at the replica, 0 the highest; None for the replica's default.
        after_event: Id of the event after which a stream resumes; empty to keep the client's own.
        team: The name of the team that is sent to the replica, or empty. None if no teams are
            configured; the client's headers about keys and teams are then forwarded unchanged.
    """

    instance: str
    left_s: float
    adapter_version: int = 0
    priority: int | None = None
    after_event: str = ""
    team: str | None = None


class ReplicaNotice(NamedTuple):
    """What the head of an answer says about its replica, independent of the request's outcome.

    Attributes:
        leaving: Whether the replica is shutting down and must get no new requests.
        backoff_s: Seconds for which this box must send the replica no requests; 0 if not stated.
        unreadable: Notices that could not be parsed, for logs.
        limit_per_s: Requests a second that the replica accepts from all boxes together, until it
            states another limit or none; None if not stated.
        from_addressed_replica: Whether the answer comes from the addressed replica.
        unknown: Names of notices that this build does not know.
        brittle_per_s: How many requests the replica may turn away in a second, from all boxes
            together, without falling over; None if not stated.
    """

    leaving: bool = False
    backoff_s: float = 0.0
    unreadable: str = ""
    limit_per_s: float | None = None
    from_addressed_replica: bool = True
    unknown: tuple[str, ...] = ()
    brittle_per_s: float | None = None


EMPTY_NOTICE = ReplicaNotice()
"""The replica answered, and its answer says nothing about itself."""

NO_NOTICE = ReplicaNotice(from_addressed_replica=False)
"""There is no answer, or it comes from another replica."""


class Handling(Enum):
    """What another box did with a request that was passed on to it."""

    HANDLED = "handled"
    BEHIND = "behind"
    """Nothing: it knows less than the request requires."""
    NOT_UNDERSTOOD = "not_understood"
    """Nothing: it does not compare what it knows, as a box of an earlier build."""
    UNKNOWN = "unknown"


class PassedOnReply(NamedTuple):
    """What the head of another box's reply says about a request that was passed on.

    Attributes:
        configuration: The version of the configuration that the box goes by; 0 if not stated.
        head: The head without what only boxes tell each other.
    """

    handling: Handling
    configuration: int
    head: AnswerHead


class Dialect(Protocol):
    """Parses requests of clients, writes requests to replicas and interprets their answers.

    Attributes:
        deadline_header: The header in which clients state how many milliseconds they wait.
    """

    deadline_header: str

    def read_request(
        self, *, method: str, target: str, headers: Headers, body: bytes, received_at: float
    ) -> ClientRequest:
        """Return a client's request.

        Raises:
            BadRequest: If a field that the box must interpret is malformed.
        """

    def request_headers(self, request: ClientRequest, terms: SendTerms) -> Headers:
        """Return the headers of the request to a replica."""

    def passed_on_headers(
        self, request: ClientRequest, *, left_s: float, required: Knowledge
    ) -> Headers:
        """Return the headers of a request that is passed on to another box.

        Args:
            request: The client's request.
            left_s: Seconds that the other box may take.
            required: What the other box must at least know to handle it.
        """

    def passed_on_reply(self, head: AnswerHead) -> PassedOnReply:
        """Return what another box's reply says about a request that was passed on to it."""

    def reply_to_passed_on(
        self, head: AnswerHead, *, handled: bool, configuration: int
    ) -> AnswerHead:
        """Return the head of a reply to a box that passed a request on.

        Args:
            head: The head as a client would get it.
            handled: Whether this box handled the request.
            configuration: The version of the configuration that it goes by.
        """

    def answers(self, head: AnswerHead, request_id: str) -> bool:
        """Whether an answer carries the id of a request."""

    def is_sealed(self, head: AnswerHead) -> bool:
        """Whether an answer carries the seal that every answer of a replica has."""

    def not_run(self, head: AnswerHead) -> bool:
        """Whether an answer promises that the replica did not run the request."""

    def wrong_replica(self, head: AnswerHead) -> bool:
        """Whether another replica answered, or this one lacks what the request needs."""

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return what an answer says about the replica that the request was sent to."""

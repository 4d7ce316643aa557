"""Handles requests that another box passed on, unless this box knows less than that one."""

from __future__ import annotations

from collections.abc import Callable

from springrock.clock import monotonic
from springrock.forwarding.dialect import Dialect
from springrock.forwarding.errors import BehindOtherBox
from springrock.forwarding.message import AdapterKey, ClientRequest, Knowledge
from springrock.forwarding.reply import Reply
from springrock.log import Log

_MIN_REFRESH_INTERVAL_S = 1.0
"""A caller may claim any version, so that the store must not be read for each request."""


class PassedOnRequests:
    """Compares what this box knows with what requests that were passed on to it require.

    The box that took such a request may have shown a newer configuration at work. Handled by an
    older one, the request would make that box appear to go back.

    Args:
        newest_adapter: Returns the newest known version of an adapter; 0 if there is none.
        dialect: Marks the replies to the other box.
        refresh: Called when this box is behind another one, to read the store at once.
        log: The log to write to.
    """

    def __init__(
        self,
        *,
        newest_adapter: Callable[[AdapterKey], int],
        dialect: Dialect,
        refresh: Callable[[], None],
        log: Log,
    ) -> None:
        self._newest_adapter = newest_adapter
        self._dialect = dialect
        self._refresh = refresh
        self._log = log
        self._refreshed_at = float("-inf")

    def knowledge_for(self, request: ClientRequest, configuration: int) -> Knowledge:
        """Return what this box knows of what decides how a request is handled.

        Args:
            request: The request.
            configuration: The version of the configuration that it is handled by.
        """
        key = request.adapter_key
        return Knowledge(configuration, 0 if key is None else self._newest_adapter(key))

    def check(self, request: ClientRequest, configuration: int) -> None:
        """Raise `BehindOtherBox` if this box knows less than the request requires."""
        if request.required is None:
            return
        known = self.knowledge_for(request, configuration)
        if known.covers(request.required):
            return
        self._log.info(
            "Refused a request that was passed on, as this box is behind.",
            request=request.request_id,
            configuration=known.configuration,
            required_configuration=request.required.configuration,
            adapter_version=known.adapter,
            required_adapter_version=request.required.adapter,
        )
        now = monotonic()
        if now - self._refreshed_at >= _MIN_REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._refresh()
        raise BehindOtherBox()

    def mark(self, request: ClientRequest, reply: Reply, configuration: int) -> Reply:
        """Return the reply to a request, marked for the box that passed it on, if any."""
        if request.required is None:
            return reply
        head = self._dialect.reply_to_passed_on(
            reply.head, handled=reply.reason != BehindOtherBox.reason, configuration=configuration
        )
        return reply._replace(head=head)

"""Fetches state reports from the platform's model engines and sends them orders."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import urllib3
from msgspec import UNSET, Struct, UnsetType, field

from springrock.bounded_dict import BoundedDict
from springrock.forwarding.directory import HeldAdapter
from springrock.forwarding.message import Headers
from springrock.forwarding.notices import NoticeHandler, ignore_notice
from springrock.placement.control import (
    ControlUnanswered,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from springrock.platform import names
from springrock.platform.notices import notice_from
from springrock.platform.records import HeldModel, held_adapters, split_version
from springrock.strict_http import strict_pool_manager
from springrock.strict_json import MalformedJson, decode_json

_MAX_ENGINES = 64
"""How many engines have kept connections."""

_CONNECT_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.5
_ORDER_TIMEOUT_S = 0.12
"""Engines answer an order within milliseconds or not at all. A premature retry is refused and not
executed twice, because an order states the engine's expected sequence number."""

_MAX_ANSWER_BYTES = 1_048_576
"""Far above any report, which names the models and adapters of one engine."""

_ANSWER_BY_STATUS = {
    200: OrderAnswer.DONE,
    202: OrderAnswer.ACCEPTED,
    400: OrderAnswer.REFUSED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.OLDER_FENCE,
    421: OrderAnswer.CHANGED,
}


class _Report(Struct, rename="camel"):
    sequence: int
    busy: bool = False
    models: list[HeldModel] = field(default_factory=list)
    coming: list[str] = field(default_factory=list)
    running: int = 0
    queued: int = 0
    born: int | None = None


class _Order(Struct, rename="camel"):
    operation: str
    model: str
    holder: str
    fencing_token: int
    adapter: str | UnsetType = UNSET
    expected: int | UnsetType = UNSET
    version: int | UnsetType = UNSET


class _OrderConnections:
    """The connections that orders to one engine are sent on.

    Answers to orders bear no id, so that a late second copy of one passes for the answer to the
    next order on its connection. Only one copy does harm: that of `DONE`, taken for the answer to
    an order to unload, frees a place whose adapter is still used. Any other leads to an order that
    the engine rejects by its sequence. So an order to unload is never sent after `DONE`.
    """

    def __init__(self) -> None:
        self._for_unloads = strict_pool_manager(max_answer_bytes=_MAX_ANSWER_BYTES, num_pools=1)
        self._others = strict_pool_manager(max_answer_bytes=_MAX_ANSWER_BYTES, num_pools=1)
        self._done_last = False

    def pool_for(self, kind: OrderKind) -> urllib3.PoolManager:
        """Return the connection, as a pool, for an order of a kind."""
        if kind is OrderKind.UNLOAD:
            if self._done_last:
                self._for_unloads.clear()
            return self._for_unloads
        # An answer to another order, which is mostly `ACCEPTED`, makes the connection usable again.
        return self._for_unloads if self._done_last else self._others

    def record_answer(self, pool: urllib3.PoolManager, answer: OrderAnswer | None) -> None:
        """Record the answer to an order on a connection; None if it is not known."""
        if pool is self._for_unloads:
            self._done_last = answer is None or answer is OrderAnswer.DONE


class PlatformEngines:
    """Implements `springrock.placement.control.EngineControl`.

    Args:
        notice_handler_for: Called with an engine's id before each call to the engine; returns the
            handler for the notice in the answer.
        on_outcome: Called with whether the engine answered, after each call.
    """

    def __init__(
        self,
        *,
        notice_handler_for: Callable[[str], NoticeHandler] = lambda replica_id: ignore_notice,
        on_outcome: Callable[[bool], None] = lambda answered: None,
    ) -> None:
        self._on_outcome = on_outcome
        self._notice_handler_for = notice_handler_for
        self._reports = strict_pool_manager(
            max_answer_bytes=_MAX_ANSWER_BYTES, num_pools=_MAX_ENGINES, maxsize=2
        )
        self._orders: BoundedDict[_OrderConnections] = BoundedDict(at_most=_MAX_ENGINES)

    def report(self, address: str, *, instance: str) -> EngineState:
        """Return an engine's state."""
        response = self._call(
            "GET",
            address,
            names.REPORT_PATH,
            pool=self._reports,
            instance=instance,
            timeout_s=_REPORT_TIMEOUT_S,
        )
        if response.status != 200:
            raise ControlUnanswered(
                f"the engine answered the report call with status {response.status}"
            )
        try:
            report = decode_json(response.data, _Report)
        except MalformedJson as error:
            raise ControlUnanswered(f"malformed engine report: {error}") from None
        return EngineState(
            sequence=report.sequence,
            busy=report.busy,
            models=frozenset(model.name for model in report.models),
            adapters=held_adapters(report.models),
            coming=tuple(_parse_loading_adapter(text) for text in report.coming),
            running=report.running,
            queued=report.queued,
            born_ms=report.born,
        )

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        """Send an order to an engine."""
        body = _Order(
            operation=order.kind.value,
            model=order.key.model,
            adapter=order.key.adapter or UNSET,
            holder=order.holder,
            fencing_token=order.fence,
            expected=UNSET if order.expected_sequence is None else order.expected_sequence,
            version=order.version or UNSET,
        )
        connections = self._orders.get(address) or _OrderConnections()
        self._orders.record(address, connections)
        pool = connections.pool_for(order.kind)
        connections.record_answer(pool, None)
        response = self._call(
            "POST",
            address,
            names.ORDER_PATH,
            pool=pool,
            instance=instance,
            timeout_s=_ORDER_TIMEOUT_S,
            body=msgspec.json.encode(body),
        )
        answer = _ANSWER_BY_STATUS.get(response.status)
        connections.record_answer(pool, answer)
        if answer is None:
            raise ControlUnanswered(f"the engine answered the order with status {response.status}")
        return answer

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        pool: urllib3.PoolManager,
        instance: str,
        timeout_s: float,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        headers = {names.EXPECT_INSTANCE: instance}
        handle_notice = self._notice_handler_for(instance)
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            response = pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s),
                decode_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._on_outcome(False)
            raise ControlUnanswered(f"{address}: {error}") from None
        self._on_outcome(True)
        answered = Headers.from_pairs(response.headers.items())
        handle_notice(notice_from(response.status, answered))
        return response


def _parse_loading_adapter(text: str) -> HeldAdapter:
    """Parse MODEL/NAME@VERSION."""
    model, _, adapter = text.partition("/")
    return HeldAdapter(model, *split_version(adapter))

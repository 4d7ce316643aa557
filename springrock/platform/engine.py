"""Reports of and orders to the platform's model engines."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import urllib3
from msgspec import UNSET, Struct, UnsetType, field

from springrock.forwarding.directory import HeldAdapter
from springrock.forwarding.message import Headers
from springrock.forwarding.notices import NoticeHandler, ignore_notice
from springrock.placement.control import (
    ControlUnanswered,
    EngineState,
    Order,
    OrderAnswer,
)
from springrock.platform import names
from springrock.platform.notices import notice_from
from springrock.platform.records import HeldModel, held_adapters, split_version

_CONNECT_S = 0.5
_REPORT_ANSWER_S = 0.5
_ORDER_ANSWER_S = 0.12
"""An order is answered in some milliseconds or not at all; as it states the engine's sequence,
one that is given again too early is refused, not carried out twice."""

_ANSWERS = {
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


class PlatformEngines:
    """Implements `springrock.placement.control.EngineControl`.

    Args:
        notice_taker: Returns, by an engine's id, what takes the notice in the answer to a call
            that is about to be sent there.
    """

    def __init__(
        self,
        *,
        notice_taker: Callable[[str], NoticeHandler] = lambda replica_id: ignore_notice,
    ) -> None:
        self._notice_handler = notice_taker
        self._pool = urllib3.PoolManager(retries=False, num_pools=64, maxsize=2)

    def report(self, address: str, *, instance: str) -> EngineState:
        """Return an engine's state."""
        response = self._call(
            "GET", address, names.REPORT_PATH, instance=instance, answer_s=_REPORT_ANSWER_S
        )
        if response.status != 200:
            raise ControlUnanswered(f"the report was answered with {response.status}")
        try:
            report = msgspec.json.decode(response.data, type=_Report)
        except msgspec.DecodeError as error:
            raise ControlUnanswered(f"the report cannot be read: {error}") from None
        return EngineState(
            sequence=report.sequence,
            busy=report.busy,
            models=frozenset(model.name for model in report.models),
            adapters=held_adapters(report.models),
            coming=tuple(_coming_from(text) for text in report.coming),
            running=report.running,
            queued=report.queued,
            born_ms=report.born,
        )

    def order(self, address: str, *, instance: str, order: Order) -> OrderAnswer:
        """Give an order."""
        body = _Order(
            operation=order.kind.value,
            model=order.key.model,
            adapter=order.key.adapter or UNSET,
            holder=order.holder,
            fencing_token=order.fence,
            expected=UNSET if order.expected_sequence is None else order.expected_sequence,
            version=order.version or UNSET,
        )
        encoded = msgspec.json.encode(body)
        response = self._call(
            "POST",
            address,
            names.ORDER_PATH,
            instance=instance,
            answer_s=_ORDER_ANSWER_S,
            body=encoded,
        )
        answer = _ANSWERS.get(response.status)
        if answer is None:
            raise ControlUnanswered(f"the order was answered with {response.status}")
        return answer

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        instance: str,
        answer_s: float,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        headers = {names.EXPECT_INSTANCE: instance}
        handle_notice = self._notice_handler(instance)
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=_CONNECT_S, read=answer_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise ControlUnanswered(f"{address}: {error}") from None
        answered = Headers.from_pairs(response.headers.items())
        handle_notice(notice_from(response.status, answered))
        return response


def _coming_from(text: str) -> HeldAdapter:
    """Read MODEL/NAME@VERSION."""
    model, _, adapter = text.partition("/")
    return HeldAdapter(model, *split_version(adapter))

"""The driver of plain services: each `call` sends one HTTP request, without retries."""

from __future__ import annotations

import socket
from typing import NamedTuple

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from springrock.clock import Deadline
from springrock.errors import UpstreamBroke, UpstreamSaidNo, UpstreamUnreachable
from springrock.plugins import drivers
from springrock.retry_after import retry_after_in
from springrock.settings import UpstreamSection, split_address
from springrock.strict_http import strict_pool_manager

_CONNECTIONS = 64
_CONNECT_TIMEOUT_S = 2.0
_MIN_CHECK_TIMEOUT_S = 0.02
_MAX_ANSWER_BYTES = 8_388_608
_MAX_FRAMED_ANSWER_BYTES = 2 * _MAX_ANSWER_BYTES
"""The sizes of its chunks and its trailers included."""

_NOT_RUN_STATUSES = (429, 503)


class ServiceAnswer(NamedTuple):
    """A service's complete answer."""

    status: int
    content_type: str
    body: bytes


@drivers.register("service")
class ServiceDriver:
    """Sends calls to one plain service.

    Args:
        upstream: The service's settings.
    """

    def __init__(self, upstream: UpstreamSection) -> None:
        self._address = split_address(upstream.address)
        self._base_url = f"http://{upstream.address}"
        self._pool = _pool_manager(maxsize=_CONNECTIONS)

    def call(
        self, method: str, path: str, *, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> ServiceAnswer:
        """Send one call and return the complete answer.

        Raises:
            UpstreamUnreachable: If no connection could be made, so that nothing was sent.
            UpstreamSaidNo: If the service refused before running it (status 503 or 429).
            UpstreamBroke: If it is unknown whether the service ran the call.
        """
        deadline = Deadline(timeout_s)
        timeout = urllib3.Timeout(total=timeout_s, connect=min(_CONNECT_TIMEOUT_S, timeout_s))
        # The service closes this connection after the answer; a call that reused it would be reset.
        single_use = headers.get("Connection") == "close"
        pool = _pool_manager() if single_use else self._pool
        try:
            response = pool.request(
                method,
                self._base_url + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
            data = response.read(_MAX_ANSWER_BYTES + 1)
            if len(data) > _MAX_ANSWER_BYTES:
                response.close()
                raise UpstreamBroke("the answer exceeds the size limit")
            response.release_conn()
            if _ends_with_connection(response) and response.status not in _NOT_RUN_STATUSES:
                self._require_alive(timeout_s=max(_MIN_CHECK_TIMEOUT_S, deadline.left_s))
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise UpstreamUnreachable(str(error)) from None
        except (HTTPError, OSError) as error:
            raise UpstreamBroke(str(error)) from None
        finally:
            if single_use:
                pool.clear()
        if response.status in _NOT_RUN_STATUSES:
            raise UpstreamSaidNo(f"status {response.status}", retry_after_in(response.headers))
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(response.status, content_type, data)

    def _require_alive(self, *, timeout_s: float) -> None:
        """Raise if the service accepts no connection, as after a crash in the middle of an answer.

        Raises:
            OSError: If it accepts none.
        """
        timeout_s = min(_CONNECT_TIMEOUT_S, timeout_s)
        socket.create_connection(self._address, timeout=timeout_s).close()


def _pool_manager(*, maxsize: int = 1) -> urllib3.PoolManager:
    return strict_pool_manager(max_answer_bytes=_MAX_FRAMED_ANSWER_BYTES, maxsize=maxsize)


def _ends_with_connection(response: urllib3.BaseHTTPResponse) -> bool:
    """Whether neither a length nor chunks mark the end of an answer that may have a body."""
    return response.length_remaining is None and not response.chunked

"""HTTP client of the platform's services."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import msgspec
import urllib3

from springrock.clock import Deadline
from springrock.errors import PlatformGarbage, PlatformUnavailable
from springrock.plugins import platforms
from springrock.settings import PlatformSection
from springrock.strict_http import reader_of, strict_pool_manager
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire import platform as wire

T = TypeVar("T")
_CONNECTIONS = 8
_MAX_CACHED_PAGES = 8
_MAX_PAGE_BYTES = 67_108_864
_MAX_OBJECT_BYTES = 268_435_456
"""Far above the snapshot of a catalog of a million adapters."""

_OBJECT_TIMEOUT_S = 30.0
"""How long an object may take after its head, as its size is not known."""


class _CachedPage(NamedTuple):
    """A decoded page and its ETag."""

    etag: str
    page: object


@platforms.register("http")
class HttpPlatform:
    """A client of the platform's HTTP services."""

    def __init__(self, settings: PlatformSection) -> None:
        self._settings = settings
        self._pool = strict_pool_manager(max_answer_bytes=_MAX_PAGE_BYTES, maxsize=_CONNECTIONS)
        self._cache: OrderedDict[str, _CachedPage] = OrderedDict()

    def transact(self, transaction: wire.Transaction) -> wire.TransactionAnswer:
        """Execute a table transaction.

        Raises:
            PlatformUnavailable: If no answer came; the writes may have taken effect.
        """
        url = f"http://{self._settings.table_address}{wire.TRANSACT_PATH}"
        body = self._call("POST", url, body=msgspec.json.encode(transaction))
        return _decode(body, wire.TransactionAnswer)

    def rows(self, prefix: str) -> list[wire.Row]:
        """Read the rows under a prefix, sorted by key."""
        url = f"http://{self._settings.table_address}{wire.ROWS_PATH}?prefix={quote(prefix)}"
        return self._read_cached(url, wire.Rows).rows

    def get_object(self, name: str) -> bytes | None:
        """Read an object; None if it does not exist."""
        url = self._object_url(name)
        response = self._request("GET", url, preload_content=False)
        deadline = Deadline(_OBJECT_TIMEOUT_S)
        reader_of(response).begin_step(deadline=deadline, max_bytes=_MAX_OBJECT_BYTES)
        try:
            data = response.read()
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(f"{url}: {error}") from None
        if response.status == 404:
            return None
        _require_status_ok(response)
        return data

    def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""
        self._call("PUT", self._object_url(name), body=data)

    def listing(self) -> wire.Listing:
        """Read the list of boxes and upstreams, which lags behind their actual state."""
        url = f"http://{self._settings.list_address}{wire.LIST_PATH}"
        return self._read_cached(url, wire.Listing)

    def _read_cached(self, url: str, kind: type[T]) -> T:
        """Read a page; the cached one if the server says that it has not changed."""
        cached = self._cache.get(url)
        headers = {"If-None-Match": cached.etag} if cached else {}
        response = self._request("GET", url, headers=headers)
        if response.status == 304 and cached:
            self._cache.move_to_end(url)
            return cached.page  # type: ignore[return-value]
        page = _decode(_require_ok(response), kind)
        self._add_to_cache(url, response.headers.get("ETag", ""), page)
        return page

    def _add_to_cache(self, url: str, etag: str, page: object) -> None:
        if not etag:
            return
        self._cache[url] = _CachedPage(etag, page)
        self._cache.move_to_end(url)
        if len(self._cache) > _MAX_CACHED_PAGES:
            self._cache.popitem(last=False)

    def _object_url(self, name: str) -> str:
        return f"http://{self._settings.objects_address}{wire.OBJECTS_PATH}{name}"

    def _call(self, method: str, url: str, *, body: bytes) -> bytes:
        return _require_ok(self._request(method, url, body=body))

    def _request(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        preload_content: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=self._settings.request_timeout_s,
                preload_content=preload_content,
                decode_content=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(f"{url}: {error}") from None


def _require_ok(response: urllib3.BaseHTTPResponse) -> bytes:
    _require_status_ok(response)
    return response.data


def _require_status_ok(response: urllib3.BaseHTTPResponse) -> None:
    if response.status != 200:
        raise PlatformUnavailable(f"status {response.status}")


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return decode_json(body, kind)
    except MalformedJson as error:
        raise PlatformGarbage(str(error)) from None

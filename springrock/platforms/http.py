"""The platform over HTTP, through urllib3."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import urllib3

from springrock.errors import PlatformGarbage, PlatformUnavailable
from springrock.plugins import platforms
from springrock.settings import PlatformSection
from springrock.wire import platform as wire

T = TypeVar("T")
_CONNECTIONS = 8


@platforms.register("http")
class HttpPlatform:
    """A client of the platform's HTTP services."""

    def __init__(self, settings: PlatformSection) -> None:
        self._settings = settings
        self._pool = urllib3.PoolManager(retries=False, maxsize=_CONNECTIONS)

    def transact(self, transaction: wire.Transaction) -> wire.TransactionAnswer:
        """Carry out a table transaction.

        Raises:
            PlatformUnavailable: If no answer came; the writes may have taken effect.
        """
        url = f"http://{self._settings.table_address}{wire.TRANSACT_PATH}"
        body = self._call("POST", url, body=msgspec.json.encode(transaction))
        return _decode(body, wire.TransactionAnswer)

    def rows(self, prefix: str) -> list[wire.Row]:
        """Read the rows under a prefix, sorted by key."""
        url = f"http://{self._settings.table_address}{wire.ROWS_PATH}"
        body = self._call("GET", url, fields={"prefix": prefix})
        return _decode(body, wire.Rows).rows

    def get_object(self, name: str) -> bytes | None:
        """Read an object, or None if there is none."""
        response = self._request("GET", self._object_url(name))
        return None if response.status == 404 else _checked(response)

    def put_object(self, name: str, data: bytes) -> None:
        """Write an object."""
        self._call("PUT", self._object_url(name), body=data)

    def listing(self) -> wire.Listing:
        """Read the lagging list of boxes and upstreams."""
        url = f"http://{self._settings.list_address}{wire.LIST_PATH}"
        return _decode(self._call("GET", url), wire.Listing)

    def _object_url(self, name: str) -> str:
        return f"http://{self._settings.objects_address}{wire.OBJECTS_PATH}{name}"

    def _call(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
    ) -> bytes:
        return _checked(self._request(method, url, body=body, fields=fields))

    def _request(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None = None,
        fields: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                method, url, body=body, fields=fields, timeout=self._settings.request_timeout_s
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(f"{url}: {error}") from None


def _checked(response: urllib3.BaseHTTPResponse) -> bytes:
    if response.status != 200:
        raise PlatformUnavailable(f"status {response.status}")
    return response.data


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise PlatformGarbage(str(error)) from None

"""The HTTP server for operators: runs statements of the operators' language, with credentials."""

from __future__ import annotations

import hmac
from typing import Any

import bottle
import msgspec

from springrock.bottle_app import json_response, new_app, read_body
from springrock.errors import (
    PlatformUnavailable,
    RequestNotRead,
    SpringrockError,
    StatementError,
)
from springrock.hosts import OperatorDoorHost
from springrock.httpd import HttpServer
from springrock.intake import Intake, IntakeLimits
from springrock.language import parse
from springrock.plugins import doors
from springrock.request_reader import ReadLimits
from springrock.statements import Requester
from springrock.strict_json import MalformedJson, decode_json
from springrock.wire.operator import (
    STATEMENTS_PATH,
    StatementAnswer,
    StatementFailure,
    StatementRequest,
)

_BODY_LIMIT_BYTES = 65_536
_INTAKE_LIMITS = IntakeLimits(held_bytes=4 * _BODY_LIMIT_BYTES, connections=64)
"""Callers of the other doors, however many, must not keep operators out."""

_READ_LIMITS = ReadLimits(head_s=10.0, body_s=10.0, body_bytes=_BODY_LIMIT_BYTES)


@doors.register("operator")
class OperatorDoor:
    """Serves operators over HTTP.

    Args:
        host: The box, as far as the door uses it.
    """

    def __init__(self, host: OperatorDoorHost) -> None:
        self._host = host
        self._credentials = host.settings.operator_door.credentials
        self._log = host.log("operator")
        app = new_app()
        app.post(STATEMENTS_PATH)(self._statement)
        self._server = HttpServer(
            app,
            host.settings.operator_door.address,
            read_limits=lambda: _READ_LIMITS,
            on_unread_head=self._log_unread,
            intake=Intake(_INTAKE_LIMITS),
        )

    def start(self) -> None:
        """Begin listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    @property
    def address(self) -> str:
        """The bound address."""
        return self._server.address

    def _statement(self) -> Any:
        operator = self._authenticate(bottle.request.headers.get("Authorization", ""))
        if operator is None:
            self._log.info("Rejected an unknown credential.")
            return _failure(401, "BadCredential", "unknown key")
        try:
            body_bytes = read_body(_BODY_LIMIT_BYTES)
        except RequestNotRead as error:
            self._log_unread(error)
            return _failure(error.status, type(error).__name__, str(error))
        try:
            request = decode_json(body_bytes or b"", StatementRequest)
        except MalformedJson as error:
            return _failure(400, "MalformedRequest", str(error))
        self._log.info(
            f"{operator} sent a statement: {request.statement}",
            who=operator,
            command=request.command_id,
        )
        return self._run(operator, request)

    def _log_unread(self, error: RequestNotRead) -> None:
        self._log.info("A request was not read to its end.", **error.fields)

    def _run(self, operator: str, request: StatementRequest) -> Any:
        try:
            statement, arguments = parse(request.statement)
            requester = Requester(operator, request.command_id, request.wait_s)
            answer: StatementAnswer = statement.run(self._host, arguments, requester)
        except StatementError as error:
            return self._refusal_response(409, operator, error)
        except PlatformUnavailable as error:
            return self._refusal_response(503, operator, error)
        return json_response(msgspec.json.encode(answer))

    def _refusal_response(self, status: int, operator: str, error: SpringrockError) -> Any:
        self._log.info(f"Refused a statement of {operator}.", who=operator, error=str(error))
        return _failure(status, type(error).__name__, str(error))

    def _authenticate(self, authorization: str) -> str | None:
        """Return the operator with a key, or None.

        All keys are compared, in constant time, so that the duration reveals nothing about them.
        """
        found = None
        for credential in self._credentials:
            expected = f"Bearer {credential.key}".encode()
            if hmac.compare_digest(authorization.encode(), expected):
                found = credential.name
        return found


def _failure(status: int, error: str, message: str) -> Any:
    failure = StatementFailure(error=error, message=message)
    return json_response(msgspec.json.encode(failure), status=status)

"""The HTTP server for callers: OpenAI-style completions, services, models, health, metrics."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import bottle
from expression import Error, Result

from springrock.bottle_app import json_response, new_app, read_body
from springrock.doors._watch import CallerWatch
from springrock.errors import (
    CallerGone,
    Cause,
    ReadBound,
    Refusal,
    RequestNotRead,
    RequestRefused,
    RunState,
)
from springrock.hosts import CallerDoorHost
from springrock.httpd import SOCKET_KEY, HttpServer
from springrock.ids import new_id
from springrock.plugins import doors
from springrock.request_reader import ReadLimits
from springrock.serving.answer import Answer
from springrock.serving.request import ServingRequest
from springrock.wire import caller as wire

_SERVICE_METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE"]
_REPEATABLE_METHODS = frozenset({"GET", "HEAD"})
_MAX_LISTED_MODELS = 1_000
_CAUSE_BY_BOUND = {
    ReadBound.BODY_TIME: Cause.DEADLINE_PASSED,
    ReadBound.BODY_BYTES: Cause.BODY_TOO_LARGE,
    ReadBound.FRAMING_BYTES: Cause.BODY_TOO_LARGE,
    ReadBound.TRAILER_BYTES: Cause.BODY_TOO_LARGE,
    ReadBound.FRAMING: Cause.MALFORMED_REQUEST,
    ReadBound.OVERLOAD: Cause.QUEUE_FULL,
}
_RETRY_AFTER_OVERLOAD_S = 1


@doors.register("caller")
class CallerDoor:
    """Serves callers over HTTP.

    Args:
        host: The box, as far as the door uses it.
    """

    def __init__(self, host: CallerDoorHost) -> None:
        self._host = host
        self._settings = host.settings.caller_door
        self._workload_by_key = {
            f"Bearer {item.key}": item.workload for item in self._settings.workload_keys
        }
        self._log = host.log("caller")
        self._read_limits = ReadLimits(
            head_s=10.0,
            body_s=self._settings.longest_deadline_s,
            body_bytes=self._settings.body_limit_bytes,
        )
        self._server = HttpServer(
            self._build_app(),
            self._settings.address,
            send_timeout_s=self._settings.send_timeout_s,
            read_limits=lambda: self._read_limits,
            on_unread_head=lambda error: self._log_unread(error, request=""),
            deadline_header=wire.DEADLINE_HEADER,
            intake=host.intake,
        )

    def start(self) -> None:
        """Begin listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close idle connections."""
        self._server.stop()

    @property
    def address(self) -> str:
        """The bound address."""
        return self._server.address

    def _build_app(self) -> Any:
        app = new_app()
        app.post("/v1/completions")(lambda: self._completion(chat=False))
        app.post("/v1/chat/completions")(lambda: self._completion(chat=True))
        app.get("/v1/models")(self._models)
        app.get("/healthz")(lambda: b"ok\n")
        app.get("/readyz")(self._readyz)
        app.get("/metrics")(self._metrics)
        app.route("/services/<pool>/<path:path>", method=_SERVICE_METHODS)(self._service)
        app.default_error_handler = self._error_page
        return app

    # Models, readiness, metrics and error pages.

    def _models(self) -> Any:
        host = self._host
        names = [pool.base_model for pool in host.settings.pools if pool.base_model]
        for adapter in host.catalog.adapters():
            if len(names) >= _MAX_LISTED_MODELS:
                break
            names.append(adapter.name)
        return json_response(wire.model_list(names))

    def _readyz(self) -> Any:
        why_not = self._host.not_ready_reason()
        if why_not:
            return bottle.HTTPResponse(f"{why_not}\n".encode(), status=503)
        return b"ready\n"

    def _metrics(self) -> Any:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return self._host.metrics.render()

    def _error_page(self, error: Any) -> Any:
        if error.status_code == 500:
            self._log.info("A request failed with an internal error.", error=repr(error.exception))
        cause = Cause.INTERNAL_FAULT if error.status_code == 500 else Cause.MALFORMED_REQUEST
        refusal = Refusal(
            cause,
            str(error.body),
            RunState.UNKNOWN if error.status_code == 500 else RunState.NOT_RUN,
        )
        bottle.response.content_type = "application/json"
        return wire.error_body(refusal, "")

    # Completions.

    def _completion(self, *, chat: bool) -> Any:
        watch = CallerWatch(bottle.request.environ[SOCKET_KEY])
        open_requests = self._host.open_requests
        open_requests.enter()
        streaming = False
        try:
            # Read the body before the watch starts, which reads from the same socket.
            admitted = self._parse_and_admit(chat=chat)
            if admitted.is_error():
                return self._refuse(admitted.error)
            request = admitted.ok
            watch.start()
            answered = self._host.relay.open(request)
            if answered.is_error():
                return self._refuse(answered.error, request.request_id)
            if not request.body.stream:
                return self._complete_answer(request, answered.ok)
            streaming = True
            bottle.response.headers["Cache-Control"] = "no-store"
            bottle.response.headers["Content-Type"] = "text/event-stream"
            bottle.response.headers.update(self._answer_headers(request, answered.ok))
            return self._stream(request, answered.ok, watch)
        except RequestNotRead as error:
            return self._refuse_unread(error)
        except CallerGone:
            self._count(RunState.CUT, Cause.CALLER_GONE)
            return bottle.HTTPResponse(b"", status=499)
        finally:
            if not streaming:
                watch.stop()
                open_requests.leave()

    def _read_body(self) -> bytes | None:
        """Return the body of the current request, or None if it exceeds the limit.

        Raises:
            RequestNotRead: If the body did not come by the request's deadline, or is malformed.
        """
        has_deadline = wire.DEADLINE_HEADER in bottle.request.headers
        within_s = None if has_deadline else self._settings.default_deadline_s
        return read_body(self._settings.body_limit_bytes, within_s=within_s)

    def _parse_and_admit(self, *, chat: bool) -> Result[ServingRequest, Refusal]:
        body_bytes = self._read_body()
        if body_bytes is None:
            limit = self._settings.body_limit_bytes
            return Error(wire.make_refusal(Cause.BODY_TOO_LARGE, f"the body is over {limit} bytes"))
        unavailable = self._unavailable_refusal()
        if unavailable is not None:
            return Error(unavailable)
        body = wire.parse_body(body_bytes, chat=chat)
        if body.is_error():
            return Error(body.error)
        terms = self._parse_terms(repeatable=True)
        if terms.is_error():
            return Error(terms.error)
        return self._host.admission.admit(body.ok, terms.ok, chat=chat)

    def _unavailable_refusal(self) -> Refusal | None:
        """Return the refusal if this box accepts no requests now, else None."""
        host = self._host
        if host.refusing:
            return Refusal(Cause.BOX_STOPPING, "this box is stopping", retry_after_s=1.0)
        if not host.serving:
            return Refusal(Cause.BOX_STARTING, host.not_ready_reason(), retry_after_s=1.0)
        if host.open_requests.count > self._settings.open_requests_limit:
            return Refusal(
                Cause.QUEUE_FULL, "this box has too many open requests", retry_after_s=1.0
            )
        return None

    def _parse_terms(self, *, repeatable: bool) -> Result[wire.Terms, Refusal]:
        headers = bottle.request.headers
        workload = ""
        if self._workload_by_key:
            workload = self._workload_by_key.get(headers.get("Authorization", ""), "")
            if not workload:
                return Error(wire.make_refusal(Cause.BAD_CREDENTIAL, "unknown credential"))
        return wire.parse_terms(
            headers,
            workload=workload,
            default_deadline_s=self._settings.default_deadline_s,
            longest_deadline_s=self._settings.longest_deadline_s,
            repeatable=repeatable,
        )

    def _answer_headers(self, request: ServingRequest, answer: Answer) -> dict[str, str]:
        permitted = answer.permitted
        return {
            wire.REQUEST_ID_HEADER: request.request_id,
            wire.MODEL_HEADER: str(request.model),
            wire.BOX_HEADER: self._host.name,
            wire.REPLICA_HEADER: permitted.upstream.name,
            wire.LOAD_STALL_HEADER: f"{permitted.stall_s * 1000:.0f}",
        }

    def _stream(
        self, request: ServingRequest, answer: Answer, watch: CallerWatch
    ) -> Iterator[bytes]:
        try:
            for event in answer:
                yield event.raw
            self._count(RunState.ANSWERED)
        except RequestRefused as error:
            self._handle_cut(request, error.refusal)
            yield wire.error_event(error.refusal, request.request_id)
        except (CallerGone, GeneratorExit):
            self._log.info(
                f"The caller of {request.request_id} disconnected.", request=request.request_id
            )
            self._count(RunState.CUT, Cause.CALLER_GONE)
        finally:
            watch.stop()
            answer.close()
            self._host.open_requests.leave()

    def _complete_answer(self, request: ServingRequest, answer: Answer) -> Any:
        texts: list[str] = []
        finish_reason = ""
        try:
            for event in answer:
                if event.chunk is not None:
                    choice = event.chunk.choices[0]
                    texts.append(choice.generated_text)
                    finish_reason = choice.finish_reason or finish_reason
        except RequestRefused as error:
            self._handle_cut(request, error.refusal)
            return self._refuse(error.refusal, request.request_id, already_counted=True)
        finally:
            answer.close()
        self._count(RunState.ANSWERED)
        body = wire.completion_answer(
            request_id=request.request_id,
            model=str(request.model),
            text="".join(texts),
            tokens=answer.tokens,
            finish_reason=finish_reason,
            chat=request.chat,
        )
        headers = self._answer_headers(request, answer)
        headers[wire.RUN_STATE_HEADER] = RunState.ANSWERED
        return json_response(body, headers=headers)

    # Services.

    def _service(self, pool: str, path: str) -> Any:
        watch = CallerWatch(bottle.request.environ[SOCKET_KEY])
        request = bottle.request
        self._host.open_requests.enter()
        try:
            body_bytes = self._read_body()
            if body_bytes is None:
                limit = self._settings.body_limit_bytes
                return self._refuse(
                    wire.make_refusal(Cause.BODY_TOO_LARGE, f"the body is over {limit} bytes")
                )
            unavailable = self._unavailable_refusal()
            if unavailable is not None:
                return self._refuse(unavailable)
            terms = self._parse_terms(repeatable=request.method in _REPEATABLE_METHODS)
            if terms.is_error():
                return self._refuse(terms.error)
            over_limit = self._host.admission.check_limit(terms.ok.workload)
            if over_limit is not None:
                return self._refuse(over_limit, terms.ok.request_id)
            watch.start()
            return self._call_service(pool, path, body_bytes, terms.ok)
        except RequestNotRead as error:
            return self._refuse_unread(error)
        except CallerGone:
            self._count(RunState.UNKNOWN, Cause.CALLER_GONE)
            return bottle.HTTPResponse(b"", status=499)
        finally:
            watch.stop()
            self._host.open_requests.leave()

    def _call_service(self, pool: str, path: str, body_bytes: bytes, terms: wire.Terms) -> Any:
        request = bottle.request
        request_id = terms.request_id or new_id()
        query = f"?{request.query_string}" if request.query_string else ""
        result = self._host.services.call(
            pool,
            request.method,
            f"/{path}{query}",
            body=body_bytes,
            content_type=request.content_type or "application/octet-stream",
            request_id=request_id,
            terms=terms,
        )
        match result:
            case Result(tag="ok", ok=answer):
                self._count(RunState.ANSWERED)
                headers = {
                    "Content-Type": answer.content_type,
                    wire.REQUEST_ID_HEADER: request_id,
                    wire.BOX_HEADER: self._host.name,
                    wire.RUN_STATE_HEADER: RunState.ANSWERED,
                }
                return bottle.HTTPResponse(answer.body, status=answer.status, headers=headers)
            case Result(error=refusal):
                return self._refuse(refusal, request_id)

    # Refusals, cuts and counters.

    def _refuse(
        self, refusal: Refusal, request_id: str = "", *, already_counted: bool = False
    ) -> Any:
        if not already_counted:
            self._count(refusal.run_state, refusal.cause)
            self._log.info(
                f"Refused {request_id or 'a request'}: {refusal.cause}.",
                request=request_id,
                cause=refusal.cause,
                run_state=refusal.run_state,
                retry_after_s=refusal.retry_after_s,
            )
        headers = {wire.RUN_STATE_HEADER: refusal.run_state, wire.BOX_HEADER: self._host.name}
        if refusal.retry_after_s > 0:
            headers["Retry-After"] = wire.retry_after_header(refusal)
        body = wire.error_body(refusal, request_id)
        return json_response(body, status=wire.status_of(refusal), headers=headers)

    def _refuse_unread(self, error: RequestNotRead) -> Any:
        request_id = bottle.request.headers.get(wire.REQUEST_ID_HEADER, "")
        self._log_unread(error, request=request_id)
        refusal = wire.make_refusal(_CAUSE_BY_BOUND[error.bound], str(error))
        self._count(refusal.run_state, refusal.cause)
        headers = {wire.RUN_STATE_HEADER: refusal.run_state, wire.BOX_HEADER: self._host.name}
        if error.bound is ReadBound.OVERLOAD:
            headers["Retry-After"] = str(_RETRY_AFTER_OVERLOAD_S)
        body = wire.error_body(refusal, request_id)
        return json_response(body, status=error.status, headers=headers)

    def _log_unread(self, error: RequestNotRead, *, request: str) -> None:
        self._log.info("A request was not read to its end.", request=request, **error.fields)

    def _handle_cut(self, request: ServingRequest, refusal: Refusal) -> None:
        self._log.info(
            f"Cut {request.request_id}: {refusal.cause}.",
            request=request.request_id,
            cause=refusal.cause,
        )
        self._count(refusal.run_state, refusal.cause)

    def _count(self, run_state: RunState, cause: Cause | None = None) -> None:
        self._host.metrics.requests.labels(run_state).inc()
        if cause is not None:
            self._host.metrics.refusals.labels(cause).inc()

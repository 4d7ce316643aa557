"""Admission: checks a request against the catalog and pins its adapter version."""

from __future__ import annotations

from collections.abc import Callable

from expression import Error, Ok, Result

from springrock.clock import Deadline, monotonic
from springrock.coordination.catalog import Adapter, Catalog
from springrock.errors import Cause, Refusal, RunState
from springrock.ids import new_id
from springrock.serving.limits import WorkloadLimits
from springrock.serving.request import ServingRequest
from springrock.serving.view import RoutingView
from springrock.wire.caller import CompletionBody, Terms, make_refusal
from springrock.wire.model_name import ModelName


class Admission:
    """Converts a caller's request into one that can be served, or refuses it.

    Args:
        catalog: Returns the current catalog.
        view: Routing view, which has the pools.
        limits: The request limits of the workloads.
    """

    def __init__(
        self, *, catalog: Callable[[], Catalog], view: RoutingView, limits: WorkloadLimits
    ) -> None:
        self._catalog = catalog
        self._view = view
        self._limits = limits

    def admit(
        self, body: CompletionBody, terms: Terms, *, chat: bool
    ) -> Result[ServingRequest, Refusal]:
        """Check a completion request and pin its adapter version."""
        arrived_at = monotonic()
        name = ModelName.from_text(body.model)
        if name is None:
            return Error(make_refusal(Cause.UNKNOWN_MODEL, f"{body.model!r} is not a model name"))
        pool = self._view.pool_for_model(name.base)
        if pool is None:
            return Error(make_refusal(Cause.UNKNOWN_MODEL, f"there is no base model {name.base!r}"))
        pinned = self._pin(name, terms.workload)
        if pinned.is_error():
            return Error(pinned.error)
        limited = self.check_limit(terms.workload)
        if limited is not None:
            return Error(limited)
        workload = self._catalog().workload(terms.workload)
        return Ok(
            ServingRequest(
                request_id=terms.request_id or new_id(),
                model=pinned.ok,
                terms=terms,
                priority=terms.priority + (workload.priority if workload else 0),
                body=body,
                pool=pool,
                deadline=Deadline(terms.deadline_s),
                arrived_at=arrived_at,
                chat=chat,
            )
        )

    def check_limit(self, workload: str) -> Refusal | None:
        """Count a request against its workload's limit; return a refusal if it is over."""
        retry_after_s = self._limits.admit(workload)
        if not retry_after_s:
            return None
        detail = f"workload {workload!r} is over its limit"
        return Refusal(Cause.RATE_LIMITED, detail, RunState.NOT_RUN, retry_after_s)

    def _pin(self, name: ModelName, workload: str) -> Result[ModelName, Refusal]:
        if not name.adapter:
            return Ok(name)
        adapter = self._catalog().adapter(f"{name.base}:{name.adapter}")
        if adapter is None:
            return Error(
                make_refusal(Cause.UNKNOWN_ADAPTER, f"there is no adapter {name.adapter!r}")
            )
        if adapter.workloads and workload not in adapter.workloads:
            detail = f"workload {workload!r} may not use adapter {name.adapter!r}"
            return Error(make_refusal(Cause.ADAPTER_NOT_ALLOWED, detail))
        return _pin_version(name, adapter)


def _pin_version(name: ModelName, adapter: Adapter) -> Result[ModelName, Refusal]:
    version = name.version or adapter.current
    if version not in adapter.versions:
        detail = f"adapter {name.adapter!r} has no version {version}"
        return Error(make_refusal(Cause.UNKNOWN_VERSION, detail))
    return Ok(name._replace(version=version))

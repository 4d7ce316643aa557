"""A request as this box serves it: its terms, its pinned model and its deadline."""

from __future__ import annotations

from dataclasses import dataclass

from springrock.clock import Deadline
from springrock.settings import PoolSection
from springrock.wire.caller import CompletionBody, Terms
from springrock.wire.engine import EngineRequest
from springrock.wire.model_name import ModelName


@dataclass(frozen=True, slots=True)
class ServingRequest:
    """One admitted completion request.

    Attributes:
        request_id: The caller's identifier, or one made here.
        model: The model with its version pinned.
        terms: What the caller asked for besides.
        priority: The caller's priority and its workload's, added.
        body: The body as read.
        pool: The pool that serves the model.
        deadline: When the answer must be whole.
        arrived_at: When the request came, on the local monotonic clock.
        chat: Whether it is a chat completion.
    """

    request_id: str
    model: ModelName
    terms: Terms
    priority: int
    body: CompletionBody
    pool: PoolSection
    deadline: Deadline
    arrived_at: float
    chat: bool

    def to_engine(self) -> EngineRequest:
        """Return the request as an engine takes it."""
        body = self.body
        messages = None
        if self.chat and body.messages is not None:
            messages = [{"role": item.role, "content": item.content} for item in body.messages]
        return EngineRequest(
            model=str(self.model),
            request_id=self.request_id,
            max_tokens=body.max_tokens,
            prompt=None if self.chat else body.prompt,
            messages=messages,
            priority=self.priority,
            repeatable=self.terms.repeatable,
            temperature=body.temperature,
            seed=body.seed,
        )

"""Chooses the engine of a zone on which each request runs.

All boxes report their use of the zone's engines to its placer. Only the placer therefore knows the
prompt tokens that each engine has yet to read, the prompt prefixes that it has cached, and the
engines that reported to be full.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from springrock.clock import monotonic
from springrock.forwarding.message import AdapterKey
from springrock.placement.engine_work import EngineWork, PrefillSpeed
from springrock.placement.messages import Ended, Outcome, Started, Use
from springrock.placement.planner import COPY_WAIT_FRACTION

_FAILURE_PENALTY_S = 0.5
"""Added to the estimated wait at an engine that always fails; scaled by its recent failure rate."""

_AVOIDANCE_PENALTY_S = 5.0
"""Added to the estimated wait at an engine that is used only if there is no other."""


class _Run(NamedTuple):
    """A request that was sent to an engine.

    Attributes:
        unread: Prompt tokens that the engine had to read for it.
        backlog: Those and the tokens of all earlier requests that had not started.
    """

    instance: str
    key: AdapterKey
    unread: int = 0
    backlog: int = 0


class Choice(NamedTuple):
    """The engine on which a request is to run.

    Attributes:
        wait_s: Estimated seconds until its first event.
        unread: Prompt tokens that the engine has to read, as they are not cached.
    """

    instance: str
    wait_s: float
    unread: int


class Dispatcher:
    """Tracks the requests on the engines of one service in a zone and chooses among the engines.

    Args:
        memory_tokens: Number of tokens that an engine's cache holds; 0 if that is not known.

    Attributes:
        used: Number of requests that use an adapter, by instance and adapter.
        crowded: Time of the last request that found all engines with its adapter busy, by adapter.
    """

    def __init__(self, *, memory_tokens: int) -> None:
        self._memory_tokens = memory_tokens
        self._service_speed = PrefillSpeed()
        self._work: dict[str, EngineWork] = {}
        self._runs: dict[tuple[str, int], _Run] = {}
        self._started: set[tuple[str, int]] = set()
        self.used: Counter[tuple[str, AdapterKey]] = Counter()
        self.crowded: dict[AdapterKey, float] = {}

    def work(self, instance: str) -> EngineWork:
        """Return the work of an engine; created at its first use."""
        work = self._work.get(instance)
        if work is None:
            work = EngineWork(self._service_speed, memory_tokens=self._memory_tokens)
            self._work[instance] = work
            self._count_known_runs(instance, work)
        return work

    def _count_known_runs(self, instance: str, work: EngineWork) -> None:
        """Count the requests that have outlasted an earlier record of an engine."""
        for run_id, run in self._runs.items():
            if run.instance == instance:
                work.runs += 1
                work.prefill_backlog += 0 if run_id in self._started else run.unread

    def forget(self, instance: str) -> None:
        """Drop an engine that was removed; boxes still report the end of each of its requests."""
        self._work.pop(instance, None)

    def choose(
        self,
        key: AdapterKey,
        prompt: list[tuple[str, int]],
        holders: Iterable[str],
        *,
        target_in_s: float,
    ) -> Choice | None:
        """Return the engine with the earliest first event; None if none can take a request now.

        If the wait on the best engine is too long for the target, the adapter is recorded in
        `crowded`.

        Args:
            key: The adapter.
            prompt: The parts of the prompt, each an id and its number of tokens.
            holders: The engines that hold the adapter.
            target_in_s: Seconds until the first event is due.
        """
        choices = [self._estimate(instance, key, prompt) for instance in holders]
        best = min((item for item in choices if item), key=lambda item: item.wait_s, default=None)
        if best is not None and best.wait_s > COPY_WAIT_FRACTION * target_in_s:
            self.crowded[key] = monotonic()
        return best

    def _estimate(
        self, instance: str, key: AdapterKey, prompt: list[tuple[str, int]]
    ) -> Choice | None:
        work = self.work(instance)
        if work.is_missing(key):
            return None
        unread = sum(tokens for _, tokens in prompt) - work.prompt_cache.cached_tokens(key, prompt)
        wait_s = work.wait_s + unread * work.token_s
        wait_s += _FAILURE_PENALTY_S * work.health.recent_failure_rate
        if work.is_full or work.backoff.active or work.health.resting:
            wait_s += _AVOIDANCE_PENALTY_S
        return Choice(instance, wait_s, unread)

    def excess_failure_rate(self, instance: str) -> float:
        """Return an engine's failure rate less the mean rate of the others, from -1 to 1."""
        others = [
            work.health.recent_failure_rate for name, work in self._work.items() if name != instance
        ]
        mean_of_others = sum(others) / len(others) if others else 0.0
        return self.work(instance).health.recent_failure_rate - mean_of_others

    # Progress of requests.

    def record_granted(
        self, box: str, number: int, choice: Choice, key: AdapterKey, prompt: list[tuple[str, int]]
    ) -> None:
        """Record that a request was granted an engine."""
        work = self.work(choice.instance)
        work.prefill_backlog += choice.unread
        work.prompt_cache.record(key, prompt)
        self._add((box, number), _Run(choice.instance, key, choice.unread, work.prefill_backlog))

    def record_use(self, box: str, use: Use) -> None:
        """Record a use without a grant of this placer, or one that an earlier placer granted."""
        key = AdapterKey(use.model, use.adapter)
        self._started.add((box, use.number))
        self._add((box, use.number), _Run(use.instance, key))

    def record_start(self, box: str, started: Started) -> None:
        """Record the first event of a request."""
        run_id = (box, started.number)
        run = self._runs.get(run_id)
        if run is None or run_id in self._started:
            return
        self._started.add(run_id)
        work = self._work.get(run.instance)
        if work is not None:
            work.prefill_backlog -= run.unread
            work.record_prefill(run.backlog, after_s=started.after_ms / 1000)

    def record_finished(self, box: str, ended: Ended) -> _Run | None:
        """Record the end of a request; return its run, or None if the request is unknown."""
        run_id = (box, ended.number)
        run = self._runs.pop(run_id, None)
        if run is None:
            return None
        use = (run.instance, run.key)
        self.used[use] -= 1
        if not self.used[use]:
            del self.used[use]
        has_started = run_id in self._started
        self._started.discard(run_id)
        work = self._work.get(run.instance)
        if work is not None:
            work.runs -= 1
            work.prefill_backlog -= 0 if has_started else run.unread
            self._record_outcome(work, run, ended.outcome)
            if ended.backoff_ms:
                work.backoff.extend(ended.backoff_ms / 1000)
        return run

    def engines_used_by(self, box: str) -> set[str]:
        """Return the instances of the engines that run requests of a box."""
        return {run.instance for run_id, run in self._runs.items() if run_id[0] == box}

    def forget_box(self, box: str) -> None:
        """Record the end of all requests of a box."""
        for run_id in [run_id for run_id in self._runs if run_id[0] == box]:
            self.record_finished(box, Ended(run_id[1]))

    def crowded_since(self, at: float) -> list[AdapterKey]:
        """Return the adapters that were crowded since a point in time; drop the older records."""
        self.crowded = {key: recorded for key, recorded in self.crowded.items() if recorded >= at}
        return list(self.crowded)

    def backing_off(self) -> frozenset[str]:
        """Return the engines that asked some box for a back-off that has not ended."""
        return frozenset(instance for instance, work in self._work.items() if work.backoff.active)

    def waits(self) -> dict[str, float]:
        """Return the seconds that a first event would wait at each engine, without its own prompt.

        An engine that asked one box for a back-off most likely has no room for others either.
        """
        return {
            instance: work.wait_s + (_AVOIDANCE_PENALTY_S if work.backoff.active else 0.0)
            for instance, work in self._work.items()
        }

    def _add(self, run_id: tuple[str, int], run: _Run) -> None:
        self.work(run.instance).runs += 1
        self._runs[run_id] = run
        self.used[(run.instance, run.key)] += 1

    def _record_outcome(self, work: EngineWork, run: _Run, outcome: Outcome) -> None:
        if outcome is Outcome.LACKING:
            work.record_missing(run.key)
        elif outcome is Outcome.FULL:
            work.record_full()
        elif outcome is Outcome.UNREACHABLE:
            work.health.record_unreachable()
        elif outcome is Outcome.FAILED:
            work.health.record_failure()

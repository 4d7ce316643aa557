"""Handles the permit requests, refunds and withdrawals of all boxes for the replicas owned here."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from expression import Error, Result
from gevent.event import Event

from springrock.clock import monotonic
from springrock.coordination.catalog import Catalog
from springrock.coordination.link import Link
from springrock.coordination.members import Members
from springrock.coordination.ownership import Upstream
from springrock.coordination.peers import Peers
from springrock.coordination.permits import HeldPermitBook
from springrock.coordination.steward import Steward
from springrock.errors import Cause, PeerUnreachable, Refusal, RunState
from springrock.log import Log
from springrock.metrics import Metrics
from springrock.plugins import drivers
from springrock.policies import evictions, load_orders
from springrock.serving.loader import Loader
from springrock.serving.owned_replica import OwnedReplica
from springrock.serving.view import RoutingView
from springrock.serving.waiting import Waiter
from springrock.settings import PolicySection
from springrock.wire import peer as wire

_REPORT_INTERVAL_S = 0.1
_FULL_REPORT_INTERVAL_S = 30.0
_NOTICE_TIMEOUT_S = 2.0


class Owner:
    """The replicas that this box owns, and the handlers of peers' messages about them.

    Args:
        box: The name of this box.
        policy: The choice of policies and the limits.
        may_act: Returns whether this box may act as an owner now.
        members: The boxes of the deployment, each of which may hold permits.
        peers: The links to the other boxes.
        held: The permits that this box itself holds.
        steward: Grants turns to load from the weight store.
        view: Routing view that receives the reports on this box's own replicas.
        catalog: Returns the current catalog.
        log: The log to write to.
        metrics: The metrics to update.
    """

    def __init__(
        self,
        *,
        box: str,
        policy: PolicySection,
        may_act: Callable[[], bool],
        members: Members,
        peers: Peers,
        held: HeldPermitBook,
        steward: Steward,
        view: RoutingView,
        catalog: Callable[[], Catalog],
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._box = box
        self._policy = policy
        self._may_act = may_act
        self._members = members
        self._peers = peers
        self._held = held
        self._steward = steward
        self._view = view
        self._catalog = catalog
        self._log = log
        self._metrics = metrics
        self._replicas: dict[str, OwnedReplica] = {}
        self._loaders: dict[str, Loader] = {}
        self._waiters: dict[tuple[str, int], tuple[OwnedReplica, Waiter]] = {}
        self._leaving: set[str] = set()
        self._changed_replicas: set[str] = set()
        self._reports_due = Event()
        self._tasks: list[gevent.Greenlet[..., Any]] = []
        peers.handle(wire.Ask, self._on_ask)
        peers.handle(wire.Return, self._on_refund)
        peers.handle(wire.Withdraw, self._on_withdraw)
        peers.handle(wire.FenceNotice, self._on_fence_notice)
        peers.on_link.append(self._send_all_reports)

    def start(self) -> None:
        """Start reporting to the peers."""
        self._tasks = [gevent.spawn(self._report_loop), gevent.spawn(self._refresh_loop)]

    def stop(self) -> None:
        """Stop reporting and give up all owned replicas."""
        for task in self._tasks:
            task.kill()
        for name in list(self._replicas):
            self.stop_owning(name)

    @property
    def replicas(self) -> list[OwnedReplica]:
        """The replicas owned here, sorted by name."""
        return [self._replicas[name] for name in sorted(self._replicas)]

    # Ownership.

    def start_owning(self, upstream: Upstream, fence: int, *, previous: str) -> None:
        """Start to act as the owner of a replica."""
        settings = upstream.settings
        replica = OwnedReplica(
            settings,
            upstream.pool,
            self._policy,
            fence=fence,
            driver=drivers.get(upstream.pool.driver)(settings),
            may_act=self._may_act,
            eviction=evictions.get(self._policy.eviction),
            load_order=load_orders.get(self._policy.load_order),
            log=self._log,
            metrics=self._metrics,
            on_change=self._handle_change,
            on_lost=self._schedule_stop_owning,
        )
        replica.pinned = lambda: [pin.adapter for pin in self._catalog().pins(settings.name)]
        replica.set_drained(self._out_of_service(settings.name))
        self._replicas[settings.name] = replica
        self._loaders[settings.name] = Loader(replica, self._steward)
        self._metrics.owned_replicas.set(len(self._replicas))
        gevent.spawn(self._recover_permits, replica)
        replica.start()
        self._loaders[settings.name].start()

    def stop_granting(self, replica: str) -> None:
        """Stop granting permits for a replica that is about to change its owner."""
        self._replicas[replica].close()

    def stop_owning(self, replica: str) -> None:
        """Stop acting as the owner of a replica."""
        owned = self._replicas.pop(replica, None)
        if owned is None:
            return
        owned.stop()
        self._loaders.pop(replica).stop()
        self._metrics.owned_replicas.set(len(self._replicas))
        self._metrics.permits_outstanding.dec(len(owned.permits))

    def _schedule_stop_owning(self, replica: OwnedReplica) -> None:
        gevent.spawn(self.stop_owning, replica.name)

    def record_leaving(self, leaving: set[str]) -> None:
        """Replace the set of upstreams that the platform lists as leaving."""
        self._leaving = leaving
        self.update_drains()

    def update_drains(self) -> None:
        """Start or end drains by the platform's list of leaving upstreams and the catalog."""
        for replica in self.replicas:
            replica.set_drained(self._out_of_service(replica.name))

    def _out_of_service(self, replica: str) -> bool:
        return replica in self._leaving or self._catalog().drained(replica)

    def _recover_permits(self, replica: OwnedReplica) -> None:
        """Fetch all boxes' permits of earlier owners, so that no adapter in use is unloaded.

        If a box does not answer, unloads stay forbidden until the longest permit has expired.
        """
        began_at = monotonic()
        for permit in self._held.apply_fence_notice(replica.name, replica.fence, self._box):
            replica.inherited.add(permit, ends_at=began_at + permit.seconds_left)
        others = [member for member in self._members.all() if member.box != self._box]
        tasks = [gevent.spawn(self._fetch_held_permits, replica, member.box) for member in others]
        gevent.joinall(tasks)
        if all(task.value for task in tasks):
            replica.unload_after = began_at
            self._log.info("Received the held permits of all boxes.", replica=replica.name)
        else:
            self._log.info("Some boxes did not report their held permits.", replica=replica.name)
        self._handle_change(replica)

    def _fetch_held_permits(self, replica: OwnedReplica, box: str) -> bool:
        notice = wire.FenceNotice(0, replica.name, replica.fence)
        try:
            link = self._peers.link_to(box)
            answer = link.ask(notice, wire.HeldPermits, timeout_s=_NOTICE_TIMEOUT_S)
        except PeerUnreachable:
            return False
        now = monotonic()
        for permit in answer.permits:
            replica.inherited.add(permit, ends_at=now + permit.seconds_left)
        return True

    # Permit requests.

    def request_permit(self, ask: wire.Ask) -> Result[wire.Grant, Refusal]:
        """Request a permit for this box itself; wait for the grant or the refusal."""
        replica = self._replicas.get(ask.replica)
        if replica is None:
            return Error(_not_owner_refusal(ask.replica))
        answer = replica.request_permit(ask, self._box)
        if not isinstance(answer, Waiter):
            return answer
        try:
            return answer.wait()
        except BaseException:
            replica.withdraw(answer)
            raise

    def refund(self, notice: wire.Return) -> None:
        """End a permit, whether this owner or an earlier one granted it."""
        replica = self._replicas.get(notice.replica)
        if replica is None:
            return
        if replica.fence == notice.fence:
            replica.refund(notice.permit, notice.tokens)
        else:
            replica.refund_inherited(notice.fence, notice.permit)

    def _on_ask(self, link: Link, ask: wire.Ask) -> wire.Answer:
        replica = self._replicas.get(ask.replica)
        if replica is None:
            return wire.Deny(ask.number, _not_owner_refusal(ask.replica))
        answer = replica.request_permit(ask, link.box)
        if isinstance(answer, Waiter):
            key = (link.box, ask.number)
            self._waiters[key] = (replica, answer)
            try:
                answer = answer.wait()
            finally:
                self._waiters.pop(key, None)
        match answer:
            case Result(tag="ok", ok=grant):
                return grant
            case Result(error=refusal):
                return wire.Deny(ask.number, refusal)

    def _on_refund(self, _: Link, notice: wire.Return) -> None:
        self.refund(notice)

    def _on_withdraw(self, link: Link, notice: wire.Withdraw) -> None:
        found = self._waiters.get((link.box, notice.number))
        if found is not None:
            replica, waiter = found
            replica.withdraw(waiter)

    def _on_fence_notice(self, link: Link, notice: wire.FenceNotice) -> wire.HeldPermits:
        held = self._held.apply_fence_notice(notice.replica, notice.fence, link.box)
        return wire.HeldPermits(notice.number, held)

    # Reports.

    def _handle_change(self, replica: OwnedReplica) -> None:
        if self._replicas.get(replica.name) is not replica:
            return
        self._view.apply(replica.report(self._box))
        self._changed_replicas.add(replica.name)
        self._reports_due.set()

    def _report_loop(self) -> None:
        sent: dict[str, wire.ReplicaReport] = {}
        while True:
            self._reports_due.wait()
            gevent.sleep(_REPORT_INTERVAL_S)
            self._reports_due.clear()
            names, self._changed_replicas = self._changed_replicas, set()
            for name in sorted(names):
                replica = self._replicas.get(name)
                if replica is None:
                    continue
                report = replica.report(self._box)
                if _is_worth_sending(sent.get(name), report, replica.pool.running_limit):
                    sent[name] = report
                    self._peers.broadcast(report)

    def _refresh_loop(self) -> None:
        """Send all reports periodically, so that a lost one is soon replaced."""
        while True:
            gevent.sleep(_FULL_REPORT_INTERVAL_S)
            for replica in self.replicas:
                report = replica.report(self._box)
                self._view.apply(report)
                self._peers.broadcast(report)

    def _send_all_reports(self, link: Link) -> None:
        for replica in self.replicas:
            try:
                link.notify(replica.report(self._box))
            except PeerUnreachable:
                return


def _is_worth_sending(
    before: wire.ReplicaReport | None, after: wire.ReplicaReport, limit: int
) -> bool:
    """Whether a report differs enough from the last one to be sent before the periodic reports.

    A change of load alone counts if it is at least a quarter of the limit.
    """
    if before is None:
        return True
    if (before.owner, before.accepting, before.ready, before.expected) != (
        after.owner,
        after.accepting,
        after.ready,
        after.expected,
    ):
        return True
    change = abs(before.running + before.waiting - after.running - after.waiting)
    return change >= max(2, limit // 4)


def _not_owner_refusal(replica: str) -> Refusal:
    return Refusal(Cause.NOT_OWNER, f"{replica} is not owned here", RunState.NOT_RUN, 1.0)

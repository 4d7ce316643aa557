"""A zone is evacuated under load, and the evacuation ended, with separate processes."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from springrock.clock import monotonic
from tests.clients import BackgroundClients
from tests.processes import wait_until
from tests.routed.deployment import ROUTES, Answer, Deployment

EVACUATION_BOUND_S = 5.0
THREE_ZONES = ("zone-1", "zone-2", "zone-3")
REPLICAS = 2 * len(THREE_ZONES)
ADAPTERS = ("e1", "e2")
"""No more adapters than one engine can hold, so that every zone can load all of them."""


class Load(BackgroundClients):
    """Clients that alternately send plain and adapter requests to boxes until they are stopped."""

    def __init__(self, deployment: Deployment, *boxes: str) -> None:
        super().__init__()
        self._deployment = deployment
        self.answers: list[tuple[float, Answer]] = []
        for box in boxes or tuple(deployment.clients):
            self.add(self._send, box)

    def served_after(self, at: float) -> list[bool]:
        """Return, for each request that was sent after a time, whether it was served."""
        return [answer.status == 200 for sent_at, answer in list(self.answers) if sent_at > at]

    def _send(self, box: str) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            sent_at = monotonic()
            try:
                if number % 2:
                    answer = self._deployment.send(box, "/lookup/x", method="GET")
                else:
                    adapter = ADAPTERS[number // 2 % len(ADAPTERS)]
                    answer = self._deployment.send(box, "/items/x", adapter=adapter)
            except OSError:
                # The box was killed.
                return
            self.answers.append((sent_at, answer))
            time.sleep(0.01)


@pytest.fixture
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    settings = {"evacuation": {"within_s": EVACUATION_BOUND_S}}
    folder = tmp_path_factory.mktemp("evacuation")
    with Deployment(folder, boxes=3, zones=THREE_ZONES, box_settings=settings) as deployment:
        deployment.configure(ROUTES)
        deployment.wait_ready(replicas=REPLICAS)
        for zone in THREE_ZONES:
            deployment.placer_and_other(zone)
        yield deployment
        assert deployment.violations() == {}


def late_arrivals(deployment: Deployment, zone: str, *, after: float) -> list[float]:
    """Return arrivals of requests in a zone after a time, in seconds since that time."""
    return [round(at - after, 3) for at in deployment.arrivals(zone) if at > after]


def try_send(deployment: Deployment, box: str) -> Answer | None:
    """Send a plain request; return its answer, or None if the box does not accept connections."""
    try:
        return deployment.send(box, "/lookup/x", method="GET")
    except ConnectionError:
        return None


def wait_evacuated(deployment: Deployment, zone: str, *, evacuated: bool = True) -> None:
    gauge = f'springrock_evacuation_zone{{zone="{zone}"}}'
    for box in [box for box in deployment.clients if deployment.is_ready(box)]:
        wait_until(
            lambda box=box: deployment.metric(box, gauge) == float(evacuated),
            what=f"{box} knows of {zone}",
        )


def adapters_in(deployment: Deployment, *zones: str) -> set[str]:
    """Return the adapters that the engines of some zones hold."""
    names = [f"engine-{deployment.zones.index(zone) + 1}" for zone in zones]
    return {adapter for name in names for adapter in deployment.counters(name)["adapters"]}


def test_a_zone_is_evacuated_under_load_and_used_again(deployment: Deployment) -> None:
    for box in deployment.clients:
        for adapter in ADAPTERS:
            deployment.send_until_served(box, "/items/x", adapter=adapter)
    # The adapters of the zone have to be loaded in other zones.
    zone = next(zone for zone in THREE_ZONES if adapters_in(deployment, zone))
    others = [other for other in THREE_ZONES if other != zone]
    wanted = adapters_in(deployment, zone)
    with Load(deployment) as load:
        time.sleep(1.0)
        evacuated_at = deployment.evacuate(zone)
        # This must happen before the cut, at two fifths of the bound after a box read the row.
        wait_until(
            lambda: wanted <= adapters_in(deployment, *others),
            within_s=EVACUATION_BOUND_S,
            what="the adapters of the zone are loaded in others",
        )
        wait_until(
            lambda: monotonic() > evacuated_at + EVACUATION_BOUND_S + 1.0, what="time passes"
        )
        assert late_arrivals(deployment, zone, after=evacuated_at + EVACUATION_BOUND_S) == []
        served = load.served_after(evacuated_at)
        assert sum(served) >= 0.97 * len(served) > 0
        deployment.end_evacuation(zone)
        wait_evacuated(deployment, zone, evacuated=False)
        ended_at = monotonic()
        wait_until(
            lambda: late_arrivals(deployment, zone, after=ended_at), what="the zone is used again"
        )
    logs = "".join(deployment.log(box) for box in deployment.clients)
    for sentence in (
        "A zone is evacuated.",
        "Nothing more is sent to a zone.",
        "An evacuation is done.",
        "Prefetching adapters of an evacuated zone.",
        "A zone is no longer evacuated.",
    ):
        assert sentence in logs


def test_a_box_started_during_an_evacuation_sends_nothing_to_the_zone(
    deployment: Deployment,
) -> None:
    zone = "zone-2"
    evacuated_at = deployment.evacuate(zone)
    wait_evacuated(deployment, zone)
    deployment.processes.kill("box-2")
    wait_until(lambda: monotonic() > evacuated_at + EVACUATION_BOUND_S, what="the bound is over")
    deployment.fault("store", busy=True)
    deployment.configures_seeds = False
    deployment.start_box("box-2")
    refused = wait_until(lambda: try_send(deployment, "box-2"), what="the box listens")
    assert refused.status == 503, "it has not read the operator's table"
    refusals = 'springrock_forwarded_requests_total{outcome="no_configuration"}'
    assert deployment.metric("box-2", refusals) >= 1
    deployment.fault("store")
    wait_until(lambda: deployment.is_ready("box-2"), what="the box is ready")
    with Load(deployment, "box-2") as load:
        wait_until(
            lambda: sum(load.served_after(0.0)) >= 100,
            what="it serves with replicas of other zones",
        )
    assert late_arrivals(deployment, zone, after=evacuated_at + EVACUATION_BOUND_S) == []


def test_a_box_informed_of_an_evacuation_by_peers_sends_nothing_to_the_zone(
    deployment: Deployment,
) -> None:
    zone = "zone-2"
    evacuated_at = deployment.evacuate(zone)
    wait_evacuated(deployment, zone)
    deployment.processes.kill("box-2")
    wait_until(lambda: monotonic() > evacuated_at + EVACUATION_BOUND_S, what="the bound is over")
    deployment.fault("store", busy=True)
    deployment.start_box("box-2")
    wait_until(lambda: deployment.is_ready("box-2"), what="the box is ready")
    with Load(deployment, "box-2") as load:
        wait_until(
            lambda: sum(load.served_after(0.0)) >= 100,
            what="it serves with replicas of other zones",
        )
    deployment.fault("store")
    assert late_arrivals(deployment, zone, after=evacuated_at + EVACUATION_BOUND_S) == []


def test_the_store_becomes_unavailable_right_after_the_row(deployment: Deployment) -> None:
    zone = "zone-3"
    with Load(deployment) as load:
        time.sleep(0.5)
        evacuated_at = deployment.evacuate(zone)
        wait_evacuated(deployment, zone)
        deployment.fault("store", busy=True)
        wait_until(
            lambda: monotonic() > evacuated_at + EVACUATION_BOUND_S + 1.0, what="time passes"
        )
        assert late_arrivals(deployment, zone, after=evacuated_at + EVACUATION_BOUND_S) == []
        assert any(load.served_after(evacuated_at + EVACUATION_BOUND_S))
        deployment.end_evacuation(zone)
        deployment.fault("store")
        wait_evacuated(deployment, zone, evacuated=False)


def test_the_placer_of_the_zone_is_killed_right_after_the_row(deployment: Deployment) -> None:
    for adapter in ADAPTERS:
        deployment.send_until_served("box-1", "/items/x", adapter=adapter)
    zone = next(zone for zone in THREE_ZONES if adapters_in(deployment, zone))
    others = [other for other in THREE_ZONES if other != zone]
    wanted = adapters_in(deployment, zone)
    placer, _ = deployment.placer_and_other(zone)
    with Load(deployment):
        evacuated_at = deployment.evacuate(zone)
        deployment.processes.kill(placer)
        wait_until(
            lambda: wanted <= adapters_in(deployment, *others),
            what="the adapters of the zone are loaded in others",
        )
        wait_until(
            lambda: monotonic() > evacuated_at + EVACUATION_BOUND_S + 1.0, what="time passes"
        )
    assert late_arrivals(deployment, zone, after=evacuated_at + EVACUATION_BOUND_S) == []


def test_two_of_three_zones_and_then_all_are_evacuated(deployment: Deployment) -> None:
    for zone in ("zone-1", "zone-2"):
        evacuated_at = deployment.evacuate(zone)
    for zone in ("zone-1", "zone-2"):
        wait_evacuated(deployment, zone)
    wait_until(lambda: monotonic() > evacuated_at + EVACUATION_BOUND_S, what="the bound is over")
    for box in deployment.clients:
        assert deployment.send_until_served(box, "/lookup/x", method="GET").status == 200
        assert deployment.send_until_served(box, "/items/x", adapter="e1").is_complete
    for zone in ("zone-1", "zone-2"):
        assert late_arrivals(deployment, zone, after=evacuated_at + EVACUATION_BOUND_S) == []
    last_at = deployment.evacuate("zone-3")
    wait_until(lambda: monotonic() > last_at + EVACUATION_BOUND_S, what="the bound is over")
    for path, adapter in (("/lookup/x", ""), ("/items/x", "e1")):
        sent_at = monotonic()
        assert deployment.send("box-1", path, adapter=adapter).status == 503
        assert monotonic() < sent_at + 0.5, "it is refused at once"
    assert deployment.log("box-1").count('"reason":"evacuated"') == 2
    for zone in THREE_ZONES:
        assert late_arrivals(deployment, zone, after=last_at + EVACUATION_BOUND_S) == []
        deployment.end_evacuation(zone)
    assert deployment.send_until_served("box-1", "/items/x", adapter="e1").is_complete

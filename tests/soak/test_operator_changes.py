"""Tests that boxes read the changes of the configuration that a soak makes."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.soak.deployment import SoakDeployment
from bench.soak.shape import (
    HURRIED_TIMEOUT_S,
    IDLE_S,
    IMPATIENT_IDLE_S,
    TIMEOUT_S,
    WITHDRAWABLE,
)
from springrock.forwarding.configuration import Configuration
from springrock.platform import names
from springrock.platform.records import configuration_from
from springrock.rows import Row


class WithoutProcesses(SoakDeployment):
    """A deployment that keeps its rows to itself."""

    written: bytes = b""

    def write_row(self, table: str, key: str, value: bytes) -> None:
        if key == names.CONFIGURATION_KEY:
            self.written = value

    def read(self) -> Configuration:
        """Return the last configuration that was written, as a box reads it."""
        return configuration_from(Row(names.CONFIGURATION_KEY, self.written, 1))


@pytest.fixture
def deployment(tmp_path: Path) -> WithoutProcesses:
    deployment = WithoutProcesses(tmp_path)
    deployment.change()
    return deployment


def test_boxes_read_the_timeouts_and_limits_of_the_start(deployment: WithoutProcesses) -> None:
    configuration = deployment.read()
    assert {route.timeout_s for route in configuration.routes} == {TIMEOUT_S}
    assert configuration.limits.idle_s == IDLE_S


def test_boxes_read_each_change_and_what_is_reverted(deployment: WithoutProcesses) -> None:
    before = deployment.read()
    deployment.change(hurried=True)
    assert {route.timeout_s for route in deployment.read().routes} == {HURRIED_TIMEOUT_S}
    deployment.change(impatient=True, withdrawn=True)
    assert deployment.read().limits.idle_s == IMPATIENT_IDLE_S
    assert WITHDRAWABLE not in {route.name for route in deployment.read().routes}
    deployment.change(hurried=False, impatient=False, withdrawn=False)
    after = deployment.read()
    assert (after.routes, after.limits) == (before.routes, before.limits)
    assert after.version > before.version


def test_a_configuration_that_is_written_again_keeps_its_limits(
    deployment: WithoutProcesses,
) -> None:
    deployment.change(impatient=True)
    version = deployment.read().version
    deployment.rewrite_missing()
    again = deployment.read()
    assert (again.version, again.limits.idle_s) == (version, IMPATIENT_IDLE_S)

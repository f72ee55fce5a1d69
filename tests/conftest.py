"""Fixtures shared by several test files."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.policy import Balancer
from loadbalancer.proxy import policy_driver, process
from loadbalancer.proxy.frontend import Frontend
from tests.fakes import EventRecorder

pytest_plugins = ["tests.known_red"]


@pytest.fixture
def recorder(monkeypatch: pytest.MonkeyPatch) -> EventRecorder:
    """Record the policy events of every balancer that is started after this fixture."""
    recorder = EventRecorder()
    monkeypatch.setattr(policy_driver, "Balancer", recorder.wrap(Balancer))
    return recorder


@pytest.fixture
def frontends(monkeypatch: pytest.MonkeyPatch) -> list[Frontend]:
    """Collect the frontends of the balancers that a test starts."""
    started: list[Frontend] = []

    class RecordingFrontend(Frontend):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            started.append(self)

    monkeypatch.setattr(process, "Frontend", RecordingFrontend)
    return started

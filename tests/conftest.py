"""What several test files start from."""

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
    """The events that the module of each balancer started from here on is handed."""
    recorder = EventRecorder()
    monkeypatch.setattr(policy_driver, "Balancer", recorder.wrap(Balancer))
    return recorder


@pytest.fixture
def frontends(monkeypatch: pytest.MonkeyPatch) -> list[Frontend]:
    """The frontends of the balancers that a test starts."""
    started: list[Frontend] = []

    class RecordingFrontend(Frontend):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            started.append(self)

    monkeypatch.setattr(process, "Frontend", RecordingFrontend)
    return started

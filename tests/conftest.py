"""What several test files start from."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.policy import Balancer
from loadbalancer.proxy import policy_driver, process
from loadbalancer.proxy.frontend import Frontend
from tests.fakes import Heard

pytest_plugins = ["tests.known_red"]


@pytest.fixture
def heard(monkeypatch: pytest.MonkeyPatch) -> Heard:
    """The events that the module of each balancer started from here on is handed."""
    heard = Heard()
    monkeypatch.setattr(policy_driver, "Balancer", heard.listen(Balancer))
    return heard


@pytest.fixture
def made(monkeypatch: pytest.MonkeyPatch) -> list[Frontend]:
    """The frontends of the balancers that a test starts."""
    found: list[Frontend] = []

    class Kept(Frontend):
        def __init__(self, *args: Any) -> None:
            super().__init__(*args)
            found.append(self)

    monkeypatch.setattr(process, "Frontend", Kept)
    return found

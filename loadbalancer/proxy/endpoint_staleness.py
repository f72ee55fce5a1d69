"""Decides whether the endpoint list may be used while discovery does not answer.

A watch that falls silent, and a discovery that answers late, may hide a change. Once such a change
would be in force, the list is stale: any of its upstreams may be draining, and the balancer would
not notice. No new request is sent with a stale list until discovery answers. After `MAX_STALE_S`
without an answer the list is used nevertheless: if discovery stays unreachable, using an old list
is better than serving no clients at all.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import Enum
from typing import Final

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

MAX_STALE_S: Final = 10.0
# Sends stop this long before the drain rule's grace period ends, because the process may be delayed
# between reading the clock and writing.
PROCESSING_MARGIN_S: Final = 0.2


class Staleness(Enum):
    """Degree to which the list is trusted."""

    FRESH = "discovery has answered since the last silence"
    SUSPECT = "discovery may have a change that is not known, and not in force yet"
    STALE = "such a change may be in force by now: nothing new is sent"
    OVERRIDDEN = "discovery is unreachable for too long: the old list is used after all"


class EndpointStaleness:
    """Staleness of one endpoint list, with its timer."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.state = Staleness.FRESH
        self.timer: asyncio.TimerHandle | None = None

    def update(self, deadline_s: float | None) -> None:
        """Handle the deadline of the changes that may not be known.

        Args:
            deadline_s: When such a change may be in force, in monotonic seconds; None: there can't
                be one.
        """
        if deadline_s is None:
            self._trust(Staleness.FRESH)
            return
        grace_s = self.driver.settings.rules.drain_grace_ns / NS_PER_S
        left_s = deadline_s + max(0.0, grace_s - PROCESSING_MARGIN_S) - time.monotonic()
        if left_s > 0.0 or self.is_trusted:
            self._trust(Staleness.SUSPECT)
            self._set_timer(left_s, self._expire)

    @property
    def is_trusted(self) -> bool:
        """Whether the list is used without restriction."""
        return self.state in (Staleness.FRESH, Staleness.SUSPECT)

    def _trust(self, state: Staleness) -> None:
        self._cancel_timer()
        was_stale = self.state is Staleness.STALE
        self.state = state
        if was_stale:
            log.info("endpoint list fresh again")
            self.driver.set_trusted(True)

    def _expire(self) -> None:
        self.state = Staleness.STALE
        log.warning("endpoint list stale: nothing new is sent until discovery answers")
        self.driver.set_trusted(False)
        self._set_timer(MAX_STALE_S, self._override)

    def _override(self) -> None:
        self.state = Staleness.OVERRIDDEN
        log.error("endpoint list used although stale: stale_s=%.0f", MAX_STALE_S)
        self.driver.set_trusted(True)

    def _set_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self.timer = call_after(seconds, callback)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

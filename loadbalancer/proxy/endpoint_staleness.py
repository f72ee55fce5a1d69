"""Decides whether the endpoint list may be used while discovery does not answer.

A watch that falls silent may hide a change. Once such a change would be in force, the list is
stale: any of its upstreams may be draining, and the balancer would not notice. No new request is
sent with a stale list until discovery answers. After `MAX_STALE_S` the list is used nevertheless:
if discovery stays unreachable, using an old list is better than serving no clients at all.
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
    SUSPECT = "a watch fell silent: what it hid is not in force yet"
    STALE = "what it hid is in force by now: nothing new is sent"
    OVERRIDDEN = "discovery is unreachable for too long: the old list is used after all"


class EndpointStaleness:
    """Staleness of one endpoint list, with its timer."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.state = Staleness.FRESH
        self.timer: asyncio.TimerHandle | None = None

    def on_watch_silent(self, deadline_s: float) -> None:
        """Handle a watch that fell silent; repeated calls during the silence do nothing.

        Args:
            deadline_s: When a change hidden by the watch is in force, in monotonic seconds.
        """
        if self.state is Staleness.FRESH:
            self.state = Staleness.SUSPECT
            grace_s = self.driver.settings.rules.drain_grace_ns / NS_PER_S
            until_s = deadline_s + max(0.0, grace_s - PROCESSING_MARGIN_S)
            self._set_timer(until_s - time.monotonic(), self._expire)

    def on_answer(self) -> None:
        """Handle a list, or changes, from discovery."""
        self._cancel_timer()
        was_stale = self.state is Staleness.STALE
        self.state = Staleness.FRESH
        if was_stale:
            log.info("endpoint list fresh again")
            self.driver.set_trusted(True)

    def close(self) -> None:
        """Trust the list, which another source provides once discovery is not polled."""
        self.on_answer()

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

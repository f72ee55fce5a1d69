"""Whether the list of upstreams may be gone by: not once a change that a silent watch hid counts as
told.

A list that is older than that names upstreams of which any may drain, and none of them tells.
Nothing new is sent by it until discovery has answered. That ends by itself after `LONGEST_S`: where
discovery is out of reach for good, a fleet that serves nobody is worse than one that goes by an old
list.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import Enum

from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

LONGEST_S = 10.0
# Sends end so long before the grace of the drain rule does: a process may be held up between its
# look at the clock and its write.
HELD_UP_S = 0.2


class Trust(Enum):
    """How far the list is believed."""

    FRESH = "discovery has answered since the last silence"
    AGING = "a watch fell silent: what it hid does not count yet"
    EXPIRED = "what it hid counts by now: nothing new is sent"
    RESUMED = "discovery is out of reach for too long: the old list stands after all"


class ListAge:
    """The state of one list, and its timer."""

    def __init__(self, driver: Driver) -> None:
        self.driver = driver
        self.state = Trust.FRESH
        self.timer: asyncio.TimerHandle | None = None

    def fell_silent(self, term_s: float) -> None:
        """A watch did; from `term_s` on, monotonic seconds, what it hid counts as told. Said again
        while it lasts, it changes nothing.
        """
        if self.state is Trust.FRESH:
            self.state = Trust.AGING
            grace_s = self.driver.settings.rules.drain_grace_ns / 1e9
            until_s = term_s + max(0.0, grace_s - HELD_UP_S)
            self._set_timer(until_s - time.monotonic(), self._expire)

    def answered(self) -> None:
        """Discovery told what is, or what changed."""
        self._cancel()
        expired, self.state = self.state is Trust.EXPIRED, Trust.FRESH
        if expired:
            log.info("discovery: the list is known again")
            self.driver.trust(True)

    def close(self) -> None:
        """Nobody asks discovery any more: another source tells the list."""
        self.answered()

    def _expire(self) -> None:
        self.state = Trust.EXPIRED
        log.warning(
            "discovery: a watch fell silent and nothing was told since: the list is not gone by"
        )
        self.driver.trust(False)
        self._set_timer(LONGEST_S, self._resume)

    def _resume(self) -> None:
        self.state = Trust.RESUMED
        log.error(
            "discovery: not reached for %.0f s more: the old list is gone by again", LONGEST_S
        )
        self.driver.trust(True)

    def _set_timer(self, seconds: float, then: Callable[[], None]) -> None:
        self._cancel()
        self.timer = call_after(seconds, then)

    def _cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

"""Frees memory when the account is nearly used up, in the order that `Pressure` names.

Idle and lingering connections are closed, then incomplete requests, those first that are large and
move least, and pipelined input behind requests that are open. Before the account is overdrawn, new
connections wait (`Frontend._accept` asks) and reading stops. A request that was read completely is
never among them.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Sized
from enum import Enum
from typing import Final, Protocol

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.proxy.bounded_log import BoundedLog
from loadbalancer.proxy.memory_account import CLIENT_CONNECTION_BYTES, MemoryAccount
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

RETRY_S: Final = 0.01  # between two looks at an account that could not be relieved
MIN_HELD_BYTES: Final = CLIENT_CONNECTION_BYTES + 1024
MIN_SILENCE_NS: Final = 1_000_000  # an incomplete request that moves counts as silent for so long


class Step(Enum):
    """What is freed; the value is the name in the log and in the metrics."""

    IDLE_CONNECTION = "idle connection"
    INCOMPLETE_REQUEST = "incomplete request"
    PIPELINED_INPUT = "pipelined input"
    READING_STOPPED = "reading stopped"


class ReliefCandidate(Protocol):
    """A client's connection, as relief sees it.

    Attributes:
        received_ns: When its latest input arrived.
    """

    received_ns: int

    @property
    def unparsed(self) -> Sized:
        """Its input that is not parsed yet."""

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that are held for it."""

    @property
    def is_incomplete(self) -> bool:
        """Whether part of a request has arrived, and the rest is to come."""

    def give_way(self) -> None:
        """Free the memory of its incomplete request, or of its pipelined input."""

    def stop_reading(self) -> None:
        """Stop reading from it."""

    def resume_after_relief(self) -> None:
        """Read from it again."""


class ReliefHost(Protocol):
    """The frontend, as relief uses it."""

    def close_idle(self) -> bool:
        """Close one connection without a request; return False if there is none."""


def first_to_give_way(candidates: Iterable[ReliefCandidate], now_ns: int) -> list[ReliefCandidate]:
    """Return the connections with an incomplete request, the largest that move least first.

    Those that hold hardly more than a connection are left out: their time limits end them.

    Args:
        candidates: All client connections.
        now_ns: The time in nanoseconds of the monotonic clock.
    """

    def weight(candidate: ReliefCandidate) -> int:
        return candidate.held_bytes * max(MIN_SILENCE_NS, now_ns - candidate.received_ns)

    incomplete = [c for c in candidates if c.is_incomplete and c.held_bytes >= MIN_HELD_BYTES]
    return sorted(incomplete, key=weight, reverse=True)


class MemoryRelief:
    """Frees memory until the account is relieved.

    Args:
        account: The account of this process.
        candidates: All client connections.
        host: Closes connections without a request.
        count: Counts what was freed, by step.
    """

    def __init__(
        self,
        account: MemoryAccount,
        candidates: Callable[[], Iterable[ReliefCandidate]],
        host: ReliefHost,
        count: Callable[[str], None],
    ) -> None:
        self.account = account
        self.candidates = candidates
        self.host = host
        self.count = count
        self.lines = BoundedLog(log)
        self.is_active = False
        self.stopped: set[ReliefCandidate] = set()
        account.on_relief_due = self._begin

    def _begin(self) -> None:
        if not self.is_active:
            self.is_active = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        if not self.account.is_relieved:
            self._close_idle()
            self._close_incomplete()
            self._drop_pipelined()
        if not self.account.is_relieved:
            call_after(RETRY_S, self._run)
            return
        self.is_active = False
        stopped, self.stopped = self.stopped, set()
        for candidate in stopped:
            candidate.resume_after_relief()

    def _close_idle(self) -> None:
        while not self.account.is_relieved and self.host.close_idle():
            self._note(Step.IDLE_CONNECTION, 0, 0)

    def _close_incomplete(self) -> None:
        now_ns = time.monotonic_ns()
        for candidate in first_to_give_way(self.candidates(), now_ns):
            if self.account.is_relieved:
                return
            silent_ns = now_ns - candidate.received_ns
            self._note(Step.INCOMPLETE_REQUEST, candidate.held_bytes, silent_ns)
            candidate.give_way()

    def _drop_pipelined(self) -> None:
        if self.account.is_relieved:
            return
        now_ns = time.monotonic_ns()
        pipelined = [candidate for candidate in self.candidates() if candidate.unparsed]
        for candidate in sorted(pipelined, key=lambda c: len(c.unparsed), reverse=True):
            if self.account.is_relieved:
                return
            self._note(
                Step.PIPELINED_INPUT, len(candidate.unparsed), now_ns - candidate.received_ns
            )
            candidate.give_way()

    def stop_reading(self, candidate: ReliefCandidate) -> None:
        """Stop reading from a connection until the account is relieved."""
        self._note(Step.READING_STOPPED, candidate.held_bytes, 0)
        self.stopped.add(candidate)
        candidate.stop_reading()

    def connection_closed(self, candidate: ReliefCandidate) -> None:
        """Forget a connection that has closed."""
        self.stopped.discard(candidate)

    def _note(self, step: Step, freed_bytes: int, silent_ns: int) -> None:
        self.count(step.value)
        self.lines.write(
            step.value,
            "memory scarce: step=%r bytes=%d silent_s=%.3f held=%d limit=%d",
            step.value,
            freed_bytes,
            silent_ns / NS_PER_S,
            self.account.held_bytes,
            self.account.limit_bytes,
        )

"""In-flight writes and linearizable reads of a node's clients."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from loadbalancer.store.commands import Result
from loadbalancer.store.errors import DeadlineExceededError, OutcomeUnknownError
from loadbalancer.store.raft.messages import Entry
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.state import Role

READ_TIMEOUT_S: Final = 3.0
LAST_TERM: Final = 1 << 62  # greater than any real term


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A proposed command whose entry has not been applied yet."""

    term: int
    future: asyncio.Future[Result]


@dataclass(slots=True, eq=False)
class PendingRead:
    """A read that waits for a majority to confirm the leader."""

    term: int
    deadline_s: float
    future: asyncio.Future[None]


class PendingRequests:
    """Tracks in-flight writes and reads and completes their futures."""

    def __init__(self, core: RaftNode) -> None:
        self._core = core
        self.writes: dict[int, PendingWrite] = {}  # by log index
        self.reads: dict[int, PendingRead] = {}  # by ticket, oldest first
        self._last_ticket = 0

    def propose(self, command: bytes) -> asyncio.Future[Result]:
        """Propose an encoded command; the future may raise OutcomeUnknownError.

        Raises:
            NotLeaderError: This node is not the leader.
            BusyError: Too many requests are in flight.
        """
        index = self._core.propose([command])[0]
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self.writes[index] = PendingWrite(self._core.term, future)
        return future

    def read(self) -> asyncio.Future[None]:
        """Request a linearizable read; the future may raise DeadlineExceededError.

        Raises:
            NotLeaderError: No leader is known.
            BusyError: Too many requests are in flight.
        """
        self._last_ticket += 1
        ticket = self._last_ticket
        self._core.request_read(ticket)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        deadline_s = time.monotonic() + READ_TIMEOUT_S
        self.reads[ticket] = PendingRead(self._core.term, deadline_s, future)
        return future

    def entries_applied(self, entries: Sequence[Entry], results: Sequence[Result]) -> None:
        """Complete the writes whose entries were applied."""
        for entry, result in zip(entries, results, strict=True):
            write = self.writes.pop(entry.index, None)
            if write is None or write.future.done():
                continue
            if write.term == entry.term:
                write.future.set_result(result)
            else:
                write.future.set_exception(OutcomeUnknownError("another entry took its place"))

    def reads_confirmed(self, tickets: Iterable[int]) -> None:
        """Complete the reads that a majority confirmed."""
        for ticket in tickets:
            read = self.reads.pop(ticket, None)
            if read is not None and not read.future.done():
                read.future.set_result(None)

    def expire_reads(self) -> None:
        """Fail the reads whose deadline passed before they were confirmed."""
        now_s = time.monotonic()
        while self.reads:
            ticket, read = next(iter(self.reads.items()))
            if read.deadline_s > now_s:
                break
            del self.reads[ticket]
            if not read.future.done():
                read.future.set_exception(
                    DeadlineExceededError("no majority proved the read in time")
                )

    def fail_all(self) -> None:
        """Fail all requests, because the node stops."""
        self.leadership_ended(LAST_TERM)

    def leadership_ended(self, term: int) -> None:
        """Fail requests of terms whose leadership has ended, up to the given term."""
        is_leader = self._core.role is Role.LEADER
        for index, write in list(self.writes.items()):
            if write.term < term or (write.term == term and not is_leader):
                del self.writes[index]
                if not write.future.done():
                    write.future.set_exception(OutcomeUnknownError("leadership was lost over it"))
        for ticket, read in list(self.reads.items()):
            if read.term < self._core.term or term > self._core.term:
                del self.reads[ticket]
                if not read.future.done():
                    read.future.set_exception(DeadlineExceededError("leadership changed"))

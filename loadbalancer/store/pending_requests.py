"""Writes and linearizable reads of a node's clients that are in flight."""

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
LAST_TERM: Final = 1 << 62  # later than any


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A proposed command, until its entry is applied."""

    term: int
    future: asyncio.Future[Result]


@dataclass(slots=True, eq=False)
class PendingRead:
    """A read, until a majority confirmed the leader."""

    term: int
    deadline_s: float
    future: asyncio.Future[None]


class PendingRequests:
    """Resolves the futures of writes and reads."""

    def __init__(self, core: RaftNode) -> None:
        self._core = core
        self.writes: dict[int, PendingWrite] = {}  # by log index
        self.reads: dict[int, PendingRead] = {}  # by ticket, oldest first
        self._last_ticket = 0

    def propose(self, command: bytes) -> asyncio.Future[Result]:
        """Proposes an encoded command; the future raises OutcomeUnknownError.

        Raises:
            NotLeaderError: This node does not lead.
            BusyError: Too much is in flight.
        """
        index = self._core.propose([command])[0]
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self.writes[index] = PendingWrite(self._core.term, future)
        return future

    def read(self) -> asyncio.Future[None]:
        """Requests a read; the future raises DeadlineExceededError.

        Raises:
            NotLeaderError: No leader is known.
            BusyError: Too much is in flight.
        """
        self._last_ticket += 1
        ticket = self._last_ticket
        self._core.request_read(ticket)
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        deadline_s = time.monotonic() + READ_TIMEOUT_S
        self.reads[ticket] = PendingRead(self._core.term, deadline_s, future)
        return future

    def entries_applied(self, entries: Sequence[Entry], results: Sequence[Result]) -> None:
        """Resolves the writes whose entries were applied."""
        for entry, result in zip(entries, results, strict=True):
            write = self.writes.pop(entry.index, None)
            if write is None or write.future.done():
                continue
            if write.term == entry.term:
                write.future.set_result(result)
            else:
                write.future.set_exception(OutcomeUnknownError("another entry took its place"))

    def reads_confirmed(self, tickets: Iterable[int]) -> None:
        """Resolves the reads that a majority confirmed."""
        for ticket in tickets:
            read = self.reads.pop(ticket, None)
            if read is not None and not read.future.done():
                read.future.set_result(None)

    def expire_reads(self) -> None:
        """Fails the reads that were not confirmed in time."""
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
        """Fails everything: the node stops."""
        self.leadership_ended(LAST_TERM)

    def leadership_ended(self, term: int) -> None:
        """Fails the writes and reads of leaderships up to this term."""
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

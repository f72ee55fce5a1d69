"""A client's session: numbers writes so that a retried write is applied once (Raft thesis, 6.3)."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from loadbalancer.store import commands
from loadbalancer.store.commands import (
    CloseSession,
    FencedWrite,
    Op,
    OpenSession,
    Result,
    ResultCode,
    RowsWrite,
    Write,
)
from loadbalancer.store.errors import ConflictError, FencedError, RejectedError, UndecidedError
from loadbalancer.store.request_channel import RequestChannel
from loadbalancer.store.wire.protocol import AnyReply, Committed, Propose
from loadbalancer.wallclock import unix_ms

MAX_WRITES_IN_FLIGHT: Final = 128  # per session
SESSION_ID_BITS: Final = 62
MAX_SESSION_NAME_LENGTH: Final = 200  # characters
CLOSE_TIMEOUT_S: Final = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteOptions:
    """Options of a write.

    Attributes:
        checks: Keys that are not written, each with the version that it must have.
        note: The reason for the change, for the key's history.
        author: The author of the change, for the key's history.
        timeout_s: The timeout; None for the client's default.
        fences: Lease names, each with the fencing token that must be current.
    """

    checks: Sequence[tuple[str, int]] = ()
    note: str = ""
    author: str = ""
    timeout_s: float | None = None
    fences: Sequence[tuple[str, int]] = ()


def result_of(reply: AnyReply) -> Result:
    """Decode the result of a proposed command."""
    assert isinstance(reply, Committed)
    return commands.unpack_result(reply.result)


class WriteSession:
    """Applies writes in a session, which is opened on demand and reopened after it expired."""

    def __init__(self, channel: RequestChannel, name: str, rng: random.Random) -> None:
        self._channel = channel
        self._name = name
        self._rng = rng
        self._session_id: int | None = None
        self._last_number = 0
        self._answered_up_to = 0  # the highest number up to which all writes were answered
        self._answered: set[int] = set()  # numbers of later answered writes
        self._opening = asyncio.Lock()
        self._in_flight = asyncio.Semaphore(MAX_WRITES_IN_FLIGHT)

    async def write(
        self,
        ops: Sequence[Op],
        refs: Sequence[Sequence[str]] | None,
        options: WriteOptions,
        deadline_s: float,
    ) -> Result:
        """Apply all operations or none, exactly once.

        Args:
            ops: The operations.
            refs: For each operation, the rows that its row refers to; None if the keys are not rows
                of the change feed.
            options: Options of the write.
            deadline_s: The deadline on the monotonic clock.

        Raises:
            ConflictError: A key is at another version.
            FencedError: A fencing token is not current.
            RejectedError: The write exceeds a limit.
            UnavailableError: The write was not applied.
            UndecidedError: The write may have been applied.
        """
        async with self._in_flight:
            session_id = await self._open(deadline_s)
            self._last_number += 1
            number = self._last_number
            command = self._command(session_id, number, ops, refs, options)
            result = await self._propose(commands.pack(command), deadline_s)
            if session_id == self._session_id:
                self._record_answered(number)
        self._raise_on_failure(result, session_id)
        return result

    def _command(
        self,
        session_id: int,
        number: int,
        ops: Sequence[Op],
        refs: Sequence[Sequence[str]] | None,
        options: WriteOptions,
    ) -> Write:
        plain = Write(
            session_id,
            number,
            self._answered_up_to,
            tuple(ops),
            tuple(options.checks),
            options.author,
            options.note,
            unix_ms(),
        )
        if refs is None and not options.fences:
            return plain
        fields = {name: getattr(plain, name) for name in Write.__struct_fields__}
        if refs is None:
            return FencedWrite(**fields, fences=tuple(options.fences))
        return RowsWrite(**fields, fences=tuple(options.fences), refs=tuple(map(tuple, refs)))

    async def _propose(self, command: bytes, deadline_s: float) -> Result:
        reply = await self._channel.call(
            lambda request_id, timeout_ms: Propose(request_id, timeout_ms, command),
            deadline_s,
            needs_leader=True,
        )
        return result_of(reply)

    def _record_answered(self, number: int) -> None:
        self._answered.add(number)
        while self._answered_up_to + 1 in self._answered:
            self._answered_up_to += 1
            self._answered.remove(self._answered_up_to)

    def _raise_on_failure(self, result: Result, session_id: int) -> None:
        match result.code:
            case ResultCode.CONFLICT:
                raise ConflictError(result.text, result.versions[0])
            case ResultCode.EXPIRED:
                if session_id == self._session_id:
                    self._session_id = None
                raise UndecidedError(result.text)
            case ResultCode.FENCED:
                raise FencedError(result.text)
            case ResultCode.REFUSED:
                raise RejectedError(result.text)

    async def _open(self, deadline_s: float) -> int:
        async with self._opening:
            if self._session_id is not None:
                return self._session_id
            session_id = self._rng.getrandbits(SESSION_ID_BITS) | 1
            command = OpenSession(session_id, self._name[:MAX_SESSION_NAME_LENGTH])
            await self._propose(commands.pack(command), deadline_s)
            self._session_id = session_id
            self._last_number = 0
            self._answered_up_to = 0
            self._answered.clear()
            return session_id

    async def close(self) -> None:
        """Close the session, with a short timeout; otherwise the store expires it.

        Raises:
            OSError: The connection failed.
            TimeoutError: No node replied in time.
        """
        connection = self._channel.connection
        if self._session_id is None or connection is None or connection.closed:
            return
        command = commands.pack(CloseSession(self._session_id))
        timeout_ms = int(CLOSE_TIMEOUT_S * 1000)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await connection.request(Propose(self._channel.next_request_id(), timeout_ms, command))


def deadline_after(timeout_s: float) -> float:
    """Return the monotonic time of the deadline for a request that starts now."""
    return time.monotonic() + timeout_s

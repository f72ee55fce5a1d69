"""A client of the store: one connection at a time, tried again elsewhere when it fails, with a
deadline on all.

Writes belong to a session and bear numbers, so that one whose answer was lost is made once however
often it is sent (thesis 6.3). Reads say what they are: `get` and `scan` are linearizable, with
`stale=True` they are what the asked node knows. A watch tells every change, in order, or raises
`Compacted`.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import ssl
import time
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec

from loadbalancer.settings import split_address
from loadbalancer.store import commands
from loadbalancer.store.commands import (
    ANY,
    AnyCommand,
    Claim,
    CloseSession,
    Code,
    FencedWrite,
    Op,
    OpenSession,
    Release,
    Result,
    RowsWrite,
    Write,
)
from loadbalancer.store.handshake import Dial
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import (
    AnyReply,
    AnyRequest,
    Changes,
    Copy,
    Done,
    Failed,
    Get,
    Hello,
    Info,
    Manage,
    Part,
    Past,
    Put,
    Row,
    Rows,
    Scan,
    Status,
    Trouble,
    Unwatch,
    Watch,
)
from loadbalancer.wallclock import unix_ms

log = logging.getLogger(__name__)

DEADLINE_S = 5.0
TRY_S = 1.5  # a node that has not answered by then is left for another
CONNECT_S = 1.0
BACKOFF_S = 0.02, 1.0
WINDOW = 128  # writes of one session on their way
SILENT_S = 15.0  # a watch hears something so often, or its connection is dead


class StoreError(Exception):
    """In one line."""


class Unavailable(StoreError):
    """No answer within the deadline. A read, or a write that no node took: it was not made."""


class Undecided(Unavailable):
    """No answer within the deadline: the write may be made, or not, or yet be made."""


class Conflict(StoreError):
    """A key is not at the version that the write wanted."""

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"{key} is at version {version}" if version else f"{key} is not there")
        self.key = key
        self.version = version


class Rejected(StoreError):
    """The store will not do it, however often it is asked."""


class Fenced(Rejected):
    """It was written under a token that does not hold: another is the owner, or nobody is."""


class Compacted(StoreError):
    """Changes before this are gone: read anew, and watch from there."""


@dataclass(slots=True)
class Reading:
    """Rows, and the revision as of which they are. `behind_ms`: a stale read's node had no leader
    for so long.
    """

    rows: list[Row]
    revision: int
    behind_ms: int = 0


class Wire(Dial):
    """A client's connection."""

    def __init__(self, hello: Hello) -> None:
        super().__init__(hello)
        self.waiting: dict[int, asyncio.Future[AnyReply]] = {}
        self.watches: dict[int, asyncio.Queue[Changes | Failed | None]] = {}

    def heard(self, payload: bytes) -> None:
        self._reply(protocol.unpack_reply(payload))

    def _reply(self, reply: AnyReply) -> None:
        queue = self.watches.get(reply.id)
        if queue is not None and isinstance(reply, Changes | Failed):
            queue.put_nowait(reply)
            return
        future = self.waiting.pop(reply.id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionError(self.why))
                future.exception()
        self.waiting.clear()
        for queue in self.watches.values():
            queue.put_nowait(None)

    def ask(self, request: AnyRequest) -> asyncio.Future[AnyReply]:
        if self.closed:
            raise ConnectionError(self.why)
        assert self.transport is not None
        future: asyncio.Future[AnyReply] = asyncio.get_running_loop().create_future()
        self.waiting[request.id] = future
        self.transport.write(self.sender.frame(protocol.pack(request)))
        return future

    def tell(self, request: AnyRequest) -> None:
        if not self.closed and self.transport is not None:
            self.transport.write(self.sender.frame(protocol.pack(request)))


@dataclass
class Client:
    """`addresses`: of members, HOST:PORT; others that the store tells of are tried as well."""

    addresses: Sequence[str]
    tls: Callable[[], ssl.SSLContext | None] = lambda: None
    name: str = ""
    cluster: str = ""
    deadline_s: float = DEADLINE_S
    wire: Wire | None = None
    at: str = ""  # where it is connected
    prefer: str = ""  # the leader, as last told
    session: int = 0
    number: int = 0  # of the last write
    answered: set[int] = field(default_factory=set)  # numbers behind `done`
    done: int = 0
    requests: int = 0
    turn: int = 0
    connecting: asyncio.Lock = field(default_factory=asyncio.Lock)
    opening: asyncio.Lock = field(default_factory=asyncio.Lock)
    window: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(WINDOW))
    reach: Mapping[str, str] = field(
        default_factory=dict
    )  # where an address that is told is reached
    rng: random.Random = field(default_factory=lambda: random.Random(os.urandom(8)))

    # ---- reading ---------------------------------------------------------------------------------

    async def get(self, *keys: str, stale: bool = False, within_s: float = 0.0) -> Reading:
        """A row for each key, its value None where it is not there. Raises Unavailable."""
        return self._reading(
            await self._call(lambda i, ms: Get(i, ms, keys, not stale), within_s, not stale)
        )

    async def scan(self, prefix: str, stale: bool = False, within_s: float = 0.0) -> Reading:
        """All keys that begin so; page after page where they are many, as of the first page's
        revision or later. Raises Unavailable.
        """
        rows: list[Row] = []
        first = 0
        behind = 0
        while True:
            after = rows[-1].key if rows else ""
            page = await self._call(
                lambda i, ms, a=after: (  # type: ignore[misc]
                    Scan(i, ms, prefix, a, 1000, not stale)
                ),
                within_s,
                not stale,
            )
            assert isinstance(page, Rows)
            rows += page.rows
            first = first or page.revision
            behind = max(behind, page.behind_ms)
            if not page.more:
                return Reading(rows, first, behind)

    async def history(self, key: str, most: int = 100, within_s: float = 0.0) -> Reading:
        """What a key was, newest first. Raises Unavailable."""
        return self._reading(await self._call(lambda i, ms: Past(i, ms, key, most), within_s, True))

    @staticmethod
    def _reading(reply: AnyReply) -> Reading:
        assert isinstance(reply, Rows)
        return Reading(list(reply.rows), reply.revision, reply.behind_ms)

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Changes]:
        """Every change behind revision `after`, in order, over lost connections and leaders; empty
        ones say how far it has looked. Ends only by its caller. Raises Compacted.
        """
        wait = BACKOFF_S[0]
        while True:
            try:
                wire = await self._connected(time.monotonic() + self.deadline_s, False)
            except (OSError, TimeoutError):
                await asyncio.sleep(wait * self.rng.uniform(0.5, 1.0))
                wait = min(2 * wait, BACKOFF_S[1])
                continue
            self.requests += 1
            number = self.requests
            queue: asyncio.Queue[Changes | Failed | None] = asyncio.Queue()
            wire.watches[number] = queue
            wire.tell(Watch(number, 0, prefix, after))
            try:
                while True:
                    try:
                        # Not `wait_for`: where its future is done in the turn in which its task is
                        # cancelled, as by a connection that is closed on leaving, it goes on as if
                        # nobody had cancelled (Python 3.11, gh-86296).
                        async with asyncio.timeout(SILENT_S):
                            got = await queue.get()
                    except TimeoutError:
                        self._leave(wire)
                        break
                    if got is None:
                        break
                    if isinstance(got, Failed):
                        if got.trouble == Trouble.COMPACTED:
                            raise Compacted(got.text)
                        if got.trouble in (Trouble.FORBIDDEN, Trouble.REFUSED):
                            raise Rejected(got.text)
                        break
                    wait = BACKOFF_S[0]
                    after = got.revision
                    yield got
            finally:
                if wire.watches.pop(number, None) is not None:
                    wire.tell(Unwatch(self._next(), 0, number))
            await asyncio.sleep(wait * self.rng.uniform(0.5, 1.0))
            wait = min(2 * wait, BACKOFF_S[1])

    # ---- writing ---------------------------------------------------------------------------------

    async def put(
        self,
        key: str,
        value: bytes,
        version: int = ANY,
        note: str = "",
        author: str = "",
        within_s: float = 0.0,
    ) -> int:
        """The new version. `version`: what the key must be at, 0 for not there. Raises Conflict,
        Rejected, Unavailable, Undecided.
        """
        return (await self.write([Op(key, value, version)], (), note, author, within_s)).versions[0]

    async def delete(
        self, key: str, version: int = ANY, note: str = "", author: str = "", within_s: float = 0.0
    ) -> None:
        await self.write([Op(key, None, version)], (), note, author, within_s)

    async def write(
        self,
        ops: Sequence[Op],
        checks: Sequence[tuple[str, int]] = (),
        note: str = "",
        author: str = "",
        within_s: float = 0.0,
        fences: Sequence[tuple[str, int]] = (),
    ) -> Result:
        """All of it or nothing, once. `fences`: leases, and the tokens that this is written under.
        Raises Conflict, Fenced, Rejected, Unavailable, Undecided.
        """
        if not fences:
            return await self._write(Write, ops, checks, note, author, within_s)
        return await self._write(
            FencedWrite, ops, checks, note, author, within_s, fences=tuple(fences)
        )

    async def write_rows(
        self,
        ops: Sequence[Op],
        refs: Sequence[Sequence[str]] = (),
        checks: Sequence[tuple[str, int]] = (),
        note: str = "",
        author: str = "",
        within_s: float = 0.0,
        fences: Sequence[tuple[str, int]] = (),
    ) -> Result:
        """As `write`, with rows of the feed among the keys. `refs`: by op, the keys of the rows
        that this row names, which must be there after the write; empty where none names any. Raises
        as `write` does.
        """
        return await self._write(
            RowsWrite,
            ops,
            checks,
            note,
            author,
            within_s,
            fences=tuple(fences),
            refs=tuple(map(tuple, refs)),
        )

    async def _write(
        self,
        kind: type[Write],
        ops: Sequence[Op],
        checks: Sequence[tuple[str, int]],
        note: str,
        author: str,
        within_s: float,
        **more: Any,
    ) -> Result:
        until = time.monotonic() + (within_s or self.deadline_s)
        async with self.window:
            await self._open_session(until)
            self.number += 1
            number, session = self.number, self.session
            packed = commands.pack(
                kind(
                    session,
                    number,
                    self.done,
                    tuple(ops),
                    tuple(checks),
                    author,
                    note,
                    unix_ms(),
                    **more,
                )
            )
            result = self._result(
                await self._call(lambda i, ms: Put(i, ms, packed), 0.0, True, until)
            )
            if session == self.session:
                self._answered(number)
        match result.code:
            case Code.CONFLICT:
                raise Conflict(result.text, result.versions[0])
            case Code.EXPIRED:
                if session == self.session:
                    self.session = 0
                raise Undecided(result.text)
            case Code.FENCED:
                raise Fenced(result.text)
            case Code.REFUSED:
                raise Rejected(result.text)
        return result

    async def claim(self, claim: Claim, within_s: float) -> Result:
        """Ask for a lease, or renew; `versions` of the answer are the token, 0 while it waits, and
        the place among the candidates. Raises Rejected, Unavailable, Undecided.
        """
        return await self._ask(claim, within_s)

    async def release(self, release: Release, within_s: float) -> Result:
        """Raises Rejected, Unavailable, Undecided."""
        return await self._ask(release, within_s)

    async def _ask(self, command: AnyCommand, within_s: float) -> Result:
        """A command that does no harm when it comes twice."""
        packed = commands.pack(command)
        result = self._result(await self._call(lambda i, ms: Put(i, ms, packed), within_s, True))
        if result.code == Code.REFUSED:
            raise Rejected(result.text)
        return result

    def _answered(self, number: int) -> None:
        self.answered.add(number)
        while self.done + 1 in self.answered:
            self.done += 1
            self.answered.remove(self.done)

    async def _open_session(self, until: float) -> None:
        async with self.opening:
            if self.session:
                return
            session = self.rng.getrandbits(62) | 1
            packed = commands.pack(OpenSession(session, self.name[:200]))
            self._result(await self._call(lambda i, ms: Put(i, ms, packed), 0.0, True, until))
            self.session, self.number, self.done = session, 0, 0
            self.answered.clear()

    @staticmethod
    def _result(reply: AnyReply) -> Result:
        assert isinstance(reply, Done)
        return commands.unpack_result(reply.result)

    # ---- operating -------------------------------------------------------------------------------

    async def status(self, within_s: float = 0.0) -> dict[str, Any]:
        """Of the node that answers first. Raises Unavailable."""
        return self._info(await self._call(lambda i, ms: Status(i, ms), within_s, False))

    async def manage(
        self, what: str, node: int = 0, address: str = "", within_s: float = 0.0
    ) -> str:
        """Raises Rejected, Unavailable, Undecided."""
        leader = what != "snapshot"
        reply = await self._call(lambda i, ms: Manage(i, ms, what, node, address), within_s, leader)
        return str(self._info(reply)["done"])

    async def copy(
        self, take: Callable[[bytes], object], within_s: float = 60.0
    ) -> tuple[int, int, int, int]:
        """A copy of the state, handed over part by part; index, term, size, checksum. Raises
        Unavailable.
        """
        until = time.monotonic() + within_s
        offset, meta = 0, (0, 0, 0, 0)
        while True:
            part = await self._call(
                lambda i, ms, o=offset, m=meta: Copy(i, ms, o, m),  # type: ignore[misc]
                0.0,
                False,
                until,
            )
            assert isinstance(part, Part)
            meta = part.meta_id
            take(part.data)
            offset += len(part.data)
            if offset >= meta[2]:
                return meta

    @staticmethod
    def _info(reply: AnyReply) -> dict[str, Any]:
        assert isinstance(reply, Info)
        found: dict[str, Any] = msgspec.json.decode(reply.json)
        return found

    async def close(self) -> None:
        """End the session, if that is done at once; the store forgets it in time anyway."""
        if self.session and self.wire is not None and not self.wire.closed:
            packed = commands.pack(CloseSession(self.session))
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    await self.wire.ask(Put(self._next(), 500, packed))
        if self.wire is not None:
            self.wire.abort()
            self.wire = None

    # ---- asking ----------------------------------------------------------------------------------

    def _next(self) -> int:
        self.requests += 1
        return self.requests

    async def _call(
        self,
        make: Callable[[int, int], AnyRequest],
        within_s: float,
        leader: bool,
        until: float = 0.0,
    ) -> AnyReply:
        """Ask until there is an answer or the deadline has come."""
        until = until or time.monotonic() + (within_s or self.deadline_s)
        wait, why = BACKOFF_S[0], "no node answers"
        maybe = False  # a try was sent, and nobody said that it came to nothing
        while (left := until - time.monotonic()) > 0:
            try:
                wire = await self._connected(until, leader)
            except (OSError, TimeoutError) as error:
                why = str(error) or "no connection in time"
            else:
                request = make(self._next(), int(left * 1000))
                changes = isinstance(request, Put | Manage)
                try:
                    async with asyncio.timeout(min(TRY_S, left)):
                        reply = await wire.ask(request)
                except (OSError, TimeoutError) as error:
                    why = str(error) or f"{self.at} did not answer in time"
                    maybe = maybe or changes
                    self._leave(wire)
                else:
                    if not isinstance(reply, Failed):
                        return reply
                    why = reply.text
                    if reply.trouble in (Trouble.REFUSED, Trouble.FORBIDDEN):
                        raise Rejected(why)
                    if reply.trouble not in (Trouble.NOT_LEADER, Trouble.BUSY):
                        maybe = maybe or changes
                    if reply.trouble == Trouble.UNKNOWN and isinstance(request, Manage | Copy):
                        raise Undecided(why)
                    if reply.leader and leader and reply.leader != self.at:
                        self.prefer = reply.leader
                        self._leave(wire)
                        wait = BACKOFF_S[0]
                        continue
                    if reply.trouble in (Trouble.NOT_LEADER, Trouble.LATE):
                        self._leave(wire)
            await asyncio.sleep(
                min(wait * self.rng.uniform(0.5, 1.0), max(0.0, until - time.monotonic()))
            )
            wait = min(2 * wait, BACKOFF_S[1])
        if maybe:
            raise Undecided(why)
        raise Unavailable(why)

    def _leave(self, wire: Wire) -> None:
        if self.wire is wire:
            self.wire = None
        if not wire.watches and not wire.waiting:
            wire.abort()
        elif wire.waiting:
            # Others wait on it too: they have their own time-outs.
            asyncio.get_running_loop().call_later(TRY_S, wire.abort)

    async def _connected(self, until: float, leader: bool) -> Wire:
        """Raises OSError, TimeoutError."""
        async with self.connecting:
            if self.wire is not None and not self.wire.closed:
                return self.wire
            address = self.prefer
            self.prefer = ""
            if not address:
                address = self.addresses[self.turn % len(self.addresses)]
                self.turn += 1
            host, port = split_address(self.reach.get(address, address))
            wire = Wire(Hello(protocol.FORMAT, self.cluster, 0, "", self.name))
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(max(0.01, min(CONNECT_S, until - time.monotonic()))):
                    await loop.create_connection(lambda: wire, host, port, ssl=self.tls())
                    await wire.welcomed
            except (TimeoutError, OSError) as error:
                wire.abort()
                raise OSError(f"{address}: {error or 'no connection in time'}") from None
            self.wire, self.at = wire, address
            return wire

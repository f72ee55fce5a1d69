"""A lease as a process of the fleet has it: the pure holder, with a client of the store and a
clock.

Work that needs it begins when `began` is called and must end when `ended` is; before each effect it
asks `token`, and writes to the store go through `write`, which bears the token.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

from loadbalancer.leases import table
from loadbalancer.leases.holder import LeaseHolder, LeaseRequest, Phase, RequestKind
from loadbalancer.leases.table import Lease
from loadbalancer.store.client import Client, Compacted, Fenced, Rejected, StoreError
from loadbalancer.store.commands import LEASES, Claim, Op, Release, Result
from loadbalancer.wallclock import unix_ms

log = logging.getLogger(__name__)

RETRY_S = 0.5
LEAVE_S = 0.5  # a release waits no longer for its answer
RESTS_S = 5.0  # a work without an owner for so long is told


class NotOwner(StoreError):
    """This process does not hold the lease, or not any more."""


def clock_ns() -> int:
    """Counts on while the machine is suspended: an owner must not believe that no time went by."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def new_claim() -> int:
    """Of one life of a process."""
    return random.SystemRandom().getrandbits(60) | 1


def who() -> str:
    return f"process {os.getpid()} on {socket.gethostname()[:60]}"


class Owner:
    def __init__(
        self,
        client: Client,
        lease: str,
        name: str,
        ttl_s: float,
        rank: int = 0,
        began: Callable[[int], None] = lambda token: None,
        ended: Callable[[], None] = lambda: None,
        seen: Callable[[Lease], None] = lambda lease: None,
    ) -> None:
        """`name`: this process's among the candidates. `seen`: each change of the lease, as some
        node tells it.
        """
        claim = new_claim()
        self.client = client
        self.lease = lease
        self.name = f"{name}@{claim & 0xFFFFFF:06x}"
        self.ttl_s = ttl_s
        self.rank = rank
        self.began, self.ended, self.seen = began, ended, seen
        self.holder = LeaseHolder(
            self.name, claim, int(ttl_s * 1e9), random.Random(os.urandom(8)), clock_ns()
        )
        self.last: Lease | None = None  # as last told
        self.working = 0  # the token that `began` was called with
        self.refused = 0  # writes that the store refused as they bore an old token
        self.woken = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.rests_s = (
            time.monotonic()
        )  # since when nobody owns it, as far as is known here; 0: somebody

    def start(self) -> None:
        for work in (self._keep(), self._watch()):
            self._task(work)

    def _task(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type, var-annotated]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- what may be done ------------------------------------------------------------------------

    def token(self) -> int:
        """What an effect right now may bear; 0: none may be. Looks at the clock."""
        token = self.holder.token(clock_ns())
        if self.working and token != self.working:
            self._stop("its time is over, or the store says that it went on")
        return token

    async def write(
        self,
        ops: Sequence[Op],
        checks: Sequence[tuple[str, int]] = (),
        note: str = "",
        within_s: float = 0.0,
    ) -> Result:
        """All of it, under this lease. Raises NotOwner, and what a client's write raises."""
        return await self._made(
            lambda fences: self.client.write(ops, checks, note, self.name, within_s, fences)
        )

    async def write_rows(
        self,
        ops: Sequence[Op],
        refs: Sequence[tuple[str, ...]],
        note: str = "",
        within_s: float = 0.0,
    ) -> Result:
        """The same of rows of the feed; `refs`: by operation, the rows that its row names."""
        return await self._made(
            lambda fences: self.client.write_rows(ops, refs, (), note, self.name, within_s, fences)
        )

    async def _made(
        self, write: Callable[[Sequence[tuple[str, int]]], Awaitable[Result]]
    ) -> Result:
        token = self.token()
        if not token:
            raise NotOwner(f"{self.lease} is not held here")
        try:
            return await write([(self.lease, token)])
        except Fenced as error:
            self.refused += 1
            log.warning("%s: a write was refused: %s", self.lease, error)
            raise NotOwner(str(error)) from None

    def _go(self, token: int) -> None:
        log.info("%s: owned under token %s", self.lease, table.format_token(token))
        self.working = token
        self.began(token)

    def _stop(self, why: str) -> None:
        log.info(
            "%s: no longer owned under token %s: %s",
            self.lease,
            table.format_token(self.working),
            why,
        )
        self.working = 0
        self.ended()

    # ---- the two loops ---------------------------------------------------------------------------

    async def _keep(self) -> None:
        while self.holder.phase is not Phase.RELEASED:
            asked = self.holder.next_request(clock_ns(), self.last)
            if asked is not None:
                self._task(self._carry_out(asked))
            token = self.token()
            if token and not self.working:
                self._go(token)
            self._note_rest()
            wake = self.holder.wake_ns
            wait = max(0.001, (wake - clock_ns()) / 1e9) if wake else RESTS_S
            self.woken.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(min(wait, RESTS_S)):
                    await self.woken.wait()

    def _note_rest(self) -> None:
        """Tell once that nobody owns it, and when that is over."""
        if self.working or (self.last is not None and self.last.is_held):
            if self.rests_s < 0:
                log.info("%s: it is owned again", self.lease)
            self.rests_s = 0.0
        elif self.rests_s == 0.0:
            self.rests_s = time.monotonic()
        elif self.rests_s > 0 and time.monotonic() - self.rests_s > RESTS_S + self.ttl_s:
            log.warning(
                "%s: nobody has owned it for %.0f s (%s): its work rests",
                self.lease,
                time.monotonic() - self.rests_s,
                self.holder.reason or "no word of the store",
            )
            self.rests_s = -1.0

    async def _carry_out(self, asked: LeaseRequest) -> None:
        holder = self.holder
        within = LEAVE_S if asked.kind is RequestKind.RELEASE else self.ttl_s / 3
        try:
            if asked.kind is RequestKind.RELEASE:
                await self.client.release(
                    Release(self.lease, holder.claim, asked.token, unix_ms()), within
                )
                holder.response_received(asked.number, 0, 0, "", clock_ns())
            else:
                claim = Claim(
                    self.lease,
                    self.name,
                    holder.claim,
                    int(self.ttl_s * 1000),
                    self.rank,
                    who(),
                    unix_ms(),
                )
                result = await self.client.claim(claim, within)
                holder.response_received(
                    asked.number, result.versions[0], result.versions[1], result.text, clock_ns()
                )
        except Exception as error:  # the holder must hear of an end, whatever it was
            holder.request_failed(asked.number, str(error), clock_ns())
            if not isinstance(error, StoreError):
                log.exception("%s", self.lease)
        self.woken.set()

    async def _watch(self) -> None:
        """Any node's word serves: it tells when to ask, not what is held."""
        key = LEASES + self.lease
        while True:
            try:
                found = await self.client.get(key, stale=True)
                self._told(found.rows[0].value)
                async for told in self.client.watch(key, found.revision):
                    for change in told.changes:
                        if change.key == key:
                            self._told(change.value)
            except (Compacted, Rejected, StoreError):
                await asyncio.sleep(RETRY_S)

    def _told(self, value: bytes | None) -> None:
        try:
            self.last = table.unpack(value) if value is not None else Lease(self.lease)
        except ValueError as error:
            log.warning("%s: the lease does not read: %s", self.lease, error)
            return
        self.holder.lease_observed(self.last, clock_ns())
        self.seen(self.last)
        self.woken.set()

    async def close(self) -> None:
        """Give it back: the next one need not wait."""
        if self.working:
            self._stop("this process leaves")
        self.holder.leave(clock_ns())
        self.woken.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_S + 0.1):
                while self.holder.phase is not Phase.RELEASED:
                    self.woken.set()
                    await asyncio.sleep(0.005)
        for task in list(self.tasks):
            task.cancel()

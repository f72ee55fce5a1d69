"""A process's claim to a lease: runs the I/O-free `LeaseHolder` with a store client and a clock.

Work that needs the lease starts when `acquired` is called and must end when `lost` is called.
Before each side effect, the work checks `token`. Writes to the store use `write`, which adds the
fencing token.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import replace
from typing import Any, Final

from loadbalancer.leases import table
from loadbalancer.leases.holder import LeaseHolder, LeaseRequest, Phase, RequestKind
from loadbalancer.leases.table import Lease
from loadbalancer.store.client import DEFAULT_OPTIONS, Client
from loadbalancer.store.commands import LEASE_PREFIX, Claim, Op, Release, Result
from loadbalancer.store.errors import FencedError, NotLeaseHolderError, StoreError
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.wallclock import unix_ms

log = logging.getLogger(__name__)

NS_PER_S: Final = 1_000_000_000
WATCH_RETRY_S: Final = 0.5
RELEASE_TIMEOUT_S: Final = 0.5
CLOSE_POLL_S: Final = 0.005
MIN_WAIT_S: Final = 0.001
MAX_WAIT_S: Final = 5.0  # longest time between two checks of the lease
VACANCY_GRACE_S: Final = 5.0  # added to the TTL; a lease without a holder for longer is logged
CLAIM_BITS: Final = 60
CLAIM_SUFFIX_MASK: Final = 0xFFFFFF
MAX_HOST_NAME_LENGTH: Final = 60  # characters


def boot_clock_ns() -> int:
    """Return the time of a monotonic clock that includes the time the machine is suspended.

    Otherwise a holder would still trust its lease after a suspension longer than the TTL.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def new_claim() -> int:
    """Return a random claim number, unique to one run of a process."""
    return random.SystemRandom().getrandbits(CLAIM_BITS) | 1


def process_description() -> str:
    """Return the process id and host name, for the lease's note."""
    return f"process {os.getpid()} on {socket.gethostname()[:MAX_HOST_NAME_LENGTH]}"


class VacancyLog:
    """Logs once when a lease has no holder, and once when it is held again."""

    def __init__(self, lease: str, ttl_s: float) -> None:
        self._lease = lease
        self._limit_s = VACANCY_GRACE_S + ttl_s
        self._vacant_since_s: float | None = time.monotonic()
        self._is_reported = False

    def record_held(self) -> None:
        """Record that the lease is held."""
        if self._is_reported:
            log.info("lease is held again: lease=%s", self._lease)
        self._vacant_since_s = None
        self._is_reported = False

    def record_vacant(self, reason: str) -> None:
        """Record that the lease has no known holder."""
        now_s = time.monotonic()
        if self._vacant_since_s is None:
            self._vacant_since_s = now_s
        elif not self._is_reported and now_s - self._vacant_since_s > self._limit_s:
            vacant_s = now_s - self._vacant_since_s
            log.warning(
                "lease has no holder: lease=%s vacant_s=%.0f reason=%s",
                self._lease,
                vacant_s,
                reason,
            )
            self._is_reported = True


class LeaseClient:
    """Claims a lease and keeps the claim renewed.

    Args:
        client: The store's client.
        lease: The lease's name.
        name: This process's name among the candidates.
        ttl_s: How long the lease is held without a renewal.
        rank: This process's rank among the candidates.

    Attributes:
        active_token: The token that `acquired` was called with; 0 while the lease is not held.
        fenced_writes: The number of writes rejected because their token was not current.
        last_lease: The lease as last read from the store.
    """

    def __init__(self, client: Client, lease: str, name: str, ttl_s: float, rank: int = 0) -> None:
        claim = new_claim()
        self.client = client
        self.lease = lease
        self.name = f"{name}@{claim & CLAIM_SUFFIX_MASK:06x}"
        self.ttl_s = ttl_s
        self.rank = rank
        self.holder = LeaseHolder(
            self.name, claim, int(ttl_s * NS_PER_S), random.Random(os.urandom(8)), boot_clock_ns()
        )
        self.last_lease: Lease | None = None
        self.active_token = 0
        self.fenced_writes = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self._acquired: Callable[[int], None] | None = None
        self._lost: Callable[[], None] | None = None
        self._changed: Callable[[Lease], None] | None = None
        self._wake = asyncio.Event()
        self._vacancy = VacancyLog(lease, ttl_s)

    def on_ownership_change(
        self, acquired: Callable[[int], None], lost: Callable[[], None]
    ) -> None:
        """Register the callbacks for gaining and losing the lease; must be called before `start`.

        Args:
            acquired: Called with the token when this process becomes the holder.
            lost: Called when this process is no longer the holder.
        """
        self._acquired = acquired
        self._lost = lost

    def on_change(self, changed: Callable[[Lease], None]) -> None:
        """Register a callback for each change of the lease that a node reports."""
        self._changed = changed

    def start(self) -> None:
        """Start claiming the lease; must be called within a running event loop."""
        for work in (self._renew(), self._watch()):
            self._start_task(work)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- fenced operations -----------------------------------------------------------------------

    def token(self) -> int:
        """Return the fencing token for a side effect now; 0 if the lease is not held."""
        token = self.holder.token(boot_clock_ns())
        if self.active_token and token != self.active_token:
            self._end_ownership("the TTL passed, or the store granted another token")
        return token

    async def write(self, ops: Sequence[Op], options: WriteOptions = DEFAULT_OPTIONS) -> Result:
        """Apply all operations, fenced by the lease's token.

        Raises:
            NotLeaseHolderError: The lease is not held.
            StoreError: As `Client.write` does.
        """
        return await self._write_fenced(lambda fenced: self.client.write(ops, fenced), options)

    async def write_rows(
        self,
        ops: Sequence[Op],
        refs: Sequence[tuple[str, ...]],
        options: WriteOptions = DEFAULT_OPTIONS,
    ) -> Result:
        """Apply operations on rows of the change feed, fenced as in `write`.

        See `Client.write_rows`.
        """
        return await self._write_fenced(
            lambda fenced: self.client.write_rows(ops, refs, fenced), options
        )

    async def _write_fenced(
        self, write: Callable[[WriteOptions], Awaitable[Result]], options: WriteOptions
    ) -> Result:
        token = self.token()
        if not token:
            raise NotLeaseHolderError(f"{self.lease} is not held here")
        fenced = replace(options, author=self.name, fences=[(self.lease, token)])
        try:
            return await write(fenced)
        except FencedError as error:
            self.fenced_writes += 1
            log.warning("fenced write rejected: lease=%s reason=%s", self.lease, error)
            raise NotLeaseHolderError(str(error)) from None

    def _begin_ownership(self, token: int) -> None:
        log.info("lease acquired: lease=%s token=%s", self.lease, table.format_token(token))
        self.active_token = token
        if self._acquired is not None:
            self._acquired(token)

    def _end_ownership(self, reason: str) -> None:
        token = table.format_token(self.active_token)
        log.info("lease lost: lease=%s token=%s reason=%s", self.lease, token, reason)
        self.active_token = 0
        if self._lost is not None:
            self._lost()

    # ---- claims ----------------------------------------------------------------------------------

    async def _renew(self) -> None:
        while self.holder.phase is not Phase.RELEASED:
            request = self.holder.next_request(boot_clock_ns(), self.last_lease)
            if request is not None:
                self._start_task(self._execute(request))
            token = self.token()
            if token and not self.active_token:
                self._begin_ownership(token)
            self._record_vacancy()
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._wait_s()):
                    await self._wake.wait()

    def _wait_s(self) -> float:
        wake_ns = self.holder.wake_ns
        if wake_ns is None:
            return MAX_WAIT_S
        return min(max(MIN_WAIT_S, (wake_ns - boot_clock_ns()) / NS_PER_S), MAX_WAIT_S)

    def _record_vacancy(self) -> None:
        if self.active_token or (self.last_lease is not None and self.last_lease.is_held):
            self._vacancy.record_held()
        else:
            self._vacancy.record_vacant(self.holder.reason or "no reply of the store")

    async def _execute(self, request: LeaseRequest) -> None:
        try:
            if request.kind is RequestKind.RELEASE:
                await self._release(request)
            else:
                await self._claim(request)
        except Exception as error:  # the holder needs an outcome for every request
            self.holder.request_failed(request.number, str(error), boot_clock_ns())
            if not isinstance(error, StoreError):
                log.exception("lease request failed: lease=%s", self.lease)
        self._wake.set()

    async def _release(self, request: LeaseRequest) -> None:
        release = Release(self.lease, self.holder.claim, request.token, unix_ms())
        await self.client.release(release, RELEASE_TIMEOUT_S)
        self.holder.response_received(request.number, 0, 0, "", boot_clock_ns())

    async def _claim(self, request: LeaseRequest) -> None:
        claim = Claim(
            self.lease,
            self.name,
            self.holder.claim,
            int(self.ttl_s * 1000),
            self.rank,
            process_description(),
            unix_ms(),
        )
        result = await self.client.claim(claim, self.ttl_s / 3)
        token, position = result.versions[:2]
        self.holder.response_received(request.number, token, position, result.text, boot_clock_ns())

    async def _watch(self) -> None:
        """Watch the lease at any node.

        The observed value may be stale. It only determines when to claim the lease; the store
        decides which claim holds it.
        """
        key = LEASE_PREFIX + self.lease
        while True:
            try:
                read_result = await self.client.get(key, stale=True)
                self._lease_read(read_result.rows[0].value)
                async for changes in self.client.watch(key, read_result.revision):
                    for change in changes.changes:
                        if change.key == key:
                            self._lease_read(change.value)
            except StoreError:
                await asyncio.sleep(WATCH_RETRY_S)

    def _lease_read(self, value: bytes | None) -> None:
        try:
            lease = table.unpack(value) if value is not None else Lease(self.lease)
        except ValueError as error:
            log.warning("lease can't be decoded: lease=%s error=%s", self.lease, error)
            return
        self.last_lease = lease
        self.holder.lease_observed(lease, boot_clock_ns())
        if self._changed is not None:
            self._changed(lease)
        self._wake.set()

    async def close(self) -> None:
        """Release the lease, so that the next holder does not have to wait for the TTL."""
        if self.active_token:
            self._end_ownership("shutdown")
        self.holder.leave(boot_clock_ns())
        self._wake.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S + 0.1):
                while self.holder.phase is not Phase.RELEASED:
                    self._wake.set()
                    await asyncio.sleep(CLOSE_POLL_S)
        for task in list(self.tasks):
            task.cancel()

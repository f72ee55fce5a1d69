"""Client of the discovery service: fetches the list, watches for changes, handles failed polls.

A poll that times out stays in flight: its answer is used whenever it arrives (`LateCalls`), beside
the poll that follows it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
from typing import Any, Final

from loadbalancer.policy import api
from loadbalancer.proxy.discovery_call import (
    DiscoveryCall,
    LateCalls,
    PollTimeoutError,
    open_connection,
    parse_answer,
    poll_outcome,
)
from loadbalancer.proxy.discovery_log import DiscoveryLog
from loadbalancer.proxy.discovery_watch import (
    POLL_TIMEOUT_S,
    DiscoveryWatch,
    Poll,
    PollKind,
    PollOutcome,
)
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.endpoint_list import EndpointList, read_list
from loadbalancer.proxy.endpoint_staleness import EndpointStaleness
from loadbalancer.proxy.list_confirmation import ListConfirmation
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import message
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.shared_list import SharedList
from loadbalancer.proxy.timers import call_after
from loadbalancer.proxy.upstream_connection import UpstreamConnection
from loadbalancer.settings import Json

PATH: Final = b"/v1/endpoints"
NO_VERSION: Final = -1  # older than the version of any list

ListListener = Callable[[api.EndpointListKind, list[Endpoint]], None]


def _do_nothing() -> None:
    """Ignore a change of the list."""


class Discovery:
    """Polls discovery, and passes lists and changes to a listener.

    Args:
        driver: Receives the endpoint list.
        address: Discovery's.
        seed: For the times of the polls.
        memory: The account of this process.

    Attributes:
        listener: Receives lists, changes and failed polls; initially the policy's driver.
        on_change: Called when the list, or what is known of its age, may have changed.
        confirmation: Whether discovery has to confirm the list that the process began with.
        version: The version of the current list; `NO_VERSION` if there is none.
        answered_s: When discovery last answered, with or without changes (monotonic).
        connection: The connection of the current poll, or for the next one; None: there is none.
        late_calls: Polls that have timed out; their answers are used when they arrive.
        progress: Set when the current poll has ended, or the answer to a late one has arrived.
    """

    def __init__(
        self, driver: Driver, address: tuple[str, int], seed: int, memory: MemoryAccount
    ) -> None:
        self.memory = memory
        settings = driver.settings
        self.driver = driver
        self.listener: ListListener = self._pass_to_driver
        self.address = address
        self.is_always_watching = settings.discovery_push
        self.watch = DiscoveryWatch(
            settings.instance_count, settings.instance_index, random.Random(seed)
        )
        self.staleness = EndpointStaleness(driver)
        self.log = DiscoveryLog()
        self.on_change: Callable[[], None] = _do_nothing
        self.confirmation = ListConfirmation()
        self.has_answered = False  # at the current address
        self.version = NO_VERSION
        self.answered_s = 0.0
        self.connection: UpstreamConnection | None = None
        self.late_calls = LateCalls()
        self.progress = asyncio.Event()
        self.settle_timer: asyncio.TimerHandle | None = None
        self.is_watching = False
        self.task: asyncio.Task[None] | None = None  # runs the polls

    def start(self, cached_list: Json | None, is_replacement: bool = False) -> None:
        """Apply a cached list, if any, and start the watch if it always runs.

        With other settings the policy starts and stops the watch.

        Args:
            cached_list: The list, which may lack changes that this balancer was notified of.
            is_replacement: Whether another process of this balancer runs.
        """
        if cached_list is not None:
            cached = read_list(cached_list)
            self.version = cached.version
            self.watch.on_list_known()
            self.listener(api.EndpointListKind.CACHED, cached.endpoints)
            self._log_list(api.EndpointListKind.CACHED, cached.endpoints)
        if cached_list is not None or is_replacement:
            self.confirmation.begin(time.monotonic(), self.is_always_watching, is_replacement)
        if self.is_always_watching:
            self.subscribe(True)
        self._update_staleness()

    def on_accepting(self) -> None:
        """Handle that this process accepts clients from now on."""
        self.confirmation.on_accepting(time.monotonic())
        self._update_staleness()

    # ---- the other processes of this balancer ----------------------------------------------------

    @property
    def source(self) -> str:
        """The address, as text."""
        return f"{self.address[0]}:{self.address[1]}"

    def shared_list(self) -> SharedList:
        """Return the current list, to be shared with the other processes."""
        targets = self.driver.upstreams.targets.values()
        return SharedList(
            self.source,
            self.version,
            self.has_answered,
            self._deadline_s,
            self.watch.delay_s,
            tuple(target.endpoint for target in targets),
        )

    def use_shared_lists(self, lists: Iterable[SharedList]) -> None:
        """Use the newest list of the other processes, if it is newer than that of this one.

        Lists of a discovery at another address have versions of their own, and are ignored.
        """
        usable = [shared for shared in lists if shared.source == self.source]
        if self.confirmation.is_needed:
            self.confirmation.on_shared_lists(usable, time.monotonic())
            self._update_staleness()
        newest = max(usable, key=lambda shared: shared.version, default=None)
        if newest is not None and newest.version > self.version:
            self._use_shared_list(newest)

    def _use_shared_list(self, shared: SharedList) -> None:
        self.version = shared.version
        if not self.has_answered:
            self.watch.delay_s = max(self.watch.delay_s, shared.delay_s)
        endpoints = list(shared.endpoints)
        self.listener(api.EndpointListKind.CACHED, endpoints)
        self._log_list(api.EndpointListKind.CACHED, endpoints)
        self.log.used_shared_list(shared.version)
        self.on_change()

    # ---- polls -----------------------------------------------------------------------------------

    def _pass_to_driver(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.driver.learn(kind, endpoints)

    def subscribe(self, on: bool) -> None:
        """Start the watch if `on`; otherwise stop it, or any other poll."""
        self.is_watching = on
        if not on:
            self.late_calls.give_up()
        self._replace_task(self._watch() if on else None)

    def fetch(self) -> None:
        """Poll for the full list; a running watch is restarted and polls for that list first."""
        self.watch.forget_list()
        self._replace_task(self._watch() if self.is_watching else self._fetch())

    def change_address(self, address: tuple[str, int]) -> None:
        """Use discovery at another address from now on.

        A poll in flight at the old address, or the backoff after one, must not delay the first poll
        at the new address. The service there numbers its versions independently, so its first full
        list is accepted whatever its version.
        """
        self.address = address
        self.version = NO_VERSION
        self.has_answered = False
        self.watch.forget_list()
        self._close_connections()
        if self.task is not None:  # the task may be waiting in its backoff
            self.fetch()

    def close(self) -> None:
        """Stop polling."""
        self._replace_task(None)
        self._close_connections()

    def _close_connections(self) -> None:
        self.late_calls.give_up()
        if self.connection is not None:
            self.connection.abort()

    def _replace_task(self, coroutine: Coroutine[Any, Any, None] | None) -> None:
        """Cancel the running task, and start `coroutine` unless it is None.

        The answer to a poll of the cancelled task is discarded.
        """
        if self.task is not None:
            self.task.cancel()
        if coroutine is None:
            self.watch.trust_list()
            self.confirmation.on_answer()
            self._update_staleness()
        self.task = (
            asyncio.get_running_loop().create_task(coroutine) if coroutine is not None else None
        )

    async def _watch(self) -> None:
        """Poll continuously; each poll begins after the previous one was answered or timed out."""
        while True:
            pause_s: float | None
            try:
                pause_s = await self._poll()
            except Exception as error:  # noqa: BLE001 (an unexpected error must not stop the watch)
                pause_s = self._poll_failed(error)
            # None: the poll failed, and there is no deadline or it has long passed. The watch ends,
            # or polls again after a backoff.
            if pause_s is None and not self.is_always_watching:
                self.is_watching = False
                self.listener(api.EndpointListKind.FAILED, [])  # the policy requests another poll
                return
            await self._pause(self.watch.backoff_pause_s() if pause_s is None else pause_s)

    def _poll_failed(self, error: Exception) -> float | None:
        """Handle a failed poll; return the pause before the next one, as `on_outcome` does."""
        self.log.failed(error)
        outcome = poll_outcome(error)
        if outcome is PollOutcome.REFUSED:
            self.confirmation.on_refusal()
        pause_s = self.watch.on_outcome(outcome, time.monotonic())
        self._update_staleness()
        return pause_s

    async def _pause(self, seconds: float) -> None:
        """Wait before the next poll; the answer to a late one ends the wait."""
        self.progress.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.progress.wait()

    async def _fetch(self) -> None:
        try:
            await self._poll()
            self.watch.on_list_known()
            self._update_staleness()
        except Exception as error:  # noqa: BLE001 (the policy requests another poll)
            self.log.failed(error)
            self.listener(api.EndpointListKind.FAILED, [])

    async def _poll(self) -> float:
        """Send a poll, and apply its answer; return the pause before the next one.

        A poll without a hold ends, too, with the answer to a late one, which makes it needless.
        """
        self.watch.awaits_confirmation = self.confirmation.is_needed
        poll = self.watch.next_poll(time.monotonic())
        self.log.poll_begun(poll, self.version)
        self._update_staleness()
        connect_deadline_s = asyncio.get_running_loop().time() + POLL_TIMEOUT_S
        connection = await self._connect(connect_deadline_s)
        call = DiscoveryCall(poll, connection, self._request(poll), self._call_ended)
        call.start()
        await self._wait_for(call, self._timeout_at(poll, connect_deadline_s))
        if not call.has_ended:
            self._let_be_late(call)
            return self.watch.schedule.pause_s
        return self._use(poll, self._read(call))

    async def _wait_for(self, call: DiscoveryCall, timeout_at_s: float) -> None:
        """Wait for the end of a poll, or for the answer to a late one if that makes it needless.

        Raises:
            PollTimeoutError: The poll has timed out, and stays in flight.
        """
        answered_s = self.answered_s
        is_needless = False
        try:
            async with asyncio.timeout_at(timeout_at_s):
                while not (call.has_ended or is_needless):
                    self.progress.clear()
                    await self.progress.wait()
                    is_needless = not call.poll.hold_ms and self.answered_s > answered_s
        except TimeoutError:
            if not call.has_ended:  # it may have ended in the same turn of the event loop
                self._let_be_late(call)
                raise PollTimeoutError("no answer: timeout") from None
        except BaseException:
            call.give_up()
            raise

    @staticmethod
    def _timeout_at(poll: Poll, connect_deadline_s: float) -> float:
        """Return when a poll that is sent now times out (event-loop time)."""
        if poll.timeout_s is None:
            return connect_deadline_s
        return asyncio.get_running_loop().time() + poll.timeout_s

    def _let_be_late(self, call: DiscoveryCall) -> None:
        """Let a poll stay in flight beside the next one."""
        self.connection = None
        self.late_calls.add(call)

    def _call_ended(self, call: DiscoveryCall) -> None:
        if self.late_calls.remove(call):
            self._late_call_ended(call)
        else:
            self.progress.set()

    def _late_call_ended(self, call: DiscoveryCall) -> None:
        """Use the answer to a poll that had timed out, if it has one."""
        try:
            answer = self._read(call)
            self._use(call.poll, answer)
        except Exception as error:  # noqa: BLE001 (it must not end the watch, nor the connection)
            self.log.failed(error)
            return
        self.log.answered_late(call.poll, answer.version)
        self.progress.set()

    def _read(self, call: DiscoveryCall) -> EndpointList:
        """Return the answer to a poll, and keep one connection for the next one.

        Raises:
            PollError: There is no valid answer.
            MalformedError: The list is malformed.
        """
        if self.connection is None:
            self.connection = call.connection
        elif self.connection is not call.connection:
            call.connection.abort()
        return parse_answer(call.response())

    def _use(self, poll: Poll, answer: EndpointList) -> float:
        """Apply the answer to a poll, late or not; return the pause before the next poll."""
        self._apply(answer)
        self.answered_s = time.monotonic()
        self.has_answered = True
        self.confirmation.on_answer()
        self.log.answered(self.version)
        pause_s = self.watch.on_answer(poll, self.answered_s, bool(answer.endpoints))
        self.late_calls.give_up_before(poll)
        self._update_staleness()
        self.driver.start_times.list_received(time.monotonic_ns())
        return pause_s

    def _apply(self, answer: EndpointList) -> None:
        """Pass on a list, or changes that are not known."""
        endpoints = answer.endpoints
        is_full = answer.is_full
        # An older answer, or changes whose version is not newer, contain no new information.
        if answer.version < self.version or (answer.version == self.version and not is_full):
            endpoints = []
            is_full = False
        self.version = max(self.version, answer.version)
        if endpoints or is_full or not self.is_always_watching:
            kind = api.EndpointListKind.FULL if is_full else api.EndpointListKind.DELTA
            self.listener(kind, endpoints)
            self._log_list(kind, endpoints)

    def _update_staleness(self) -> None:
        """Apply the deadline of the changes that may not be known, and look again when it ends."""
        if self.settle_timer is not None:
            self.settle_timer.cancel()
            self.settle_timer = None
        self.watch.settle(time.monotonic())
        self.staleness.update(self._deadline_s)
        settles_s = self.watch.settles_s
        if settles_s is not None:
            left_s = settles_s - time.monotonic()
            self.settle_timer = call_after(max(0.0, left_s), self._update_staleness)
        self.on_change()

    @property
    def _deadline_s(self) -> float | None:
        """When a change that is not known may be in force (monotonic); None: there can't be one."""
        deadlines_s = (self.watch.deadline_s, self.confirmation.deadline_s)
        return min((at_s for at_s in deadlines_s if at_s is not None), default=None)

    def _log_list(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        driver = self.driver
        driver.traffic_log.endpoint_list_received(
            kind, self.version, len(endpoints), len(driver.upstreams.targets)
        )

    def _request(self, poll: Poll) -> bytes:
        target = PATH
        if poll.kind is not PollKind.FULL_LIST:
            target += b"?from=%d&hold_ms=%d" % (self.version, poll.hold_ms)
        return message(b"GET %b HTTP/1.1" % target, [(b"Host", self.source.encode())])

    async def _connect(self, deadline_s: float) -> UpstreamConnection:
        """Return a connection that is ready for a request."""
        if self.connection is not None:
            if self.connection.reusable:
                return self.connection
            self.connection.abort()
            self.connection = None
        self.connection = await open_connection(self.address, deadline_s, self.memory)
        return self.connection

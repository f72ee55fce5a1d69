"""The process of one balancer: assembly, signal handling, startup and shutdown."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.proxy.admin_api import ACCEPT_BATCH, MAX_CALLS, AdminApi
from loadbalancer.proxy.configuration import Config, read_config
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.endpoint_handover import EndpointHandover
from loadbalancer.proxy.fixed_list import FixedList
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.gossip import GossipProtocol
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.proxy.reloader import Reloader
from loadbalancer.proxy.resource_limits import LimitEnforcer, ResourceLimits
from loadbalancer.proxy.shared_executions import SharedExecutions
from loadbalancer.proxy.upstream import Upstreams

log = logging.getLogger(__name__)

ADMIN_DESCRIPTORS = MAX_CALLS + ACCEPT_BATCH + 1  # reserved for the admin API
FINAL_ANSWERS_TIMEOUT_S = 0.1  # time to write the final answers once the answer deadline has passed
# Time for long answers that are under way then; the platform usually kills the process earlier.
LONG_ANSWERS_TIMEOUT_S = 60.0
# A process that takes over waits at most this long for the other process to free its share of the
# descriptors, and again for the first endpoint list, because it must accept clients within 6 s.
TAKEOVER_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class Parts:
    """Components of a balancer that a companion may use."""

    config: Config
    driver: Driver
    disabled: DisabledUpstreams
    reload: Callable[[], None]


class Companion(Protocol):
    """Service that runs in a balancer's process and must never block it."""

    def start(self) -> None:
        """Start on the running event loop."""

    async def close(self) -> None:
        """Stop."""


class BalancerProcess:
    """Components of one balancer and their lifecycle.

    Args:
        config: The configuration.
        listener: The listening socket for clients.
        has_admin_api: Whether descriptors are reserved for the admin API.
        has_companion: Whether a companion provides the endpoint list.

    Attributes:
        started_s: When it was created (monotonic).
    """

    def __init__(
        self,
        config: Config,
        listener: socket.socket,
        has_admin_api: bool,
        has_companion: bool = False,
    ) -> None:
        settings = config.settings
        self.started_s = time.monotonic()
        self.config = config
        self.registry = ProcessRegistry(config.folder)
        resources = ResourceLimits(
            config.sockets, config.memory_mb, ADMIN_DESCRIPTORS if has_admin_api else 0
        )
        self.limits = LimitEnforcer(resources, self.registry)
        self.memory = MemoryAccount(self.limits.shares.account_bytes)
        self.upstreams = Upstreams(
            settings.limits,
            self.limits.shares.upstreams,
            settings.report_columns,
            self.memory,
        )
        self.driver = Driver(settings, config.seed, self.upstreams)
        self.shared_executions = SharedExecutions(self.registry)
        self.driver.shared_executions = self.shared_executions
        self.disabled = DisabledUpstreams(config.folder, config.name, self.registry, self.driver)
        self.discovery = self._make_discovery()
        self.driver.discovery = self.discovery
        self.handover: EndpointHandover | None = None
        if isinstance(self.discovery, Discovery) and not has_companion:
            self.handover = EndpointHandover(self.registry, self.discovery)
        self.frontend = Frontend(self.driver, listener, self.limits.shares.clients, self.memory)
        self.admin_api = AdminApi(
            lambda: self.frontend.ready, self.disabled, self.driver.metrics_text
        )
        self.companion: Companion | None = None

    def _make_discovery(self) -> Discovery | FixedList:
        if self.config.fixed is not None:
            return FixedList(self.driver, self.config.fixed)
        return Discovery(self.driver, self.config.discovery, self.config.seed, self.memory)

    async def start(self, admin_socket: socket.socket | None) -> None:
        """Start all components except the client listener."""
        await self._start_gossip()
        self.disabled.start()  # before the first endpoint list arrives
        self._start_discovery()
        self.limits.start(self.frontend, self.upstreams, self.memory)
        self._count_processes()
        self.registry.on_check(self._count_processes)
        self.registry.watch()
        if admin_socket is not None:
            await self.admin_api.start(admin_socket)

    def _start_discovery(self) -> None:
        if isinstance(self.discovery, FixedList):
            self.discovery.start()
            return
        if self.handover is None:
            self.discovery.start(self.config.known)
            return
        is_replacement = not self.registry.is_alone or self.registry.is_failing
        self.discovery.start(self.config.known, is_replacement)
        if is_replacement:
            self.driver.begin_replacement()
        self.handover.start()

    def _count_processes(self) -> None:
        self.driver.set_process_count(1 + len(self.registry.others))

    async def _start_gossip(self) -> None:
        config = self.config
        if config.peer_listen is not None and config.settings.limits.peers:
            _, self.driver.peers = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: GossipProtocol(self.driver, config.peers, config.peers_all),
                local_addr=config.peer_listen,
            )

    def handle_signals(self, reload: Callable[[], None]) -> None:
        """Shut down gracefully on SIGTERM and SIGINT, reload on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.frontend.drain)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def start_companion(
        self, make: Callable[[Parts], Companion], reload: Callable[[], None]
    ) -> None:
        """Create and start the companion."""
        self.companion = make(Parts(self.config, self.driver, self.disabled, reload))
        self.companion.start()

    async def accept_clients(self) -> None:
        """Accept clients, once this process can take over from a running one."""
        if not self.registry.is_alone:
            # The kernel assigns connections to this process as soon as it listens. So it listens
            # only once the other process has freed its share of the descriptors and it can serve.
            await self.registry.wait_for_others(
                lambda note: note.is_within_share, TAKEOVER_TIMEOUT_S
            )
            if self.handover is not None:
                self.handover.check()
            await self.driver.wait_until_ready(TAKEOVER_TIMEOUT_S)
        gc.collect()
        gc.freeze()  # startup objects are permanent; excludes them from collections
        self.limits.measure_rest()
        self.frontend.start()
        if isinstance(self.discovery, Discovery):
            self.discovery.on_accepting()
        log.info(
            "serving clients: upstreams=%d other_processes=%d after_s=%.3f",
            len(self.upstreams.targets),
            len(self.registry.others),
            time.monotonic() - self.started_s,
        )

    async def wait_for_shutdown(self) -> None:
        """Wait for the shutdown to begin and for the final answers."""
        frontend = self.frontend
        await frontend.shutdown_started.wait()
        # The two waits run in sequence. Two parallel timers would fire together if the loop is
        # late, and the final answers would be lost.
        if not await frontend.wait_until_closed(frontend.answer_deadline_ns):
            frontend.end_open()
            self._accept_queued_clients()
            if not await self._wait_for_last_answers():
                log.info(
                    "shutdown with client connections open: connections=%d",
                    frontend.connections_open,
                )
        if self.handover is not None:
            await self.handover.wait_until_others_are_answered(frontend.answer_deadline_ns)

    async def _wait_for_last_answers(self) -> bool:
        """Wait for the final answers, then for long answers that are under way.

        Returns:
            Whether all connections are closed.
        """
        frontend = self.frontend
        now_ns = time.monotonic_ns()
        if await frontend.wait_until_closed(now_ns + int(FINAL_ANSWERS_TIMEOUT_S * 1e9)):
            return True
        if not frontend.close_unless_answering():
            return False
        return await frontend.wait_until_closed(now_ns + int(LONG_ANSWERS_TIMEOUT_S * 1e9))

    def _accept_queued_clients(self) -> None:
        """Raise the limit so that queued clients are accepted; closing the queue would reset them.

        Nothing more is sent to upstreams, so their descriptors are free for clients. The places of
        the connections that were just answered are not free in time, because they still linger.
        """
        self.upstreams.set_max_connections(0)
        shares = self.limits.shares
        self.frontend.set_max_connections(shares.clients + shares.upstreams)

    async def close(self) -> None:
        """Close all components."""
        if self.companion is not None:
            await self.companion.close()
        self.frontend.close()
        self.admin_api.close()
        if self.handover is not None:
            self.handover.close()
        else:
            self.discovery.close()
        self.upstreams.close()
        self.shared_executions.close()
        self.registry.close()


async def serve(
    config: Config,
    listener: socket.socket,
    admin_socket: socket.socket | None = None,
    read: Callable[[], Config] = lambda: read_config(os.environ),
    companion: Callable[[Parts], Companion] | None = None,
) -> None:
    """Run a balancer until its graceful shutdown is complete.

    Args:
        config: The configuration.
        listener: The clients' listening socket.
        admin_socket: The admin API's listening socket; None: no admin API.
        read: Reads the current configuration, for a reload.
        companion: Creates the companion.
    """
    process = BalancerProcess(config, listener, admin_socket is not None, companion is not None)
    await process.start(admin_socket)
    reloader = Reloader(config, process.discovery, read)
    process.handle_signals(reloader.reload)
    if companion is not None:
        process.start_companion(companion, reloader.reload)
    await process.accept_clients()
    try:
        await process.wait_for_shutdown()
    finally:
        await process.close()

"""The real balancer: `python -m loadbalancer`, told what to do by the file that BALANCER_CONFIG
names.
"""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import json
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

import uvloop

from loadbalancer.policy import api
from loadbalancer.proxy.admin_api import CONNECTIONS, TURN, Management
from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.discovery import Discovery, FixedList, read_list
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.gossip import Address, Peers
from loadbalancer.proxy.listener import listening_socket
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.process_handover import Siblings
from loadbalancer.proxy.resource_limits import RESERVE, Budget
from loadbalancer.proxy.upstream import Upstreams
from loadbalancer.settings import Json, Malformed, maybe, need, read_settings, split_address, typed

SOCKETS, MEMORY_MB = 1024, 256  # where no limit is told
DOOR = CONNECTIONS + TURN + 1  # descriptors kept for the operators' door
LEAVE_S = 0.1  # over the time of the last answer, for its way out
# A process that takes over waits so long for the first list, and for the other one to make room: it
# is owed within 6 s that it takes clients.
TAKE_OVER_S = 2.0


@dataclass(frozen=True)
class Config:
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: api.Settings
    known: Json | None
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    mgmt: Address | None = None  # the operators' door; none: no door
    name: str = ""
    memory_mb: int = MEMORY_MB
    folder: Path | None = None  # what processes of this balancer share
    fixed: Json | None = None  # the list, where no discovery tells it


def read_config(environ: Mapping[str, str]) -> Config:
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise Malformed("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise Malformed(f"{path}: {error}") from None
    raw = typed(raw, "configuration", dict)

    def address(key: str) -> Address | None:
        text = maybe(raw, key, str, environ.get(f"BALANCER_{key.upper()}"))
        return split_address(text) if text else None

    listen, discovery = address("listen"), address("discovery")
    if listen is None or discovery is None:
        raise Malformed(f"{'listen' if listen is None else 'discovery'} is not set")
    mgmt = address("mgmt")
    if mgmt == listen:
        raise Malformed("mgmt must be an address of its own")
    try:
        seed = int(maybe(raw, "seed", str, "0"), 16)
    except ValueError:
        raise Malformed("seed must be hexadecimal") from None
    known = maybe(raw, "known", dict, None)
    if known is not None:
        read_list(known)
    peers = [split_address(typed(peer, "peers", str)) for peer in maybe(raw, "peers", list, [])]
    limits = maybe(raw, "limits", dict, {})
    sockets = maybe(limits, "sockets", int, SOCKETS)
    if sockets < 2 * RESERVE:
        raise Malformed(f"limits.sockets must be {2 * RESERVE} at least")
    folder = environ.get("TMPDIR")
    return Config(
        listen,
        discovery,
        seed,
        sockets,
        read_settings(need(raw, "settings", dict)),
        known,
        address("peer_listen"),
        peers,
        address("peers_all"),
        mgmt,
        maybe(raw, "name", str, environ.get("BALANCER_NAME", "")),
        int(maybe(limits, "memory_mb", float, MEMORY_MB)),
        Path(folder) if folder else None,
    )


class Reloader:
    """SIGHUP: the file is read again, off the loop, and what may change in a running balancer is
    applied. A file that can't be used leaves everything as it was.
    """

    APPLIED = frozenset({"discovery", "fixed"})
    AT_START = frozenset(
        {"seed", "known"}
    )  # they matter to a start only, and may differ at each reading

    def __init__(
        self, config: Config, discovery: Discovery | FixedList, read: Callable[[], Config]
    ) -> None:
        self.config = config
        self.discovery = discovery
        self.read = read
        self.asked = False  # once more, for a file that was replaced while it was being read
        self.task: asyncio.Task[None] | None = None

    def reload(self) -> None:
        self.asked = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        while self.asked:
            self.asked = False
            try:
                self._apply(await asyncio.to_thread(self.read))
            except Exception as error:
                logging.error("configuration not reloaded: %s", error)

    def _apply(self, new: Config) -> None:
        changed = {
            f.name
            for f in dataclasses.fields(Config)
            if getattr(new, f.name) != getattr(self.config, f.name)
        } - self.AT_START
        left = sorted(changed - self.APPLIED)
        if left:
            logging.warning("reload: a change of %s needs a restart", ", ".join(left))
        if (new.fixed is None) is not (self.config.fixed is None):
            logging.warning("reload: a change between a fixed list and discovery needs a restart")
            return
        if isinstance(self.discovery, FixedList):
            assert new.fixed is not None
            self.discovery.replace(new.fixed)
            self.config = dataclasses.replace(self.config, fixed=new.fixed)
            logging.info("configuration reloaded: %d upstreams", len(new.fixed["servers"]))
            return
        if "discovery" in changed:
            self.discovery.move(new.discovery)
            self.config = dataclasses.replace(self.config, discovery=new.discovery)
        logging.info("configuration reloaded: discovery at %s:%d", *new.discovery)


@dataclass(frozen=True)
class Parts:
    """What a companion may look at and tell."""

    config: Config
    driver: Driver
    disabled: DisabledUpstreams
    reload: Callable[[], None]


class Companion(Protocol):
    """Runs beside a balancer in its process, and must never hold it up."""

    def start(self) -> None: ...

    async def close(self) -> None: ...


async def serve(
    config: Config,
    listener: socket.socket,
    door: socket.socket | None = None,
    read: Callable[[], Config] = lambda: read_config(os.environ),
    companion: Callable[[Parts], Companion] | None = None,
) -> None:
    """Run a balancer until it is told to leave. `read`: the configuration as it is now, for a
    reload.
    """
    loop = asyncio.get_running_loop()
    settings = config.settings
    siblings = Siblings(config.folder)
    budget = Budget(config.sockets, config.memory_mb, DOOR if door is not None else 0, siblings)
    body_memory = BodyMemory(budget.part.bodies)
    upstreams = Upstreams(
        settings.limits, budget.part.upstreams, settings.report_columns, body_memory
    )
    driver = Driver(settings, config.seed, upstreams)
    if config.peer_listen is not None and settings.limits.peers:
        _, driver.peers = await loop.create_datagram_endpoint(
            lambda: Peers(driver, config.peers, config.peers_all), local_addr=config.peer_listen
        )
    disabled = DisabledUpstreams(config.folder, config.name, siblings, driver)
    disabled.start()  # ahead of the first list
    discovery: Discovery | FixedList
    if config.fixed is not None:
        discovery = FixedList(driver, config.fixed)
    else:
        discovery = Discovery(driver, config.discovery, config.seed)
    driver.discovery = discovery
    discovery.start(config.known)
    frontend = Frontend(driver, listener, budget.part.clients, body_memory)
    budget.start(frontend, upstreams, body_memory)
    siblings.watch()
    management = Management(lambda: frontend.ready, disabled)
    if door is not None:
        await management.start(door)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, frontend.drain)
    reloader = Reloader(config, discovery, read)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    beside = (
        companion(Parts(config, driver, disabled, reloader.reload))
        if companion is not None
        else None
    )
    if beside is not None:
        beside.start()
    if not siblings.alone:
        # Clients are dealt to this process from its first turn on: it begins once it can serve, and
        # once the other one leaves it its part of the descriptors.
        await siblings.agreed(lambda note: note.shares, TAKE_OVER_S)
        await driver.can_serve(TAKE_OVER_S)
    frontend.start()
    gc.collect()
    gc.freeze()  # what is there now stays: no collection need look at it again
    try:
        await frontend.drained.wait()
        # One after the other, not by two timers: where the loop is late these would come due
        # together, and the last answers be dropped.
        if not await frontend.has_left(frontend.last_answer_ns):
            frontend.end_open()
            if not await frontend.has_left(time.monotonic_ns() + int(LEAVE_S * 1e9)):
                logging.info("left with %d clients' connections open", frontend.held)
    finally:
        if beside is not None:
            await beside.close()
        frontend.close()
        management.close()
        discovery.close()
        upstreams.close()
        siblings.close()


def run(read: Callable[[], Config], companion: Callable[[Parts], Companion] | None = None) -> int:
    """A balancer in this process, from its configuration to its end. Returns the exit status."""
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(message)s")
    # A reload that is asked for before the loop runs waits until then: by itself the signal ends
    # the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        config = read()
        listener = listening_socket(config.listen, shared=True)
        door = None
        if config.mgmt is not None:
            door = listening_socket(config.mgmt)
            # only now an address that is taken shows for certain; callers wait meanwhile
            door.listen()
    except (Malformed, OSError) as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(config, listener, door, read, companion))
    return 0


def main() -> int:
    return run(lambda: read_config(os.environ))


if __name__ == "__main__":
    sys.exit(main())

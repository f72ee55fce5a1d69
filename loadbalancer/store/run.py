"""A store node as a process or within one: made, joined, run, restored."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import shutil
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from loadbalancer.settings import Malformed
from loadbalancer.store import metrics
from loadbalancer.store import replica as replicas
from loadbalancer.store.durable import state as states
from loadbalancer.store.durable import state_directory
from loadbalancer.store.durable.files import Folder
from loadbalancer.store.durable.journal import Damaged, Journal
from loadbalancer.store.durable.state import State
from loadbalancer.store.node import Node, locked
from loadbalancer.store.raft.messages import Members
from loadbalancer.store.replica import Identity, members_of, read_identity, write_identity
from loadbalancer.store.server import Server
from loadbalancer.store.settings import StoreSettings
from loadbalancer.wallclock import unix_s

log = logging.getLogger(__name__)


def new_number() -> int:
    """Of a node: drawn, so that none returns."""
    return random.SystemRandom().getrandbits(48) | 1


def new_cluster() -> str:
    return f"c{random.SystemRandom().getrandbits(40):010x}"


def make_folder(settings: StoreSettings) -> None:
    """An empty one. Raises Malformed."""
    try:
        settings.folder.mkdir(parents=True, exist_ok=True)
        taken = [p.name for p in settings.folder.iterdir() if p.name != "lock"]
    except OSError as error:
        raise Malformed(f"{settings.folder}: {error.strerror}") from None
    if taken:
        raise Malformed(
            f"{settings.folder}: it holds {sorted(taken)[0]}; a new node begins in an empty folder"
        )


def init(settings: StoreSettings, cluster: str = "", name: str = "") -> Identity:
    """A new cluster of this one node. Raises Malformed."""
    identity = Identity(replicas.FORMAT, cluster or new_cluster(), new_number(), name)
    members = members_of(identity.node, settings.advertise)
    return _fill(settings, identity, lambda path: states.create(path, identity.cluster, members))


def prepare(settings: StoreSettings, cluster: str, name: str = "") -> Identity:
    """A folder for a node that will join. Raises Malformed."""
    identity = Identity(replicas.FORMAT, cluster, new_number(), name)
    return _fill(settings, identity, lambda path: states.create(path, cluster, Members()))


def restore(settings: StoreSettings, copy: Path, cluster: str = "", name: str = "") -> Identity:
    """A new cluster of this one node with what a copy, or another node's state, holds. It has a
    name of its own, so that members of the old one can't speak to it. Raises Malformed, Damaged.
    """
    why = states.verify(copy)
    if why:
        raise Damaged(f"{copy}: {why}")
    identity = Identity(replicas.FORMAT, cluster or new_cluster(), new_number(), name)

    def copied(path: Path) -> State:
        shutil.copyfile(copy, path)
        wal = Path(f"{copy}-wal")  # of a node that was killed: its last entries
        if wal.exists():
            shutil.copyfile(wal, f"{path}-wal")
        return states.adopt(
            path, identity.cluster, members_of(identity.node, settings.advertise), int(unix_s())
        )

    return _fill(settings, identity, copied)


def _fill(settings: StoreSettings, identity: Identity, make: Callable[[Path], State]) -> Identity:
    """A node's folder, with a log that begins where the state ends."""
    make_folder(settings)
    lock = locked(settings)
    try:
        files = Folder(settings.folder)
        state = make(settings.folder / state_directory.STATE)
        state.close()
        journal = Journal(files, identity.cluster, identity.node)
        journal.create(state.applied, state.term)
        journal.close()
        files.sync_folder()
        write_identity(files, identity)  # last: without it the folder belongs to nobody
    except OSError as error:
        raise Malformed(f"{settings.folder}: {error.strerror}") from None
    finally:
        os.close(lock)
    return identity


def verify(settings: StoreSettings) -> list[str]:
    """What is wrong with a folder whose node does not run; empty: nothing. Raises Malformed."""
    lock = locked(settings)
    try:
        wrong: list[str] = []
        files = Folder(settings.folder)
        try:
            identity = read_identity(files)
            found = Journal(files, identity.cluster, identity.node).open(repair=False)
            if found.cut:
                wrong.append(
                    f"the log ends in a torn tail of {found.cut} bytes; the next start cuts it off"
                )
        except Damaged as error:
            wrong.append(str(error))
        why = states.verify(settings.folder / state_directory.STATE)
        if why:
            wrong.append(f"{state_directory.STATE}: {why}")
        return wrong
    finally:
        os.close(lock)


class StoreServer:
    """A node and its listeners."""

    def __init__(self, settings: StoreSettings) -> None:
        """Raises Damaged, Malformed."""
        self.settings = settings
        self.node = Node.open(settings)
        self.server = Server(self.node)
        self.page: asyncio.Server | None = None

    async def start(self) -> None:
        """Raises Malformed, OSError."""
        await self.server.start()
        if self.settings.metrics is not None:
            self.page = await metrics.serve(self.node, self.settings.metrics)
        self.node.start()

    async def close(self) -> None:
        if self.page is not None:
            self.page.close()
        await self.server.close()
        await self.node.close()


async def serve(
    settings: StoreSettings, started: Callable[[StoreServer], None] = lambda running: None
) -> str:
    """Run a node until SIGTERM; why it ended, empty where it was asked to. Raises Damaged,
    Malformed.
    """
    loop = asyncio.get_running_loop()
    asked: asyncio.Future[str] = loop.create_future()

    def stop() -> None:
        if not asked.done():
            asked.set_result("")

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    running = StoreServer(settings)
    try:
        try:
            await running.start()
        except OSError as error:
            raise Malformed(f"listen: {error.strerror or error}") from None
        started(running)
        done, _ = await asyncio.wait(
            {asked, running.node.failed}, return_when=asyncio.FIRST_COMPLETED
        )
        return next(iter(done)).result()
    finally:
        with suppress(OSError):
            await running.close()

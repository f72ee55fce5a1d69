"""Operations on a store node: create, join, restore, verify and run."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Final

from loadbalancer.settings import MalformedError
from loadbalancer.store import metrics
from loadbalancer.store.directory_lock import LOCK_FILE, lock_directory
from loadbalancer.store.durable import state_directory, state_files
from loadbalancer.store.durable.errors import DamagedError
from loadbalancer.store.durable.files import Folder
from loadbalancer.store.durable.journal import Journal
from loadbalancer.store.durable.state import State
from loadbalancer.store.node import Node
from loadbalancer.store.raft.messages import Members
from loadbalancer.store.replica import (
    IDENTITY_FORMAT,
    Identity,
    read_identity,
    single_member,
    write_identity,
)
from loadbalancer.store.server import Server
from loadbalancer.store.settings import StoreSettings
from loadbalancer.wallclock import unix_s

NODE_NUMBER_BITS: Final = 48
CLUSTER_NAME_BITS: Final = 40


def new_node_number() -> int:
    """Return a random node number, large enough that numbers do not repeat."""
    return random.SystemRandom().getrandbits(NODE_NUMBER_BITS) | 1


def new_cluster_name() -> str:
    """Return a random cluster name."""
    return f"c{random.SystemRandom().getrandbits(CLUSTER_NAME_BITS):010x}"


def create_folder(settings: StoreSettings) -> None:
    """Create a node's folder.

    Raises:
        MalformedError: The folder is not empty or can't be created.
    """
    try:
        settings.folder.mkdir(parents=True, exist_ok=True)
        names = [path.name for path in settings.folder.iterdir() if path.name != LOCK_FILE]
    except OSError as error:
        raise MalformedError(f"{settings.folder}: {error.strerror}") from None
    if names:
        raise MalformedError(
            f"{settings.folder}: it holds {min(names)}; a new node begins in an empty folder"
        )


def init(settings: StoreSettings, cluster: str = "", name: str = "") -> Identity:
    """Create a new cluster with this node as its only member.

    Raises:
        MalformedError: The folder is not empty, or can't be used.
    """
    identity = _new_identity(cluster or new_cluster_name(), name)
    members = single_member(identity.node, settings.advertise)
    return _create_folder_contents(
        settings, identity, lambda path: state_files.create_state(path, identity.cluster, members)
    )


def prepare(settings: StoreSettings, cluster: str, name: str = "") -> Identity:
    """Create the folder of a node that will join a cluster.

    Raises:
        MalformedError: The folder is not empty, or can't be used.
    """
    identity = _new_identity(cluster, name)
    return _create_folder_contents(
        settings, identity, lambda path: state_files.create_state(path, cluster, Members())
    )


def restore(settings: StoreSettings, backup: Path, cluster: str = "", name: str = "") -> Identity:
    """Create a new single-node cluster from a backup or another node's state.

    The new cluster has a different name, so that members of the old cluster can't connect to it.

    Raises:
        DamagedError: The backup is not valid.
        MalformedError: The folder is not empty, or can't be used.
    """
    reason = state_files.verify(backup)
    if reason:
        raise DamagedError(f"{backup}: {reason}")
    identity = _new_identity(cluster or new_cluster_name(), name)
    members = single_member(identity.node, settings.advertise)

    def make_state(path: Path) -> State:
        shutil.copyfile(backup, path)
        wal = Path(f"{backup}-wal")  # left by a node that was killed; holds its last entries
        if wal.exists():
            shutil.copyfile(wal, f"{path}-wal")
        return state_files.adopt_copy(path, identity.cluster, members, int(unix_s()))

    return _create_folder_contents(settings, identity, make_state)


def _new_identity(cluster: str, name: str) -> Identity:
    return Identity(IDENTITY_FORMAT, cluster, new_node_number(), name)


def _create_folder_contents(
    settings: StoreSettings, identity: Identity, make_state: Callable[[Path], State]
) -> Identity:
    """Create the state, a log that continues from it, and the identity file."""
    create_folder(settings)
    lock = lock_directory(settings.folder)
    try:
        files = Folder(settings.folder)
        state = make_state(settings.folder / state_directory.STATE)
        state.close()
        journal = Journal(files, identity.cluster, identity.node)
        journal.create(state.applied, state.term)
        journal.close()
        files.sync_folder()
        write_identity(files, identity)  # last, because it marks the folder as complete
    except OSError as error:
        raise MalformedError(f"{settings.folder}: {error.strerror}") from None
    finally:
        os.close(lock)
    return identity


def verify(settings: StoreSettings) -> list[str]:
    """Return the errors found in the folder of a stopped node.

    Raises:
        MalformedError: The folder can't be used.
    """
    lock = lock_directory(settings.folder)
    try:
        return [*_log_faults(settings.folder), *_state_faults(settings.folder)]
    finally:
        os.close(lock)


def _log_faults(folder: Path) -> list[str]:
    files = Folder(folder)
    try:
        identity = read_identity(files)
        journal_contents = Journal(files, identity.cluster, identity.node).open(repair=False)
    except DamagedError as error:
        return [str(error)]
    if not journal_contents.torn_bytes:
        return []
    return [
        f"the log ends in a torn tail of {journal_contents.torn_bytes} bytes;"
        " the next start cuts it off"
    ]


def _state_faults(folder: Path) -> list[str]:
    reason = state_files.verify(folder / state_directory.STATE)
    return [f"{state_directory.STATE}: {reason}"] if reason else []


class StoreServer:
    """A node with its store and metrics listeners.

    Raises:
        DamagedError: The folder's content is not valid.
        MalformedError: The folder can't be used.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.node = Node.open(settings)
        self.server = Server(self.node)
        self._metrics: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the listeners and start the node.

        Raises:
            MalformedError: An address or certificate can't be used.
            OSError: An address can't be used.
        """
        await self.server.start()
        if self.settings.metrics is not None:
            self._metrics = await metrics.serve(self.node, self.settings.metrics)
        self.node.start()

    async def close(self) -> None:
        """Close the listeners and the node."""
        if self._metrics is not None:
            self._metrics.close()
        await self.server.close()
        await self.node.close()


def _ignore(server: StoreServer) -> None:
    """Do nothing."""


async def serve(settings: StoreSettings, started: Callable[[StoreServer], None] = _ignore) -> str:
    """Run a node until SIGTERM or SIGINT; return why it failed, empty after a signal.

    Raises:
        DamagedError: The folder's content is not valid.
        MalformedError: The folder, an address or the certificates can't be used.
    """
    loop = asyncio.get_running_loop()
    stopped: asyncio.Future[str] = loop.create_future()

    def stop() -> None:
        if not stopped.done():
            stopped.set_result("")

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    server = StoreServer(settings)
    try:
        try:
            await server.start()
        except OSError as error:
            raise MalformedError(f"listen: {error.strerror or error}") from None
        started(server)
        done, _ = await asyncio.wait(
            {stopped, server.node.failed}, return_when=asyncio.FIRST_COMPLETED
        )
        return next(iter(done)).result()
    finally:
        with suppress(OSError):
            await server.close()

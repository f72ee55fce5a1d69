"""A client of the store; each call has a deadline and is retried at other nodes until then.

Writes belong to a session, so that one whose reply was lost is made once however often it is sent.
`get` and `scan` are linearizable, or with `stale=True` what one node has applied. A watch returns
every change in order or raises `WatchCompactedError`.
"""

from __future__ import annotations

import os
import random
import ssl
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple, cast

import msgspec

from loadbalancer.store import commands
from loadbalancer.store.client_connection import ClientConnection, ReadResult
from loadbalancer.store.client_watch import WatchStream
from loadbalancer.store.commands import (
    ANY_VERSION,
    AnyCommand,
    Claim,
    Op,
    Release,
    Result,
    ResultCode,
)
from loadbalancer.store.errors import RejectedError
from loadbalancer.store.request_channel import (
    ChannelOptions,
    RequestChannel,
    RequestFactory,
    new_hello,
)
from loadbalancer.store.status import NodeStatus
from loadbalancer.store.wire.protocol import (
    AdminAction,
    Administer,
    AnyReply,
    BackupChunk,
    Changes,
    Get,
    History,
    JsonReply,
    Propose,
    ReadBackup,
    Row,
    Rows,
    Scan,
    Status,
)
from loadbalancer.store.write_session import (
    WriteOptions,
    WriteSession,
    deadline_after,
    result_of,
)

DEFAULT_DEADLINE_S: Final = 5.0
BACKUP_TIMEOUT_S: Final = 60.0
MAX_SCAN_ROWS: Final = 1000  # of one page
DEFAULT_HISTORY_LIMIT: Final = 100
DEFAULT_OPTIONS: Final = WriteOptions()
NO_BACKUP: Final = (0, 0, 0, 0)


class BackupMeta(NamedTuple):
    """Describes a backup: the last entry that it holds, its size in bytes and its CRC-32C."""

    last_index: int
    term: int
    size: int
    checksum: int


def _no_tls() -> ssl.SSLContext | None:
    return None


@dataclass(eq=False)
class Client:
    """A client of one cluster.

    Attributes:
        addresses: Members, HOST:PORT; leaders at other addresses are tried as well.
        tls: Returns the TLS context for a new connection.
        name: A name for the logs of the nodes.
        cluster: The cluster's name; empty for any.
        deadline_s: Time limit of calls that have none of their own.
        address_map: For advertised addresses, where they are reached from here.
        rng: For session numbers and the jitter of the backoff.
    """

    addresses: Sequence[str]
    tls: Callable[[], ssl.SSLContext | None] = _no_tls
    name: str = ""
    cluster: str = ""
    deadline_s: float = DEFAULT_DEADLINE_S
    address_map: Mapping[str, str] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(os.urandom(8)))

    def __post_init__(self) -> None:
        hello = new_hello(self.cluster, self.name)
        options = ChannelOptions(self.addresses, self.tls, hello, self.address_map, self.rng)
        self._channel = RequestChannel(options)
        self._session = WriteSession(self._channel, self.name, self.rng)

    @property
    def connection(self) -> ClientConnection | None:
        """The open connection."""
        return self._channel.connection

    def _deadline(self, timeout_s: float | None) -> float:
        return deadline_after(self.deadline_s if timeout_s is None else timeout_s)

    async def _call(
        self, make: RequestFactory, timeout_s: float | None, *, needs_leader: bool
    ) -> AnyReply:
        deadline_s = self._deadline(timeout_s)
        return await self._channel.call(make, deadline_s, needs_leader=needs_leader)

    # ---- reads -----------------------------------------------------------------------------------

    async def get(
        self, *keys: str, stale: bool = False, timeout_s: float | None = None
    ) -> ReadResult:
        """Returns a row for each key; its value is None if the key does not exist.

        Raises:
            UnavailableError: No node replied in time.
        """
        reply = await self._call(
            lambda request_id, timeout_ms: Get(request_id, timeout_ms, keys, not stale),
            timeout_s,
            needs_leader=not stale,
        )
        return _read_result(reply)

    async def scan(
        self, prefix: str, stale: bool = False, timeout_s: float | None = None
    ) -> ReadResult:
        """Returns all keys with a prefix, as of the first page's revision or later.

        Raises:
            UnavailableError: No node replied in time.
        """
        rows: list[Row] = []
        revision = 0
        behind_ms = 0
        while True:
            page = await self._scan_page(prefix, rows[-1].key if rows else "", stale, timeout_s)
            rows += page.rows
            revision = revision or page.revision
            behind_ms = max(behind_ms, page.behind_ms)
            if not page.more:
                return ReadResult(rows, revision, behind_ms)

    async def _scan_page(
        self, prefix: str, after: str, stale: bool, timeout_s: float | None
    ) -> Rows:
        page = await self._call(
            lambda request_id, timeout_ms: Scan(
                request_id, timeout_ms, prefix, after, MAX_SCAN_ROWS, not stale
            ),
            timeout_s,
            needs_leader=not stale,
        )
        assert isinstance(page, Rows)
        return page

    async def history(
        self, key: str, limit: int = DEFAULT_HISTORY_LIMIT, timeout_s: float | None = None
    ) -> ReadResult:
        """Returns the retained versions of a key, newest first.

        Raises:
            UnavailableError: No node replied in time.
        """
        reply = await self._call(
            lambda request_id, timeout_ms: History(request_id, timeout_ms, key, limit),
            timeout_s,
            needs_leader=True,
        )
        return _read_result(reply)

    def watch(self, prefix: str, after: int) -> AsyncIterator[Changes]:
        """Yields every change after a revision; one without changes reports progress. Never ends.

        Raises:
            RejectedError: The store rejects the watch.
            WatchCompactedError: Changes after the revision are no longer retained.
        """
        return WatchStream(self._channel, prefix, after).changes(self.deadline_s)

    # ---- writes ----------------------------------------------------------------------------------

    async def put(
        self,
        key: str,
        value: bytes,
        version: int = ANY_VERSION,
        options: WriteOptions = DEFAULT_OPTIONS,
    ) -> int:
        """Writes one key; raises as `write` does.

        Args:
            key: The key.
            value: Its new value.
            version: The version that it must be at; 0 if it must not exist.
            options: What goes with the write.

        Returns:
            The new version.
        """
        return (await self.write([Op(key, value, version)], options)).versions[0]

    async def delete(
        self, key: str, version: int = ANY_VERSION, options: WriteOptions = DEFAULT_OPTIONS
    ) -> None:
        """Deletes one key; raises as `write` does."""
        await self.write([Op(key, None, version)], options)

    async def write(self, ops: Sequence[Op], options: WriteOptions = DEFAULT_OPTIONS) -> Result:
        """Applies all operations or none, once.

        Raises:
            ConflictError: A key is at another version.
            FencedError: A fencing token is not current.
            RejectedError: The write breaks a limit.
            UnavailableError: The write was not made.
            UndecidedError: The write may have been made.
        """
        deadline_s = self._deadline(options.timeout_s)
        return await self._session.write(ops, None, options, deadline_s)

    async def write_rows(
        self,
        ops: Sequence[Op],
        refs: Sequence[Sequence[str]] = (),
        options: WriteOptions = DEFAULT_OPTIONS,
    ) -> Result:
        """As `write`, with rows of the change feed among the keys.

        Args:
            ops: The operations.
            refs: For each operation, the keys of the rows that its row refers to, which must exist
                after the write; empty if no row refers to others.
            options: What goes with the write.
        """
        deadline_s = self._deadline(options.timeout_s)
        return await self._session.write(ops, refs, options, deadline_s)

    async def claim(self, claim: Claim, timeout_s: float) -> Result:
        """Requests or renews a lease.

        Returns:
            A result whose versions are the token, 0 for a candidate, and the position among the
            candidates.

        Raises:
            RejectedError: The claim breaks a limit.
            UnavailableError: The claim was not made.
            UndecidedError: The claim may have been made.
        """
        return await self._propose(claim, timeout_s)

    async def release(self, release: Release, timeout_s: float) -> Result:
        """Releases a lease; raises as `claim` does."""
        return await self._propose(release, timeout_s)

    async def _propose(self, command: AnyCommand, timeout_s: float) -> Result:
        """Proposes an idempotent command."""
        packed = commands.pack(command)
        reply = await self._call(
            lambda request_id, timeout_ms: Propose(request_id, timeout_ms, packed),
            timeout_s,
            needs_leader=True,
        )
        result = result_of(reply)
        if result.code == ResultCode.REFUSED:
            raise RejectedError(result.text)
        return result

    # ---- administration --------------------------------------------------------------------------

    async def status(self, timeout_s: float | None = None) -> NodeStatus:
        """Returns the status of the node that replies first.

        Raises:
            UnavailableError: No node replied in time.
        """
        reply = await self._call(Status, timeout_s, needs_leader=False)
        return cast(NodeStatus, _decode_json(reply))

    async def administer(
        self, action: str, node: int = 0, address: str = "", timeout_s: float | None = None
    ) -> str:
        """Changes the membership or requests a snapshot.

        Args:
            action: One of `AdminAction`.
            node: The member that it is about.
            address: The address of a member that is added.
            timeout_s: The time limit; None for the client's.

        Returns:
            What was done, in one line.

        Raises:
            RejectedError: The store rejects it.
            UnavailableError: It was not done.
            UndecidedError: It may have been done.
        """
        reply = await self._call(
            lambda request_id, timeout_ms: Administer(
                request_id, timeout_ms, action, node, address
            ),
            timeout_s,
            needs_leader=action != AdminAction.SNAPSHOT,
        )
        return str(_decode_json(reply)["done"])

    async def read_backup(
        self, take: Callable[[bytes], object], timeout_s: float = BACKUP_TIMEOUT_S
    ) -> BackupMeta:
        """Reads a backup of the state chunk by chunk.

        Args:
            take: Called with each chunk.
            timeout_s: Time limit of the complete backup.

        Returns:
            What the backup holds, to verify it.

        Raises:
            UnavailableError: No node replied in time.
            UndecidedError: The node made another backup meanwhile.
        """
        deadline_s = deadline_after(timeout_s)
        offset = 0
        meta_id = NO_BACKUP
        while True:
            chunk = await self._read_chunk(offset, meta_id, deadline_s)
            meta_id = chunk.meta_id
            take(chunk.data)
            offset += len(chunk.data)
            meta = BackupMeta(*meta_id)
            if offset >= meta.size:
                return meta

    async def _read_chunk(
        self, offset: int, meta_id: tuple[int, int, int, int], deadline_s: float
    ) -> BackupChunk:
        chunk = await self._channel.call(
            lambda request_id, timeout_ms: ReadBackup(request_id, timeout_ms, offset, meta_id),
            deadline_s,
            needs_leader=False,
        )
        assert isinstance(chunk, BackupChunk)
        return chunk

    async def close(self) -> None:
        """Closes session and connection; waits for the former only briefly."""
        with suppress(OSError, TimeoutError):
            await self._session.close()
        self._channel.close()


def _read_result(reply: AnyReply) -> ReadResult:
    assert isinstance(reply, Rows)
    return ReadResult(list(reply.rows), reply.revision, reply.behind_ms)


def _decode_json(reply: AnyReply) -> dict[str, Any]:
    assert isinstance(reply, JsonReply)
    document: dict[str, Any] = msgspec.json.decode(reply.json)
    return document

"""A client of the store; each call has a deadline and is retried at other nodes until then.

Writes belong to a session, so that a write is applied once even if its reply is lost and it is
retried. `get` and `scan` are linearizable by default; with `stale=True` they return what one node
has applied. A watch returns every change in order or raises `WatchCompactedError`.
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
MAX_SCAN_ROWS: Final = 1000  # per page
DEFAULT_HISTORY_LIMIT: Final = 100
DEFAULT_OPTIONS: Final = WriteOptions()
NO_BACKUP: Final = (0, 0, 0, 0)


class BackupMeta(NamedTuple):
    """Describes a backup: the last log entry it contains, its size in bytes and its CRC-32C."""

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
        addresses: Addresses of members, HOST:PORT; a leader at another address is used as well.
        tls: Returns the TLS context for a new connection.
        name: The client's name in the logs of the nodes.
        cluster: The cluster's name; empty for any.
        deadline_s: Timeout of calls that specify none.
        address_map: The address to connect to for an advertised address, where they differ.
        rng: Random numbers for session ids and the jitter of the backoff.
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
        self, make_request: RequestFactory, timeout_s: float | None, *, needs_leader: bool
    ) -> AnyReply:
        deadline_s = self._deadline(timeout_s)
        return await self._channel.call(make_request, deadline_s, needs_leader=needs_leader)

    # ---- reads -----------------------------------------------------------------------------------

    async def get(
        self, *keys: str, stale: bool = False, timeout_s: float | None = None
    ) -> ReadResult:
        """Return a row for each key; its value is None if the key does not exist.

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
        """Return all keys with a prefix, each as of the first page's revision or a later one.

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
        """Return the retained versions of a key, newest first.

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
        """Yield every change after a revision; an empty `Changes` reports progress. Never ends.

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
        """Write one key; raise as `write` does.

        Args:
            key: The key.
            value: Its new value.
            version: The version that the key must have; 0 if the key must not exist.
            options: Further options of the write.

        Returns:
            The new version.
        """
        return (await self.write([Op(key, value, version)], options)).versions[0]

    async def delete(
        self, key: str, version: int = ANY_VERSION, options: WriteOptions = DEFAULT_OPTIONS
    ) -> None:
        """Delete one key; raise as `write` does."""
        await self.write([Op(key, None, version)], options)

    async def write(self, ops: Sequence[Op], options: WriteOptions = DEFAULT_OPTIONS) -> Result:
        """Apply all operations or none, exactly once.

        Raises:
            ConflictError: A key is at another version.
            FencedError: A fencing token is not current.
            RejectedError: The write exceeds a limit.
            UnavailableError: The write was not applied.
            UndecidedError: The write may have been applied.
        """
        deadline_s = self._deadline(options.timeout_s)
        return await self._session.write(ops, None, options, deadline_s)

    async def write_rows(
        self,
        ops: Sequence[Op],
        refs: Sequence[Sequence[str]] = (),
        options: WriteOptions = DEFAULT_OPTIONS,
    ) -> Result:
        """Apply all operations as `write` does; keys may be rows of the change feed.

        Args:
            ops: The operations.
            refs: For each operation, the keys of the rows that its row refers to, which must exist
                after the write; empty if no row refers to others.
            options: Further options of the write.
        """
        deadline_s = self._deadline(options.timeout_s)
        return await self._session.write(ops, refs, options, deadline_s)

    async def claim(self, claim: Claim, timeout_s: float) -> Result:
        """Request or renew a lease.

        Returns:
            A result whose versions are the fencing token (0 for a candidate) and the position among
            the candidates.

        Raises:
            RejectedError: The claim exceeds a limit.
            UnavailableError: The claim was not applied.
            UndecidedError: The claim may have been applied.
        """
        return await self._propose(claim, timeout_s)

    async def release(self, release: Release, timeout_s: float) -> Result:
        """Release a lease; raise as `claim` does."""
        return await self._propose(release, timeout_s)

    async def _propose(self, command: AnyCommand, timeout_s: float) -> Result:
        """Propose an idempotent command, which needs no session."""
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
        """Return the status of the node that replies first.

        Raises:
            UnavailableError: No node replied in time.
        """
        reply = await self._call(Status, timeout_s, needs_leader=False)
        return cast(NodeStatus, _decode_json(reply))

    async def administer(
        self, action: str, node: int = 0, address: str = "", timeout_s: float | None = None
    ) -> str:
        """Change the membership, transfer leadership or request a snapshot.

        Args:
            action: One of `AdminAction`.
            node: The member that the action applies to.
            address: The address of a new member.
            timeout_s: The timeout; None for the client's default.

        Returns:
            A one-line description of the result.

        Raises:
            RejectedError: The store rejects the request.
            UnavailableError: The request was not executed.
            UndecidedError: The request may have been executed.
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
        self, on_chunk: Callable[[bytes], object], timeout_s: float = BACKUP_TIMEOUT_S
    ) -> BackupMeta:
        """Read a backup of the state chunk by chunk.

        Args:
            on_chunk: Called with each chunk.
            timeout_s: Timeout of the complete backup.

        Returns:
            The backup's metadata, which serves to verify it.

        Raises:
            UnavailableError: No node replied in time.
            UndecidedError: The node replaced the backup by a newer one before it was read.
        """
        deadline_s = deadline_after(timeout_s)
        offset = 0
        meta_id = NO_BACKUP
        while True:
            chunk = await self._read_chunk(offset, meta_id, deadline_s)
            meta_id = chunk.meta_id
            on_chunk(chunk.data)
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
        """Close the session, with a short timeout, and then the connection."""
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

"""Executes the requests that arrive on a client's connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any, Final, Protocol, TypeVar

import msgspec

from loadbalancer.store import commands, read_requests
from loadbalancer.store.commands import AnyCommand, Result
from loadbalancer.store.durable.errors import DiskFullError
from loadbalancer.store.durable.state import State
from loadbalancer.store.errors import (
    DeadlineExceededError,
    OutcomeUnknownError,
    RejectedError,
)
from loadbalancer.store.node import Node
from loadbalancer.store.raft.errors import BusyError, MembershipError, NotLeaderError
from loadbalancer.store.raft.messages import SnapshotMeta
from loadbalancer.store.raft.state import Role
from loadbalancer.store.read_requests import Page
from loadbalancer.store.security import CertificateRole, is_permitted
from loadbalancer.store.watch_session import WatchSession
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import (
    Administer,
    AnyRequest,
    BackupChunk,
    CancelWatch,
    Committed,
    FailureCode,
    Get,
    History,
    JsonReply,
    Propose,
    ReadBackup,
    Reply,
    RequestFailed,
    Rows,
    Scan,
    SendToChangefeed,
    Status,
    Watch,
)

log = logging.getLogger(__name__)

T = TypeVar("T")

MAX_OPEN_REQUESTS: Final = 512  # per connection
MAX_WATCHES: Final = 64  # per connection
BACKUP_CHUNK_BYTES: Final = 512 << 10
REQUIRED_ROLES: Final[dict[type, CertificateRole]] = {
    Propose: CertificateRole.WRITE,
    Get: CertificateRole.READ,
    Scan: CertificateRole.READ,
    History: CertificateRole.READ,
    Watch: CertificateRole.READ,
    CancelWatch: CertificateRole.READ,
    Status: CertificateRole.READ,
    Administer: CertificateRole.ADMIN,
    ReadBackup: CertificateRole.ADMIN,
    SendToChangefeed: CertificateRole.READ,
}


class ReplySender(Protocol):
    """The interface of the connection that a handler uses."""

    @property
    def peer(self) -> str:
        """The client's address, for logs."""

    def send(self, reply: Reply) -> None:
        """Send a reply."""

    def changefeed_message_received(self, request: SendToChangefeed) -> None:
        """Handle a message to the change feed."""


class RequestHandler:
    """Executes requests and sends their replies.

    Args:
        node: The node.
        connection: The client's connection.
        role: The client's role.
    """

    def __init__(self, node: Node, connection: ReplySender, role: CertificateRole) -> None:
        self._node = node
        self._connection = connection
        self._role = role
        self._open_count = 0
        self._watches: dict[int, WatchSession] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def fail(
        self, request_id: int, code: FailureCode, reason: str, leader: int | None = None
    ) -> None:
        """Send a failure reply, with the leader's address if a leader is given and known."""
        address = self._node.links.address_of(leader) if leader else ""
        self._connection.send(RequestFailed(request_id, code, reason, address))

    def request_received(self, request: AnyRequest) -> None:
        """Check the permission and capacity for a request and start executing it."""
        if not is_permitted(self._role, REQUIRED_ROLES[type(request)]):
            reason = f"the role {self._role} may not do that"
            self.fail(request.id, FailureCode.FORBIDDEN, reason)
        elif self._open_count >= MAX_OPEN_REQUESTS:
            self.fail(request.id, FailureCode.BUSY, "too many requests on one connection")
        else:
            self._dispatch(request)

    def _dispatch(self, request: AnyRequest) -> None:
        match request:
            case Propose():
                self._propose(request)
            case Get() | Scan() | History():
                self._start_task(request.id, self._read(request))
            case Watch():
                self._watch(request)
            case CancelWatch():
                self._cancel_watch(request)
            case Status():
                self._send_json(request.id, self._node.status())
            case Administer():
                self._start_task(request.id, self._administer(request))
            case ReadBackup():
                self._start_task(request.id, self._read_backup(request))
            case SendToChangefeed():
                self._connection.changefeed_message_received(request)

    def _send_json(self, request_id: int, document: object) -> None:
        self._connection.send(JsonReply(request_id, msgspec.json.encode(document)))

    # ---- commands --------------------------------------------------------------------------------

    def _propose(self, request: Propose) -> None:
        try:
            command = _decode_command(request.command)
        except RejectedError as error:
            self.fail(request.id, FailureCode.REJECTED, str(error))
            return
        required_format = commands.required_format(command)
        if required_format > self._node.replica.state.format:
            self._fail_format(request.id, required_format)
            return
        try:
            future = self._node.propose(request.command)
        except NotLeaderError as error:
            self.fail(request.id, FailureCode.NOT_LEADER, str(error), error.leader)
        except BusyError as error:
            self.fail(request.id, FailureCode.BUSY, str(error))
        else:
            self._open_count += 1
            future.add_done_callback(lambda outcome: self._proposal_done(request.id, outcome))

    def _fail_format(self, request_id: int, required_format: int) -> None:
        core = self._node.core
        if core.role is Role.LEADER:
            reason = self._node.format_pending_reason(required_format)
            self.fail(request_id, FailureCode.BUSY, reason)
        else:
            reason = str(NotLeaderError(core.leader_id))
            self.fail(request_id, FailureCode.NOT_LEADER, reason, core.leader_id)

    def _proposal_done(self, request_id: int, outcome: asyncio.Future[Result]) -> None:
        self._open_count -= 1
        if outcome.cancelled():
            return
        error = outcome.exception()
        if error is None:
            self._connection.send(Committed(request_id, commands.pack(outcome.result())))
        else:
            leader = self._node.core.leader_id
            self.fail(request_id, FailureCode.OUTCOME_UNKNOWN, str(error), leader)

    # ---- reads -----------------------------------------------------------------------------------

    async def _read(self, request: Get | Scan | History) -> None:
        behind_ms = 0
        if isinstance(request, History) or request.linear:
            await self._node.confirm_read()
        else:
            behind_ms = self._node.leaderless_ms()
        page, revision = await self._node.query(
            lambda state: (_read_page(state, request), state.applied)
        )
        self._connection.send(Rows(request.id, page.rows, revision, page.more, behind_ms))

    async def _read_backup(self, request: ReadBackup) -> None:
        runtime = self._node.runtime
        state_directory = runtime.replica.state_directory
        if request.offset == 0:
            meta = await runtime.on_export_thread(state_directory.export_snapshot)
        else:
            index, term, size, checksum = request.meta_id
            meta = SnapshotMeta(index, term, self._node.core.members, size, checksum)
        data = state_directory.read_chunk(meta, request.offset, BACKUP_CHUNK_BYTES)
        if data is None:
            reason = "another copy was made meanwhile: begin anew"
            self.fail(request.id, FailureCode.OUTCOME_UNKNOWN, reason)
        else:
            self._connection.send(BackupChunk(request.id, meta.id, request.offset, data))

    async def _administer(self, request: Administer) -> None:
        outcome = await self._node.administer(request)
        log.info("administrative request done: peer=%s result=%s", self._connection.peer, outcome)
        self._send_json(request.id, {"done": outcome})

    # ---- watches ---------------------------------------------------------------------------------

    def _watch(self, request: Watch) -> None:
        if len(self._watches) >= MAX_WATCHES:
            reason = f"there are {MAX_WATCHES} watches already"
            self.fail(request.id, FailureCode.BUSY, reason)
            return
        self._watches[request.id] = WatchSession(self._node, self, request)

    def _cancel_watch(self, request: CancelWatch) -> None:
        watch = self._watches.pop(request.watch, None)
        if watch is not None:
            watch.stop()

    def send(self, reply: Reply) -> None:
        """Send a watch's reply."""
        self._connection.send(reply)

    def watch_compacted(self, watch_id: int, code: FailureCode, reason: str) -> None:
        """End a watch whose next changes are no longer retained."""
        self.fail(watch_id, code, reason)
        self._watches.pop(watch_id, None)

    def pause(self) -> None:
        """Pause all watches, because the client does not read."""
        for watch in self._watches.values():
            watch.pause()

    def resume(self) -> None:
        """Resume all watches, because the client reads again."""
        for watch in self._watches.values():
            watch.resume()

    # ---- tasks -----------------------------------------------------------------------------------

    def _start_task(self, request_id: int, work: Coroutine[Any, Any, None]) -> None:
        self._open_count += 1
        task = self._node.runtime.loop.create_task(self._guarded(request_id, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, request_id: int, work: Coroutine[Any, Any, None]) -> None:
        """Run a request and send a failure reply for each expected error."""
        try:
            await work
        except NotLeaderError as error:
            self.fail(request_id, FailureCode.NOT_LEADER, str(error), error.leader)
        except BusyError as error:
            self.fail(request_id, FailureCode.BUSY, str(error))
        except MembershipError as error:
            self.fail(request_id, FailureCode.REJECTED, str(error))
        except OutcomeUnknownError as error:
            leader = self._node.core.leader_id
            self.fail(request_id, FailureCode.OUTCOME_UNKNOWN, str(error), leader)
        except DeadlineExceededError as error:
            self.fail(request_id, FailureCode.DEADLINE_EXCEEDED, str(error))
        except DiskFullError as error:
            self.fail(request_id, FailureCode.DISK_FULL, str(error))
        finally:
            self._open_count -= 1

    def close_watches(self) -> None:
        """Stop all watches, because the connection was closed."""
        for watch in self._watches.values():
            watch.stop()
        self._watches.clear()

    def cancel_tasks(self) -> None:
        """Cancel all requests, because the connection was closed."""
        for task in list(self._tasks):
            task.cancel()


def _read_page(state: State, request: Get | Scan | History) -> Page:
    match request:
        case Get():
            return read_requests.get(state, request.keys)
        case Scan():
            return read_requests.scan(state, request.prefix, request.after, request.limit)
        case History():
            return read_requests.history(state, request.key, request.limit)


def _decode_command(packed: bytes) -> AnyCommand:
    """Decode a client's command.

    Raises:
        RejectedError: The command is not valid, so that it must not be written to the log.
    """
    if len(packed) > protocol.MAX_REQUEST_BYTES:
        raise RejectedError("the write is too large")
    try:
        command = commands.unpack_command(packed)
    except ValueError as error:
        raise RejectedError(" ".join(str(error).split())) from None
    if isinstance(command, commands.Write):
        reason = commands.rejection_reason(command)
        if reason:
            raise RejectedError(reason)
    if not commands.is_client_command(command):
        raise RejectedError("leaders alone propose that")
    return command

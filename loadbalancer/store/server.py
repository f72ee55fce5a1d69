"""The store's listener: members and clients connect here, greet, and are known by their
certificates.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import socket
import ssl
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, cast

import msgspec

from loadbalancer.changefeed.fanout import Send
from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.settings import Malformed
from loadbalancer.store import commands
from loadbalancer.store.commands import Result
from loadbalancer.store.durable.journal import Full
from loadbalancer.store.durable.state import State
from loadbalancer.store.node import Late, Node, Unknown
from loadbalancer.store.raft.errors import BusyError, MembershipError, NotLeaderError
from loadbalancer.store.raft.messages import SnapshotMeta, unpack_message
from loadbalancer.store.raft.state import Role
from loadbalancer.store.read_requests import Watching, row, scan
from loadbalancer.store.security import may, role_of
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import NONCE, Receiver, Refused, Sender
from loadbalancer.store.wire.protocol import (
    AnyRequest,
    Copy,
    Declined,
    Done,
    Failed,
    Fed,
    Feed,
    Get,
    Hello,
    Info,
    Manage,
    Part,
    Past,
    Put,
    Reply,
    Row,
    Rows,
    Scan,
    Status,
    Trouble,
    Unwatch,
    Watch,
    Welcome,
)

log = logging.getLogger(__name__)

GREET_S = 5.0  # a connection that has not greeted by then is closed
OPEN_MOST = 512  # requests of one connection on their way
WATCHES_MOST = 64  # of one connection
UNREAD_MOST = (
    8 << 20
)  # bytes of answers that a client leaves unread: then nothing more is read from it
FEED_UNREAD = (
    64 << 10
)  # bytes on a feed's connection: beyond it its scopes are only marked as changed
GONE_MS = (
    30_000  # its machine acknowledges nothing for so long: it is gone, whatever TCP's own patience
)
BACKLOG = 1024  # connections that wait to be accepted: all of another node's may come at once
# between two that are accepted: a handshake takes 1 ms and more, and elections wait for none
PACE_S = 0.0025
SPARE = 128  # of the files that this process may open: for the disk and other members
FULL_S = 1.0  # between two tries to accept where there is no room
COPY_BYTES = 512 << 10
NEEDS: dict[type, str] = {
    Put: "write",
    Get: "read",
    Scan: "read",
    Past: "read",
    Watch: "read",
    Unwatch: "read",
    Status: "read",
    Manage: "admin",
    Copy: "admin",
    Feed: "read",
}


class Server:
    """All connections to one node."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.settings = node.settings
        self.connections: set[Connection] = set()
        self.most = node.settings.connections
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.greeting: set[asyncio.Task[None]] = set()
        self.context: ssl.SSLContext | None = None
        self.stamp: tuple[tuple[int, int], ...] = ()
        self.watch_keys: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        assert self.listener is not None
        return int(self.listener.getsockname()[1])

    async def start(self) -> None:
        """Raises OSError, Malformed."""
        room = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - SPARE
        if room < self.most:
            log.warning(
                "limits.connections: %d in place of %d: this process may open no more files",
                room,
                self.most,
            )
            self.most = room
        host, port = self.settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.listener = socket.socket(family, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.listener.bind((host, port))
        except OSError as error:
            self.listener.close()
            raise Malformed(f"listen: {host}:{port}: {error.strerror}") from None
        if self.settings.tls is not None:
            self.stamp = self.settings.tls.stamp()
            self.context = self.settings.tls.context(True)
            self.watch_keys = asyncio.get_running_loop().create_task(self._keys())
        self.listener.setblocking(False)
        self.listener.listen(BACKLOG)
        self.accepting = asyncio.get_running_loop().create_task(self._accept(self.listener))

    async def _accept(self, listener: socket.socket) -> None:
        """One after the other, no faster than their handshakes leave time for all else."""
        loop, full = asyncio.get_running_loop(), False
        while True:
            try:
                accepted, _ = await loop.sock_accept(listener)
                full = False
            except OSError as error:
                if not full and cause(Operation.ACCEPT, error) is Cause.HERE:
                    log.error("store: no connection can be accepted: %s", error.strerror)
                    full = True
                await asyncio.sleep(FULL_S if full else PACE_S)
                continue
            task = loop.create_task(self._connect(accepted))
            self.greeting.add(task)
            task.add_done_callback(self.greeting.discard)
            await asyncio.sleep(PACE_S)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: Connection(self),
                accepted,
                ssl=self.context,
                ssl_handshake_timeout=GREET_S if self.context else None,
            )
        except OSError as error:
            log.debug("store: a connection: %s", error)
            accepted.close()

    async def _keys(self) -> None:
        """Certificates are replaced while the node runs: new connections take the new ones."""
        assert self.settings.tls is not None
        while True:
            await asyncio.sleep(1.0)
            await self.look_at_keys()

    async def look_at_keys(self) -> bool:
        """Read the certificates again if their files changed; those in use stay where the new ones
        are bad.
        """
        assert self.settings.tls is not None
        stamp = self.settings.tls.stamp()
        if stamp == self.stamp:
            return False
        try:
            context, client = self.settings.tls.context(True), self.settings.tls.context(False)
        except Malformed as error:
            log.error("%s; the old ones stay in use", error)
            self.stamp = stamp
            return False
        self.stamp, self.context, self.node.tls = stamp, context, client
        log.info("new certificates are in use")
        return True

    async def close(self) -> None:
        if self.watch_keys is not None:
            self.watch_keys.cancel()
        for task in (self.accepting, *self.greeting):
            if task is not None:
                task.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.abort()


class Connection(asyncio.Protocol):
    """One connection: greeting, then messages of a member or requests of a client."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.node = server.node
        self.receiver = Receiver()
        self.sender = Sender()
        self.transport: asyncio.Transport | None = None
        self.who = ""  # for the log
        self.member = 0  # its number, where a member connected
        self.role = ""  # where a client did
        self.open = 0
        self.watches: dict[int, Watching] = {}
        self.subscriber = 0  # its number, where it hears the feed
        self.feed_id = 0  # of the request that began it
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self.who = f"{peer[0]}:{peer[1]}" if peer else "?"
        self.transport.set_write_buffer_limits(UNREAD_MOST)
        self.server.connections.add(self)
        if len(self.server.connections) > self.server.most:
            self._decline("there are too many connections")
            return
        self.timer = self.node.loop.call_later(GREET_S, self._late)

    def _late(self) -> None:
        if not self.member and not self.role:
            self._decline("no greeting came in time")

    def data_received(self, data: bytes) -> None:
        self.receiver.feed(data)
        try:
            for payload in self.receiver.payloads():
                if self.transport is None or self.transport.is_closing():
                    return
                if self.member:
                    self.node.step(self.member, unpack_message(payload))
                elif self.role:
                    self._request(protocol.unpack_request(payload))
                else:
                    self._greet(payload)
        except (Refused, ValueError) as error:
            self._decline(" ".join(str(error).split()))

    def _greet(self, payload: bytes) -> None:
        assert self.transport is not None
        hello = protocol.unpack_greeting(payload)
        identity = self.node.identity
        if not isinstance(hello, Hello):
            return self._decline("it does not greet")
        if hello.format > protocol.FORMAT:
            return self._decline(f"protocol {hello.format} is newer than {protocol.FORMAT}")
        if hello.cluster != identity.cluster and (hello.node or hello.cluster):
            return self._decline(f"this is cluster {identity.cluster}, not {hello.cluster}")
        role = "node" if hello.node else "admin"
        if self.server.context is not None:
            role = role_of(self.transport.get_extra_info("peercert"), identity.cluster)
        if bool(hello.node) != (role == "node"):
            return self._decline(f"its certificate's role is {role or 'none'}")
        if hello.node in self.node.core.members.removed:
            return self._decline(f"node {hello.node:x} was removed")
        if hello.node == identity.node:
            return self._decline("it has this node's own number")
        nonce = os.urandom(NONCE)
        self._send_raw(Welcome(commands.FORMAT, identity.cluster, identity.node, nonce, role))
        self.sender.bind(nonce)
        self.receiver.bind(nonce)
        self.receiver.most = protocol.MOST_MESSAGE if hello.node else protocol.MOST_REQUEST
        if hello.node:
            self.member = hello.node
            self.node.note_address(hello.node, hello.address)
        else:
            self.role = role
        return None

    def _decline(self, why: str) -> None:
        """In one line, here and there."""
        log.warning("store: connection from %s refused: %s", self.who, why)
        if self.transport is not None and not self.transport.is_closing():
            if not self.member and not self.role:
                self._send_raw(Declined(why))
            self.transport.close()

    def _send_raw(self, what: msgspec.Struct) -> None:
        assert self.transport is not None
        self.transport.write(self.sender.frame(protocol.pack(what)))

    def send(self, reply: Reply) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self._send_raw(reply)

    def fail(self, number: int, trouble: Trouble, text: str, leader: int = 0) -> None:
        self.send(Failed(number, trouble, text, self.node.address_of(leader) if leader else ""))

    # ---- requests --------------------------------------------------------------------------------

    def _request(self, r: AnyRequest) -> None:
        if not may(self.role, NEEDS[type(r)]):
            return self.fail(r.id, Trouble.FORBIDDEN, f"the role {self.role} may not do that")
        if self.open >= OPEN_MOST:
            return self.fail(r.id, Trouble.BUSY, "too many requests on one connection")
        match r:
            case Put():
                self._put(r)
            case Get():
                keys = r.keys
                self._read(r, r.linear, lambda s: (tuple(row(s.get(k), k) for k in keys), False))
            case Scan():
                self._read(r, r.linear, lambda s: scan(s, r.prefix, r.after, r.most))
            case Past():
                self._read(
                    r,
                    True,
                    lambda s: (tuple(row(i, i.key) for i in s.history(r.key, r.most)), False),
                )
            case Watch():
                if len(self.watches) >= WATCHES_MOST:
                    return self.fail(
                        r.id, Trouble.BUSY, f"there are {WATCHES_MOST} watches already"
                    )
                self.watches[r.id] = Watching(self, r)
            case Unwatch():
                watching = self.watches.pop(r.watch, None)
                if watching is not None:
                    watching.stop()
            case Status():
                self.send(Info(r.id, msgspec.json.encode(self.node.status())))
            case Manage():
                self._task(r.id, self._manage(r))
            case Copy():
                self._task(r.id, self._copy(r))
            case Feed():
                self._feed(r)
        return None

    def _put(self, r: Put) -> None:
        if len(r.command) > protocol.MOST_REQUEST:
            return self.fail(r.id, Trouble.REFUSED, "the write is too large")
        try:
            command = commands.unpack_command(r.command)
        except ValueError as error:
            return self.fail(r.id, Trouble.REFUSED, " ".join(str(error).split()))
        if isinstance(command, commands.Write):
            why = commands.wrong(command)
            if why:  # a log need not hold what every state refuses
                return self.fail(r.id, Trouble.REFUSED, why)
        if not commands.client_may(command):
            return self.fail(r.id, Trouble.REFUSED, "leaders alone propose that")
        needs = commands.format_of(command)
        if needs > self.node.replica.state.format:
            if self.node.core.role is not Role.LEADER:
                return self.fail(
                    r.id,
                    Trouble.NOT_LEADER,
                    str(NotLeaderError(self.node.core.leader_id)),
                    self.node.core.leader_id,
                )
            return self.fail(r.id, Trouble.BUSY, self.node.not_yet(needs))
        try:
            future = self.node.put(r.command)
        except NotLeaderError as error:
            return self.fail(r.id, Trouble.NOT_LEADER, str(error), error.leader)
        except BusyError as error:
            return self.fail(r.id, Trouble.BUSY, str(error))
        self.open += 1
        future.add_done_callback(lambda done: self._put_done(r.id, done))
        return None

    def _put_done(self, number: int, done: asyncio.Future[Result]) -> None:
        self.open -= 1
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.send(Done(number, commands.pack(done.result())))
        else:
            self.fail(number, Trouble.UNKNOWN, str(error), self.node.core.leader_id)

    def _read(
        self,
        r: Get | Scan | Past,
        linear: bool,
        look: Callable[[State], tuple[tuple[Row, ...], bool]],
    ) -> None:
        self._task(r.id, self._read_on(r.id, linear, look))

    async def _read_on(
        self, number: int, linear: bool, look: Callable[[State], tuple[tuple[Row, ...], bool]]
    ) -> None:
        behind = 0
        if linear:
            await self.node.current()
        else:
            behind = self.node.behind_ms()
        rows, more, revision = await self.node.query(lambda s: (*look(s), s.applied))
        self.send(Rows(number, rows, revision, more, behind))

    async def _manage(self, r: Manage) -> None:
        done = await self.node.manage(r.what, r.node, r.address, r.within_ms / 1000)
        log.info("store: %s asked: %s", self.who, done)
        self.send(Info(r.id, msgspec.json.encode({"done": done})))

    async def _copy(self, r: Copy) -> None:
        vault, loop = self.node.replica.vault, self.node.loop
        if r.offset == 0:
            meta = await loop.run_in_executor(self.node.copies, vault.export)
        else:
            index, term, size, checksum = r.meta_id
            meta = SnapshotMeta(index, term, self.node.core.members, size, checksum)
        data = vault.read_piece(meta, r.offset, COPY_BYTES)
        if data is None:
            self.fail(r.id, Trouble.UNKNOWN, "another copy was made meanwhile: begin anew")
        else:
            self.send(Part(r.id, meta.id, r.offset, data))

    def _feed(self, r: Feed) -> None:
        if not self.subscriber:
            assert self.transport is not None
            self.transport.set_write_buffer_limits(FEED_UNREAD)
            if hasattr(socket, "TCP_USER_TIMEOUT"):
                self.transport.get_extra_info("socket").setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, GONE_MS
                )
            self.feed_id = r.id
            self.subscriber = self.node.feeding.begin(self)
        self.node.feeding.heard(self.subscriber, r.word)

    def tell(self, sends: Sequence[Send]) -> None:
        """The feed's words, in one write."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(
                b"".join(
                    self.sender.frame(
                        protocol.pack(Fed(self.feed_id, one.generation, one.sequence, one.payload))
                    )
                    for one in sends
                )
            )

    def end(self, why: str) -> None:
        self.fail(self.feed_id, Trouble.REFUSED, why)
        self._decline(why)

    def _task(self, number: int, work: Coroutine[Any, Any, None]) -> None:
        self.open += 1
        task = self.node.loop.create_task(self._answered(number, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answered(self, number: int, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except NotLeaderError as error:
            self.fail(number, Trouble.NOT_LEADER, str(error), error.leader)
        except BusyError as error:
            self.fail(number, Trouble.BUSY, str(error))
        except MembershipError as error:
            self.fail(number, Trouble.REFUSED, str(error))
        except Unknown as error:
            self.fail(number, Trouble.UNKNOWN, str(error), self.node.core.leader_id)
        except Late as error:
            self.fail(number, Trouble.LATE, str(error))
        except Full as error:
            self.fail(number, Trouble.FULL, str(error))
        finally:
            self.open -= 1

    def pause_writing(self) -> None:
        """It does not read its answers: nothing more is read from it, and watches wait."""
        if self.transport is not None:
            self.transport.pause_reading()
        for watching in self.watches.values():
            watching.paused = True
        if self.subscriber:
            self.node.feeding.writable(self.subscriber, False)

    def resume_writing(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()
        for watching in self.watches.values():
            watching.paused = False
            watching.poke()
        if self.subscriber:
            self.node.feeding.writable(self.subscriber, True)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        for watching in self.watches.values():
            watching.stop()
        self.watches.clear()
        if self.subscriber:
            self.node.feeding.gone(self.subscriber)
        for task in list(self.tasks):
            task.cancel()

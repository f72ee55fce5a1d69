"""An emulated discovery: lists, changes, and how it fails. One service for all balancers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from typing import cast
from urllib.parse import parse_qs

from loadbalancer.settings import Json
from loadbalancer.testbed.soak.history import Call, History
from loadbalancer.testbed.soak.ports import free_port

MAX_QUEUED_S = 0.5  # a call that would wait for longer is turned away


class Discovery:
    """The service. Each balancer has an address of its own, so that its calls are known.

    Args:
        history: What happens.
        usual_delay_s: How late all answers are.
        first_call_s: What the first call on a connection takes; such calls are handled in turn.

    Attributes:
        delay_s: How late answers are now.
    """

    def __init__(
        self, history: History, usual_delay_s: float = 0.0, first_call_s: float = 0.0
    ) -> None:
        self.history = history
        self.first_call_s = first_call_s
        self.free_at_s = 0.0  # when the calls that take time will have been handled
        self.usual_delay_s = usual_delay_s
        self.rows: dict[str, Json] = {}
        self.changed: list[tuple[int, str]] = []
        self.version = 1
        self.busy = self.down = False
        self.delay_s = usual_delay_s
        self.servers: dict[int, asyncio.Server] = {}  # by port
        self.balancer_at: dict[int, int] = {}
        self.links: set[Caller] = set()

    async def open(self, balancer: int) -> str:
        """An address for this balancer."""
        port = free_port()
        server = await self._listen(port, balancer)
        self.servers[port], self.balancer_at[port] = server, balancer
        if self.down:
            server.close()
            await server.wait_closed()
        return f"127.0.0.1:{port}"

    async def _listen(self, port: int, balancer: int) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            lambda: Caller(self, balancer), "127.0.0.1", port, reuse_address=True
        )

    async def come_back(self) -> None:
        """Take calls again."""
        self.down = False
        for port, balancer in list(self.balancer_at.items()):  # balancers move meanwhile
            if not self.servers[port].is_serving():
                self.servers[port] = await self._listen(port, balancer)

    def change(self, row: Json) -> int:
        """An upstream is so from now on; who watches is told. Gives the version."""
        return self.change_all([row])

    def change_all(self, rows: Sequence[Json]) -> int:
        """Several upstreams are so from now on, in one version."""
        self.version += 1
        for row in rows:
            self.rows[row["id"]] = row
            self.changed.append((self.version, row["id"]))
        for link in list(self.links):
            link.changed()
        return self.version

    def fall_silent(self) -> None:
        """No open watch says anything any more."""
        for link in self.links:
            if link.call is not None and link.call.hold_ms and not link.call.silent_ns:
                link.call.silent_ns = time.monotonic_ns()

    def go_down(self) -> None:
        """All connections are reset, and new ones refused."""
        self.down = True
        for server in self.servers.values():
            server.close()
        for link in list(self.links):
            if link.call is not None:
                link.call.reset_ns = time.monotonic_ns()
            link.abort()

    def admit(self, is_first: bool) -> float | None:
        """How long a call takes to be handled, in seconds; None: it would wait for too long."""
        if not (is_first and self.first_call_s):
            return 0.0
        now_s = time.monotonic()
        queued_s = max(0.0, self.free_at_s - now_s)
        if queued_s > MAX_QUEUED_S:
            return None
        self.free_at_s = now_s + queued_s + self.first_call_s
        return queued_s + self.first_call_s

    def whole(self) -> Json:
        """The whole list, without what has gone."""
        servers = [row for row in self.rows.values() if row["state"] != "Gone"]
        return {"version": self.version, "full": True, "servers": servers}

    def since(self, version: int) -> Json:
        """What changed behind that version."""
        names = dict.fromkeys(name for number, name in self.changed if number > version)
        return {
            "version": self.version,
            "full": False,
            "servers": [self.rows[name] for name in names],
        }


class Caller(asyncio.Protocol):
    """A balancer's connection to it."""

    def __init__(self, discovery: Discovery, balancer: int) -> None:
        self.discovery, self.balancer = discovery, balancer
        self.has_called = False
        self.transport: asyncio.Transport | None = None
        self.data = b""
        self.call: Call | None = None
        self.holding: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.discovery.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.discovery.links.discard(self)
        if self.holding is not None:
            self.holding.cancel()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.data += data
        if b"\r\n\r\n" not in self.data:
            return
        target = self.data.split(b" ", 2)[1].decode()
        self.data = b""
        query = {key: int(values[0]) for key, values in parse_qs(target.partition("?")[2]).items()}
        call = Call(
            self.balancer, time.monotonic_ns(), query.get("hold_ms", 0), query.get("from", -1)
        )
        self.call = call
        self.discovery.history.calls.append(call)
        wait_s = self.discovery.admit(is_first=not self.has_called)
        self.has_called = True
        loop = asyncio.get_running_loop()
        if self.discovery.busy or wait_s is None:
            self._write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
        elif "from" not in query or call.known < self.discovery.version:
            loop.call_later(wait_s + self.discovery.delay_s, self._answer, call)
        else:
            hold_s = wait_s + call.hold_ms / 1000 + self.discovery.delay_s
            self.holding = loop.call_later(hold_s, self._answer, call)

    def changed(self) -> None:
        """Something did: a call that waits is answered."""
        if self.call is not None and self.holding is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self.discovery.delay_s, self._answer, self.call)

    def _answer(self, call: Call) -> None:
        if call.silent_ns or call.answered_ns or call is not self.call:
            return
        if self.transport is None or self.transport.is_closing():
            return  # the balancer has given the call up: nothing can be written to it
        if self.holding is not None:
            self.holding.cancel()
            self.holding = None
        told = self.discovery.since(call.known) if call.known >= 0 else self.discovery.whole()
        call.answered_ns, call.told = time.monotonic_ns(), self.discovery.version
        body = json.dumps(told).encode()
        self._write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

"""The other ends of the balancer's sockets, on loopback: upstreams, discovery and clients, and a
balancer.

Everything waits on events: `until` returns once its condition holds, and `run` bounds a whole test.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace
from typing import Any

import uvloop

from loadbalancer.policy import Balancer, api
from loadbalancer.proxy.configuration import Config
from loadbalancer.proxy.listener import listening_socket
from loadbalancer.proxy.process import serve
from loadbalancer.settings import Json

MS = 1_000_000
SECOND = 1000 * MS
TEST_TIMEOUT_S = 60.0
CLASSES = {
    "quote": api.RequestClass(
        "quote", api.Effect.IDEMPOTENT, latency_objective_ns=2 * SECOND, deadline_ns=3 * SECOND
    ),
    "pay": api.RequestClass(
        "pay", api.Effect.NON_IDEMPOTENT, latency_objective_ns=2 * SECOND, deadline_ns=3 * SECOND
    ),
}
SETTINGS = api.Settings(
    classes=CLASSES,
    tenants={"ash": api.Tenant("ash")},
    limits=api.Limits(max_attempts=1, may_cancel=True, retry_after=True, peers=True),
)


def run(test: Coroutine[Any, Any, None]) -> None:
    """On the loop that the program itself runs on."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


class Observable:
    """Something whose changes can be waited for."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        self._changed.set()

    async def until(self, condition: Callable[[], object]) -> None:
        while not condition():
            self._changed.clear()
            await self._changed.wait()


@dataclass
class Message:
    start_line: list[str]  # the words of the first line
    headers: dict[str, str]
    body: bytes
    connection_number: int = 0  # which connection it came on

    @property
    def status(self) -> int:
        return int(self.start_line[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    return Message(
        first.split(" "), headers, await reader.readexactly(int(headers.get("content-length", 0)))
    )


def http_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server(Observable):
    """A small HTTP server. `reply` gives what to write; None resets the connection."""

    def __init__(self, reply: Callable[[Message], Awaitable[bytes | None]]) -> None:
        super().__init__()
        self.reply = reply
        self.received_requests: list[Message] = []
        self.connections: list[asyncio.StreamWriter] = []
        self.peer_closed_count = 0  # connections that the other side closed
        self.port = 0
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        for connection in self.connections:
            connection.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        number = len(self.connections)
        waiting: set[asyncio.Task[None]] = set()
        try:
            while True:
                message = await read_message(reader)
                message.connection_number = number
                self.received_requests.append(message)
                self.notify()
                task = asyncio.create_task(self._answer(message, writer))
                waiting.add(task)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.peer_closed_count += 1
            self.notify()
        finally:
            for task in waiting:
                task.cancel()
            writer.close()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        reply = await self.reply(message)
        if reply is None:
            writer.transport.abort()
        else:
            writer.write(reply)
        self.notify()


async def never_respond() -> bytes | None:
    await asyncio.Event().wait()
    return None


class FakeUpstream(Server):
    """Answers 200 with its name, or what stands in `script`, one entry a request: bytes to write,
    `never_respond` to be silent, None to reset.
    """

    def __init__(self, name: str) -> None:
        super().__init__(self._next_response)
        self.name = name
        self.script: list[Any] = []
        self.load = "inflight=3,queue=1"

    async def _next_response(self, message: Message) -> bytes | None:
        if message.start_line[1] in ("/health", "/status/load"):
            return http_response(200, self.load.encode())
        entry = self.script.pop(0) if self.script else http_response(200, self.name.encode())
        reply: bytes | None = await entry() if callable(entry) else entry
        return reply

    def row(self, state: str = "Ready", started_ms: int = 0) -> Json:
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "east",
            "kind": "m",
            "cell": 1,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
            "later": {"unknown": 1},
        }


class FakeDiscovery(Server):
    """Tells a list and its changes; `down` makes it break every call, `silent` leave it open,
    `busy` turn it away.
    """

    def __init__(self, rows: Iterable[Json]) -> None:
        super().__init__(self._list_or_changes)
        self.rows = list(rows)
        self.version = 1
        self.changes: list[tuple[int, Json]] = []
        self.down = False
        self.silent = False
        self.busy = False  # it turns calls away
        self.max_answered_wait_ms = 1 << 60  # calls that wait for longer are never answered

    def change(self, *rows: Json) -> None:
        self.version += 1
        self.changes += [(self.version, row) for row in rows]
        names = {row["id"] for row in rows}
        self.rows = [r for r in self.rows if r["id"] not in names] + [
            r for r in rows if r["state"] != "Gone"
        ]
        self.notify()

    def full_list(self) -> Json:
        return {"version": self.version, "full": True, "servers": self.rows}

    async def _list_or_changes(self, message: Message) -> bytes | None:
        if self.down:
            return None
        if self.silent:
            return await never_respond()
        if self.busy:
            return http_response(503)
        if "from=" not in message.start_line[1]:
            return http_response(200, json.dumps(self.full_list()).encode())
        query = message.start_line[1].partition("?")[2].split("&")
        known_version, hold_ms = (int(part.partition("=")[2]) for part in query)
        if hold_ms > self.max_answered_wait_ms:
            return await never_respond()
        with suppress(TimeoutError):
            async with asyncio.timeout(hold_ms / 1000):
                await self.until(lambda: self.version > known_version)
        changed_rows = [row for version, row in self.changes if version > known_version]
        change = {"version": self.version, "full": False, "servers": changed_rows}
        return http_response(200, json.dumps(change).encode())


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        return cls(*await asyncio.open_connection(*address))

    def send(
        self,
        name: str,
        kind: str = "quote",
        method: str = "GET",
        body: bytes = b"",
        path: str = "",
        **headers: object,
    ) -> None:
        rows = {
            "Host": "origin.svc",
            "X-Request-Id": name,
            "X-Class": kind,
            "X-Tenant": "ash",
            "X-Deadline-Ms": 3000,
            **{key.replace("_", "-"): value for key, value in headers.items()},
        }
        if body:
            rows["Content-Length"] = len(body)
        lines = "".join(f"{key}: {value}\r\n" for key, value in rows.items() if value is not None)
        self.writer.write(f"{method} {path or '/' + kind} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    async def ask(self, name: str, *args: Any, **more: Any) -> Message:
        self.send(name, *args, **more)
        return await read_message(self.reader)

    async def send_raw(self, data: bytes) -> Message:
        self.writer.write(data)
        return await read_message(self.reader)

    async def expect_eof(self) -> None:
        with suppress(ConnectionError):
            assert await self.reader.read() == b""

    def close(self) -> None:
        self.writer.close()


class EventRecorder(Observable):
    """The events that the module is handed."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[api.Event] = []

    def of_type(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]

    def results(self) -> list[api.AttemptResult]:
        return [event.result for event in self.of_type(api.AttemptFinished)]

    def wrap(self, module: type[Balancer]) -> type[Balancer]:
        recorder = self

        class RecordingBalancer(module):  # type: ignore[misc, valid-type]
            def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
                received = list(events)
                actions: list[api.Action] = super().handle(now, received)
                recorder.events += received
                recorder.notify()
                return actions

        return RecordingBalancer


class BalancerHarness:
    """A balancer in this process, its upstreams and discovery."""

    def __init__(self, upstreams: Sequence[FakeUpstream], discovery: FakeDiscovery) -> None:
        self.upstreams = upstreams
        self.discovery = discovery
        self.address = ("127.0.0.1", 0)

    async def client(self) -> Client:
        return await Client.connect(self.address)

    async def client_awaiting_response(self, name: str, **more: Any) -> Client:
        """A client whose request is at the first upstream, which says nothing to it."""
        upstream = self.upstreams[0]
        upstream.script = [never_respond]
        client = await self.client()
        client.send(name, **more)
        await upstream.until(lambda: upstream.received_requests)
        return client

    async def update_endpoints(self, *rows: Json) -> None:
        """Have discovery tell a change, and wait until the balancer has it: it then watches from
        there on.
        """
        await self.wait_for_endpoint_list()
        self.discovery.change(*rows)
        await self.wait_for_endpoint_list()

    async def wait_for_endpoint_list(self) -> None:
        target = f"from={self.discovery.version}&"
        await self.discovery.until(
            lambda: any(target in m.start_line[1] for m in self.discovery.received_requests)
        )

    async def ask(self, name: str, *args: Any, **more: Any) -> Message:
        client = await self.client()
        try:
            return await client.ask(name, *args, **more)
        finally:
            client.close()


@asynccontextmanager
async def running_balancer(
    count: int = 1,
    settings: api.Settings = SETTINGS,
    sockets: int = 1024,
    door: socket.socket | None = None,
    **config: Any,
) -> AsyncIterator[BalancerHarness]:
    upstreams = [FakeUpstream(f"s-{i}") for i in range(count)]
    for upstream in upstreams:
        await upstream.start()
    discovery = FakeDiscovery(upstream.row() for upstream in upstreams)
    await discovery.start()
    w = BalancerHarness(upstreams, discovery)
    listener = listening_socket(("127.0.0.1", 0), shared=True)
    listener.listen()  # connections wait for the balancer
    w.address = listener.getsockname()
    plain = Config(
        w.address, discovery.address, 7, sockets, settings, discovery.full_list(), None, [], None
    )
    task = asyncio.create_task(serve(replace(plain, **config), listener, door))
    try:
        yield w
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        for server in (*upstreams, discovery):
            server.stop()


def free_port() -> int:
    """A loopback port where nobody listens."""
    with socket.socket() as received:
        received.bind(("127.0.0.1", 0))
        port: int = received.getsockname()[1]
        return port

"""Fakes on loopback sockets: upstreams, the discovery service, clients, and a running balancer.

Tests wait for conditions instead of sleeping: `until` returns once its condition is true, and `run`
limits the duration of a whole test.
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
TEST_MEMORY_MB = 16_384  # far more than the test process holds at rest
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


def settings_by_cancel(objective_ns: int, deadline_ns: int) -> dict[bool, api.Settings]:
    """Return settings with this objective and deadline, by whether attempts may be cancelled."""
    classes = {
        name: replace(request_class, latency_objective_ns=objective_ns, deadline_ns=deadline_ns)
        for name, request_class in CLASSES.items()
    }
    return {
        may_cancel: replace(
            SETTINGS, classes=classes, limits=replace(SETTINGS.limits, may_cancel=may_cancel)
        )
        for may_cancel in (False, True)
    }


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on uvloop, the event loop that the program uses, with a time limit."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


class Observable:
    """Base class of objects whose state changes can be awaited."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the waiters of `until`, which check their condition again."""
        self._changed.set()

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition is true; it is checked after every `notify`."""
        while not condition():
            self._changed.clear()
            await self._changed.wait()


@dataclass
class Message:
    """A parsed HTTP request or response."""

    start_line: list[str]  # the request line or status line, split at spaces
    headers: dict[str, str]
    body: bytes
    connection_number: int = 0  # ordinal of the connection on which it was received, from 1

    @property
    def status(self) -> int:
        return int(self.start_line[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one HTTP message whose body is framed by Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    return Message(
        first.split(" "), headers, await reader.readexactly(int(headers.get("content-length", 0)))
    )


def http_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of an HTTP response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server(Observable):
    """A small HTTP server that records the requests it receives.

    `reply` returns the bytes to write for a request; None resets the connection.
    """

    def __init__(self, reply: Callable[[Message], Awaitable[bytes | None]]) -> None:
        super().__init__()
        self.reply = reply
        self.received_requests: list[Message] = []
        self.connections: list[asyncio.StreamWriter] = []
        self.peer_closed_count = 0  # connections closed or reset by the client
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
        response_tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                message = await read_message(reader)
                message.connection_number = number
                self.received_requests.append(message)
                self.notify()
                task = asyncio.create_task(self._answer(message, writer))
                response_tasks.add(task)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.peer_closed_count += 1
            self.notify()
        finally:
            for task in response_tasks:
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
    """Wait forever: a scripted response that is never sent."""
    await asyncio.Event().wait()
    return None


class FakeUpstream(Server):
    """An upstream that answers 200 with its name as the body, unless `script` has entries.

    Each request consumes one entry of `script`: bytes to write, a coroutine function that returns
    them (`never_respond` sends no response), or None to reset the connection.
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
        """Return this upstream's entry in the endpoint list."""
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
    """A discovery service that serves the endpoint list and its changes by long polling.

    Faults: `down` resets the connection of every call, `silent` never answers, `busy` answers 503.
    """

    def __init__(self, rows: Iterable[Json]) -> None:
        super().__init__(self._list_or_changes)
        self.rows = list(rows)
        self.version = 1
        self.changes: list[tuple[int, Json]] = []
        self.down = False
        self.silent = False
        self.busy = False  # answers 503
        self.max_answered_wait_ms = 1 << 60  # polls with a longer wait are never answered

    def change(self, *rows: Json) -> None:
        """Change these rows of the endpoint list in one new version."""
        self.version += 1
        self.changes += [(self.version, row) for row in rows]
        names = {row["id"] for row in rows}
        self.rows = [r for r in self.rows if r["id"] not in names] + [
            r for r in rows if r["state"] != "Gone"
        ]
        self.notify()

    def full_list(self) -> Json:
        """Return the response to a poll without a known version."""
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
        known_version, wait_ms = (int(part.partition("=")[2]) for part in query)
        if wait_ms > self.max_answered_wait_ms:
            return await never_respond()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self.until(lambda: self.version > known_version)
        changed_rows = [row for version, row in self.changes if version > known_version]
        change = {"version": self.version, "full": False, "servers": changed_rows}
        return http_response(200, json.dumps(change).encode())


class Client:
    """An HTTP client on one connection."""

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
        """Write a request without waiting for the response; a header of None is left out."""
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
        """Send a request and return the response."""
        self.send(name, *args, **more)
        return await read_message(self.reader)

    async def send_raw(self, data: bytes) -> Message:
        """Write these bytes and return the response."""
        self.writer.write(data)
        return await read_message(self.reader)

    async def expect_eof(self) -> None:
        """Wait until the balancer closes or resets the connection, without further data."""
        with suppress(ConnectionError):
            assert await self.reader.read() == b""

    def close(self) -> None:
        self.writer.close()


class EventRecorder(Observable):
    """Records the events that the policy module receives."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[api.Event] = []

    def of_type(self, kind: type) -> list[Any]:
        """Return the recorded events of one type."""
        return [event for event in self.events if isinstance(event, kind)]

    def results(self) -> list[api.AttemptResult]:
        """Return the results of all finished attempts."""
        return [event.result for event in self.of_type(api.AttemptFinished)]

    def wrap(self, module: type[Balancer]) -> type[Balancer]:
        """Return a subclass of `module` that records the events passed to `handle`."""
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
    """A balancer in this process, with its upstreams and discovery service."""

    def __init__(self, upstreams: Sequence[FakeUpstream], discovery: FakeDiscovery) -> None:
        self.upstreams = upstreams
        self.discovery = discovery
        self.address = ("127.0.0.1", 0)

    async def client(self) -> Client:
        return await Client.connect(self.address)

    async def client_awaiting_response(self, name: str, **more: Any) -> Client:
        """Return a client whose request is at the first upstream, which never answers it."""
        upstream = self.upstreams[0]
        upstream.script = [never_respond]
        client = await self.client()
        client.send(name, **more)
        await upstream.until(lambda: upstream.received_requests)
        return client

    async def update_endpoints(self, *rows: Json) -> None:
        """Change rows at the discovery service and wait until the balancer has applied them.

        The balancer has applied a version when its next poll names that version.
        """
        await self.wait_for_endpoint_list()
        self.discovery.change(*rows)
        await self.wait_for_endpoint_list()

    async def wait_for_endpoint_list(self) -> None:
        """Wait until the balancer polls for changes since the current version."""
        target = f"from={self.discovery.version}&"
        await self.discovery.until(
            lambda: any(target in m.start_line[1] for m in self.discovery.received_requests)
        )

    async def ask(self, name: str, *args: Any, **more: Any) -> Message:
        """Send a request on a connection of its own and return the response."""
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
    """Run a balancer with `count` upstreams; `config` overrides fields of its Config."""
    upstreams = [FakeUpstream(f"s-{i}") for i in range(count)]
    for upstream in upstreams:
        await upstream.start()
    discovery = FakeDiscovery(upstream.row() for upstream in upstreams)
    await discovery.start()
    harness = BalancerHarness(upstreams, discovery)
    listener = listening_socket(("127.0.0.1", 0), shared=True)
    listener.listen()  # connections wait in the accept queue until the balancer runs
    harness.address = listener.getsockname()
    default_config = Config(
        harness.address,
        discovery.address,
        7,
        sockets,
        settings,
        discovery.full_list(),
        None,
        [],
        None,
        memory_mb=TEST_MEMORY_MB,
    )
    task = asyncio.create_task(serve(replace(default_config, **config), listener, door))
    try:
        yield harness
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        for server in (*upstreams, discovery):
            server.stop()


async def next_problem(log: asyncio.StreamReader) -> bytes:
    """Return the next line above the level of information; nothing at the end of the log."""
    while (line := await log.readline()).startswith(b"INFO "):
        pass
    return line


async def read_until(log: asyncio.StreamReader, text: bytes) -> None:
    """Read a log up to a line with this text; those before it must be of the level information."""
    while text not in (line := await log.readline()):
        assert line.startswith(b"INFO "), line


def free_port() -> int:
    """Return a loopback port on which nothing listens."""
    with socket.socket() as received:
        received.bind(("127.0.0.1", 0))
        port: int = received.getsockname()[1]
        return port

"""Stand-ins for clients, upstreams, discovery and the platform, for the cases 6 to 10.

They follow the pages on the protocol and on the deployment; where a page is silent they act like a
sound peer. They use the standard library alone, and nothing of the project: a case judges what
these stand-ins see.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SLACK_S = 0.05  # PROTOCOL: on sockets, every time limit is 50 ms longer
OK, REFUSALS = 200, (429, 503)
LIMIT_S = 110.0  # a case ends by then, whatever happens
READY_S = 30.0
CLIENTS, REST_S = 8, 0.05
LATE_S = 0.5  # STANDING: so long after its time an answer is only late
NS_PER_S = 1_000_000_000
Head = tuple[str, dict[str, str]]


class SetupError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run: one line each, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)  # noqa: SIM115
        self.began_s = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s

    def line(self, what: str, **fields: object) -> None:
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.file.write(f"{self.now():9.3f} {text}\n")
        print(text, flush=True)


def free_port() -> int:
    """Return a port that nobody uses now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; None: the peer ended."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *rows = raw.decode("latin-1").split("\r\n")
    fields = {}
    for row in rows:
        name, _, value = row.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read the body that a head announces."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return body
        body += piece[:-2]


def answer(status: int, body: bytes, *rows: str) -> bytes:
    """Build an answer."""
    head = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *rows, "", ""]
    return "\r\n".join(head).encode() + body


class Upstream:
    """An upstream: it runs what it gets, whatever discovery says of it."""

    def __init__(self, record: Record, name: str, work_s: float = 0.02) -> None:
        self.record = record
        self.name = name
        self.work_s = work_s
        self.port = free_port()
        self.state = "Ready"
        self.started_ms = 0
        self.got: list[tuple[float, str]] = []  # when the first byte of a request came, and its id
        self.ran: dict[str, int] = {}
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def stop(self) -> None:
        """End: connections are reset, and new ones refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def row(self) -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "tema-1",
            "kind": "full",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first = await reader.read(1)
                if not first:
                    return
                began_s = self.record.now()
                head = await read_head(reader)
                if head is None:
                    return
                await read_body(reader, head[1])
                if not await self._handle(began_s, first.decode("latin-1") + head[0], head, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(
        self, began_s: float, line: str, head: Head, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        path = line.split(" ")[1]
        if path in ("/health", "/status/load"):
            writer.write(answer(OK, b"util=0.20,latency_ms=20"))
            await writer.drain()
            return True
        request = head[1].get("x-request-id", "")
        if not request:
            writer.write(answer(404, b""))
            return True
        self.got.append((began_s, request))
        self.ran[request] = self.ran.get(request, 0) + 1
        self.record.line("run", upstream=self.name, request=request, first_byte=f"{began_s:.3f}")
        await asyncio.sleep(self.work_s)
        writer.write(answer(OK, f"{self.name} {request}".encode()))
        await writer.drain()
        return True


class Discovery:
    """Discovery, as the page on the protocol has it.

    Attributes:
        delay_s: How much later than usual each of its answers comes.
    """

    def __init__(self, record: Record, upstreams: list[Upstream]) -> None:
        self.record = record
        self.upstreams = upstreams
        self.version = 1
        self.changed_at: dict[str, int] = {u.name: 1 for u in upstreams}
        self.gone: dict[str, dict[str, Any]] = {}
        self.delay_s = 0.0
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.news = asyncio.Event()
        self.open_waits: dict[int, float] = {}  # by call: when its wait ends
        self.calls = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.notified: dict[str, float] = {}  # when the latest state of an upstream was written

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop_listening(self) -> None:
        """Take no new connection."""
        if self.server is not None:
            self.server.close()

    def close_open(self) -> None:
        """Close the open connections."""
        for writer in list(self.writers):
            writer.close()

    def change(self, upstream: Upstream, state: str) -> None:
        """Put an upstream into another state."""
        upstream.state = state
        self.version += 1
        self.changed_at[upstream.name] = self.version
        self.notified.pop(upstream.name, None)
        self.record.say(f"discovery: {upstream.name} is {state}, version {self.version}")
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [u.row() for u in self.upstreams if u.state != "Gone"]
        return {"version": self.version, "full": True, "servers": rows}

    def _since(self, version: int) -> dict[str, Any]:
        rows = [u.row() for u in self.upstreams if self.changed_at[u.name] > version]
        return {"version": self.version, "full": False, "servers": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                self.calls += 1
                await self._answer(self.calls, head[0].split(" ")[1], reader, writer)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, call: int, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        since = int(query["from"]) if "from" in query else None
        hold_s = int(query.get("hold_ms", "0")) / 1000
        began_s = self.record.now()
        self.open_waits[call] = began_s + hold_s
        self.record.line("call", number=call, target=target)
        if since is not None and self.version <= since:
            with suppress(TimeoutError):
                async with asyncio.timeout(hold_s):
                    await self.news.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if reader.at_eof():
            del self.open_waits[call]
            self.record.line("call given up by the balancer", number=call)
            raise ConnectionResetError
        body = self.whole() if since is None else self._since(since)
        writer.write(answer(OK, json.dumps(body).encode(), "Content-Type: application/json"))
        await writer.drain()
        for row in body["servers"]:
            if body["version"] == self.version:
                self.notified.setdefault(row["id"], self.record.now())
        del self.open_waits[call]
        took_s = self.record.now() - began_s
        self.record.line("call answered", number=call, version=self.version, after=f"{took_s:.3f}")


# ---- the platform --------------------------------------------------------------------------------


def platform_settings() -> dict[str, Any]:
    """Return settings like those of a small deployment: the example of the page on the wire."""
    classes = (
        ("lookup", "read_like", 200, 500, 3.0),
        ("book-delivery", "non_idempotent", 750, 3000, 2.0),
        ("confirm-drop", "non_idempotent", 300, 750, 3.0),
    )
    tenants = (("gold-coast-oil", 0.6), ("volta-fuels", 0.4))
    return {
        "clients": {"marks_retry": False},
        "counted_by": "request",
        "family": "proxy",
        "family_info": {"warm_keys": True},
        "goal": {"whole": 0.5, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.1},
        "kinds": ["full", "slow"],
        "limits": {
            "conn_idle_ns": 30 * NS_PER_S,
            "connect_timeout_ns": 100_000_000,
            "cpu_us_per_request": 10.0,
            "cpu_us_per_s": 8000,
            "max_open": 20000,
            "max_retry_after_ns": 1_500_000_000,
            "max_streams": 1,
            "may_cancel": True,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
            "send_cap": 4,
        },
        "load_report": {"columns": ["util", "latency_ms"], "how": "probe"},
        "locality": "tema-1",
        "me": 0,
        "over_share_worth": 0.2,
        "prices": {"cross_zone": 0.029, "late_fail": 0.03, "probe": 0.01, "waste": 0.2},
        "profiles": [
            {
                "name": name,
                "repeat": repeat,
                "aim_ns": aim_ms * 1_000_000,
                "hard_limit_ns": limit_ms * 1_000_000,
                "dedup_scope": "all",
                "window_ns": 5 * NS_PER_S,
                "late_worth": 0.0,
                "stream": False,
                "worth": worth,
            }
            for name, repeat, aim_ms, limit_ms, worth in classes
        ],
        "realms": [{"name": name, "quota_per_s": 80.0, "share": share} for name, share in tenants],
        "registry_mode": "ask",
        "replicas_of_me": 4,
        "rules": {
            "ask_within_ns": 10 * NS_PER_S,
            "cold_from": 0.3,
            "cold_ns": 8_900_000_000,
            "fall_multiple": 3.0,
            "grace_to_answer_ns": 20_000_000,
            "overload_for_ns": 1_500_000_000,
            "stop_sending_within_ns": 500_000_000,
        },
        "stages": ["order-web"],
        "tick_ns": 5_000_000,
        "tier": 0,
        "weight_source": "none",
        "zones": ["tema-1", "tema-2", "spintex", "kasoa"],
    }


class Program:
    """A program of the project, in a process group of its own."""

    def __init__(self, record: Record, name: str, process: asyncio.subprocess.Process) -> None:
        self.record = record
        self.name = name
        self.process = process
        self.lines: list[str] = []
        self.reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            text = line.decode("utf-8", "replace").rstrip()
            self.lines.append(text)
            self.record.line(f"[{self.name}]", said=text)

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.record.line("signal", to=self.name, signal=number.name)
        if self.is_running:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End it at once, with all processes of its group."""
        if self.is_running:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        await self.reading


class Bed:
    """The programs, the stand-ins and the folder of one run."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.programs: list[Program] = []
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def start_program(
        self, name: str, command: str, environment: dict[str, str] | None = None
    ) -> Program:
        """Start a program from the repository's root with `/bin/sh -c`, as the platform does."""
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={**os.environ, **(environment or {})},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
        )
        program = Program(self.record, name, process)
        self.programs.append(program)
        return program

    async def start_balancer(
        self, name: str, config: dict[str, Any], port: int, tmpdir: Path
    ) -> Program:
        """Start `run` of the deploy file, and wait until it is ready."""
        if not (ROOT / ".compiled").exists() or not (ROOT / ".venv").exists():
            raise SetupError("the build of the deploy file has not run")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        environment = {
            "BALANCER_NAME": config["name"],
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "BALANCER_CONFIG": str(self.write_config(name, config)),
            "TMPDIR": str(tmpdir),
        }
        if "mgmt" in config:
            environment["BALANCER_MGMT"] = config["mgmt"]
        program = await self.start_program(name, deploy["run"], environment)
        await self.wait_until_ready(program, port, "/ready")
        return program

    def new_folder(self, name: str) -> Path:
        """Make a folder of the run."""
        path = self.folder / name
        path.mkdir()
        return path

    @staticmethod
    def write_text(path: Path, text: str) -> None:
        """Write a file."""
        path.write_text(text, encoding="utf-8")

    def write_config(self, name: str, config: dict[str, Any]) -> Path:
        """Write a configuration, in place of the last one."""
        path = self.folder / f"{name}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(config), encoding="utf-8")
        fresh.replace(path)
        return path

    async def wait_until_ready(self, program: Program, port: int, path: str) -> None:
        """Wait until a balancer says that it is ready."""
        limit_s = self.record.now() + READY_S
        while self.record.now() < limit_s and program.is_running:
            with suppress(OSError, TimeoutError):
                if (await call_once(port, "GET", path))[0] == OK:
                    return
            await asyncio.sleep(0.05)
        raise SetupError(f"{program.name} is not ready")

    async def close(self) -> None:
        """End all programs."""
        for program in self.programs:
            await program.end()
        shutil.rmtree(self.folder, ignore_errors=True)


async def call_once(port: int, method: str, path: str, limit_s: float = 1.0) -> tuple[int, str]:
    """Make one call on a connection of its own; return the status and the body."""
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode()
            )
            head = await read_head(reader)
            if head is None:
                raise ConnectionResetError("no answer")
            body = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), body.decode("latin-1").strip()
        finally:
            writer.close()


# ---- clients -------------------------------------------------------------------------------------


class Clients:
    """Clients of one balancer: each asks, waits for its answer, rests and asks again.

    Attributes:
        port: Where they connect to from now on.
        booked_share: How many of the requests are bookings, which may not run twice.
        bookings: The ids of these.
    """

    def __init__(self, record: Record, port: int, booked_share: float = 0.0) -> None:
        self.record = record
        self.port = port
        self.booked_share = booked_share
        self.bookings: set[str] = set()
        self.rest_s = REST_S
        self.rng = random.Random(7)
        self.answers: dict[str, int] = {}
        self.answered: list[tuple[float, int, str]] = []
        self.is_on = True
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self._ask_on(number)) for number in range(CLIENTS)]

    async def _ask_on(self, number: int) -> None:
        await asyncio.sleep(number * self.rest_s / CLIENTS)
        link: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        link_port = 0
        while self.is_on:
            if link is None or link_port != self.port:
                if link is not None:
                    link[1].close()
                link_port = self.port
                try:
                    link = await asyncio.open_connection(HOST, link_port)
                except OSError:
                    link = None
                    await asyncio.sleep(0.2)
                    continue
            if not await self._ask(*link):
                link[1].close()
                link = None
            await asyncio.sleep(self.rest_s * self.rng.uniform(0.5, 1.5))
        if link is not None:
            link[1].close()

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        request = f"{self.rng.getrandbits(64):016x}"
        method, name, deadline_ms, body = "GET", "lookup", 400, b""
        if self.rng.random() < self.booked_share:
            method, name, deadline_ms, body = "POST", "book-delivery", 2000, b"x" * 200
            self.bookings.add(request)
        writer.write(
            f"{method} /{name}?obj=user:{self.rng.randrange(300)} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-Id: {request}\r\nX-Class: {name}\r\nX-Tenant: gold-coast-oil\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        self.record.line("sent", request=request, name=name)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + LATE_S):
                head = await read_head(reader)
                if head is None:
                    self.note(request, 0, "closed")
                    return False
                body = (await read_body(reader, head[1])).decode("latin-1")
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self.note(request, 0, "none")
            return False
        self.note(request, int(head[0].split(" ")[1]), body.strip())
        return head[1].get("connection", "").lower() != "close"

    def note(self, request: str, status: int, text: str) -> None:
        """Note an answer; the status is 0 if there was none."""
        self.answers[request] = status
        self.answered.append((self.record.now(), status, text))
        self.record.line("answered", request=request, status=status, body=text.replace(" ", "_"))

    async def stop(self) -> None:
        """End, after the answers that are awaited."""
        self.is_on = False
        await asyncio.gather(*self.tasks)

    def lost_bookings(self) -> list[str]:
        """Return the bookings that were neither served nor refused: they may have run."""
        return [r for r in sorted(self.bookings) if self.answers.get(r) not in (OK, *REFUSALS)]


def run(folder: Path, case: Callable[[Bed], Awaitable[int]]) -> None:
    """Run a case, and exit with its status."""
    record = Record(folder)

    async def go() -> int:
        bed = Bed(record)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # the programs are ended then, too
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        record.say("with the disruption" if bed.is_troubled else "without the disruption")
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(bed)
        except (SetupError, OSError, TimeoutError, asyncio.CancelledError) as error:
            record.say(f"could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
        finally:
            await bed.close()

    status = asyncio.run(go())
    record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no result"))
    sys.exit(status)

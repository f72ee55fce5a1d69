"""Stand-ins and helpers shared by the cases: balancer process, discovery, upstreams, record."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import IO, Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MS = 1_000_000
READ_BYTES = 65536
LONGEST_RUN_S = 115.0


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def seed() -> int:
    """Return the seed of the balancer's random numbers: `--seed N`, or 1."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    number: int = parser.parse_args().seed
    return number


def is_troubled() -> bool:
    """Return whether the disruption is to be played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def open_log(path: Path) -> IO[bytes]:
    """Open a file for what a process prints."""
    return open(path, "ab")


class Record:
    """Writes what was sent, answered and run to `record.txt`, one JSON object a line."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 (open as long as the case runs)

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self.started_s

    def write(self, what: str, **fields: Any) -> None:
        """Write one line, with the time since the start."""
        line = {"at_s": round(self.now_s(), 3), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


# ---- messages --------------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the start line and the headers of a message; names are in lower case.

    Raises:
        EOFError: The connection ended first.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *rows = text.rstrip("\r\n").split("\r\n")
    fields = (row.partition(":") for row in rows)
    return start_line, {name.strip().lower(): value.strip() for name, _, value in fields}


def message(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Serialize a message."""
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{start_line}\r\n{rows}\r\n".encode("latin-1") + body


def answer(status: str, body: bytes = b"", **headers: str) -> bytes:
    """Serialize an answer with a length."""
    return message(f"HTTP/1.1 {status}", {**headers, "Content-Length": str(len(body))}, body)


# ---- discovery -------------------------------------------------------------------------------


class Discovery:
    """Discovery as the protocol page describes it: whole lists, and watches that wait.

    Attributes:
        delay_s: Time that each answer takes in addition.
    """

    def __init__(self, record: Record, name: str, servers: list[dict[str, Any]]) -> None:
        self.record = record
        self.name = name
        self.servers = {server["id"]: server for server in servers}
        self.version = 41
        self.changed_in = dict.fromkeys(self.servers, 41)
        self.changed = asyncio.Event()
        self.delay_s = 0.0
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def known(self) -> dict[str, Any]:
        """Return the whole list in the form of an answer."""
        return {"version": self.version, "full": True, "servers": list(self.servers.values())}

    def change(self, server_id: str, state: str) -> None:
        """Change the state of one upstream."""
        self.version += 1
        self.servers[server_id] = {**self.servers[server_id], "state": state}
        self.changed_in[server_id] = self.version
        self.record.write(
            "listed", discovery=self.name, id=server_id, state=state, version=self.version
        )
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                start_line, _ = await read_head(reader)
                target = urllib.parse.urlsplit(start_line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                self.record.write("discovery asked", discovery=self.name, call=start_line)
                body = await self._answer(query)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(answer("200 OK", json.dumps(body).encode()))
                await writer.drain()
                self.record.write(
                    "discovery answered",
                    discovery=self.name,
                    call=start_line,
                    version=body["version"],
                    states={row["id"]: row["state"] for row in body["servers"]},
                )
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, query: dict[str, str]) -> dict[str, Any]:
        if "from" not in query:
            return self.known()
        since = int(query["from"])
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("hold_ms", "0")) / 1000):
                while self.version <= since:
                    await self.changed.wait()
        rows = [row for key, row in self.servers.items() if self.changed_in[key] > since]
        return {"version": self.version, "full": False, "servers": rows}

    async def retire(self, close_after_s: float) -> None:
        """Take no new connection, and close the open ones after a time."""
        if self.server is not None:
            self.server.close()
        await asyncio.sleep(close_after_s)
        for writer in list(self.writers):
            writer.close()


# ---- upstreams -------------------------------------------------------------------------------

Handler = Callable[
    ["Upstream", "Call", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Call:
    """A request as its upstream sees it."""

    def __init__(self, start_line: str, headers: dict[str, str]) -> None:
        self.method, self.target, _ = start_line.split(" ")
        self.headers = headers
        self.id = headers.get("x-request-id", "")
        self.length = int(headers.get("content-length", "0"))


class Upstream:
    """An upstream that runs each request and answers 200 with the id of the request.

    Attributes:
        ran: Ids of the requests that it ran, in order.
        handler: Replaces what is done after the head of a request.
    """

    def __init__(self, record: Record, name: str, handler: Handler | None = None) -> None:
        self.record = record
        self.name = name
        self.handler = handler or run_and_answer
        self.work_s = 0.02
        self.ran: list[str] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "tema-1",
            "kind": "full",
            "cell": 0,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                start_line, headers = await read_head(reader)
                call = Call(start_line, headers)
                if call.target.startswith(("/health", "/status/load")):
                    writer.write(answer("200 OK", b"util=0.10,latency_ms=20"))
                    continue
                self.record.write("upstream got head", upstream=self.name, id=call.id)
                await self.handler(self, call, reader, writer)
        writer.close()

    def run(self, call: Call) -> None:
        """Record that a request ran."""
        self.ran.append(call.id)
        self.record.write("upstream ran", upstream=self.name, id=call.id)


async def run_and_answer(
    upstream: Upstream, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the body, run the request and answer."""
    left = call.length
    while left:
        data = await reader.read(min(left, READ_BYTES))
        if not data:
            raise EOFError
        left -= len(data)
    upstream.run(call)
    await asyncio.sleep(upstream.work_s)
    writer.write(answer("200 OK", call.id.encode()))
    await writer.drain()


# ---- the balancer ----------------------------------------------------------------------------


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings as of a small deployment: the example of the wire page, one balancer."""
    seconds = 1_000 * MS
    profile = {"dedup_scope": "all", "late_worth": 0.0, "stream": False, "window_ns": 5 * seconds}
    base = {
        "profiles": [
            {
                **profile,
                "name": "lookup",
                "repeat": "read_like",
                "aim_ns": 200 * MS,
                "hard_limit_ns": 500 * MS,
                "worth": 3.0,
            },
            {
                **profile,
                "name": "book-delivery",
                "repeat": "non_idempotent",
                "aim_ns": 750 * MS,
                "hard_limit_ns": 3 * seconds,
                "worth": 2.0,
            },
        ],
        "realms": [
            {"name": "gold-coast-oil", "quota_per_s": 82.0, "share": 0.5},
            {"name": "volta-fuels", "quota_per_s": 75.0, "share": 0.5},
        ],
        "limits": {
            "conn_idle_ns": 30 * seconds,
            "connect_timeout_ns": 100 * MS,
            "max_open": 20000,
            "max_retry_after_ns": 1500 * MS,
            "max_streams": 1,
            "may_cancel": True,
            "peers": False,
            "probes": False,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 4,
        },
        "load_report": {"columns": [], "how": "none"},
        "locality": "tema-1",
        "me": 0,
        "registry_mode": "ask",
        "replicas_of_me": 1,
        "rules": {
            "ask_within_ns": 10 * seconds,
            "cold_from": 0.3,
            "cold_ns": 8900 * MS,
            "fall_multiple": 3.0,
            "grace_to_answer_ns": 20 * MS,
            "overload_for_ns": 1500 * MS,
            "stop_sending_within_ns": 500 * MS,
        },
        "zones": ["tema-1"],
    }
    return {**base, **changes}


class Balancer:
    """A balancer, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str = "n1") -> None:
        self.record = record
        self.name = name
        self.port = free_port()
        self.config_path = folder / f"{name}.json"
        self.state_folder = folder / f"{name}-tmp"
        self.state_folder.mkdir(exist_ok=True)
        self.config: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, discovery: Discovery, **changes: Any) -> None:
        """Write the JSON file of the platform."""
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery.address,
            "seed": f"{seed():x}",
            "limits": limits,
            "known": discovery.known(),
            "settings": settings(),
            **changes,
        }
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.config))
        new_path.replace(self.config_path)

    async def start(self) -> None:
        """Start the process, and wait until it is ready.

        Raises:
            CouldNotRunError: It was not ready in time.
        """
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        log = open_log(self.config_path.with_suffix(".log"))
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            deploy["run"],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                **os.environ,
                "BALANCER_NAME": self.name,
                "BALANCER_LISTEN": self.config["listen"],
                "BALANCER_DISCOVERY": self.config["discovery"],
                "BALANCER_CONFIG": str(self.config_path),
                "TMPDIR": str(self.state_folder),
            },
        )
        log.close()
        self.record.write("balancer started", pid=self.process.pid, listen=self.config["listen"])
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        for _ in range(300):
            if self.process is not None and self.process.returncode is not None:
                break
            with suppress(OSError, EOFError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(message("GET /ready HTTP/1.1", {"Host": "origin.svc"}))
                start_line, _ = await read_head(reader)
                writer.close()
                if " 200 " in f"{start_line} ":
                    self.record.write("balancer ready")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the balancer was not ready within 30 s")

    def signal(self, number: int) -> None:
        """Send a signal."""
        assert self.process is not None
        self.record.write("signal", signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        log = self.config_path.with_suffix(".log")
        if log.exists():
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                self.record.write("balancer log", line=line)


async def _run(
    case: Callable[[Record, Path], Awaitable[int]], record: Record, scratch: Path
) -> int:
    """Run a case; SIGTERM and the time limit end it, and it ends what it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(LONGEST_RUN_S):
        return await case(record, scratch)


def play(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Play a case and exit with its result."""
    record = Record(folder)
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            result = asyncio.run(_run(case, record, Path(scratch)))
        except (CouldNotRunError, OSError, asyncio.CancelledError) as error:
            reason = str(error) or type(error).__name__
            record.write("could not run", reason=reason)
            print(f"could not run: {reason}", file=sys.stderr)
    record.write("result", exit_status=result)
    sys.exit(result)

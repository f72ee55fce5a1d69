"""Real balancer processes: started, replaced, told to end, killed, held up."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from contextlib import suppress
from pathlib import Path

from loadbalancer.testbed.soak.discovery import Discovery
from loadbalancer.testbed.soak.history import History, Process
from loadbalancer.testbed.soak.plan import EARLIEST_KILL_NS, SECOND, Plan, settings
from loadbalancer.testbed.soak.ports import free_port
from loadbalancer.testbed.soak.shim import Control

READY_S, TAKE_OVER_S = 30.0, 6.0
KILL_S = EARLIEST_KILL_NS / SECOND
KB_PER_MB = 1024
WATCH_S = 0.25  # between two looks at a process's memory and descriptors
LOG_MOST = 200_000  # bytes of a log that are kept


class Running:
    """One process, its record and its door."""

    def __init__(self, record: Process, process: asyncio.subprocess.Process, door: int) -> None:
        self.record, self.process, self.door = record, process, door
        self.log: asyncio.Task[None] = asyncio.create_task(self._read())
        self.ended = asyncio.create_task(self._wait())
        self.watch = asyncio.create_task(self._watch())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while data := await self.process.stderr.read(65_536):
            if len(self.record.log) < LOG_MOST:
                self.record.log += data.decode(errors="replace")

    async def _wait(self) -> None:
        status = await self.process.wait()
        self.record.ended_ns, self.record.status = time.monotonic_ns(), status
        await self.log

    async def _watch(self) -> None:
        while self.process.returncode is None:
            self.note_memory()
            await asyncio.sleep(WATCH_S)

    async def call(self, method: str, path: str, within_s: float = 1.5) -> int:
        """A call at its door: the status; 0: no answer in time."""
        try:
            async with asyncio.timeout(within_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.door)
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode()
                )
                line = await reader.readline()
                writer.close()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError, ValueError, IndexError):
            return 0

    async def ready(self, within_s: float) -> bool:
        """Wait for its yes."""
        by_s = time.monotonic() + within_s
        while time.monotonic() < by_s and self.process.returncode is None:
            if await self.call("GET", "/-/ready") == 200:
                self.record.ready_ns = time.monotonic_ns()
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: int) -> None:
        """Send it, unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    def note_memory(self) -> None:
        """Note the most resident memory that the process has needed so far."""
        with suppress(OSError, ValueError, IndexError):  # it may just have ended
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            peak_kb = int(status.partition("VmHWM:")[2].split()[0])
            self.record.memory_mb = max(self.record.memory_mb, peak_kb / KB_PER_MB)
            self.record.descriptors = max(
                self.record.descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd"))
            )

    async def end(self) -> None:
        """SIGTERM, and SIGKILL where it does not end in its time."""
        self.note_memory()
        self.record.term_ns = time.monotonic_ns()
        self.signal(signal.SIGTERM)
        done, _ = await asyncio.wait([self.ended], timeout=KILL_S)
        if not done:
            await self.kill()

    async def kill(self) -> None:
        """Without a word."""
        if self.process.returncode is None:
            self.note_memory()
            self.record.killed_ns = time.monotonic_ns()
            self.signal(signal.SIGKILL)
        await self.ended


class Balancer:
    """One place of a balancer: its address, folder and settings, and the processes that hold it."""

    def __init__(
        self,
        number: int,
        folder: Path,
        plan: Plan,
        history: History,
        discovery: Discovery,
        shim: Path | None,
    ) -> None:
        self.number = number
        self.folder = folder
        self.plan = plan
        self.history = history
        self.discovery = discovery
        self.shim = shim
        folder.mkdir(parents=True)
        (folder / "shared").mkdir()
        self.control = Control(folder / "control")
        self.port = free_port()
        self.now: Running | None = None
        self.discovery_address = ""  # of all its processes, until it is moved
        self.turn = asyncio.Lock()  # one change of its processes at a time

    def _config(self, door: int, discovery: str, path: Path) -> None:
        told = {
            "name": f"n{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "mgmt": f"127.0.0.1:{door}",
            "seed": os.urandom(8).hex(),
            "known": self.discovery.whole(),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.plan.memory_limit_mb,
                "sockets": self.plan.descriptor_limit,
            },
            "settings": settings(self.plan, self.number),
        }
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(told))
        fresh.replace(path)

    async def start(self) -> Running:
        """Another process. Its end is awaited by whoever tells it to end."""
        record = Process(len(self.history.processes), self.number, time.monotonic_ns())
        record.memory_limit_mb = self.plan.memory_limit_mb
        self.history.processes.append(record)
        door = free_port()
        path = self.folder / f"config-{record.number}.json"
        if not self.discovery_address:
            self.discovery_address = await self.discovery.open(self.number)
        self._config(door, self.discovery_address, path)
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")
        }
        environ |= {
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self.folder / "shared"),
            "PYTHONPATH": str(self.plan.program),
            "SOAK_SHIM": str(self.control.path),
        }
        if self.shim is not None:
            environ["LD_PRELOAD"] = str(self.shim)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-m",
            "loadbalancer",
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=environ,
            cwd=self.folder,
        )
        return Running(record, process, door)

    async def move(self) -> None:
        """A new configuration: discovery is at another address."""
        if self.now is not None:
            record = self.now.record
            path = self.folder / f"config-{record.number}.json"
            self.discovery_address = await self.discovery.open(self.number)
            self._config(self.now.door, self.discovery_address, path)
            self.now.signal(signal.SIGHUP)

"""Processes that a fleet is made of: orders go in on standard input, answers come back on standard
output, one JSON object a line. One whose standard input ends has lost its fleet, and leaves.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from loadbalancer.settings import Json
from loadbalancer.testbed.size.process import cpu_s, resident_kb
from loadbalancer.testbed.sockets.conductor import die_with_parent
from loadbalancer.testbed.topology import Unusable

ANSWER_S = 120.0  # a party that has not answered by then ends the run
LINE_MOST = 64 << 20


@dataclass(frozen=True)
class Usage:
    """Of a process: CPU seconds so far, and bytes resident now and at most."""

    cpu_s: float
    rss: int
    peak: int


def usage(pid: int) -> Usage:
    """Zeros for a process that is gone."""
    try:
        return Usage(cpu_s(pid), resident_kb(pid) << 10, resident_kb(pid, "VmHWM") << 10)
    except OSError:
        return Usage(0.0, 0, 0)


class Party:
    """The fleet's side of one."""

    def __init__(self, name: str, module: str, log: Path) -> None:
        self.name = name
        self.module = module
        self.log = log
        self.process: asyncio.subprocess.Process | None = None
        self.turn = asyncio.Lock()

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=LINE_MOST,
                start_new_session=True,
                preexec_fn=die_with_parent,
            )

    async def ask(self, do: str, **what: Any) -> Any:
        """Its answer. Raises Unusable."""
        process = self.process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self.turn:
            try:
                async with asyncio.timeout(ANSWER_S):
                    process.stdin.write(json.dumps({"do": do, **what}).encode() + b"\n")
                    await process.stdin.drain()
                    line = await process.stdout.readline()
            except (TimeoutError, OSError) as error:
                raise Unusable(f"{self.name} does not answer {do}: {error or 'too late'}") from None
        if not line:
            raise Unusable(f"{self.name} ended at {do}: see {self.log}")
        found = json.loads(line)
        if "failed" in found:
            raise Unusable(f"{self.name}: {do}: {found['failed']}")
        return found["done"]

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def _serve(make: Callable[[], Callable[[Json], Awaitable[Any]]]) -> None:
    do = make()
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        try:
            answer = {"done": await do(json.loads(line))}
        except Exception as error:  # the fleet hears of it, whatever it is
            answer = {"failed": f"{type(error).__name__}: {error}"}
        sys.stdout.write(json.dumps(answer, separators=(",", ":")) + "\n")
        sys.stdout.flush()


def serve(make: Callable[[], Callable[[Json], Awaitable[Any]]]) -> None:
    """Be one: what `make` gives, within the event loop, answers each order."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the fleet ends it
    uvloop.run(_serve(make))

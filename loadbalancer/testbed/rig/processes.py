"""The program's processes of a run: started, stopped, killed, begun anew; none is left behind."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from loadbalancer.testbed.sockets.conductor import die_with_parent
from loadbalancer.testbed.topology import Unusable

READY_S = 20.0
LEAVE_S = 6.0
TOO_NEW = "is newer than 1, which this program knows"  # what an older program says of a newer state
LINES_MOST = 4000  # of one process's log that are kept


@dataclass(eq=False)
class Process:
    """One process of the program and its log. `ready`: a piece of the line that says it is
    there.
    """

    name: str
    words: list[str]
    ready: str
    folder: Path | None = None  # what it may lose
    rate: float = 1.0
    sync_ms: float = 0.0
    old: bool = False  # it runs an older program, which knows no leases
    began: float = 0.0
    heard: Callable[[Process, str], None] = lambda process, line: None
    child: asyncio.subprocess.Process | None = None
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)  # of beginning it anew
    is_ready: asyncio.Event = field(default_factory=asyncio.Event)
    lines: list[tuple[float, str]] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)
    stopped: bool = False
    meant_down: bool = True
    hung: bool = False  # it was asked to leave and did not
    leave_s: float = 0.0  # that it took to leave when it was asked to, at the end
    ended: str = ""  # how it ended, where nobody meant it to
    stops: list[tuple[float, float]] = field(
        default_factory=list
    )  # when it was down or stood still

    @property
    def up(self) -> bool:
        return self.child is not None and self.child.returncode is None

    async def start(self, wait: bool = True) -> None:
        """Raises Unusable where it is not ready in time."""
        self.stopped = False
        self.is_ready.clear()
        env = {
            **os.environ,
            "PYTHONFAULTHANDLER": "1",
            "LOADBALANCER_TESTBED_RATE": str(self.rate),
            "LOADBALANCER_TESTBED_SYNC_MS": str(self.sync_ms),
            "LOADBALANCER_TESTBED_OLD": str(int(self.old)),
        }
        self.began = time.monotonic()
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer.testbed.rig.launcher",
            *self.words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=env,
            start_new_session=True,
            preexec_fn=die_with_parent,
        )
        self.meant_down = False  # only now: until here the end of the one before it is meant
        reader = asyncio.get_running_loop().create_task(self._read(self.child))
        self.readers.append(reader)
        if wait:
            try:
                async with asyncio.timeout(READY_S):
                    await self.is_ready.wait()
            except TimeoutError:
                last = self.lines[-1][1] if self.lines else "nothing"
                raise Unusable(
                    f"{self.name} did not start in {READY_S:.0f} s; last: {last}"
                ) from None

    async def _read(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        while line := await child.stdout.readline():
            text = line.decode(errors="replace").rstrip()
            if len(self.lines) < LINES_MOST:
                self.lines.append((time.monotonic(), text))
            if self.ready in text:
                self.is_ready.set()
            self.heard(self, text)
        status = await child.wait()
        if child is not self.child:
            return
        self.is_ready.set()  # nobody need wait for it any more
        if self.old and status == 1 and self.lines and TOO_NEW in self.lines[-1][1]:
            self.meant_down = True  # as it should: it would not understand what stands there
        if not self.meant_down:
            self.ended = f"ended with status {status}" + (
                f": {self.lines[-1][1]}" if self.lines else ""
            )

    def send(self, number: signal.Signals) -> None:
        if self.up and self.child is not None:
            with suppress(ProcessLookupError):
                self.child.send_signal(number)

    def stop(self) -> None:
        self.send(signal.SIGSTOP)
        self.stopped = True
        self.stops.append((time.monotonic(), 0.0))

    def go_on(self) -> None:
        if self.stopped:
            self.send(signal.SIGCONT)
            self.stopped = False
            self.back()

    def back(self) -> None:
        if self.stops and not self.stops[-1][1]:
            self.stops[-1] = self.stops[-1][0], time.monotonic()

    def kill(self, how: signal.Signals = signal.SIGKILL) -> None:
        """Returns at once; `gone` waits."""
        if self.up:
            self.meant_down = True
            if not self.stops or self.stops[-1][1]:
                self.stops.append((time.monotonic(), 0.0))
            if self.stopped and how is not signal.SIGKILL:
                self.send(signal.SIGCONT)
            self.send(how)

    async def gone(self) -> None:
        """Wait until it has left; one that does not is asked where it hangs, for its log, and
        killed.
        """
        if self.child is None:
            return
        for wait_s, then in (
            (LEAVE_S, signal.SIGQUIT),
            (1.0, signal.SIGABRT),
            (1.0, signal.SIGKILL),
        ):
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.child.wait()
                    return
            self.hung = True
            self.send(then)
        await self.child.wait()

    async def end(self) -> None:
        """For good; asked first, so that it may leave as it should."""
        if self.up and self.child is not None:
            self.meant_down = True
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
            began = time.monotonic()
            await self.gone()
            self.leave_s = time.monotonic() - began
        self.end_now()
        for reader in self.readers:
            with suppress(asyncio.CancelledError):
                await reader

    def end_now(self) -> None:
        self.meant_down = True
        self.send(signal.SIGKILL)

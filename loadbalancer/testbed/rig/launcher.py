"""Starts the program with a clock or a disk that is not well: `python -m
loadbalancer.testbed.rig.launcher WORDS...`.

The lab's doing and no switch of the product: the standard library's clocks and writes are replaced
before the program is imported. LOADBALANCER_TESTBED_RATE: clocks run so many times as fast. SIGUSR1
turns a full disk on and off, SIGUSR2 makes clocks jump on by an hour, SIGQUIT writes down where
each task stands. LOADBALANCER_TESTBED_SYNC_MS: each sync takes so much longer.
LOADBALANCER_TESTBED_OLD: it knows formats of the store's state up to this one: 1 as a program from
before there were leases, 2 from before there were rows.
"""

from __future__ import annotations

import asyncio
import errno
import functools
import operator
import os
import runpy
import signal
import sys
import time
from collections.abc import Callable
from typing import Any, get_args

HOUR_NS = 3_600_000_000_000


class Clocks:
    """All of this process's, at one rate."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.jumped = 0
        self.real = {
            name: getattr(time, name)
            for name in ("monotonic_ns", "time_ns", "clock_gettime_ns", "sleep")
        }
        self.begin = {
            "monotonic_ns": self.real["monotonic_ns"](),
            "time_ns": self.real["time_ns"](),
        }
        self.boot = self.real["clock_gettime_ns"](time.CLOCK_BOOTTIME)

    def _moved(self, now: int, begin: int) -> int:
        return begin + int((now - begin) * self.rate) + self.jumped

    def install(self) -> None:
        def monotonic_ns() -> int:
            return self._moved(self.real["monotonic_ns"](), self.begin["monotonic_ns"])

        def time_ns() -> int:
            return self._moved(self.real["time_ns"](), self.begin["time_ns"])

        def clock_gettime_ns(clock: int) -> int:
            now: int = self.real["clock_gettime_ns"](clock)
            return self._moved(now, self.boot) if clock == time.CLOCK_BOOTTIME else now

        changed: dict[str, Callable[..., Any]] = {
            "monotonic_ns": monotonic_ns,
            "time_ns": time_ns,
            "clock_gettime_ns": clock_gettime_ns,
            "monotonic": lambda: monotonic_ns() / 1e9,
            "time": lambda: time_ns() / 1e9,
        }
        for name, clock in changed.items():
            setattr(time, name, clock)

    def jump(self, *_: object) -> None:
        self.jumped += HOUR_NS


class Disk:
    """What this process writes to files."""

    def __init__(self, sync_ms: float) -> None:
        self.sync_s = sync_ms / 1000
        self.full = False

    def install(self) -> None:
        def guarded(real: Callable[..., Any]) -> Callable[..., Any]:
            def write(number: int, *rest: Any) -> Any:
                if self.full:
                    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
                return real(number, *rest)

            return write

        def slow(real: Callable[..., Any]) -> Callable[..., Any]:
            def sync(number: int) -> Any:
                time.sleep(self.sync_s)
                return real(number)

            return sync

        os.pwrite = guarded(os.pwrite)
        if self.sync_s:
            os.fsync, os.fdatasync = slow(os.fsync), slow(os.fdatasync)

    def turn(self, *_: object) -> None:
        self.full = not self.full


def tell_tasks(*_: object) -> None:
    """Where each task stands, for the log: of a process that does not leave."""
    for task in list(asyncio.tasks._all_tasks):  # type: ignore[attr-defined]
        if not task.done():
            print("task", task.get_coro().__qualname__, file=sys.stderr)
            task.print_stack(limit=4)
    sys.stderr.flush()


def grow_old(newest: int) -> None:
    """What a program of format 1 or 2 said of itself, and could read."""
    import msgspec

    from loadbalancer.store import commands
    from loadbalancer.store.wire import protocol

    commands.STATE_FORMAT = newest
    known: Any = commands.Write | commands.OpenSession | commands.CloseSession
    if newest == 2:
        known |= (
            commands.FencedWrite
            | commands.Upgrade
            | commands.Claim
            | commands.Release
            | commands.ExpireClaim
        )
    commands._command_decoder = msgspec.msgpack.Decoder(known)
    asked = [
        kind for kind in get_args(protocol.AnyRequest) if kind is not protocol.SendToChangefeed
    ]
    protocol._request_decoder = msgspec.msgpack.Decoder(functools.reduce(operator.or_, asked))


def main() -> None:
    clocks = Clocks(float(os.environ.pop("LOADBALANCER_TESTBED_RATE", "1")))
    disk = Disk(float(os.environ.pop("LOADBALANCER_TESTBED_SYNC_MS", "0")))
    clocks.install()
    disk.install()
    signal.signal(signal.SIGUSR1, disk.turn)
    signal.signal(signal.SIGUSR2, clocks.jump)
    signal.signal(signal.SIGQUIT, tell_tasks)
    newest = int(os.environ.pop("LOADBALANCER_TESTBED_OLD", "0"))
    if newest:
        grow_old(newest)
    sys.argv[0] = "loadbalancer"
    # Only now is it imported: it takes its clocks as it finds them.
    runpy.run_module("loadbalancer.cli.main", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()

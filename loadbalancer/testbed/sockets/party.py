"""What the parties of a socket run have in common: orders on standard input, word back on standard
output.

Both are JSON, one object a line. A party whose standard input ends has lost its conductor, and
leaves.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from loadbalancer.settings import Json
from loadbalancer.testbed import topology
from loadbalancer.testbed.sockets.facts import Lag, Writer
from loadbalancer.testbed.topology import Topology

TELL_S = 0.5


def say(**what: Any) -> None:
    sys.stdout.write(json.dumps(what, separators=(",", ":")) + "\n")
    sys.stdout.flush()


class Party:
    """One process of a run. `order` is called for each line from the conductor."""

    def __init__(self, told: Json) -> None:
        self.t: Topology = topology.read(told["topology"], "run")
        self.seed: int = told["seed"]
        self.facts = Writer(Path(told["facts"]))
        self.lag = Lag()
        self.loop = asyncio.get_running_loop()
        self.over = asyncio.Event()

    def order(self, what: Json) -> None:
        raise NotImplementedError

    def status(self) -> Json:
        raise NotImplementedError

    def final(self) -> Json:
        """What is told once, at the end."""
        return self.status()

    def _measure(self) -> None:
        self.lag.tick()
        self.loop.call_later(Lag.EVERY_S, self._measure)

    def _tell(self) -> None:
        say(status=self.status())
        self.facts.flush()
        self.loop.call_later(TELL_S, self._tell)

    def begin(self) -> None:
        gc.collect()
        gc.freeze()
        self._measure()
        self._tell()

    async def listen(self) -> None:
        reader = asyncio.StreamReader(limit=1 << 24)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            what = json.loads(line)
            if "end" in what:
                break
            self.order(what)
        self.facts.close()
        with suppress(BrokenPipeError):
            say(
                done=self.final(),
                lag_p99_ms=round(self.lag.p99_ms(), 2),
                lag_most_ms=round(self.lag.most_ns / 1e6, 2),
            )
        self.over.set()


def main(make: Callable[[Json], Party]) -> None:
    """Run a party: its first line of input says what it is to be."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the conductor ends it
    told = json.loads(sys.stdin.readline())
    if told.get("core") is not None:
        os.sched_setaffinity(0, {told["core"]})

    async def live() -> None:
        party = make(told)
        await party.listen()

    asyncio.run(live())

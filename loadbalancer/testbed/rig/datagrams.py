"""A relay of datagrams for one directed pair: what networks do to UDP, which TCP hides. Each may be
lost, come twice, late, or behind those sent after it; none is ever cut in two.

The dialler sends to the relay's port, and hears answers from it; the listener sees one port of the
relay for each of the dialler's.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from loadbalancer.testbed.rig.relay import FROM, TO, Fault, Way

HELD_MOST = (
    4096  # datagrams of one direction that a hold keeps; what comes beyond is lost, as in a queue
)
PORTS_MOST = 256  # of the dialler that are told apart at a time
BEHIND_S = 0.02  # a reordered one comes so much later, unless the fault says how many ms
Address = tuple[str, int]


@dataclass(slots=True)
class Counts:
    """Of one direction."""

    came: int = 0
    passed: int = 0
    lost: int = 0
    doubled: int = 0
    behind: int = 0


class _Door(asyncio.DatagramProtocol):
    """One socket of the relay. `heard`: what came there, and from where."""

    def __init__(self, heard: Callable[[bytes, Address], None]) -> None:
        self.heard = heard

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.heard(data, address)

    def error_received(self, error: Exception) -> None:
        """Whoever listens is away: to the sender it is as if it was lost."""


class DatagramRelay:
    def __init__(
        self, dialler: str, listener: str, target: Callable[[], Address], rng: random.Random
    ) -> None:
        """`target`: where the listener is now."""
        self.dialler, self.listener = dialler, listener
        self.target = target
        self.rng = rng
        self.ways = Way(), Way()
        self.counts = Counts(), Counts()
        self.held: tuple[deque[Callable[[], None]], ...] = deque(), deque()
        self.behind: dict[
            Address, asyncio.DatagramTransport
        ] = {}  # by the dialler's port, to the target
        self.front: asyncio.DatagramTransport | None = None
        self.opening: set[Address] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Door(self._asked), local_addr=("127.0.0.1", 0)
        )
        self.front = transport
        self.port = transport.get_extra_info("sockname")[1]

    def _asked(self, data: bytes, dialler: Address) -> None:
        known = self.behind.get(dialler)
        if known is not None:
            self._pass(TO, lambda: known.sendto(data))
        elif len(self.behind) + len(self.opening) < PORTS_MOST and dialler not in self.opening:
            self.opening.add(dialler)
            task = asyncio.get_running_loop().create_task(self._open(dialler, data))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self.counts[TO].lost += 1

    async def _open(self, dialler: Address, data: bytes) -> None:
        def answered(answer: bytes, _: Address) -> None:
            self._pass(
                FROM, lambda: cast(asyncio.DatagramTransport, self.front).sendto(answer, dialler)
            )

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Door(answered), remote_addr=self.target()
        )
        self.opening.discard(dialler)
        self.behind[dialler] = transport
        self._pass(TO, lambda: transport.sendto(data))

    def _pass(self, way: int, send: Callable[[], None]) -> None:
        """One datagram, through whatever is wrong with this direction."""
        faults, counts, draw = self.ways[way], self.counts[way], self.rng.random
        counts.came += 1
        lossy, double = faults.on("lossy"), faults.on("double")
        if faults.on("cut", "refuse") or (lossy is not None and draw() < lossy.size):
            counts.lost += 1
            return
        copies = 1
        if double is not None and draw() < double.size:
            copies = 2
            counts.doubled += 1
        for _ in range(copies):
            self._later(way, send)

    def _later(self, way: int, send: Callable[[], None]) -> None:
        faults, wait = self.ways[way], 0.0
        if faults.on("hold"):
            if len(self.held[way]) < HELD_MOST:
                self.held[way].append(send)
            else:
                self.counts[way].lost += 1
            return
        delay, reorder = faults.on("delay"), faults.on("reorder")
        if delay is not None:
            wait = delay.size / 1000 * self.rng.uniform(0.5, 1.5)
        if reorder is not None and self.rng.random() < reorder.size:
            wait += BEHIND_S
            self.counts[way].behind += 1
        if wait:
            asyncio.get_running_loop().call_later(wait, self._send, way, send)
        else:
            self._send(way, send)

    def _send(self, way: int, send: Callable[[], None]) -> None:
        if self.front is not None and not self.front.is_closing():
            self.counts[way].passed += 1
            send()

    def set(self, kind: str, size: float, way: str) -> Callable[[], None]:
        """Begin a fault; what ends it is given back. A hold's end lets all go in a burst, in
        order.
        """
        fault = Fault(kind, size)
        hit = [i for i in (TO, FROM) if way in ("both", ("to", "from")[i])]
        for i in hit:
            self.ways[i].faults.append(fault)

        def end() -> None:
            for i in hit:
                self.ways[i].faults.remove(fault)
                while self.held[i] and not self.ways[i].on("hold"):
                    self._send(i, self.held[i].popleft())

        return end

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for transport in (self.front, *self.behind.values()):
            if transport is not None:
                transport.close()

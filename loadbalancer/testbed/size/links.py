"""A process of relays: the links of balancers to nodes and of nodes among each other, with the
bytes of each balancer counted on the way. `python -m loadbalancer.testbed.size.links`, under a
fleet.

Counted is what the program sends, without the headers of TCP and IP and without TLS.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.settings import Json
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import FRAME_HEADER
from loadbalancer.testbed.rig.relay import Relay
from loadbalancer.testbed.rig.taps import Tap
from loadbalancer.testbed.size.parties import serve


@dataclass
class Flow:
    """All bytes of one balancer, over its connections; by direction, and by second of the clock."""

    link: str = ""  # where it is, or was last
    sums: list[int] = field(default_factory=lambda: [0, 0])
    seconds: dict[int, int] = field(default_factory=dict)

    def add(self, way: int, size: int) -> None:
        self.sums[way] += size
        second = int(time.monotonic())
        self.seconds[second] = self.seconds.get(second, 0) + size

    def clear(self) -> None:
        self.sums = [0, 0]
        self.seconds.clear()


class Counted:
    """One connection. Who it is stands in its first frame, the greeting."""

    def __init__(self, book: dict[str, Flow], link: str) -> None:
        self.book = book
        self.link = link
        self.flow: Flow | None = None
        self.head = b""

    def add(self, way: int, data: bytes) -> None:
        if self.flow is None and way == 0:
            self.head += data
            self._name()
        if self.flow is not None:
            self.flow.add(way, len(data))

    def _name(self) -> None:
        if len(self.head) < FRAME_HEADER.size:
            return
        length = FRAME_HEADER.unpack_from(self.head)[0]
        if len(self.head) < FRAME_HEADER.size + length:
            return
        try:
            hello = protocol.unpack_greeting(
                self.head[FRAME_HEADER.size : FRAME_HEADER.size + length]
            )
        except ValueError:
            return
        assert isinstance(hello, protocol.Hello)
        self.flow = self.book.setdefault(self.link if hello.node else hello.name, Flow())
        self.flow.link = self.link
        self.head = b""


class CountTap(Tap):
    """One direction of it."""

    def __init__(self, counted: Counted, way: int) -> None:
        self.counted = counted
        self.way = way

    def heard(self, data: bytes) -> Iterator[str]:
        self.counted.add(self.way, data)
        return iter(())


class Links:
    def __init__(self) -> None:
        self.relays: dict[str, Relay] = {}
        self.book: dict[str, Flow] = {}
        self.faults: dict[int, list[Callable[[], None]]] = {}
        self.count = 0

    async def do(self, word: Json) -> Any:
        match word["do"]:
            case "open":
                return [self._open(*row) for row in word["links"]]
            case "fault":
                self.count += 1
                self.faults[self.count] = [
                    self.relays[name].set(word["kind"], word["size"], word["way"])
                    for name in word["links"]
                ]
                return self.count
            case "over":
                for end in self.faults.pop(word["fault"]):
                    end()
            case "count":  # from here on anew
                for flow in self.book.values():
                    flow.clear()
            case "counted":
                rows = {
                    name: (flow.sums, sorted(flow.seconds.items()))
                    for name, flow in self.book.items()
                }
                Path(word["path"]).write_bytes(msgspec.msgpack.encode(rows))
            case "at":
                return [name for name, flow in self.book.items() if flow.link in word["links"]]
            case other:
                raise ValueError(f"{other} is no order")
        return None

    def _open(self, name: str, host: str, port: int) -> int:
        dialler, _, listener = name.partition(">")

        def taps() -> tuple[Tap, Tap]:
            counted = Counted(self.book, name)
            return CountTap(counted, 0), CountTap(counted, 1)

        relay = Relay(dialler, listener, lambda: (host, port), random.Random(name), taps)
        self.relays[name] = relay
        return relay.port


if __name__ == "__main__":
    serve(lambda: Links().do)

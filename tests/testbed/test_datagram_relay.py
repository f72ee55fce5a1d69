"""What a relay does to datagrams."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

from loadbalancer.testbed.rig.datagrams import DatagramRelay
from tests.fakes import run

Say = Callable[[int], None]


class Listener(asyncio.DatagramProtocol):
    """Writes down what came, and answers each with itself."""

    def __init__(self) -> None:
        self.came: list[int] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.came.append(int(data))
        self.transport.sendto(data, address)  # type: ignore[attr-defined]


class Asker(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.heard: list[int] = []
        self.more = asyncio.Event()

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.heard.append(int(data))
        self.more.set()


async def until(asker: Asker, done: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not done():
            asker.more.clear()
            await asker.more.wait()


def relayed(test: Callable[[DatagramRelay, Asker, Listener, Say], Awaitable[None]]) -> None:
    """The last number sent is -1, past all faults: it tells that all before it was seen."""

    async def go() -> None:
        loop = asyncio.get_running_loop()
        listening, listener = await loop.create_datagram_endpoint(
            Listener, local_addr=("127.0.0.1", 0)
        )
        relay = DatagramRelay(
            "a", "b", lambda: listening.get_extra_info("sockname"), random.Random(1)
        )
        await relay.listen()
        asking, asker = await loop.create_datagram_endpoint(
            Asker, remote_addr=("127.0.0.1", relay.port)
        )
        try:
            asking.sendto(b"0")  # the way is open
            await until(asker, lambda: asker.heard == [0])
            await test(relay, asker, listener, lambda n: asking.sendto(b"%d" % n))
        finally:
            relay.close()
            asking.close()
            listening.close()

    run(go())


def test_a_part_is_lost_and_the_rest_comes_once_and_in_order() -> None:
    async def test(relay: DatagramRelay, asker: Asker, listener: Listener, say: Say) -> None:
        end = relay.set("lossy", 0.5, "to")
        for n in range(1, 101):
            say(n)
        await until(
            asker,
            lambda: relay.counts[0].came == 101 and len(asker.heard) == relay.counts[0].passed,
        )
        end()
        say(-1)
        await until(asker, lambda: asker.heard[-1] == -1)
        assert 30 < len(listener.came) < 75 and listener.came[:-1] == sorted(
            set(listener.came[:-1])
        )
        assert relay.counts[0].lost == 102 - len(listener.came)

    relayed(test)


def test_some_come_twice_and_some_behind_those_sent_later() -> None:
    async def test(relay: DatagramRelay, asker: Asker, listener: Listener, say: Say) -> None:
        ends = relay.set("double", 0.5, "to"), relay.set("reorder", 0.2, "to")
        for n in range(1, 101):
            say(n)
        await until(
            asker,
            lambda: (
                relay.counts[0].came == 101 and len(asker.heard) == 101 + relay.counts[0].doubled
            ),
        )
        for end in ends:
            end()
        seen = Counter(listener.came)
        assert set(seen) == set(range(101)) and 30 < sum(n == 2 for n in seen.values()) < 75
        assert listener.came != sorted(listener.came) and relay.counts[0].behind > 0

    relayed(test)


def test_a_hold_of_answers_lets_all_go_in_a_burst_and_a_cut_loses_what_is_sent() -> None:
    async def test(relay: DatagramRelay, asker: Asker, listener: Listener, say: Say) -> None:
        end = relay.set("hold", 0, "from")
        for n in (1, 2, 3):
            say(n)
        async with asyncio.timeout(5):
            while len(relay.held[1]) < 3:
                await asyncio.sleep(0)
        assert asker.heard == [0] and listener.came == [0, 1, 2, 3]
        end()
        await until(asker, lambda: asker.heard == [0, 1, 2, 3])
        end = relay.set("cut", 0, "both")
        say(4)
        async with asyncio.timeout(5):
            while not relay.counts[0].lost:
                await asyncio.sleep(0)
        end()
        say(-1)
        await until(asker, lambda: asker.heard[-1] == -1)
        assert 4 not in listener.came

    relayed(test)

"""Many balancers that start at one moment, and those of a node that dies, over real cores in
virtual time: how long until each has all its rows, and what the nodes send for it. Links don't hold
anything up. `python -m loadbalancer.testbed.feed.herd BALANCERS SCOPES` prints a line of JSON for
each of both.
"""

from __future__ import annotations

import heapq
import json
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any

from loadbalancer.changefeed.fanout import Fanout, FanoutLimits, StoreSnapshot
from loadbalancer.changefeed.messages import Row
from loadbalancer.changefeed.subscription import (
    Dial,
    Disconnect,
    SendMessage,
    Subscription,
    SubscriptionLimits,
    SubscriptionOptions,
)

SECOND = 1_000_000_000
DELAY = 2_000_000  # ns of a word's way
KINDS = (
    ("upstream", 44_000, 110),
    ("tenant", 73_000, 70),
    ("route", 9_900, 70),
)  # rows, bytes of a value
SERVICES = 2_900


class Member:
    """A balancer. `ready`, `current`: when it first had all its scopes, and when a node last began
    to follow it to the end, since the herd set out.
    """

    def __init__(self, herd: Herd, number: int, scopes: list[str], order: list[int]) -> None:
        self.herd, self.order = herd, order
        self.subscription = Subscription(
            f"balancer-{number}",
            scopes,
            SubscriptionOptions(_takes, SubscriptionLimits(), Random(number)),
            herd.now,
        )
        self.node: Fanout | None = None
        self.link = 0
        self.current: int | None = None
        self._wake = 0
        herd.at(herd.now, self.act)

    def act(self) -> None:
        herd, subscription = self.herd, self.subscription
        for action in subscription.take_actions():
            if isinstance(action, Dial):
                herd.at(
                    herd.now + 2 * DELAY,
                    lambda index=action.address_index: self._dialled(index),  # type: ignore[misc]
                )
            elif self.node is not None and isinstance(action, SendMessage):
                herd.to_node(
                    self.node,
                    lambda node, link=self.link, payload=action.payload: (  # type: ignore[misc]
                        node.receive(link, payload, herd.now)
                    ),
                )
            elif self.node is not None and isinstance(action, Disconnect):
                herd.to_node(
                    self.node,
                    lambda node, link=self.link: (  # type: ignore[misc]
                        node.remove(link, herd.now)
                    ),
                )
                self.node = None
        if self.current is None and subscription.is_ready and subscription.age_ns(herd.now) == 0:
            self.current = herd.now
        due = subscription.wake_ns
        if not self._wake or due < self._wake:
            self._wake = due
            herd.at(due, lambda: self._tick(due))

    def _tick(self, due: int) -> None:
        if self._wake == due:
            self._wake = 0
        self.subscription.tick(self.herd.now)
        self.act()

    def _dialled(self, address_index: int) -> None:
        node = self.herd.nodes[self.order[address_index % len(self.order)]]
        if node is None:
            self.subscription.on_disconnected("refused", self.herd.now)
        else:
            self.node = node
            self.link = self.herd.linked(self)
            self.subscription.on_connected(node.epoch, self.herd.now)
        self.act()

    def lose(self) -> None:
        self.node = self.current = None
        self.subscription.on_disconnected("reset", self.herd.now)
        self.act()


def _takes(scope: str, row: Row) -> str:
    return ""


class Herd:
    def __init__(
        self,
        seed: int,
        nodes: int,
        balancers: int,
        scopes: int,
        limits: FanoutLimits,
        kinds: tuple[tuple[str, int, int], ...] = KINDS,
        services: int = SERVICES,
    ) -> None:
        rng = Random(seed)
        self.now = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0
        self._links: dict[int, Member] = {}
        self._wakes: dict[int, int] = {}
        rows = [
            (f"feed/service:s{rng.randrange(services)}/{kind}/{number:08x}", 1, rng.randbytes(size))
            for kind, count, size in kinds
            for number in range(count)
        ]
        self.nodes: list[Fanout | None] = []
        for _ in range(nodes):
            node = Fanout("epoch", limits, 0)
            node.load(StoreSnapshot(len(rows), rows, len(rows), []), 0)
            self.nodes.append(node)
        self.members: list[Member] = []
        for number in range(balancers):
            carried = [f"service:s{at}" for at in rng.sample(range(services), scopes)]
            self.members.append(
                Member(self, number, ["global", *carried], rng.sample(range(nodes), nodes))
            )

    def at(self, when: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._heap, (max(when, self.now), self._order, call))

    def linked(self, member: Member) -> int:
        number = len(self._links) + 1
        self._links[number] = member
        return number

    def to_node(self, node: Fanout, tell: Callable[[Fanout], None]) -> None:
        def told() -> None:
            if node in self.nodes:
                tell(node)
                self._out(node)

        self.at(self.now + DELAY, told)

    def _out(self, node: Fanout) -> None:
        for send in node.take_sends():
            member = self._links[send.subscriber]
            if member.link == send.subscriber and member.node is node:
                self.at(
                    self.now + DELAY,
                    lambda member=member, send=send: self._hears(  # type: ignore[misc]
                        member, send.subscriber, send.generation, send.sequence, send.payload
                    ),
                )
        due = node.wake_ns
        if due is not None and due < self._wakes.get(id(node), 1 << 62):
            self._wakes[id(node)] = due
            self.at(due, lambda: self._ticks(node))

    def _ticks(self, node: Fanout) -> None:
        self._wakes.pop(id(node), None)
        if node in self.nodes:
            node.tick(self.now)
            self._out(node)

    def _hears(
        self, member: Member, link: int, generation: int, sequence: int, word: bytes
    ) -> None:
        if member.link == link and member.node is not None:
            member.subscription.receive(generation, sequence, word, self.now)
            member.act()

    def run(self, seconds: float) -> None:
        until = self.now + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until

    def _sums(self) -> dict[str, int]:
        found = [node.status() for node in self.nodes if node is not None]
        return {
            key: sum(getattr(one, key) for one in found)
            for key in ("snapshots", "later", "sent_bytes", "encoded")
        }

    def _measured(
        self, what: str, members: list[Member], began: int, before: dict[str, int], seconds: float
    ) -> dict[str, Any]:
        cpu = time.process_time()
        self.run(seconds)
        cpu = time.process_time() - cpu
        there = sorted(member.current - began for member in members if member.current is not None)
        return {
            "what": what,
            "members": len(members),
            "current": len(there),
            **{
                f"s_{share}": there[-(-len(there) * share // 100) - 1] / SECOND
                for share in (50, 90, 99, 100)
                if there
            },
            **{key: value - before[key] for key, value in self._sums().items()},
            "mended": sum(member.subscription.resyncs for member in self.members),
            "cpu_s_of_all": round(cpu, 2),
        }

    def start(self, seconds: float = 20) -> dict[str, Any]:
        """All of them at once, knowing nothing."""
        return self._measured("start", self.members, self.now, self._sums(), seconds)

    def node_dies(self, seconds: float = 5) -> dict[str, Any]:
        """The first node; those who were there go elsewhere."""
        dead, self.nodes[0] = self.nodes[0], None
        moved = [member for member in self.members if member.node is dead]
        before, began = self._sums(), self.now
        for member in moved:
            member.lose()
        return self._measured("node dies", moved, began, before, seconds)


if __name__ == "__main__":
    herd = Herd(1, 9, int(sys.argv[1]), int(sys.argv[2]), FanoutLimits())
    print(json.dumps(herd.start()), flush=True)
    print(json.dumps(herd.node_dies()), flush=True)

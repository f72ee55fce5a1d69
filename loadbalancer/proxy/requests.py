"""A client's request while it is owed an answer, and whoever waits for that."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer.policy import api
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.http import Exchange
from loadbalancer.proxy.parse import Headers, Response


class Client(Protocol):
    """Whoever waits for the one final answer."""

    def served(self, response: Response) -> None: ...

    def refused(self, retry_after_ns: int) -> None: ...

    def failed(self, status: int) -> None: ...

    def abort(self) -> None: ...

    @property
    def gone(self) -> bool:
        """Has it closed its connection, as far as the kernel knows?"""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """Times in nanoseconds, monotonic. `wait_ns`: how long its client waits from its last byte
    on.
    """

    arrival: api.RequestArrived
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    client: Client
    wait_ns: int
    stream: Body | None = None  # the body, where it comes in pieces
    attempts: list[Exchange | None] = field(default_factory=list)  # None: over, or never sent
    sent: int = 0  # attempts without an outcome
    over: bool = False  # answered, or its client has gone
    timed_out: bool = False  # the last outcome was a time-out
    whole_ns: int = 0  # when the last byte of such a body came
    timeout_ns: int = 0  # of the attempt that waits for it
    overdue: asyncio.TimerHandle | None = None

    def out_beside(self, number: int) -> int:
        """Attempts but this one that have no outcome yet."""
        return self.sent - 1 if number < len(self.attempts) else self.sent

"""A client's request while it is owed an answer, and the client that waits for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer.policy import api
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.messages import Headers, Response


class Client(Protocol):
    """Receives the one final answer of a request."""

    def serve(self, response: Response) -> None:
        """Pass on an upstream's response."""

    def reject(self, retry_after_ns: int) -> None:
        """Answer 503, which promises that the request had no effect."""

    def fail(self, status: int) -> None:
        """Answer with an error, which promises nothing about the request's effect."""

    def abort(self) -> None:
        """Close the connection at once."""

    @property
    def gone(self) -> bool:
        """Whether the client has closed its connection, as far as the kernel knows."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request and its attempts; times in nanoseconds of the monotonic clock.

    Attributes:
        wait_ns: How long its client waits, from the request's last byte on.
        stream: The body, where it comes in pieces.
        attempts: An exchange for each attempt; None: it is over, or was never sent.
        attempts_in_flight: Attempts without an outcome.
        finished: It has been answered, or its client has disconnected.
        timed_out: Its last outcome was a time-out.
        completed_ns: When the last byte of a body in pieces came.
        timeout_ns: The time-out of the attempt that waits for that byte.
        overdue_timer: Fires when the request was not answered by its deadline.
    """

    arrival: api.RequestArrived
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    client: Client
    wait_ns: int
    stream: Body | None = None
    attempts: list[Exchange | None] = field(default_factory=list)
    attempts_in_flight: int = 0
    finished: bool = False
    timed_out: bool = False
    completed_ns: int = 0
    timeout_ns: int = 0
    overdue_timer: asyncio.TimerHandle | None = None

    def other_attempts_in_flight(self, number: int) -> int:
        """Count the attempts other than this one that have no outcome yet."""
        return (
            self.attempts_in_flight - 1 if number < len(self.attempts) else self.attempts_in_flight
        )

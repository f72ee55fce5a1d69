"""An open request of a client, and the interface for answering the client."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from loadbalancer.policy import api
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.memory_account import HEADER_FIELD_BYTES, OPEN_REQUEST_BYTES
from loadbalancer.proxy.messages import Headers, Response


class Client(Protocol):
    """Receives the final answer to a request; exactly one method answers it."""

    def serve(self, response: Response) -> None:
        """Forward an upstream's response."""

    def reject(self, retry_after_ns: int) -> None:
        """Answer with 503, which guarantees that the request had no effect."""

    def fail(self, status: int) -> None:
        """Answer with an error, which leaves open whether the request had an effect."""

    def abort(self) -> None:
        """Close the connection at once."""

    @property
    def gone(self) -> bool:
        """Whether the client has closed its connection, according to the kernel."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request and its attempts; times in nanoseconds of the monotonic clock.

    Attributes:
        wait_ns: How long the client waits, counted from the request's last byte.
        stream: The body, if it is streamed.
        attempts: The exchange of each attempt; None: the attempt has ended or was never sent.
        attempts_in_flight: Number of attempts without an outcome.
        finished: Whether the request was answered or the client has disconnected.
        timed_out: Whether the last outcome of an attempt was a timeout.
        completed_ns: When the last byte of a streamed body was received.
        timeout_ns: The timeout of the latest attempt; applied from the body's last byte if the
            attempt started before that.
        held_bytes: Bytes of memory that the request takes, without a streamed body.
        overdue_timer: Fires if the request was not answered by its deadline.
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
    held_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        """Compute what the request takes."""
        fields_bytes = len(self.headers) * HEADER_FIELD_BYTES
        self.held_bytes = OPEN_REQUEST_BYTES + len(self.target) + fields_bytes + len(self.body)

    @property
    def acknowledged_bytes(self) -> int:
        """Number of bytes that upstreams have acknowledged of the attempts in flight."""
        connections = [exchange.connection for exchange in self.attempts if exchange is not None]
        return sum(c.acknowledged_bytes for c in connections if c is not None)

    def other_attempts_in_flight(self, number: int) -> int:
        """Return the number of other attempts that have no outcome yet."""
        return (
            self.attempts_in_flight - 1 if number < len(self.attempts) else self.attempts_in_flight
        )

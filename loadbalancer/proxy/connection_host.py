"""What a client's connection and the frontend that keeps it require of each other."""

from __future__ import annotations

import asyncio
from typing import Protocol

from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.policy_driver import Driver


class HostedConnection(Protocol):
    """A client's connection, as the frontend sees it.

    Attributes:
        phase: What it is doing without an open request; None: it has one.
        forced_close_at: When an overdue connection is closed even with unread input; 0: it is not
            overdue.
    """

    phase: Phase | None
    forced_close_at: float

    @property
    def has_unread_input(self) -> bool:
        """Whether something came on an idle connection that was not read yet."""

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of what was written is still buffered here."""

    def on_timeout(self) -> None:
        """End it, as it has been in its phase for as long as it may."""

    def reject_incomplete(self) -> None:
        """Answer a request that is incomplete as this process ends."""

    def close_on_shutdown(self) -> None:
        """Close it as this process ends."""

    def abort(self) -> None:
        """Close it at once."""


class ConnectionHost(Protocol):
    """The frontend, as a client's connection sees it."""

    driver: Driver
    memory: BodyMemory
    loop: asyncio.AbstractEventLoop

    @property
    def ready(self) -> bool:
        """Whether clients are accepted and can be served."""

    @property
    def draining(self) -> bool:
        """Whether the shutdown has begun."""

    @property
    def answer_deadline_ns(self) -> int:
        """When, after SIGTERM, the last answer is given."""

    def is_usage_above(self, fraction: float) -> bool:
        """Whether so large a fraction of the cap on connections is used."""

    def wait(self, client: HostedConnection, phase: Phase) -> None:
        """Note that a connection has no request open from now on."""

    def note_progress(self, client: HostedConnection) -> None:
        """Note that a connection goes on sending its request."""

    def leave_phase(self, client: HostedConnection) -> None:
        """Note that a connection is in no phase of waiting any more."""

    def connection_closed(self, client: HostedConnection) -> None:
        """Forget a connection that has ended."""

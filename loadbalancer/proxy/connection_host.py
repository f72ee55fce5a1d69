"""Interfaces between a client's connection and the frontend that owns it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.memory_relief import MemoryRelief
from loadbalancer.proxy.policy_driver import Driver


class HostedConnection(Protocol):
    """Interface of a client's connection to the frontend.

    Attributes:
        phase: The connection's phase without an open request; None: a request is open.
        force_close_at: When an overdue connection is closed even if it has unread input; 0: the
            connection is not overdue.
    """

    phase: Phase | None
    force_close_at: float

    @property
    def has_unread_input(self) -> bool:
        """Whether an idle connection has received something that was not read yet."""

    @property
    def has_unsent_output(self) -> bool:
        """Whether bytes that were written are still buffered in this process."""

    def on_phase_timeout(self) -> None:
        """End the connection because the time limit of its phase has passed."""

    def fail_incomplete_request(self) -> None:
        """Answer an incomplete request because this process is shutting down."""

    def close_for_shutdown(self) -> None:
        """Close the connection because this process is shutting down."""

    def abort(self) -> None:
        """Close the connection at once."""


class ConnectionHost(Protocol):
    """Interface of the frontend to a client's connection."""

    driver: Driver
    memory: MemoryAccount
    relief: MemoryRelief
    loop: asyncio.AbstractEventLoop

    @property
    def ready(self) -> bool:
        """Whether clients are accepted and requests can be served."""

    @property
    def draining(self) -> bool:
        """Whether the graceful shutdown has started."""

    @property
    def answer_deadline_ns(self) -> int:
        """When the last answer is given after SIGTERM (monotonic clock)."""

    def is_usage_above(self, fraction: float) -> bool:
        """Return whether at least this fraction of the connection limit is in use."""

    def wait(self, client: HostedConnection, phase: Phase) -> None:
        """Enter a phase in which the connection has no open request, and start its time limit."""

    def note_progress(self, client: HostedConnection) -> None:
        """Record that a connection has received more of its request."""

    def leave_phase(self, client: HostedConnection) -> None:
        """End the connection's current phase."""

    def connection_closed(self, client: HostedConnection) -> None:
        """Remove a connection that is closed."""

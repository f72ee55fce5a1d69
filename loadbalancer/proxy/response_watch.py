"""Watches a response that is being streamed, and reports when it has reached its limit."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.message_end import MIN_CHECK_NS, Clock, ResponseTransit


def _ignore(_clock: Clock) -> None:
    """Do nothing: the connection is closed."""


class ResponseWatch:
    """The state of the response that is being streamed on a connection, and a timer for its limit.

    No timer is set for each piece: the limit is looked at again when the timer fires.

    Args:
        on_limit: Called when the response has reached its limit, with the clock that ended it.

    Attributes:
        transit: The response; None: none is being streamed.
    """

    __slots__ = ("_on_limit", "_timer", "transit")

    def __init__(self, on_limit: Callable[[Clock], None]) -> None:
        self.transit: ResponseTransit | None = None
        self._on_limit = on_limit
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, length: int | None, deadline_s: float, received_bytes: int) -> None:
        """Begin to watch a response.

        Args:
            length: The length that was announced; None: there is none.
            deadline_s: The client's deadline (event-loop time); inf: it is not known.
            received_bytes: Bytes of the body that have arrived.
        """
        deadline_ns = None if math.isinf(deadline_s) else int(deadline_s * NS_PER_S)
        now_ns = time.monotonic_ns()
        self.transit = ResponseTransit(length, deadline_ns, now_ns)
        self.transit.piece_received(received_bytes, now_ns)
        self._schedule()

    def piece_received(self, received_bytes: int) -> None:
        """Note a piece, after it was counted.

        Args:
            received_bytes: Bytes of the body that have arrived, this piece included.
        """
        transit = self.transit
        if transit is not None and transit.piece_received(received_bytes, time.monotonic_ns()):
            self._schedule()

    def hold(self) -> None:
        """Note that the response is not read further, because its client reads slowly."""
        if self.transit is not None:
            self.transit.hold()
            self._schedule()

    def read_on(self) -> None:
        """Note that the response is read again."""
        if self.transit is not None:
            self.transit.read_on(time.monotonic_ns())
            self._schedule()

    def end(self) -> ResponseTransit | None:
        """Stop watching; return the response, if one was being streamed."""
        self._cancel()
        transit, self.transit = self.transit, None
        return transit

    def close(self) -> None:
        """Stop watching, and forget the connection, which refers to the watch."""
        self.end()
        self._on_limit = _ignore

    def _schedule(self) -> None:
        self._cancel()
        limit = self.transit.limit if self.transit is not None else None
        if limit is not None:
            left_ns = limit.at_ns - time.monotonic_ns()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(MIN_CHECK_NS, left_ns) / NS_PER_S, self._check)

    def _check(self) -> None:
        limit = self.transit.limit if self.transit is not None else None
        if limit is None or time.monotonic_ns() < limit.at_ns:
            self._schedule()
        else:
            self._on_limit(limit.clock)

    def _cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

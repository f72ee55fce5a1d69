"""Tests of the decision whether a peer still takes what is sent to it, with simulated peers."""

from __future__ import annotations

import pytest

from loadbalancer.proxy.body_stream import MAX_LENGTH
from loadbalancer.proxy.send_progress import (
    CHECK_INTERVAL_S,
    GRACE_S,
    MAX_READING_S,
    SendProgress,
    SendState,
)

SLOW_BYTES_PER_S = 64_000  # the rate that the specification names for slow clients


def bytes_due(seconds: float, burst_s: float) -> int:
    """Return how much a slow peer has read after this time, steadily or in bursts."""
    reading_s = seconds // burst_s * burst_s if burst_s else seconds
    return int(reading_s * SLOW_BYTES_PER_S)


class SimulatedPeer:
    """A peer whose kernel announces space only when a part of its receive buffer is free.

    Args:
        buffer_size: Size of its receive buffer.
        reopening_fraction: The part of the buffer that has to be free.
    """

    def __init__(self, buffer_size: int, reopening_fraction: float) -> None:
        self.buffer_size = buffer_size
        self.reopens_at = buffer_size * reopening_fraction
        self.read_bytes = 0
        self.acknowledged_bytes = 0

    def read_up_to(self, total: int) -> None:
        """Read up to this total, and acknowledge what there is space for meanwhile."""
        is_reading = True
        while is_reading:
            free = self.buffer_size - (self.acknowledged_bytes - self.read_bytes)
            if free >= self.reopens_at:
                self.acknowledged_bytes = min(self.acknowledged_bytes + free, MAX_LENGTH)
            is_reading = self.read_bytes < min(total, self.acknowledged_bytes)
            self.read_bytes = max(self.read_bytes, min(total, self.acknowledged_bytes))


@pytest.mark.parametrize("burst_s", [0.0, 4.0, 8.0])
@pytest.mark.parametrize("reopening_fraction", [0.0, 1 / 16, 1 / 10])
@pytest.mark.parametrize("buffer_size", [4096, 65536, 1 << 20, 8 << 20, 16 << 20, 31 << 20])
def test_peer_that_reads_at_the_slow_rate_is_never_stalled(
    buffer_size: int, reopening_fraction: float, burst_s: float
) -> None:
    """Guards against closing a peer whose kernel or application takes bytes in large steps."""
    peer = SimulatedPeer(buffer_size, reopening_fraction)
    progress = SendProgress(0.0, 0)
    seconds = 0.0
    while peer.acknowledged_bytes < MAX_LENGTH:
        seconds += CHECK_INTERVAL_S
        peer.read_up_to(bytes_due(seconds, burst_s))
        outstanding = MAX_LENGTH - peer.acknowledged_bytes
        state = progress.check(seconds, peer.acknowledged_bytes, outstanding)
        assert state is SendState.PROGRESSING, seconds


@pytest.mark.parametrize("read_before", [0, 64_000, 16_000_000])
@pytest.mark.parametrize("buffer_size", [4096, 65536, 1 << 20, 8 << 20, 15 << 20])
def test_peer_that_stops_reading_is_stalled_within_the_limit(
    buffer_size: int, read_before: int
) -> None:
    """Guards against a bound that grows with the buffers between the balancer and a dead peer."""
    peer = SimulatedPeer(buffer_size, 0.0)
    peer.read_up_to(read_before)
    progress = SendProgress(0.0, 0)
    seconds = 0.0
    state = SendState.PROGRESSING
    while state is SendState.PROGRESSING:
        seconds += CHECK_INTERVAL_S
        state = progress.check(seconds, peer.acknowledged_bytes, 1)
    assert GRACE_S <= seconds <= GRACE_S + MAX_READING_S + CHECK_INTERVAL_S


def test_peer_that_has_nothing_to_take_is_not_stalled() -> None:
    """Guards against blaming a peer that has taken everything for a sender that is slow."""
    progress = SendProgress(0.0, 0)
    for number in range(1, 1000):
        assert progress.check(number * CHECK_INTERVAL_S, 1000, 0) is SendState.PROGRESSING
    just_in_time_s = 999 * CHECK_INTERVAL_S + GRACE_S - CHECK_INTERVAL_S
    assert progress.check(just_in_time_s, 1000, 1) is SendState.PROGRESSING

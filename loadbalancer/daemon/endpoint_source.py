"""Decides from where a balancer gets the endpoint list, and when it polls discovery.

One leader watches discovery and publishes the list to the store; the other balancers follow the
list. While the leader is silent or unknown, each balancer polls discovery itself. No balancer can
count the others while the store is unavailable, so each one draws its poll times from an interval
that limits all of them together to `FLEET_POLLS_PER_S`. This module does no I/O.
"""

from __future__ import annotations

import random

from loadbalancer.leases.fence import FencedReceiver, FencingPosition

SECOND = 1_000_000_000
LEADER_TIMEOUT_NS = 12 * SECOND  # three times the longest silence of the leader's discovery watch
# A balancer without any upstream waits less time for the first message, and its first poll is
# spread over at most half a second. So a restarted balancer routes requests within two seconds,
# with or without the store.
INITIAL_TIMEOUT_NS = SECOND // 4
INITIAL_SPREAD_NS = SECOND // 2
FLEET_POLLS_PER_S = 10.0  # of all balancers together, while the leader is silent
MIN_POLL_INTERVAL_NS = SECOND
POLL_JITTER = (0.8, 1.2)


class EndpointSource:
    """Tracks the leader's messages, and schedules polls of discovery while there are none."""

    def __init__(self, balancer_count: int, rng: random.Random, now: int) -> None:
        self.rng = rng
        self.receiver = FencedReceiver(FencingPosition())
        self.heartbeat = 0  # number of the leader's last confirmation
        self.last_message_ns = now  # time of the leader's last new message
        self.is_leader = False
        self.is_empty = True  # whether no list has been received yet
        self.poll_interval_ns = max(
            MIN_POLL_INTERVAL_NS, int(balancer_count / FLEET_POLLS_PER_S * SECOND)
        )
        self.next_poll_ns: int | None = None

    def set_leader(self, is_leader: bool, now: int) -> None:
        """Set whether this process is the leader."""
        self.is_leader = is_leader
        self._reset_timeout(now)

    def learn_committed(self, position: FencingPosition, now: int) -> None:
        """Set the committed position, before any other message is accepted."""
        self.receiver.learn(position)
        if position.token:
            self._reset_timeout(now)

    def accept_list(self, position: FencingPosition, now: int) -> bool:
        """Return whether a received list may be used."""
        if not self.receiver.accept(position):
            return False
        self.is_empty = False
        self._reset_timeout(now)
        return True

    def confirm(self, position: FencingPosition, heartbeat: int, now: int) -> None:
        """Handle the leader's confirmation that its list still matches discovery."""
        if position == self.receiver.highest and heartbeat > self.heartbeat:
            self._reset_timeout(now)
        self.heartbeat = heartbeat

    def _reset_timeout(self, now: int) -> None:
        self.last_message_ns = now
        self.next_poll_ns = None

    def take_due_poll(self, now: int) -> bool:
        """Return whether to poll discovery now; if so, schedule the next poll."""
        if self.is_leader or now < self._timeout_ns:
            return False
        if self.next_poll_ns is None:
            # All balancers detect the silence at the same time, so the first poll is spread, too.
            spread_ns = self.poll_interval_ns
            if self.is_empty:
                spread_ns = min(spread_ns, INITIAL_SPREAD_NS)
            self.next_poll_ns = now + int(self.rng.random() * spread_ns)
        if now < self.next_poll_ns:
            return False
        self.next_poll_ns = now + int(self.poll_interval_ns * self.rng.uniform(*POLL_JITTER))
        return True

    @property
    def is_polling(self) -> bool:
        """Whether this balancer currently polls discovery itself."""
        return not self.is_leader and self.next_poll_ns is not None

    @property
    def wake_ns(self) -> int:
        """Time at which `take_due_poll` must be called next."""
        return self._timeout_ns if self.next_poll_ns is None else self.next_poll_ns

    @property
    def _timeout_ns(self) -> int:
        """Time from which the leader counts as silent."""
        return self.last_message_ns + (INITIAL_TIMEOUT_NS if self.is_empty else LEADER_TIMEOUT_NS)

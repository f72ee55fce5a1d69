"""Token bucket with a job buffer for one tenant (Berger and Whitt)."""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import Enum
from typing import Final, Generic, TypeVar

from loadbalancer.policy.clock import SECOND

TOKEN_CAPACITY_S: Final = 0.5  # C_T in seconds of tokens
BUFFER_FRACTION: Final = 0.2  # C_J as a fraction of C_T
START_RATE: Final = 10_000.0  # initial R, above what a proxy can handle

RequestT = TypeVar("RequestT")


class Offer(Enum):
    """The result of offering a request to a token bucket."""

    ADMITTED = "admitted"
    BUFFERED = "buffered"  # waits for a token in the job buffer
    OVERFLOW = "overflow"  # the job buffer is full


class TokenBucket(Generic[RequestT]):
    """Admission of one tenant, by the counter U = T - J + C_J in [0, C_J + C_T] of the paper.

    See its equations (2.1) and (2.8); T is the number of tokens, J the number of buffered requests.

    Attributes:
        token_capacity: C_T.
        buffer_capacity: C_J; never below `min_buffer_capacity`.
        counter: U.
    """

    def __init__(self, weight: float, rng: random.Random, now: int) -> None:
        self.weight = weight
        self.token_capacity = round(START_RATE * TOKEN_CAPACITY_S)
        self.min_buffer_capacity = round(self.token_capacity * BUFFER_FRACTION)
        self.buffer_capacity = self.min_buffer_capacity
        self.counter = self.token_capacity + self.buffer_capacity  # starts full
        self.rate = START_RATE
        # A random phase keeps proxies from releasing their buffered requests simultaneously.
        self.token_fraction = rng.random()
        self.accrued_ns = now
        # A list, because an empty deque takes ten times the memory and most buckets buffer nothing.
        self.buffered: list[RequestT] = []
        self.request_count = 0  # since the rate was last set
        self.demand = 0.0  # learned average of requests a second
        self.has_timer = False  # a timer for the next token is set
        self.is_over_share = False
        self.had_token_shortage = False  # a request found no token since the rate was last set
        self.planned_rate = 0.0  # requests a second within its share, by the traffic plan; 0: none
        self.planned_tokens = 0.0  # accrued at `planned_rate`, at most one second of tokens
        self.planned_ns = now
        # State of the rate controller for this bucket.
        self.index = 0  # of the bucket, in the order of the settings
        self.demand_ratio = 0.0  # demand divided by weight
        self.granted_rate = 0.0  # part of the demand that the admission rate covers
        self.fair_rate = 0.0  # part of the demand that the served rate covers

    def set_rate(
        self, rate: float, now: int, same_rate_bucket: TokenBucket[RequestT] | None = None
    ) -> None:
        """Change the rate and the capacities, and keep tokens and buffered requests.

        Args:
            rate: Tokens a second.
            now: The time in nanoseconds.
            same_rate_bucket: A bucket that already has this rate, to copy the capacities from.
        """
        self.accrue(now)
        balance = self.counter - self.buffer_capacity  # T - J
        self.rate = rate
        if same_rate_bucket is not None:
            self.token_capacity = same_rate_bucket.token_capacity
            self.min_buffer_capacity = same_rate_bucket.min_buffer_capacity
        else:
            self.token_capacity = max(4, round(rate * TOKEN_CAPACITY_S))
            self.min_buffer_capacity = max(1, round(self.token_capacity * BUFFER_FRACTION))
        self.buffer_capacity = max(self.min_buffer_capacity, len(self.buffered))
        self.counter = max(
            0,
            min(self.token_capacity + self.buffer_capacity, balance + self.buffer_capacity),
        )

    def exceeds_plan(self, now: int) -> bool:
        """Count a request against the planned rate, and return whether the request exceeds it."""
        new_tokens = self.planned_rate * (now - self.planned_ns) / SECOND
        self.planned_tokens = min(self.planned_rate, self.planned_tokens + new_tokens)
        self.planned_ns = now
        if self.planned_tokens < 1.0:
            return self.planned_rate > 0
        self.planned_tokens -= 1.0
        return False

    def accrue(self, now: int) -> None:
        """Add the tokens that have accrued since the last call."""
        self.token_fraction += self.rate * (now - self.accrued_ns) / SECOND
        tokens = int(self.token_fraction)
        self.accrued_ns = now
        self.token_fraction -= tokens
        self.counter = min(self.token_capacity + self.buffer_capacity, self.counter + tokens)

    def offer(self, request: RequestT, now: int) -> Offer:
        """Take a token for a request, or buffer the request until one is available."""
        self.accrue(now)
        self.request_count += 1
        if self.counter <= self.buffer_capacity:
            self.had_token_shortage = True
        if self.counter < 1:
            return Offer.OVERFLOW
        self.counter -= 1
        if self.counter >= self.buffer_capacity:
            return Offer.ADMITTED
        self.buffered.append(request)
        return Offer.BUFFERED

    def take_spare(self, now: int) -> bool:
        """Take a token for a hedged request or a client's retry.

        Returns:
            False, without taking a token, if at most a quarter of the token capacity is available.
        """
        self.accrue(now)
        if self.counter - self.buffer_capacity <= self.token_capacity // 4:
            return False
        self.counter -= 1
        return True

    def release(self, now: int) -> Iterable[RequestT]:
        """Yield the buffered requests for which a token is available now."""
        self.accrue(now)
        while len(self.buffered) > max(0, self.buffer_capacity - self.counter):
            yield self.buffered.pop(0)

    def remove(self, request: RequestT) -> None:
        """Remove a buffered request that is finished, and return its token."""
        self.buffered.remove(request)
        self.counter += 1

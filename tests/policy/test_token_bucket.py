"""The token bucket against the paper's recursion (2.5)-(2.11) and Theorem 3.1."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.policy import Balancer, Request, TokenBucket, api
from loadbalancer.policy.token_bucket import Offer
from tests.bench import MS, READ, SECOND


def token_bucket(
    token_slots: int, buffer_slots: int, u: int, rate: float = 1.0
) -> TokenBucket[Request]:
    bucket: TokenBucket[Request] = TokenBucket(1.0, random.Random(1), 0)
    (
        bucket.token_capacity,
        bucket.buffer_capacity,
        bucket.counter,
        bucket.rate,
        bucket.token_fraction,
        bucket.accrued_ns,
    ) = (
        token_slots,
        buffer_slots,
        u,
        rate,
        0.0,
        0,
    )
    return bucket


def request(number: int, bucket: TokenBucket[Request]) -> Request:
    """Return a request of this bucket whose deadline is never reached."""
    return Request(
        f"r{number}",
        READ,
        bucket,
        Balancer(api.Settings(), 1, 0).dispatcher.main_queue,
        10**15,
        10**15,
        0,
    )


def run_arrivals(
    bucket: TokenBucket[Request], steps: list[int]
) -> tuple[list[int], list[int], list[str]]:
    """In each second, accrue one token, then offer the number of requests of that step.

    Returns, for each step, the counter U and the overflows so far; and the ids in sending order.
    """
    counters, overflows, sent = [], [], []
    overflow = count = 0
    for second, arrivals in enumerate(steps, 1):
        now = second * SECOND
        sent += [r.id for r in bucket.release(now)]
        for _ in range(arrivals):
            count += 1
            r = request(count, bucket)
            answer = bucket.offer(r, now)
            overflow += answer is Offer.OVERFLOW
            if answer is Offer.ADMITTED:
                sent.append(r.id)
        counters.append(bucket.counter)
        overflows.append(overflow)
    return counters, overflows, sent


def recursion(total: int, u: int, steps: list[int]) -> tuple[list[int], list[int]]:
    """Compute equations (2.8) and (2.10) of the paper.

    Each step adds one token, then processes its requests one by one.
    """
    counters, overflows, overflow = [], [], 0
    for arrivals in steps:
        u = min(total, u + 1)
        for _ in range(arrivals):
            x = -1
            after = min(total, max(0, u + x))
            overflow += -(x - (after - u))
            u = after
        counters.append(u)
        overflows.append(overflow)
    return counters, overflows


STEPS = st.lists(st.integers(0, 5), max_size=60)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 6), st.integers(1, 6), STEPS)
def test_counter_follows_the_recursion(
    token_slots: int, buffer_slots: int, steps: list[int]
) -> None:
    bucket = token_bucket(token_slots, buffer_slots, token_slots + buffer_slots)
    counters, overflows, _ = run_arrivals(bucket, steps)
    assert (counters, overflows) == recursion(
        token_slots + buffer_slots, token_slots + buffer_slots, steps
    )
    assert len(bucket.buffered) == max(0, buffer_slots - bucket.counter)  # (2.3)


@settings(derandomize=True, deadline=None)
@given(st.integers(2, 8), st.data(), STEPS)
def test_overflow_depends_on_the_sum_of_the_capacities_only(
    total: int, data: st.DataObject, steps: list[int]
) -> None:
    a, b = (data.draw(st.integers(1, total)) for _ in "ab")
    u = data.draw(st.integers(max(a, b), total))
    assert (
        run_arrivals(token_bucket(total - a, a, u), steps)[:2]
        == run_arrivals(token_bucket(total - b, b, u), steps)[:2]
    )


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_buffered_requests_are_released_in_order(steps: list[int]) -> None:
    _, _, sent = run_arrivals(token_bucket(1, 4, 5), steps)
    assert sent == sorted(sent, key=lambda r: int(r[1:]))


def test_removing_a_buffered_request_returns_its_token() -> None:
    bucket = token_bucket(0, 2, 2)
    first, second = request(1, bucket), request(2, bucket)
    assert bucket.offer(first, 0) is Offer.BUFFERED and bucket.offer(second, 0) is Offer.BUFFERED
    bucket.remove(first)
    assert list(bucket.release(SECOND)) == [second] and bucket.counter == 2


def test_rate_change_keeps_tokens_and_buffered_requests() -> None:
    bucket = token_bucket(0, 2, 2)
    r = request(1, bucket)
    assert bucket.offer(r, 0) is Offer.BUFFERED
    bucket.set_rate(100.0, 0)
    assert bucket.buffer_capacity - bucket.counter == 1 and list(bucket.buffered) == [r]
    assert list(bucket.release(20 * MS)) == [r]


def test_bucket_starts_full_with_a_random_token_phase() -> None:
    buckets: list[TokenBucket[Request]] = [
        TokenBucket(1.0, random.Random(seed), 0) for seed in range(20)
    ]
    for bucket in buckets:
        assert bucket.counter == bucket.token_capacity + bucket.buffer_capacity
    assert len({round(bucket.token_fraction, 3) for bucket in buckets}) > 10

"""The token bucket against the paper's recursion (2.5)-(2.11) and Theorem 3.1."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.policy import Balancer, Request, TokenBucket, api
from loadbalancer.policy.token_bucket import Offer
from tests.bench import MS, READ, SECOND


def token_bucket(bank: int, hold: int, u: int, rate: float = 1.0) -> TokenBucket[Request]:
    t: TokenBucket[Request] = TokenBucket(1.0, random.Random(1), 0)
    t.token_capacity, t.buffer_capacity, t.counter, t.rate, t.token_fraction, t.accrued_ns = (
        bank,
        hold,
        u,
        rate,
        0.0,
        0,
    )
    return t


def request(number: int, t: TokenBucket[Request]) -> Request:
    return Request(
        f"r{number}",
        READ,
        t,
        Balancer(api.Settings(), 1, 0).dispatcher.main_queue,
        10**15,
        10**15,
        0,
    )


def play(t: TokenBucket[Request], steps: list[int]) -> tuple[list[int], list[int], list[str]]:
    """At each second: one token, then that many requests. Gives U, the overflows so far, the order
    sent.
    """
    path, lost, sent = [], [], []
    overflow = count = 0
    for second, arrivals in enumerate(steps, 1):
        now = second * SECOND
        sent += [r.id for r in t.release(now)]
        for _ in range(arrivals):
            count += 1
            r = request(count, t)
            answer = t.offer(r, now)
            overflow += answer is Offer.OVERFLOW
            if answer is Offer.ADMITTED:
                sent.append(r.id)
        path.append(t.counter)
        lost.append(overflow)
    return path, lost, sent


def recursion(total: int, u: int, steps: list[int]) -> tuple[list[int], list[int]]:
    """(2.8) and (2.10), a token epoch and then the requests one by one."""
    path, lost, overflow = [], [], 0
    for arrivals in steps:
        u = min(total, u + 1)
        for _ in range(arrivals):
            x = -1
            after = min(total, max(0, u + x))
            overflow += -(x - (after - u))
            u = after
        path.append(u)
        lost.append(overflow)
    return path, lost


STEPS = st.lists(st.integers(0, 5), max_size=60)


@settings(derandomize=True, deadline=None)
@given(st.integers(0, 6), st.integers(1, 6), STEPS)
def test_counter_follows_the_recursion(bank: int, hold: int, steps: list[int]) -> None:
    t = token_bucket(bank, hold, bank + hold)
    path, lost, _ = play(t, steps)
    assert (path, lost) == recursion(bank + hold, bank + hold, steps)
    assert len(t.buffered) == max(0, hold - t.counter)  # (2.3)


@settings(derandomize=True, deadline=None)
@given(st.integers(2, 8), st.data(), STEPS)
def test_overflow_depends_on_the_sum_of_the_capacities_only(
    total: int, data: st.DataObject, steps: list[int]
) -> None:
    a, b = (data.draw(st.integers(1, total)) for _ in "ab")
    u = data.draw(st.integers(max(a, b), total))
    assert (
        play(token_bucket(total - a, a, u), steps)[:2]
        == play(token_bucket(total - b, b, u), steps)[:2]
    )


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_held_requests_leave_in_order(steps: list[int]) -> None:
    _, _, sent = play(token_bucket(1, 4, 5), steps)
    assert sent == sorted(sent, key=lambda r: int(r[1:]))


def test_a_held_request_that_ends_gives_its_token_back() -> None:
    t = token_bucket(0, 2, 2)
    first, second = request(1, t), request(2, t)
    assert t.offer(first, 0) is Offer.BUFFERED and t.offer(second, 0) is Offer.BUFFERED
    t.remove(first)
    assert list(t.release(SECOND)) == [second] and t.counter == 2


def test_change_of_rate_keeps_tokens_and_held() -> None:
    t = token_bucket(0, 2, 2)
    r = request(1, t)
    assert t.offer(r, 0) is Offer.BUFFERED
    t.set_rate(100.0, 0)
    assert t.buffer_capacity - t.counter == 1 and list(t.buffered) == [r]
    assert list(t.release(20 * MS)) == [r]


def test_starts_full_and_ticks_out_of_step() -> None:
    buckets: list[TokenBucket[Request]] = [
        TokenBucket(1.0, random.Random(seed), 0) for seed in range(20)
    ]
    for t in buckets:
        assert t.counter == t.token_capacity + t.buffer_capacity
    assert len({round(t.token_fraction, 3) for t in buckets}) > 10

"""The soak of upstreams that come back cold: budget, upstreams and real processes."""

from __future__ import annotations

import asyncio
import random
import shutil
import socket
from pathlib import Path

import pytest

import loadbalancer
from loadbalancer.testbed.soak.capacity import Capacity, Workers
from loadbalancer.testbed.soak.checker import Checker
from loadbalancer.testbed.soak.history import (
    Asked,
    Attempt,
    Call,
    Change,
    ColdStart,
    History,
    Kind,
    Process,
)
from loadbalancer.testbed.soak.plan import Plan
from loadbalancer.testbed.soak.ports import free_port
from loadbalancer.testbed.soak.run import play
from loadbalancer.testbed.soak.slow_start_check import SlowStartRules, limit
from tests.fakes import run

MS, SECOND = 1_000_000, 1_000_000_000
PROGRAM = Path(loadbalancer.__file__).parent.parent
RULES = SlowStartRules(cold_share=0.3, cold_ns=8 * SECOND, multiple=3.0, window_ns=1500 * MS)
WARM_PER_S = 10.0
START = 100 * SECOND
LISTED = START + 600 * MS


def history_of_sends(count: int, notified: int, gap_ns: int = 10 * MS) -> History:
    """Attempts at a cold upstream from two balancers, of which only the first is notified."""
    history = History()
    change = Change("s", 5, LISTED)
    history.cold_starts.append(ColdStart(2, START, WARM_PER_S, change))
    for balancer in (0, 1):
        history.processes.append(Process(balancer, balancer, START - 9 * SECOND))
    history.calls.append(Call(0, START, 60_000, 4, 0, LISTED, 5))
    history.outages.append((LISTED - SECOND, START + 60 * SECOND))  # so the second knows nothing
    for number in range(count):
        balancer = 0 if number < notified else 1
        history.asked.append(Asked(f"r{number}", Kind.READ, balancer, 500, b""))
        at_ns = LISTED + MS + number * gap_ns
        history.attempts.append(Attempt(f"r{number}", "s", 2, at_ns, 400, at_ns, True))
    return history


def overloads(history: History) -> list[str]:
    return [
        breach.what
        for breach in Checker(history, SECOND, SECOND, RULES).breaches()
        if breach.rule == "slow start"
    ]


def test_limits_follow_from_the_budget() -> None:
    assert RULES.budget(0, WARM_PER_S) == pytest.approx(13.5)
    assert RULES.budget(8 * SECOND, WARM_PER_S) == pytest.approx(45.0)
    assert RULES.budget(99 * SECOND, WARM_PER_S) == pytest.approx(45.0)
    assert limit(25.0) == pytest.approx(25 + 15 + 3)
    assert limit(36.0) == pytest.approx(36 + 12 + 2)


def test_one_request_over_the_limit_of_a_window_is_a_breach() -> None:
    # 32 in the first window: N is 18.4 after 1.23 s, and 18.4 + 3 roots + 3 = 34.2 are allowed.
    assert overloads(history_of_sends(32, notified=32)) == []
    [found] = overloads(history_of_sends(40, notified=40))
    assert found.startswith("upstream s, 0.9")


def test_sends_further_apart_than_the_window_do_not_add_up() -> None:
    assert overloads(history_of_sends(60, notified=60, gap_ns=100 * MS)) == []


def test_sends_of_balancers_that_were_not_notified_are_no_breach() -> None:
    assert overloads(history_of_sends(60, notified=20)) == []


def test_sends_to_another_process_of_the_upstream_are_not_counted() -> None:
    history = history_of_sends(60, notified=60)
    for attempt in history.attempts:
        attempt.process = 1
    assert overloads(history) == []


def test_workers_reject_beyond_cores_and_queue_and_free_them_when_cancelled() -> None:
    async def test() -> None:
        capacity = Capacity(1, 0.02, 1, 0.3, 8.0)
        assert capacity.speed(0.0) == pytest.approx(0.3)
        assert capacity.speed(99.0) == 1.0
        workers = Workers(capacity, random.Random(1))
        first, second = (asyncio.create_task(workers.work(99.0)) for _ in range(2))
        await asyncio.sleep(0)
        assert await workers.work(99.0) is False
        first.cancel()
        assert await second
        assert (workers.busy, len(workers.waiting)) == (0, 0)

    run(test())


def program_that_takes_failures_for_capacity(folder: Path) -> Path:
    """Copy the program, with the fault of the incident seeded into it."""
    shutil.copytree(PROGRAM / "loadbalancer", folder / "loadbalancer")
    policy = folder / "loadbalancer" / "policy"
    for name, correct, faulty in (
        (
            "capacity_estimate.py",
            "return min(max(served_per_s, single_per_s), START_WINDOW * single_per_s)",
            "return max(served_per_s, single_per_s)",
        ),
        (
            "attempt_tracker.py",
            "self.rate_controller.failure_count += 1\n",
            "self.rate_controller.failure_count += 1\n"
            "        self.upstream_set.slow_start.capacity.record_response(duration_ns)\n",
        ),
    ):
        text = (policy / name).read_text()
        assert text.count(correct) == 1
        (policy / name).write_text(text.replace(correct, faulty))
    return folder


def test_the_soak_finds_balancers_that_take_failures_for_capacity(tmp_path: Path) -> None:
    async def test() -> None:
        program = program_that_takes_failures_for_capacity(tmp_path)
        plan = Plan(3, 14.0, 100, 8, 0.0, program, only=frozenset({"hold_up"}), cold_returns=True)
        verdict = await play(plan)
        found = {breach.rule for breach in (*verdict.breaches, *verdict.unsure)}
        assert found == {"slow start"}
        assert verdict.fullest_window > 1.0

    run(test())


# Guards against two soaks side by side that give out the same port.
def test_a_port_that_was_given_out_is_free_for_its_listener_alone() -> None:
    port = free_port()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", port))
        listener.listen()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        pytest.raises(OSError, match="in use"),
    ):
        other.bind(("127.0.0.1", port))


# Guards against balancers that take failed attempts for capacity: together they overloaded
# upstreams that came back cold under a burst.
def test_balancers_together_stay_within_the_budget_of_cold_upstreams() -> None:
    async def test() -> None:
        plan = Plan(3, 14.0, 100, 8, 0.0, PROGRAM, only=frozenset({"hold_up"}), cold_returns=True)
        verdict = await play(plan)
        assert verdict.breaches == []
        assert verdict.fullest_window <= 1.0
        assert len(verdict.history.cold_starts) >= 2
        assert verdict.counts["served"] > 500

    run(test())

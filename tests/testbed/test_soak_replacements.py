"""Replacements of all balancers together, in the soak, and its check by balancer."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Final

import pytest
import uvloop

import loadbalancer
from loadbalancer.testbed.soak.checker import Checker
from loadbalancer.testbed.soak.history import Asked, Attempt, Call, Change, End, History, Kind
from loadbalancer.testbed.soak.history import Process as BalancerProcess
from loadbalancer.testbed.soak.plan import DRAIN_GRACE_NS, MS, REPEAT_WINDOW_NS, SECOND, Plan
from loadbalancer.testbed.soak.run import Verdict, play

PROGRAM: Final = Path(loadbalancer.__file__).parent.parent
SECONDS: Final = 14.0
TIMEOUT_S: Final = 100.0
SEEDS: Final = range(8301, 8311)
CHANGED: Final = 100 * SECOND
# With these the program is as it was before the incident of 2026-12-06: nothing is shared, nothing
# limits the use of an old list, and discovery is polled at any time within 2.5 s.
MUTATIONS: Final = {
    "loadbalancer/policy/balancer.py": ("self.subscription.replacement_began(now)", "pass"),
    "loadbalancer/proxy/discovery.py": ("if shared.source == self.source]", "if False]"),
    "loadbalancer/proxy/list_confirmation.py": (
        "return None if not self.is_needed",
        "return None if True or not self.is_needed",
    ),
}


def played(seed: int, program: Path, push: bool = False) -> Verdict:
    """Return the verdict of a run in which all balancers are replaced, while upstreams drain."""
    plan = Plan(
        seed,
        SECONDS,
        4,
        6,
        30.0,
        program,
        push,
        only=frozenset({"hold_up"}),
        first_call_s=0.5,
        replacements=True,
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(play(plan), TIMEOUT_S))


@pytest.mark.parametrize("push", [True, False])
def test_replaced_processes_keep_the_rules_before_a_busy_discovery(push: bool) -> None:
    assert played(SEEDS[0], PROGRAM, push).breaches == []


def test_a_program_whose_processes_share_nothing_sends_to_a_drained_upstream(
    tmp_path: Path,
) -> None:
    shutil.copytree(PROGRAM / "loadbalancer", tmp_path / "loadbalancer")
    for name, (text, mutation) in MUTATIONS.items():
        module = tmp_path / name
        assert module.read_text().count(text) == 1
        module.write_text(module.read_text().replace(text, mutation))
    rules = (breach.rule for seed in SEEDS for breach in played(seed, tmp_path).breaches)
    assert "drain" in rules


def replaced_history(sent_ns: int) -> History:
    """Return a history in which the old process is told of a drain while a new one takes over."""
    history = History()
    old = BalancerProcess(0, 0, CHANGED - 20 * SECOND, CHANGED - 19 * SECOND, CHANGED + 50 * MS)
    old.ended_ns, old.status = CHANGED + 600 * MS, 0
    new = BalancerProcess(1, 0, CHANGED - 500 * MS, CHANGED - 100 * MS)
    history.processes += [old, new]
    history.changes.append(Change("s", 7, CHANGED))
    history.calls.append(Call(0, CHANGED - SECOND, 9000, 6, 0, CHANGED + MS, 7))
    asked = Asked("r", Kind.PAY, 0, 500, b"", sent_ns, sent_ns + 20 * MS, End.SERVED)
    history.asked.append(asked)
    history.attempts.append(Attempt("r", "s", 1, sent_ns + MS, 498, sent_ns + MS, True))
    return history


@pytest.mark.parametrize(("after_ns", "rules"), [(2300 * MS, []), (2600 * MS, ["drain"])])
def test_what_the_old_process_was_told_binds_the_new_one_2_s_after_its_readiness(
    after_ns: int, rules: list[str]
) -> None:
    history = replaced_history(CHANGED + after_ns)
    breaches = Checker(history, DRAIN_GRACE_NS, REPEAT_WINDOW_NS).breaches()
    assert [breach.rule for breach in breaches] == rules

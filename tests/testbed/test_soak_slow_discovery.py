"""A discovery whose answers are all late, in the soak."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path
from typing import Final

import pytest
import uvloop

import loadbalancer
from loadbalancer.testbed.soak.history import End
from loadbalancer.testbed.soak.plan import Plan
from loadbalancer.testbed.soak.run import Verdict, play

PROGRAM: Final = Path(loadbalancer.__file__).parent.parent
DELAY_S: Final = 2.6
SECONDS: Final = 24.0
TIMEOUT_S: Final = 100.0
SERVED_SHARE: Final = 0.8
KEEP_LATE_POLL: Final = "        self._calls.append(call)\n"
DROP_LATE_POLL: Final = "        call.give_up()\n"


def played(seed: int, program: Path, push: bool) -> Verdict:
    """Return the verdict of a run in which upstreams drain for seconds."""
    only = frozenset({"drain"})
    plan = Plan(seed, SECONDS, 2, 4, 20.0, program, push, only=only, discovery_delay_s=DELAY_S)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(play(plan), TIMEOUT_S))


def served_share(verdict: Verdict) -> float:
    """Return the share of the requests that were served, of those whose clients stayed."""
    counts = verdict.counts
    stayed = sum(counts.values()) - counts.get(End.LEFT.name.lower(), 0)
    return counts.get(End.SERVED.name.lower(), 0) / stayed


# Case 10 of the second review: answers that came 2.6 s late were never heard.
@pytest.mark.parametrize("push", [True, False])
def test_a_slow_discovery_neither_breaks_rules_nor_stops_service(push: bool) -> None:
    verdict = played(2, PROGRAM, push)
    assert verdict.breaches == []
    assert served_share(verdict) >= SERVED_SHARE


def test_a_program_that_gives_up_late_polls_stops_service(tmp_path: Path) -> None:
    shutil.copytree(PROGRAM / "loadbalancer", tmp_path / "loadbalancer")
    module = tmp_path / "loadbalancer/proxy/discovery_call.py"
    text = module.read_text()
    assert text.count(KEEP_LATE_POLL) == 1
    module.write_text(text.replace(KEEP_LATE_POLL, DROP_LATE_POLL))
    assert served_share(played(2, tmp_path, push=True)) < SERVED_SHARE

"""Steps of the wall clock must not affect durations or the start times of upstreams."""

from __future__ import annotations

import re
import time
from dataclasses import replace
from pathlib import Path

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import upstream_number
from tests.fakes import SECOND, SETTINGS, EventRecorder, run, running_balancer

ROOT = Path(__file__).parent.parent
STEPS_S = -3600, -5, 5, 3600


@pytest.mark.parametrize("step_s", STEPS_S)
def test_start_time_is_correct_after_a_clock_step(
    step_s: int, recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a step, the start is converted correctly, and another step does not change it."""

    async def test() -> None:
        rules = replace(SETTINGS.rules, slow_start_ns=60 * SECOND)
        async with running_balancer(2, settings=replace(SETTINGS, rules=rules)) as w:
            await w.update_endpoints(w.upstreams[0].row())
            read_ns, read_s = time.time_ns, time.time
            monkeypatch.setattr(time, "time_ns", lambda: read_ns() + step_s * SECOND)
            monkeypatch.setattr(time, "time", lambda: read_s() + step_s)
            before_ns = time.monotonic_ns()
            row = w.upstreams[1].row("Ready", int(time.time() * 1000))
            await w.update_endpoints(row)
            after_ns = time.monotonic_ns()
            starts = {
                u.started_ns
                for e in recorder.of_type(api.EndpointsUpdated)
                for u in e.upstreams
                if u.id == upstream_number(w.upstreams[1].name) and u.started_ns
            }
            assert len(starts) == 1
            assert before_ns - SECOND <= starts.pop() <= after_ns
            monkeypatch.setattr(time, "time_ns", lambda: read_ns() - step_s * SECOND)
            await w.update_endpoints(row)  # the same start again, behind another step
            starts_after_second_step = {
                u.started_ns
                for e in recorder.of_type(api.EndpointsUpdated)
                for u in e.upstreams
                if u.id == upstream_number(w.upstreams[1].name) and u.started_ns
            }
            assert len(starts_after_second_step) == 1

    run(test())


def test_only_the_wallclock_module_reads_the_wall_clock() -> None:
    """Durations are never measured with the wall clock."""
    modules = {
        str(path.relative_to(ROOT))
        for path in (ROOT / "loadbalancer").rglob("*.py")
        if re.search(r"\btime\.time(_ns)?\(|\bdatetime\.now\(|CLOCK_REALTIME", path.read_text())
        and "testbed" not in path.relative_to(ROOT).parts
    }
    assert modules == {"loadbalancer/wallclock.py"}

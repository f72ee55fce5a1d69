"""Rule 4 over a whole fleet: what real module instances send to upstreams that have just started,
summed.

Nobody alone can see the sum. Here the sends of all to each cold upstream are counted in virtual
time, apart from the module's books and the lab's.
"""

from __future__ import annotations

import bisect
import math

import pytest

from loadbalancer.testbed import topology
from loadbalancer.testbed.hosts import Host
from loadbalancer.testbed.policies import policy
from loadbalancer.testbed.virtual import Life, Sent, World

RELEASE = "fault=[{kind='rolling_restart', at='2s', lasts='5s', part=0.5, size=0.2}]"


class Counting(World):
    """Notes what comes to each cold upstream from those who were told of its start, and the worst
    window.
    """

    def __init__(self, t: topology.Topology, seed: int, host: Host) -> None:
        super().__init__(t, seed, host)
        self.sends: dict[tuple[int, int], list[int]] = {}
        self.over = -math.inf  # roots of N that lie between the sends in a window and N + 2
        self.what = ""

    def _at_box(self, what: tuple[Life, int, Sent, bool]) -> None:
        super()._at_box(what)
        life, box, t = what[0], what[2].box, self.t
        age = self.now - box.started_ns
        known = life.known.get(box.number)
        told = known is not None and known.started_ns == box.started_ns
        if what[2].job is None or not box.started_ns or age >= t.slow_start_ns or not told:
            return
        sends = self.sends.setdefault((box.number, box.started_ns), [])
        sends.append(self.now)
        count = len(sends) - bisect.bisect_right(sends, self.now - int(t.rules.overload_for))
        part = t.slow_start_capacity + (1 - t.slow_start_capacity) * age / t.slow_start_ns
        n = (
            t.rules.fall_multiple
            * part
            * box.nature.capacity
            * int(t.rules.overload_for)
            / box.mean_work
        )
        over = (count - n - 2) / math.sqrt(n)
        if over > self.over:
            self.over, self.what = over, f"box {box.number}: {count} in a window, N {n:.1f}"


def released(
    balancers: int, boxes: int, load: float, seed: int, faults: str = RELEASE, name: str = ""
) -> Counting:
    changes = [
        f"balancers.count={balancers}",
        f"fleet.boxes={boxes}",
        f"clients.load={load}",
        faults,
    ]
    world = Counting(
        topology.load("mass", ["length='9s'", *changes]),
        seed,
        Host(policy(name)) if name else Host(),
    )
    world.run()
    print(f"seed {seed}, {balancers} balancers: {world.what}, {world.over:.2f} roots over N + 2")
    assert len(world.sends) >= boxes // 3
    return world


@pytest.mark.parametrize(
    ("balancers", "boxes", "load"), [(3, 12, 0.7), (20, 24, 0.8), (30, 40, 0.6), (200, 90, 0.6)]
)
def test_a_cold_upstream_gets_no_more_from_all_balancers_than_it_bears(
    balancers: int, boxes: int, load: float
) -> None:
    assert released(balancers, boxes, load, seed=balancers).over <= 2.0


def test_neither_from_balancers_that_have_just_started_themselves() -> None:
    kills = "{kind='rolling_balancers', at='1s', lasts='6s', part=1.0, size=0.2}"
    assert released(30, 40, 0.6, 5, RELEASE[:-1] + ", " + kills + "]").over <= 2.0


def test_a_module_that_knows_of_no_cold_upstream_is_told_apart() -> None:
    assert released(20, 24, 0.8, 20, name="broken-flooded-cold").over > 2.0

"""Runs in virtual time: repeatable to the byte, judged by a ledger that catches what is broken on
purpose.
"""

from __future__ import annotations

import multiprocessing
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.testbed import experiments, results, topology
from loadbalancer.testbed.hosts import Host, SpreadHost
from loadbalancer.testbed.ledger import Answer, Ledger, Rule
from loadbalancer.testbed.policies import policy
from loadbalancer.testbed.shrinking import shrink
from loadbalancer.testbed.topology import Fault, Topology
from loadbalancer.testbed.virtual import World
from loadbalancer.units import Duration, duration

MS = 1_000_000
SECOND = 1000 * MS
FAULTS = {
    "broken-doubled-send": [],
    "broken-swallowed-answer": ["clients.rate='900/s'"],
    "broken-sent-after-drain": ["fault=[{kind='drain', at='2s', lasts='9s', part=0.3}]"],
    "broken-flooded-cold": [
        "fault=[{kind='rolling_restart', at='1s', lasts='6s', part=0.4, size=0.3}]"
    ],
}
RULE = {
    "broken-doubled-send": Rule.EFFECT,
    "broken-swallowed-answer": Rule.ANSWER,
    "broken-sent-after-drain": Rule.DRAIN,
    "broken-flooded-cold": Rule.COLD,
}


def small(*changes: str) -> Topology:
    return topology.load(
        "quiet", ["length='12s'", "clients.load=0.0", "clients.rate='250/s'", *changes]
    )


def play(t: Topology, seed: int, host: Host | SpreadHost, name: str = "here") -> bytes:
    return results.encoded(results.result(t, seed, World(t, seed, host).run(), name))


def test_one_seed_one_result_wherever_the_instances_live() -> None:
    t = small(
        "length='6s'", "fault=[{kind='kill_balancers', at='2s', lasts='1s', part=0.5}]", "chance=2"
    )
    first = play(t, 11, Host())
    assert play(t, 11, SpreadHost(2)) == first == play(t, 11, Host())
    assert play(t, 12, Host()) != first
    assert not multiprocessing.active_children()


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_the_ledger_names_what_is_broken_on_purpose(name: str) -> None:
    t = small(*FAULTS[name])
    broken = World(t, 5, Host(policy(name))).run().judgement
    assert RULE[name].value in broken.broken and broken.score == 0.0
    assert any(b.rule is RULE[name] for b in broken.breaches)
    whole = World(t, 5, Host()).run().judgement
    assert not whole.broken and whole.score > 0.4, f"seed 5, {whole.breaches}"


def test_a_module_that_raises_voids_the_run() -> None:
    class Raising:
        def handle(self, now: int, events: Any) -> Any:
            raise RuntimeError("no such thing")

    outcome = World(small("length='1s'"), 1, Host(lambda settings, seed, now: Raising())).run()
    assert outcome.judgement.broken == {"no crash": 1} and "no such thing" in outcome.notes[-1]


def test_the_operators_day_in_short_keeps_the_rules_and_beats_chance() -> None:
    t = topology.load("brief", ["length='21s'"])
    here, chance = (experiments.played(t, 4, policy(name)) for name in ("here", "random"))
    assert not here.broken, f"seed 4: {here.breach}"
    assert here.score > chance.score + 0.05


def test_a_result_is_played_again_from_its_file(tmp_path: Path) -> None:
    t = small("length='3s'", "chance=3")
    path = tmp_path / "r.json"
    results.write(path, play(t, 9, Host()))
    old = results.read(path)
    outcome = World(
        topology.read(old["topology"], "r"),
        old["seed"],
        Host(),
        experiments.faults_from(old["faults"]),
    ).run()
    assert results.encoded(results.result(t, 9, outcome, "here")) == path.read_bytes()
    assert [p.name for p in tmp_path.iterdir()] == ["r.json"]


def test_a_run_of_any_length_keeps_only_what_is_recent() -> None:
    t = small("length='1s'")
    ledger = Ledger(t)
    for i in range(3000):
        root = ledger.root(i, t.classes[0], "", "k", i * SECOND, True)
        ledger.asked(f"q{i}", root, i * SECOND, i * SECOND + 100 * MS, 0)
        ledger.executed(f"q{i}", 0, i * SECOND + 1)
        ledger.finished(f"q{i}")
        ledger.answered(f"q{i}", Answer.SERVED, i * SECOND + 50 * MS)
    assert len(ledger.tries) < 20 and not ledger.broken and ledger.counts["served"] == 3000


def test_a_refusal_of_what_ran_shows_as_two_executions_of_one_root() -> None:
    t = small()
    ledger = Ledger(t)
    booking = next(c for c in t.classes if c.effect == "unsafe")
    root = ledger.root(1, booking, "", "k", 0, True)
    for i, name in enumerate(("first", "second")):
        ledger.asked(name, root, i * MS, SECOND, 0)
        ledger.taken(name)
        ledger.executed(name, i, i * MS + 1)
        if name == "first":
            ledger.answered(name, Answer.REFUSED, MS // 2)
    assert ledger.broken == {Rule.EFFECT.value: 1}


def test_shrinking_keeps_what_matters_and_nothing_else() -> None:
    faults = [
        Fault(kind="slow", at=Duration(SECOND), lasts=duration("8s"), part=0.2, size=3.0),
        Fault(kind="drain", at=Duration(SECOND), lasts=duration("8s"), part=0.2),
        Fault(kind="errors", at=Duration(SECOND), lasts=duration("8s"), part=0.2, size=0.5),
    ]

    def is_bad(some: list[Fault]) -> str:
        return (
            "careful drain"
            if any(f.kind == "drain" and f.lasts >= 2 * SECOND for f in some)
            else ""
        )

    [left] = shrink(faults, "careful drain", is_bad, (experiments.shorter, experiments.smaller))
    assert (left.kind, left.lasts, left.part) == ("drain", 2 * SECOND, 0.025)


def test_a_difference_is_called_noise_where_it_may_be_none() -> None:
    def one(seed: int, score: float) -> experiments.Played:
        return experiments.Played(seed, score, score, 100.0, 1.0, {}, False, "")

    a = [one(s, 0.5 + 0.1 * (s % 5)) for s in range(20)]
    jumbled = [one(s, 0.5 + 0.1 * ((s * 3 + 1) % 5)) for s in range(20)]
    better = [one(s, p.score + 0.02) for s, p in enumerate(a)]
    assert experiments.differences(a, jumbled)[0].noise
    score = experiments.differences(a, better)[0]
    assert not score.noise and score.low == pytest.approx(0.02) == score.high


def test_balancers_get_unequal_parts_of_the_traffic_where_the_file_says_so() -> None:
    """In a large fleet some see several times what others do; their own counts tell them that much
    more.
    """
    parts = {}
    for unequal in (1, 6):
        world = World(small("length='6s'", "balancers.count=8", f"balancers.unequal={unequal}"), 5)
        world.run()
        got = Counter(asked.balancer for asked in world.ledger.tries.values())
        parts[unequal] = max(got.values()) / min(got.values())
    assert parts[1] < 1.7 and parts[6] > 2.2, parts
    with pytest.raises(topology.Unusable, match="unequal"):
        small("balancers.unequal=0.5")

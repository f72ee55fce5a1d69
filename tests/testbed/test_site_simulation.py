"""Whole sites lost in virtual time, and what the lab says the cores are worth."""

from __future__ import annotations

import pytest
from typer.testing import CliRunner

from loadbalancer.cli.main import application
from loadbalancer.testbed import topology
from loadbalancer.testbed.sites import measure
from loadbalancer.testbed.sites.ceiling import Asked, ceiling
from loadbalancer.testbed.sites.incidents import INCIDENTS, Hit
from loadbalancer.testbed.sites.world import Shape, play

SECOND = 1_000_000_000
SMALL = Shape(3, 3, 4, 0.7)


@pytest.mark.parametrize("incident", ["lost", "cut off", "and again"])
def test_a_site_is_found_lost_and_comes_back_in_stages_with_all_rules_kept(incident: str) -> None:
    found = play(topology.load("mass"), SMALL, incident, "plan", 1)
    assert not found.broken, found.broken
    said = [what for _, what in found.log if what.startswith("b:")]
    assert said[0] == "b: out 0%" or "apart" in said[0], found.log
    # One that went twice waits before its second try, and may still be on its way at the end of the
    # run.
    assert said[-1] == "b: normal 100%" or incident == "and again" and "shares" in said[-1], (
        found.log
    )
    assert found.during <= found.top["during"] + 0.02 and found.after > 0.9
    again = play(topology.load("mass"), SMALL, incident, "plan", 1)
    assert again == found  # one seed decides a run


def test_on_a_calm_day_the_plan_changes_nothing_but_by_its_own_chance() -> None:
    calm = [play(topology.load("mass"), SMALL, "calm", rule, 2) for rule in ("none", "plan")]
    assert calm[1].log == [] and abs(calm[0].during - calm[1].during) < 0.03


def test_the_best_is_the_most_worth_for_its_work_on_each_island() -> None:
    classes = topology.load("mass").classes
    lookup, booking = classes[0], classes[1]
    asked = [Asked(i, lookup if i % 2 else booking, 0, i % 2, 100e6) for i in range(40)]
    able = [(n * SECOND // 10, {"a": 2.0, "b": 2.0}) for n in range(30)]
    whole = ceiling(asked, able, [], "ab", 0)
    assert whole == set(range(40))
    tight = ceiling(
        asked, [(n * SECOND // 10, {"a": 1.0, "b": 1.0}) for n in range(4)], [], "ab", 0
    )
    assert 8 <= len(tight) <= 9 and all(
        n % 2 for n in tight
    )  # lookups are worth more for the same work
    apart = ceiling(asked, able[:10], [Hit(1, 0.0, 9.0, to=1.0, back=1.0)], "ab", 0)
    assert {n % 2 for n in apart} == {0, 1}  # each island serves its own
    lost = ceiling(
        asked,
        [(n * SECOND // 10, {"a": 0.0, "b": 2.0}) for n in range(10)],
        [Hit(1, 0.0, 9.0, to=1.0, back=1.0, clients=True)],
        "ab",
        0,
    )
    assert lost == set()


def test_a_lost_site_is_believed_soon_and_hardly_ever_wrongly() -> None:
    found = measure.detect(10.0, 0.05, seeds=4, calm_s=120.0)
    assert len(found.seconds) == 4 and found.seconds[-1] < 4.0 and found.alarms == 0.0
    slow = measure.detect(10.0, 0.05, seeds=4, calm_s=60.0, sounds=False)
    assert slow.seconds[0] > found.seconds[-1]  # what calls of its own are for


def test_the_rule_is_near_the_optimum_and_never_below_it() -> None:
    over = measure.regret(120)
    assert min(over) > -1e-6 and sum(over) / len(over) < 0.02


def test_the_refused_come_back_less_together_than_after_a_fixed_time() -> None:
    fixed, plan = (measure.returns(400.0, 300.0, 8.0, 1, plan) for plan in (False, True))
    assert fixed.peak > 1.5 * plan.peak and plan.peak < 2.5


def test_commands_tell_a_wrong_word_in_one_line() -> None:
    def said(*words: str) -> str:
        return str(CliRunner().invoke(application(["lab"]), ["lab", "sites", *words]).exception)

    assert "none of" in said("run", "--incidents", "nowhere") and "no numbers" in said(
        "run", "--loads", "x"
    )
    assert "sites are 2 to 8" in said("run", "--sites", "9")
    assert set(INCIDENTS) >= {"lost", "two", "gray"}

"""A lost site, by the pure cores: what one balancer believes, where the load goes, how a site comes
back.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from loadbalancer.failover import evidence as evidences
from loadbalancer.failover import plan as plans
from loadbalancer.failover import recovery
from loadbalancer.failover.evidence import Evidence, Said, State
from loadbalancer.failover.observer import Member
from loadbalancer.failover.plan import (
    CLASSES,
    EXCESS,
    Admission,
    Fleet,
    Kind,
    Ladder,
    Load,
    Place,
    admitted,
    assign,
    bearable,
    ladder,
    rooms,
    table,
    tables,
    work,
)
from loadbalancer.failover.recovery import Return, Seen, Stage
from loadbalancer.failover.site_reports import Row, Told, heard, verdict
from loadbalancer.failover.site_state import Aim, Course, View, advance, ordered
from loadbalancer.failover.traffic_shares import Orders, fleet_of, orders
from loadbalancer.policy import api

SECOND = 1_000_000_000
MS = 1_000_000


# ---- evidence: one balancer in a fleet of 4 sites of 8 boxes -------------------------------------


class One:
    """Tries at a steady pace at boxes drawn alike; `answers` says whether a box gives a sign."""

    def __init__(
        self, seed: int, rate: float = 20.0, loss: float = 0.0, sites: int = 4, boxes: int = 8
    ) -> None:
        self.rng = random.Random(seed)
        self.boxes = {i: "abcdefgh"[i % sites] for i in range(sites * boxes)}
        self.evidence = Evidence("a", SECOND)
        self.evidence.listed(self.boxes, SECOND)
        self.now = SECOND
        self.rate, self.loss = rate, loss
        self.answers: Callable[[int], bool] = lambda box: True
        self.log: list[tuple[str, State, int]] = []

    def play(self, seconds: float, until: Callable[[], bool] = lambda: False) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end and not until():
            self.now += int(SECOND / self.rate)
            box = self.rng.randrange(len(self.boxes))
            alive = self.answers(box) and self.rng.random() >= self.loss
            self.evidence.outcome(box, alive, self.now, 1.0)
            self.log += [(n, v.state, self.now) for n, v in self.evidence.tick(self.now)]

    def state(self, site: str) -> State:
        return self.evidence.sites[site].state


@pytest.mark.parametrize("seed", range(20))
def test_a_lost_site_is_known_in_seconds_and_a_few_good_answers_undo_it(seed: int) -> None:
    one = One(seed, loss=0.02)
    one.play(20)
    assert not [x for x in one.log if x[1] in (State.LOST, State.CUT)], one.log
    one.answers = lambda box: one.boxes[box] != "b"
    began = one.now
    one.play(15, lambda: one.state("b") is State.LOST)
    assert one.state("b") is State.LOST and one.now - began < 8 * SECOND
    assert all(one.state(s) in (State.WELL, State.IMPAIRED) for s in "acd")
    one.answers = lambda box: True
    one.play(4, lambda: one.state("b") is State.RETURNING)
    assert one.state("b") is State.RETURNING
    one.play(4)
    assert one.state("b") in (
        State.WELL,
        State.IMPAIRED,
    )  # a box that was not met since counts as silent
    one.play(15)
    assert one.state("b") is State.WELL


@pytest.mark.parametrize("seed", range(20))
def test_half_a_site_slow_boxes_and_lossy_links_are_no_lost_site(seed: int) -> None:
    half = One(seed)
    half.answers = lambda box: one_of_two(half, box)
    half.play(30)
    lost = [x for x in half.log if x[1] is State.LOST]
    assert half.state("b") is State.IMPAIRED or lost, half.log
    assert sum(x[1] is State.LOST for x in half.log) <= 2  # by chance, and undone
    gray = One(seed, loss=0.1)
    gray.play(60)
    assert not [x for x in gray.log if x[1] in (State.LOST, State.CUT)]
    slow = One(seed)
    for _ in range(400):
        slow.now += 50 * MS
        box = slow.rng.randrange(len(slow.boxes))
        slow.evidence.outcome(box, True, slow.now, 6.0 if slow.boxes[box] == "c" else 1.0)
    slow.evidence.tick(slow.now)
    assert (
        slow.state("c") is State.IMPAIRED
        and "times what the others' do" in slow.evidence.sites["c"].why
    )


def one_of_two(one: One, box: int) -> bool:
    return one.boxes[box] != "b" or box % 8 < 4


def cut_off(seed: int) -> One:
    one = One(seed)
    one.play(10)
    one.answers = lambda box: one.boxes[box] == "a"
    one.play(20)
    return one


@pytest.mark.parametrize("seed", range(10))
def test_who_is_cut_off_does_not_take_the_others_for_lost(seed: int) -> None:
    one = cut_off(seed)
    assert one.evidence.alone and [one.state(s) for s in "bcd"] == [State.CUT] * 3
    assert one.evidence.says().silent == frozenset()  # it tells nobody that they are lost
    assert one.state("a") is State.WELL


def test_without_that_rule_it_would(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted bug: nobody is ever alone."""
    monkeypatch.setattr(
        Evidence, "alone", property(lambda self: False, lambda self, on: None), raising=False
    )
    assert cut_off(1).evidence.says().silent == {"b", "c", "d"}


def test_others_turn_lost_into_cut_and_make_it_known_sooner() -> None:
    def lost_after(*said: Said) -> tuple[State, int]:
        one = One(5, rate=60.0)
        one.play(10)
        for i, word in enumerate(said):
            one.evidence.heard(f"other-{i}", word, 0, one.now)
        one.answers = lambda box: one.boxes[box] != "b"
        began = one.now
        one.play(5.9, lambda: one.state("b") in (State.LOST, State.CUT))
        return one.state("b"), one.now - began

    agree = Said("c", frozenset("ad"), frozenset("b")), Said("d", frozenset("ac"), frozenset("b"))
    differ = Said("c", frozenset("abd"), frozenset()), Said("d", frozenset("abc"), frozenset())
    inside = Said("b", frozenset("acd"), frozenset())
    assert lost_after(*agree)[0] is State.LOST and lost_after(*agree)[1] < lost_after()[1]
    assert lost_after(*differ)[0] is State.CUT and lost_after(inside)[0] is State.CUT


def flapping() -> int:
    """How often a site that goes and comes every 4 s is taken to be well again, in two minutes."""
    one = One(3, rate=60.0)
    one.play(10)
    down = False
    for _ in range(30):
        down = not down
        one.answers = (lambda box: one.boxes[box] != "b") if down else (lambda box: True)
        one.play(4)
    return sum(x[:2] == ("b", State.WELL) for x in one.log)


def test_one_that_flaps_is_believed_the_later_the_more_often_it_went(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert flapping() <= 3
    monkeypatch.setattr(evidences, "CALM", (0, 0))  # the planted bug: no hysteresis
    assert flapping() > 10


# ---- words: all rows together --------------------------------------------------------------------


def told(site: str, answers: str, silent: str = "", alone: bool = False, age: float = 1.0) -> Told:
    return Told(Row(site, tuple(answers), tuple(silent), alone), age)


@pytest.mark.parametrize(
    ("rows", "state"),
    [
        ([told("a", "acd", "b"), told("c", "acd", "b"), told("d", "acd", "b")], State.LOST),
        (
            [
                told("a", "acd", "b"),
                told("b", "b", "acd"),
                told("c", "acd", "b"),
                told("d", "acd", "b"),
            ],
            State.CUT,
        ),
        (
            [told("a", "acd", "b"), told("b", "abcd"), told("c", "abcd"), told("d", "abcd")],
            State.WELL,
        ),
        (
            [told("a", "acd", "b"), told("c", "acd", "b"), told("b", "abcd"), told("d", "abcd")],
            State.CUT,
        ),
        ([told("a", "acd", "b", age=60.0), told("c", "abcd"), told("d", "abcd")], State.WELL),
        ([told("a", "a", "bcd", alone=True), told("c", "abcd"), told("d", "abcd")], State.WELL),
        (
            [told("b", "acd", "b"), told("a", "acd")],
            State.LOST,
        ),  # its balancers live, its boxes do not
    ],
)
def test_a_site_is_what_most_sites_say_and_nobody_within_it_denies(
    rows: list[Told], state: State
) -> None:
    h = heard({f"balancer-{i}": row for i, row in enumerate(rows)})
    assert verdict("b", h, 8, 8).state is state
    assert (
        verdict("b", h, 0, 8).state is State.LOST
        and verdict("b", heard({}), 3, 8).state is State.IMPAIRED
    )


# ---- the plan ------------------------------------------------------------------------------------


def drawn(rng: random.Random) -> Fleet:
    names = "abcdef"[: rng.randint(2, 6)]
    kinds = {
        n: Kind(n, rng.choice([1.0, 2.0, 3.0]), rng.uniform(0.5, 3.0)) for n in ("x", "y", "z")
    }
    loads = tuple(
        Load(
            s,
            k,
            t,
            rng.uniform(1, 30),
            rng.choice([0.0, rng.uniform(0, 0.5)]),
            rng.choice([0.0, rng.uniform(0, 0.3)]),
            rng.choice([0.0, 0.05]),
        )
        for s in names
        for k in kinds
        for t in ("t1", "t2", "t3")
    )
    fleet = Fleet({}, kinds, loads)
    whole = sum(work(fleet, x, Admission()) for x in loads)
    bears = [rng.uniform(0.5, 1.5) for _ in names]
    scale = whole / rng.uniform(0.4, 1.1) / sum(bears)
    return replace(
        fleet,
        places={
            n: Place(
                n,
                b * scale,
                rng.choice([0.0, 0.2]),
                {o: rng.uniform(0.5, 3.0) for o in names if o != n},
            )
            for n, b in zip(names, bears, strict=True)
        },
    )


@pytest.mark.parametrize("seed", range(60))
def test_no_site_is_filled_over_what_it_bears_and_rungs_are_climbed_in_order(seed: int) -> None:
    fleet = drawn(random.Random(seed))
    for gone, t in tables(fleet).items():
        room = rooms(fleet, gone)
        assert set(t.shares) <= set(fleet.places) - gone
        for name, fill in t.fill.items():
            assert fill * fleet.places[name].bears <= room[name] + 1e-6
        for to in t.shares.values():
            assert set(to) <= set(fleet.places) - gone and abs(sum(to.values()) - 1) < 1e-6
        a = t.admission
        for load in fleet.loads:
            rung = fleet.rung_of[load.kind]
            if a.rung < EXCESS:
                assert admitted(fleet, load, a) == load.rate
            if (
                rung > a.rung
            ):  # nothing within its share is refused while something before it is let in
                kept = 1.0 if load.retries == 0 else 1.0 - load.retries
                assert admitted(fleet, load, a) >= load.rate * (1 - load.excess) * kept - 1e-9
        parts = list(t.by_tenant.values())
        if a.rung >= CLASSES or a.rung == 0:
            assert a.rung or min(parts) > 1 - 1e-9
    assert [
        g for g in tables(fleet) if len(g) == 1 and table(fleet, g).admission.rung > EXCESS
    ] == sorted(bearable(tables(fleet)), key=lambda g: [x for x in tables(fleet)].index(g))


def upside_down(fleet: Fleet, load: Load, a: Admission) -> float:
    """The planted bug: the classes first, the excess last."""
    last = fleet.top + 1
    rung = fleet.rung_of[load.kind]
    return load.rate * (1 - load.excess * a.refused(last - 1)) * (1 - a.refused(rung - CLASSES + 1))


def excess_served_while_shares_are_refused(fleet: Fleet) -> bool:
    for t in tables(fleet).values():
        if not t.lost:
            continue
        rate = {x: plans.admitted(fleet, x, t.admission) for x in fleet.loads}
        short = any(rate[x] < x.rate * (1 - x.excess) * (1 - x.retries) - 1e-6 for x in fleet.loads)
        over = any(rate[x] > x.rate * (1 - x.excess) + 1e-6 for x in fleet.loads)
        if short and over:
            return True
    return False


def test_no_tenant_within_its_share_is_refused_while_excess_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleets = [drawn(random.Random(seed)) for seed in range(40)]
    assert not any(excess_served_while_shares_are_refused(f) for f in fleets)
    monkeypatch.setattr(plans, "admitted", upside_down)
    assert any(excess_served_while_shares_are_refused(f) for f in fleets)


def test_work_goes_where_it_is_near_and_no_further_than_there_is_room() -> None:
    price = {
        ("a", "a"): 0.0,
        ("a", "b"): 1.0,
        ("a", "c"): 5.0,
        ("b", "a"): 1.0,
        ("b", "b"): 0.0,
        ("b", "c"): 1.0,
    }
    flow = assign({"a": 10.0, "b": 8.0}, {"a": 6.0, "b": 8.0, "c": 4.0}, price)
    assert flow["a"]["a"] == 6.0 and sum(flow["a"].values()) == pytest.approx(10.0)
    cost = sum(w * price[o, t] for o, to in flow.items() for t, w in to.items())
    assert cost == pytest.approx(8.0)  # a's rest to b, and as much of b's to c
    assert assign({"a": 5.0}, {}, {}) == {} and assign({}, {"a": 5.0}, {}) == {}


def test_the_ladder_goes_up_at_once_and_down_with_care() -> None:
    fleet = drawn(random.Random(4))
    whole = sum(work(fleet, x, Admission()) for x in fleet.loads)
    it = Ladder(0)
    high = it.update(fleet, fleet.loads, whole * 0.6, SECOND)
    assert high.rung and high == ladder(fleet, fleet.loads, whole * 0.6)
    heights = [
        it.update(fleet, fleet.loads, whole * 2, SECOND + n * SECOND).height for n in range(1, 40)
    ]
    assert heights[0] == heights[1] == high.height and heights[-1] == 0.0
    falls = [a - b for a, b in zip(heights, heights[1:], strict=False) if a != b]
    assert all(0 < fall <= 1.5 for fall in falls)
    for height in (0.0, 1.25, 2.0, 4.5):
        assert Admission.at(height).height == pytest.approx(height)


def test_the_refused_come_back_when_there_is_room_and_not_together() -> None:
    def window(refused: float, spare: float, room: int) -> tuple[int, int]:
        return plans.back_window(refused, spare, room, 250 * MS, 20 * SECOND)

    assert window(5, 50, 0) == (250 * MS, 500 * MS)
    assert window(200, 50, 3 * SECOND) == (3 * SECOND, 7 * SECOND)
    assert window(1e9, 1e-9, 0) == (250 * MS, 40 * SECOND)


# ---- the return ----------------------------------------------------------------------------------


def come_back(
    bears: Callable[[float, float], bool], seconds: float = 120.0
) -> list[tuple[float, Return]]:
    """A site from lost on. `bears`: does it answer well at this share, at this time?"""
    r, since, at, log = Return("b"), 0.0, 0.0, []
    while at < seconds:
        good = bears(r.share, at)
        then = recovery.step(r, Seen(False, 20, 1.0 if good else 0.5), at - since, 1.0)
        if then != r:
            r, since = then, at
            log.append((at, r))
        at += 0.25
    return log


def test_a_site_rises_by_what_it_bears_and_a_failed_stage_waits_longer_each_time() -> None:
    well = come_back(lambda share, at: True)
    assert [r.stage for _, r in well][:3] == [Stage.PROBES, Stage.TRICKLE, Stage.SHARES]
    assert well[-1][1].stage is Stage.NORMAL and 4 < well[-1][0] < 25
    shares = [r.share for _, r in well]
    assert shares == sorted(shares) and all(
        b <= max(a * 2.01, a + 0.101) for a, b in zip(shares, shares[1:], strict=False) if a
    )
    weak = come_back(lambda share, at: share <= 0.3)
    assert max(r.share for _, r in weak) < 0.6 and weak[-1][1].stage is not Stage.NORMAL
    falls = [at for at, r in weak if r.fell]
    gaps = [b - a for a, b in zip(falls, falls[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] > 3 * gaps[0]


def test_one_that_goes_again_begins_anew_and_two_share_the_fleets_change() -> None:
    r = recovery.step(Return("b", Stage.SHARES, 0.4, 1), Seen(True, 50, 0.0), 9.0)
    assert (r.stage, r.share, r.fails) == (Stage.OUT, 0.0, 2)
    assert recovery.step(r, Seen(False, 50, 1.0), r.wait_s - 0.1) == r
    bears = {"a": 100.0, "b": 100.0, "c": 100.0, "d": 100.0}
    alone = recovery.rises([Return("b", Stage.SHARES, 0.3)], bears)["b"]
    both = recovery.rises([Return("b", Stage.SHARES, 0.3), Return("c", Stage.TRICKLE, 0.04)], bears)
    assert both["b"] + both["c"] == pytest.approx(alone) and alone * 100 < 0.13 * 400


@pytest.mark.parametrize("seed", range(30))
def test_cold_starts_are_dealt_once_and_to_few(seed: int) -> None:
    rng = random.Random(seed)
    balancers = [f"balancer-{i}" for i in range(rng.randint(1, 60))]
    per_s = {i: rng.uniform(0.5, 20) for i in range(rng.randint(1, 60))}
    prefer = {b: rng.uniform(0.2, 3.0) for b in balancers}
    dealt = recovery.deal(sorted(per_s), balancers, per_s, prefer)
    for box, rate in per_s.items():
        given = [d[box] for d in dealt.values() if box in d]
        assert sum(given) == pytest.approx(rate) and all(g > 0 for g in given)
        assert len(given) <= max(recovery.SENDERS, rate + 1)
    twice = {
        b: {k: 2 * v for k, v in d.items()} for b, d in dealt.items()
    }  # the planted bug: dealt twice
    assert any(
        sum(d.get(box, 0.0) for d in twice.values()) > rate * 1.01 for box, rate in per_s.items()
    )


# ---- courses: one owner, any of whom may die -----------------------------------------------------


def view(
    courses: tuple[Course, ...],
    lost: str = "",
    cut: str = "",
    age: float = 99.0,
    served: float = 1.0,
    good: float = 1.0,
) -> View:
    verdicts = {
        c.site: evidences.Verdict(
            State.LOST if c.site in lost else State.CUT if c.site in cut else State.WELL,
            0,
            1.0,
            "as the test says",
        )
        for c in courses
    }
    return View(
        verdicts,
        {c.site: Seen(c.site in lost, 20, good) for c in courses},
        {c.site: age for c in courses},
        {c.site: 100.0 for c in courses},
        served,
    )


def test_lost_back_in_stages_and_apart_by_what_the_fleet_sees() -> None:
    courses = tuple(Course(n) for n in "abcd")
    assert advance(courses, view(courses)) == courses
    assert advance(courses, replace(view(courses, lost="b"), blind="the list is old")) == courses
    lost = advance(courses, view(courses, lost="b"))
    assert lost[1].stage is Stage.OUT and lost[1].part == 0.0 and lost[0] == courses[0]
    seen = []
    for _ in range(60):
        lost = advance(lost, view(lost))
        seen.append(lost[1].part)
    assert lost[1].well and seen == sorted(seen) and len(set(seen)) > 5
    apart = advance(courses, view(courses, cut="c"))
    assert apart[2].apart and apart[2].part == 1.0
    joined = advance(apart, view(apart))
    assert not joined[2].apart and joined[2].stage is Stage.SHARES and joined[2].part == 0.5


def test_a_drain_goes_in_steps_rests_when_service_falls_and_stays() -> None:
    courses = tuple(Course(n) for n in "ab")
    courses = (ordered(courses[0], Aim.OUT, "kofi", 40.0), courses[1])
    parts = []
    for _ in range(10):
        courses = advance(courses, view(courses, age=2.0))
        parts.append(courses[0].part)
    assert parts[0] == 1.0 and parts[-1] == pytest.approx(0.55)
    assert advance(courses, view(courses, age=1.9)) == courses
    rests = advance(courses, view(courses, age=9.0, served=0.9))
    assert rests[0].part == courses[0].part and rests[0].why.startswith("rests")
    assert advance(rests, view(rests, age=9.0, served=0.9)) == rests
    for _ in range(20):
        rests = advance(rests, view(rests, age=9.0))
    assert rests[0].part == 0.0 and advance(rests, view(rests, age=9e5)) == rests
    back = (ordered(rests[0], Aim.IN, "kofi"), rests[1])
    assert back[0].stage is Stage.PROBES
    with pytest.raises(ValueError, match="not held"):
        ordered(back[0], Aim.IN, "kofi")


def test_a_drill_ends_by_itself_and_at_once_when_service_falls() -> None:
    drill = ordered(Course("a"), Aim.DRILL, "kofi", 0.0, 30.0)
    with pytest.raises(ValueError, match="no drill begins"):
        ordered(drill, Aim.DRILL, "kofi")
    courses: tuple[Course, ...] = (drill, Course("b"))
    for _ in range(2):
        courses = advance(courses, view(courses, age=1.0))
    assert courses[0].part == 0.0
    assert advance(courses, view(courses, age=29.0)) == courses
    assert advance(courses, view(courses, age=30.0))[0].aim is Aim.IN
    ended = advance(courses, view(courses, age=1.0, served=0.9))[0]
    assert ended.aim is Aim.IN and ended.stage is Stage.PROBES and "ended itself" in ended.why


@pytest.mark.parametrize("seed", range(30))
def test_whatever_dies_and_when_no_step_is_skipped_or_done_twice(seed: int) -> None:
    """Owners that die between look and write, and two that believe that they own it; the store
    takes a write only at the version that was read.
    """
    rng = random.Random(seed)
    courses = tuple(Course(n) for n in "abc")
    version, late, history = 1, [], [courses]
    gone = ""
    for turn in range(400):
        if turn < 250 and rng.random() < 0.03:
            gone = rng.choice(["", "a", "b", "ab", "c"])
        elif turn >= 250:
            gone = ""
        read = version
        then = advance(
            courses,
            view(
                courses,
                lost=gone,
                age=rng.choice([0.2, 1.0, 3.0, 200.0]),
                good=0.5 if turn < 250 and rng.random() < 0.1 else 1.0,
            ),
        )
        fate = rng.random()
        if then == courses or fate < 0.1:
            continue
        if fate < 0.3:
            late.append((read, then))
            continue
        for at, what in [(read, then), *(late if rng.random() < 0.5 else [])]:
            if at == version:
                courses, version = what, version + 1
                history.append(courses)
    assert all(c.well for c in courses), courses
    for before, after in zip(history, history[1:], strict=False):
        for was, now in zip(before, after, strict=True):
            if was != now:
                assert now.count == was.count + 1
            if was.part < 1:  # it rises by a step at most
                assert (
                    now.part <= max(was.part * recovery.RISE, was.part + recovery.LEAST_STEP) + 1e-9
                )


# ---- orders --------------------------------------------------------------------------------------


def rowed(site: str, rate: float) -> Told:
    return Told(
        Row(
            site,
            (),
            (),
            False,
            (("x", "t1", rate, 0.1), ("y", "t2", rate / 2, 0.0)),
            (),
            1.0,
            (("x", 0.05), ("y", 0.1)),
            1,
        ),
        1.0,
    )


def test_orders_name_no_lost_site_and_deal_shares_and_cold_boxes_to_those_that_speak() -> None:
    rows = {f"{s}{i}": rowed(s, 40.0) for s in "abcd" for i in range(2)}
    fleet = fleet_of([Place(s, 150.0) for s in "abcd"], {"x": 3.0, "y": 1.0}, {"t1": 200.0}, rows)
    assert sum(x.rate for x in fleet.loads) == pytest.approx(8 * 60.0)
    assert next(x.excess for x in fleet.loads if x.tenant == "t1") == pytest.approx(1 - 200 / 320)
    courses = [Course(s) for s in "abcd"]
    assert orders(fleet, courses, Ladder(0), rows, {}, 0) == orders(
        fleet, courses, Ladder(0), {}, {}, 0
    )
    courses[1] = Course("b", stage=Stage.OUT, part=0.0)
    made = orders(fleet, courses, Ladder(0), rows, {}, 0)
    assert all(
        zones["b"] == 0.0 and all(p > 0 for n, p in zones.items() if n != "b")
        for zones in made.zones.values()
    )
    assert 0 < made.excess <= 1 and made.shares["a0"]["t1"] == pytest.approx(40 * 200 / 320)
    assert 0 < made.back_ns[0] < made.back_ns[1]
    courses[1] = Course("b", stage=Stage.SHARES, part=0.25)
    warm = orders(fleet, courses, Ladder(0), rows, {7: 4.0, 8: 2.0}, 0)
    assert all(0 < zones["b"] <= 0.25 for zones in warm.zones.values())
    assert sum(d.get(7, 0.0) for d in warm.cold.values()) == pytest.approx(4.0, abs=0.01)
    assert warm.cooling == (7, 8) and set(warm.cold) <= set(rows)
    courses[1] = Course("b", apart=True)
    apart = orders(fleet, courses, Ladder(0), rows, {7: 4.0}, 0)
    assert apart.zones["b"] == {"a": 0.0, "c": 0.0, "d": 0.0} and apart.zones["a"]["b"] == 0.0
    assert not any(n.startswith("b") for n in apart.cold)


# ---- a balancer's part ---------------------------------------------------------------------------


def member(now: int = SECOND) -> Member:
    m = Member("a", "one", 8, random.Random(1), now)
    m.evidence.listed({i: "abcd"[i % 4] for i in range(32)}, now)
    return m


def lose(m: Member, site: str, now: int) -> int:
    """All its tries at a site fail until it is believed; when that is."""
    for _ in range(40):
        for box in [b for b, x in m.evidence.boxes.items() if x.site == site]:
            m.sounded(box, api.AttemptResult.CONNECT_FAILED, now)
        for box in [b for b, x in m.evidence.boxes.items() if x.site != site]:
            m.sounded(box, api.AttemptResult.OK, now)
        now += SECOND // 4
        m.turn(now, True)
        if m.plan.zone_fractions.get(site) == 0.0:
            return now
    raise AssertionError("it is not believed")


def test_orders_are_followed_while_fresh_and_for_just_these_sites() -> None:
    shut = Orders({"a": {"d": 0.0}}, excess=1.0)
    m = member()
    m.ordered(shut, frozenset("abcd"), {}, 2 * SECOND)
    assert m.turn(3 * SECOND, True).plan == api.TrafficPlan({"d": 0.0}, excess_reject_fraction=1.0)
    m.stands(10 * SECOND)
    assert m.turn(21 * SECOND, True).plan is None and m.plan.excess_reject_fraction == 1.0
    assert (
        m.turn(23 * SECOND, True).plan == api.TrafficPlan()
    )  # the owner is silent: by what is seen here
    other = member()
    other.ordered(shut, frozenset("abc"), {}, 2 * SECOND)  # of a fleet that had no site d
    assert other.turn(3 * SECOND, True).plan is None and not other.owned(3 * SECOND)


def test_without_a_lease_holder_the_failover_table_holds_and_recovery_is_staged() -> None:
    m = member()
    m.tables = {
        frozenset("b"): Orders({"a": {"b": 0.0}}, excess=0.5),
        frozenset("bc"): Orders(excess=1.0),
    }
    m.tabled = frozenset("abcd")
    now = lose(m, "b", 2 * SECOND)
    assert m.plan.excess_reject_fraction == 0.5
    seen = []
    for _ in range(240):
        now += SECOND // 4
        for box in m.evidence.boxes:
            m.sounded(box, api.AttemptResult.OK, now)
        m.turn(now, True)
        seen.append(m.plan.zone_fractions.get("b", 1.0))
    assert (
        seen == sorted(seen)
        and seen[0] == 0.0
        and len(set(seen)) > 4
        and m.plan == api.TrafficPlan()
    )
    stale = member()
    stale.tables, stale.tabled = m.tables, frozenset("abc")  # made for another fleet
    lose(stale, "b", 2 * SECOND)
    assert stale.plan.excess_reject_fraction == 0.0


def test_a_row_tells_what_came_and_when_it_is_due() -> None:
    m = member()
    for n in range(20):
        m.arrived(api.RequestArrived(f"r{n}", "look", "t", 9 * SECOND, is_retry=n % 4 == 0))
        m.tried(
            api.AttemptFinished(f"r{n}", 0, n, api.AttemptResult.OK, 50 * MS, True),
            200 * MS,
            50e6,
            2 * SECOND,
        )
    row = m.row({"look": 50e6}, 3 * SECOND)
    assert (
        row.loads == (("look", "t", 10.0, 0.25),)
        and row.served == 1.0
        and row.work == (("look", 0.05),)
    )
    assert sum(n for _, n, _, _ in row.sites) == 20
    assert not m.row_due(3 * SECOND + 10 * MS) and m.row_due(3 * SECOND + 2 * SECOND)
    lose(m, "b", 3 * SECOND)
    assert m.news and m.row_due(m.since_ns + SECOND // 4) and "b" in m.row({}, 4 * SECOND).silent

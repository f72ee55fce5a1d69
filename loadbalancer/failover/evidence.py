"""Is a site there? What one balancer can tell of each site from its own tries, from discovery's
list, and from what other balancers say where installations let them talk.

A try tells of a site by whether there was a sign of life: an answer, even a bad one, is one; a
connection that does not come up, breaks, or an attempt that nothing answers is none. One dead box
is not a dead site, so it is boxes that are counted: a site is lost when so many different ones in a
row gave no sign, and none did meanwhile. A run of that is a sequential test (Wald 1945; Page 1954):
how many it takes follows from how often tries fail anyhow, which is learnt, so that a lossy network
makes it slower and not wrong.

What it must not mistake for a lost site: a few dead boxes, slow ones, a link that loses packets, a
list that is wrong, and, above all, this balancer itself being cut off, to which all others seem
lost.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

SECOND = 1_000_000_000
LOST_P = 0.98  # part of tries at a lost site that give no sign of life
USUAL = 0.01, 0.3  # the part that fails anyhow: at least thought, at most believed
USUAL_FELT = 0.005  # by each outcome
ALARM = (
    13.8  # log of how much likelier loss is than the usual, before it is believed: one in a million
)
# boxes in a row, where there are so many: half a site that died shows so by chance in 1 of 256
DISTINCT = 8
MOST_OF = 0.75  # of a site's boxes, where there are fewer than that
LEAST_FAILS = 3
OLD_NS = 10 * SECOND  # of a box's last outcome, beyond which it tells nothing
SLOW, SLOW_FELT = 3.0, 0.1  # times the other sites' pace; by each answer
PART = 0.3  # of a site's boxes that are silent make it impaired
SIGNS = 3  # good answers, from different boxes where there are some, that end a loss
WITNESSES = (
    2  # other balancers, whose word turns "lost" into "cut from us", or makes it known sooner
)
HEARD_OLD_NS = 6 * SECOND  # of what another balancer said
CALM = 2 * SECOND, 120 * SECOND  # how long it must stay well after a loss, first and at most
FORGIVEN_NS = 300 * SECOND  # without a further loss, after which the wait is halved


class State(Enum):
    WELL = "well"
    IMPAIRED = "impaired"
    LOST = "lost"
    CUT = "cut from us"
    RETURNING = "returning"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Verdict:
    """`alive`: part of the boxes met lately that give signs; `why`: the evidence, for and against,
    in a line.
    """

    state: State
    since_ns: int
    alive: float
    why: str


@dataclass(frozen=True, slots=True)
class Said:
    """What another balancer says of the sites, by its own tries: those that answer it, and those
    that don't.
    """

    site: str  # where it stands
    answers: frozenset[str]
    silent: frozenset[str]


@dataclass(slots=True)
class Box:
    site: str
    fails: int = 0  # in a row
    at: int = 0  # its last outcome
    ok: bool = True


@dataclass(slots=True, eq=False)
class Site:
    name: str
    state: State = State.WELL
    since: int = 0
    score: float = 0.0  # how much likelier it is lost than well: the sum over the run
    silent: dict[int, int] = field(
        default_factory=dict
    )  # boxes of the run, and how often each counted
    run_ns: int = 0  # the run's first failure
    good_ns: int = 0  # the last sign of life
    signs: dict[int, int] = field(default_factory=dict)  # boxes that answered since the loss
    pace: float = 1.0  # of its answers, against what was expected
    losses: int = 0  # that are not forgiven yet
    well_ns: int = 0  # when it last began to be well
    held: str = ""  # by whom
    why: str = ""


class Evidence:
    """One balancer's. Feed it outcomes, lists and words of others; `tick` gives what changed."""

    def __init__(self, here: str, now: int) -> None:
        self.here = here
        self.now = now
        self.sites: dict[str, Site] = {}
        self.boxes: dict[int, Box] = {}
        self.usual = 2 * USUAL[0]
        self.said: dict[str, tuple[Said, int]] = {}
        self.store = True  # the store answers, as far as is known
        self.alone = False  # it is we who are cut off
        self.list_ns = now  # when discovery last said anything
        self.changes: list[tuple[str, Verdict]] = []

    # ---- events ----------------------------------------------------------------------------------

    def listed(self, boxes: Mapping[int, str], now: int) -> None:
        """Discovery's list: boxes in use, and the site of each."""
        self.now = self.list_ns = max(self.now, now)
        for number in self.boxes.keys() - boxes.keys():
            site = self.sites[self.boxes.pop(number).site]
            site.silent.pop(number, None)
            site.signs.pop(number, None)
        for number, name in boxes.items():
            known = self.boxes.get(number)
            if known is None or known.site != name:
                self.boxes[number] = Box(name)
        for name in {*boxes.values(), *([self.here] if self.here else [])}:
            if name not in self.sites:
                self.sites[name] = Site(name, since=now, well_ns=now)

    def outcome(self, number: int, alive: bool, now: int, pace: float = 0.0) -> None:
        """A try at a box ended. `alive`: there was a sign of life; `pace`: its time against what
        was expected, 0: not told.
        """
        box = self.boxes.get(number)
        if box is None:
            return
        self.now = now = max(self.now, now)
        site = self.sites[box.site]
        box.at, box.ok = now, alive
        box.fails = 0 if alive else box.fails + 1
        if alive:
            site.good_ns = now
            site.signs[number] = site.signs.get(number, 0) + 1
            if pace > 0:
                site.pace += SLOW_FELT * (min(10.0, pace) - site.pace)
            # One sign ends the run, however likely a loss seemed by it.
            site.score = max(0.0, site.score - math.log((1 - self.usual) / (1 - LOST_P)))
            site.silent.clear()
        else:
            counted = site.silent.get(number, 0)
            site.run_ns = site.run_ns if site.silent else now
            site.silent[number] = counted + 1
            if counted < 2:  # a box that is dead by itself tells no more, however often it is tried
                site.score += math.log(LOST_P / self.usual)
        if site.state in (State.WELL, State.IMPAIRED) and site.score < ALARM / 2:
            self.usual += USUAL_FELT * ((not alive) - self.usual)
            self.usual = min(USUAL[1], max(USUAL[0], self.usual))

    def heard(self, balancer: str, said: Said, age_ns: int, now: int) -> None:
        """`age_ns`: for how long that word has stood."""
        self.now = max(self.now, now)
        self.said[balancer] = said, now - age_ns

    def hold(self, name: str, by: str, now: int) -> None:
        """An operator keeps a site out (`by` says who), or lets it go (empty)."""
        self.now = max(self.now, now)
        if name in self.sites:
            self.sites[name].held = by

    # ---- what it comes to ------------------------------------------------------------------------

    def _seems_lost(self, site: Site, need: int) -> bool:
        """By own tries alone: so many boxes in a row without a sign, and too many for chance."""
        there = sum(b.site == site.name for b in self.boxes.values())
        if not there:
            return False
        enough = min(need, math.ceil(MOST_OF * there))  # to wait for each last one takes long
        tries = sum(site.silent.values())
        return (
            len(site.silent) >= enough
            and tries >= LEAST_FAILS
            and site.score >= ALARM
            and (site.good_ns < site.run_ns)
        )

    def _words(self, name: str) -> tuple[int, int, bool]:
        """Other balancers whom that site answers, those whom it does not, and whether one within it
        speaks."""
        answers = silent = 0
        inside = False
        for said, at in self.said.values():
            if self.now - at > HEARD_OLD_NS:
                continue
            inside |= said.site == name
            answers += name in said.answers
            silent += name in said.silent
        return answers, silent, inside

    def alive(self, name: str) -> float:
        """Part of its boxes met lately that answered last."""
        lately = [
            b.ok
            for b in self.boxes.values()
            if b.site == name and b.at and self.now - b.at < OLD_NS
        ]
        return sum(lately) / len(lately) if lately else 1.0

    def tick(self, now: int) -> list[tuple[str, Verdict]]:
        """What changed since the last tick, by site."""
        self.now = now = max(self.now, now)
        self.changes = []
        others = [s for s in self.sites.values() if s.name != self.here]
        seem = {
            s.name
            for s in self.sites.values()
            if self._seems_lost(
                s, DISTINCT // 2 if self._words(s.name)[1] >= WITNESSES else DISTINCT
            )
        }
        met = [
            s
            for s in others
            if any(b.site == s.name and b.at and now - b.at < OLD_NS for b in self.boxes.values())
        ]
        # Nobody else's site answers, and it is more than one: the one that is cut off is this
        # balancer, or its site. With a single other one, whoever still has the store is not the one
        # that is cut off.
        gone = [s for s in met if s.name in seem or s.state in (State.LOST, State.CUT)]
        was_alone = self.alone
        if len(met) > 1:
            self.alone = len(gone) == len(met)
        else:
            self.alone = bool(gone) and not self.store
        for site in self.sites.values():
            self._judge(site, site.name in seem, was_alone)
        return self.changes

    def _judge(self, site: Site, seems: bool, was_alone: bool) -> None:
        now = self.now
        answers, silent, inside = self._words(site.name)
        if site.held:
            self._set(site, State.HELD, f"held by {site.held}")
            return
        if site.state is State.HELD:
            self._returning(site, "no longer held")
            return
        # Without the store nobody else can be asked: it may as well be we who are cut off.
        cut = self.alone or inside or answers >= WITNESSES or not self.store
        if seems or (site.state in (State.LOST, State.CUT) and not self._back(site)):
            if seems and site.state not in (State.LOST, State.CUT):
                site.signs.clear()
                site.losses = min(16, site.losses + 1)
            whose = (
                "no other site answers here: we are cut off"
                if self.alone
                else "its own balancers still speak"
                if inside
                else f"{answers} others are answered"
                if answers >= WITNESSES
                else "the store does not answer either"
                if cut
                else f"{silent} others say the same"
            )
            last = f", the last sign {(now - site.good_ns) / 1e9:.1f} s ago" if site.good_ns else ""
            self._set(
                site,
                State.CUT if cut else State.LOST,
                f"{sum(site.silent.values())} tries in a row at"
                f" {len(site.silent)} boxes without a sign{last}; {whose}",
            )
            return
        if site.state in (State.LOST, State.CUT):
            if was_alone:
                site.losses = max(0, site.losses - 1)  # it never went away
            self._returning(
                site, f"{sum(site.signs.values())} answers from {len(site.signs)} boxes"
            )
            return
        if site.state is State.RETURNING:
            if now - site.since < self.calm_ns(site.name):
                return
            site.well_ns = now
        if site.losses and now - site.well_ns > FORGIVEN_NS:
            site.losses -= 1
            site.well_ns = now
        alive, slow = self.alive(site.name), self._slow(site)
        if 1 - alive >= PART:
            self._set(site, State.IMPAIRED, f"{1 - alive:.0%} of its boxes met lately are silent")
        elif slow:
            self._set(
                site, State.IMPAIRED, f"its answers take {slow:.1f} times what the others' do"
            )
        elif site.state is not State.WELL:
            self._set(site, State.WELL, f"{alive:.0%} of its boxes met lately answer")

    def suspected(self, name: str) -> bool:
        """Is there a run of tries without a sign, too short yet to tell?"""
        site = self.sites[name]
        return site.state in (State.WELL, State.IMPAIRED) and site.score >= ALARM / 4

    def _back(self, site: Site) -> bool:
        """Signs of life since the loss: from some boxes, or many from the few that came back."""
        there = sum(b.site == site.name for b in self.boxes.values())
        return bool(site.signs) and (
            len(site.signs) >= min(SIGNS, there) or sum(site.signs.values()) >= 3 * SIGNS
        )

    def _slow(self, site: Site) -> float:
        """Times slower than the others; 0: no more than `SLOW`."""
        others = sorted(
            s.pace for s in self.sites.values() if s is not site and s.state is State.WELL
        )
        if not others:
            return 0.0
        ratio = site.pace / max(0.1, others[len(others) // 2])
        return ratio if ratio > SLOW else 0.0

    def calm_ns(self, name: str) -> int:
        """How long a site that came back must stay: the longer, the more often it went."""
        site = self.sites[name]
        return min(CALM[1], CALM[0] << max(0, site.losses - 1))

    def _returning(self, site: Site, why: str) -> None:
        site.silent.clear()
        site.score, site.pace = 0.0, 1.0
        self._set(site, State.RETURNING, why)

    def _set(self, site: Site, state: State, why: str) -> None:
        if site.state is state:
            return
        site.state, site.since, site.why = state, self.now, why
        self.changes.append((site.name, self.verdict(site.name)))

    def verdict(self, name: str) -> Verdict:
        site = self.sites[name]
        return Verdict(site.state, site.since, self.alive(name), site.why)

    def says(self) -> Said:
        """What this balancer tells the others: nothing of a site that it has not met lately, and of
        no site that it is lost while it is itself cut off.
        """
        met = {b.site for b in self.boxes.values() if b.at and self.now - b.at < OLD_NS}
        silent = {n for n in met if self.sites[n].state in (State.LOST, State.CUT)}
        answers = {
            n
            for n in met - silent
            if self.now - self.sites[n].good_ns < OLD_NS
            and self.sites[n].good_ns
            and not self.sites[n].silent
        }
        return Said(self.here, frozenset(answers), frozenset() if self.alone else frozenset(silent))

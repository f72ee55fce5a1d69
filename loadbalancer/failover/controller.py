"""The owner's part: from all rows and the courses as they stand come the next courses and what
follows for every balancer. Pure: a shell reads, writes and owns; what it keeps between two looks is
this process's own and begins anew with each owner.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from loadbalancer.failover import recovery
from loadbalancer.failover.evidence import State, Verdict
from loadbalancer.failover.plan import Fleet, Ladder, Load, Place
from loadbalancer.failover.recovery import Seen
from loadbalancer.failover.site_reports import Told, heard, verdict
from loadbalancer.failover.site_state import Course, View, advance
from loadbalancer.failover.traffic_shares import Orders, fleet_of, orders

SECOND = 1_000_000_000
SMOOTH = 0.15  # of loads, by each look: a ladder that follows each row would climb by chance
FADED = 0.01  # a second
ENOUGH, FELT = 10, 0.3  # tries, below which a look tells nothing; by each look
EASY, HARD = (
    0.03,
    0.12,
)  # below the usual part in time: less than the first, there is more room than thought
STRAIN = 0.02  # below it, from which each second that a site stays away costs
FACTOR, GROWS, SHRINKS, FORGETS = (0.6, 2.0), 1.08, 0.97, 0.02


@dataclass(frozen=True, slots=True)
class ColdBox:
    """A box that was started lately: its site, and how long ago."""

    number: int
    site: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Rules:
    """Of cold starts, as the settings have them."""

    cold_s: float
    slow_start_capacity: float
    multiple: float


@dataclass(frozen=True, slots=True)
class Look:
    """All that was read at one time. `listed`, `usual`: boxes of each site that discovery lists as
    ready now, and usually; `served`: part of the fleet's requests served in time, under 0: too few;
    `blind`: why it can't be gone by, empty: it can.
    """

    places: Mapping[str, Place]
    rows: Mapping[str, Told]
    worths: Mapping[str, float]
    quotas: Mapping[str, float]
    listed: Mapping[str, int]
    usual: Mapping[str, int]
    cold: tuple[ColdBox, ...] = ()
    served: float = -1.0
    blind: str = ""


@dataclass(frozen=True, slots=True)
class Planned:
    """`fleet`: with loads smoothed, as the orders were made from."""

    courses: tuple[Course, ...]
    orders: Orders
    fleet: Fleet
    verdicts: Mapping[str, Verdict]


class Planner:
    def __init__(self, rules: Rules, now: int) -> None:
        self.rules = rules
        self.ladder = Ladder(now)
        self.answers: dict[
            str, list[float]
        ] = {}  # by site, since its course changed: tries, good ones
        self.paces: dict[str, float] = {}
        self.counts: dict[str, int] = {}  # rows that were counted
        self.rates: dict[tuple[str, str, str], float] = {}
        self.felt: dict[str, int] = {}  # rows whose answers were felt
        self.good = self.usual_good = (
            0.97  # part of tries at sites that are well that are answered in time
        )
        self.factor = 1.0  # what sites are seen to bear, against what operators said
        self.since: dict[
            str, tuple[int, int]
        ] = {}  # by site, the course's count and when it was first seen

    def plan(self, courses: tuple[Course, ...], look: Look, now: int) -> Planned:
        what = heard(look.rows)
        verdicts = {
            n: verdict(n, what, look.listed.get(n, 0), look.usual.get(n, 0)) for n in look.places
        }
        self._count(look)
        ages = {c.site: self._age_s(c, now) for c in courses}
        bears = {n: p.bears for n, p in look.places.items()}
        self._feel(look, verdicts)
        view = View(
            verdicts,
            self._seen(verdicts),
            ages,
            bears,
            look.served,
            look.blind,
            self.ladder.at.rung > 0 or self.good < self.usual_good - STRAIN,
        )
        then = advance(courses, view)
        for was, course in zip(courses, then, strict=True):
            if was != course:
                self.answers.pop(course.site, None)
                self.since[course.site] = course.count, now  # its time runs from here
        rows = {n: t for n, t in look.rows.items() if t.fresh}
        fleet = self._smooth(fleet_of(look.places.values(), look.worths, look.quotas, rows))
        cold = self._cold(look, then)
        borne = replace(
            fleet,
            places={n: replace(p, bears=p.bears * self.factor) for n, p in fleet.places.items()},
        )
        return Planned(then, orders(borne, then, self.ladder, rows, cold, now), fleet, verdicts)

    def _feel(self, look: Look, verdicts: Mapping[str, Verdict]) -> None:
        """How much sites bear is what operators said, corrected by what is seen: while something is
        refused and what is let in is answered in time, they bear more; where it is not, less. Only
        rows that are new count.
        """
        tries = good = 0.0
        for name, told in look.rows.items():
            if told.fresh and self.felt.get(name) != told.row.count:
                self.felt[name] = told.row.count
                for site, n, part, _ in told.row.sites:
                    if site in verdicts and verdicts[site].state is State.WELL:
                        tries += n
                        good += n * part
        if tries < ENOUGH:
            return
        self.good += FELT * (good / tries - self.good)
        if not self.ladder.at.rung:
            self.usual_good += FORGETS * (self.good - self.usual_good)
            self.factor += FORGETS * (1.0 - self.factor)
        elif self.good > self.usual_good - EASY:
            self.factor = min(FACTOR[1], self.factor * GROWS)
        elif self.good < self.usual_good - HARD:
            self.factor = max(FACTOR[0], self.factor * SHRINKS)

    def _age_s(self, course: Course, now: int) -> float:
        if self.since.get(course.site, (-1, 0))[0] != course.count:
            self.since[course.site] = course.count, now
        return (now - self.since[course.site][1]) / SECOND

    def _count(self, look: Look) -> None:
        """Tries that the rows tell of, each row once."""
        for name, told in look.rows.items():
            if not told.fresh or self.counts.get(name) == told.row.count:
                continue
            self.counts[name] = told.row.count
            for site, tries, good, pace in told.row.sites:
                row = self.answers.setdefault(site, [0.0, 0.0])
                row[0] += tries
                row[1] += tries * good
                self.paces[site] = self.paces.get(site, 1.0) + 0.2 * (
                    pace - self.paces.get(site, 1.0)
                )

    def _seen(self, verdicts: Mapping[str, Verdict]) -> dict[str, Seen]:
        usual = sorted(self.paces.values())[len(self.paces) // 2] if self.paces else 1.0
        found = {}
        for name, v in verdicts.items():
            tries, good = self.answers.get(name, [0.0, 0.0])
            # Against what the others do now: where all are crowded, a site on its way back is no
            # worse for it.
            part = min(1.0, good / tries / max(0.5, self.good)) if tries else 1.0
            found[name] = Seen(
                v.state is State.LOST, int(tries), part, self.paces.get(name, 1.0) / max(0.1, usual)
            )
        return found

    def _smooth(self, fleet: Fleet) -> Fleet:
        now = {(x.site, x.kind, x.tenant): x for x in fleet.loads}
        for key in now.keys() | self.rates.keys():
            rate = now[key].rate if key in now else 0.0
            self.rates[key] = self.rates.get(key, rate) + SMOOTH * (
                rate - self.rates.get(key, rate)
            )
        self.rates = {key: rate for key, rate in self.rates.items() if rate > FADED}
        # What came in at balancers that are silent now fades as fast as it is seen to come in
        # elsewhere.
        loads = [
            replace(now.get(key, Load(*key, 0.0)), rate=rate)
            for key, rate in sorted(self.rates.items())
            if key[1] in fleet.kinds and key[0] in fleet.places
        ]
        whole: dict[str, float] = {}
        for x in loads:
            whole[x.tenant] = whole.get(x.tenant, 0.0) + x.rate
        return replace(
            fleet,
            loads=tuple(
                replace(x, excess=max(0.0, 1.0 - fleet.quotas[x.tenant] / whole[x.tenant]))
                if fleet.quotas.get(x.tenant)
                else x
                for x in loads
            ),
        )

    def _cold(self, look: Look, courses: tuple[Course, ...]) -> dict[int, float]:
        """Cold boxes of the sites that come back, and what each bears now from all balancers
        together.
        """
        back = {c.site for c in courses if not c.well and c.part > 0}
        found = {}
        for box in look.cold:
            if box.site in back and box.site in look.places and box.age_s < self.rules.cold_s:
                warm = look.places[box.site].bears / max(1, look.usual.get(box.site, 1))
                found[box.number] = recovery.bears_now(
                    warm,
                    box.age_s,
                    self.rules.cold_s,
                    self.rules.slow_start_capacity,
                    self.rules.multiple,
                )
        return found

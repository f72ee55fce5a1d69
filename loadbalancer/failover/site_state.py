"""What the fleet does about its sites, step by step: the work of one owner. Pure: from the courses
as they stand and what is seen comes what they are next, which is one write of the store or nothing.

A site's course says what part of its usual load it gets, and why. Three things move it: what the
fleet takes the site to be (lost, cut, back), an operator (drain, hold, return, drill), and the way
back, stage by stage (`recovery`). An owner may die at any point: the next goes on from what stands,
and counts a stage's time anew, so no stage is shorter for it and none is done twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum

from loadbalancer.failover import recovery
from loadbalancer.failover.evidence import State, Verdict
from loadbalancer.failover.recovery import Return, Seen, Stage

STEPS = 20  # in which a site is emptied
SERVICE_PART = 0.95  # of what was served when it began, below which a drain rests and a drill ends
DRILL_S = 60.0  # that a drill leaves a site empty, unless told
MOST_S = 86_400.0


class Aim(Enum):
    IN = "in"  # it gets what it can bear
    OUT = "out"  # operators want it empty
    DRILL = "drill"  # emptied, and brought back by itself


@dataclass(frozen=True, slots=True)
class Course:
    """`part`: of its usual load that a site gets; `apart`: it serves what comes in there and
    nothing else, as the others don't reach it; `over_s`: in which it is emptied, `hold_s`: how long
    a drill leaves it so; `before`: the part served when that began, under 0: not known; `count`
    grows with each change.
    """

    site: str
    aim: Aim = Aim.IN
    stage: Stage = Stage.NORMAL
    part: float = 1.0
    apart: bool = False
    fails: int = 0
    fell: bool = False
    over_s: float = 0.0
    hold_s: float = 0.0
    before: float = -1.0
    by: str = ""
    why: str = ""
    count: int = 0

    @property
    def well(self) -> bool:
        """Nothing is special about it."""
        return self.aim is Aim.IN and self.stage is Stage.NORMAL and not self.apart


@dataclass(frozen=True, slots=True)
class View:
    """All that is seen at one time. `ages`: seconds for which each course has stood as it is, by
    this owner's own clock; `served`: part of the fleet's requests served in time, under 0: too few
    to tell; `blind`: why what is seen can't be gone by, empty: it can.
    """

    verdicts: Mapping[str, Verdict]
    seen: Mapping[str, Seen]
    ages: Mapping[str, float]
    bears: Mapping[str, float]
    served: float = -1.0
    blind: str = ""
    needed: bool = False


def ordered(course: Course, aim: Aim, by: str, over_s: float = 0.0, hold_s: float = 0.0) -> Course:
    """An operator's word. Raises ValueError where it can't be."""
    if not (0.0 <= over_s <= MOST_S and 0.0 <= hold_s <= MOST_S):
        raise ValueError("times are 0 s to a day")
    if aim is Aim.DRILL and not course.well:
        raise ValueError(f"{course.site} is not as usual: no drill begins now")
    if aim is Aim.IN:
        if course.aim is Aim.IN:
            raise ValueError(f"{course.site} is not held, drained or drilled")
        return _homeward(course, f"{by} lets it return")
    return replace(
        course,
        aim=aim,
        by=by,
        over_s=over_s,
        hold_s=hold_s or DRILL_S,
        before=-1.0,
        why=f"{by} {'drills' if aim is Aim.DRILL else 'empties'} it",
        count=course.count + 1,
    )


def _homeward(course: Course, why: str) -> Course:
    """From wherever it stands, up again by what it is seen to bear."""
    stage = Stage.PROBES if course.part <= 0 else Stage.SHARES
    return replace(
        course, aim=Aim.IN, stage=stage, before=-1.0, why=why, by="", count=course.count + 1
    )


def advance(courses: Iterable[Course], view: View) -> tuple[Course, ...]:
    """The courses as they are next; the same ones where there is nothing to do."""
    courses = tuple(courses)
    if view.blind:
        return courses
    returning = [
        Return(c.site, c.stage, c.part, c.fails, c.fell) for c in courses if c.aim is Aim.IN
    ]
    rises = recovery.rises(returning, view.bears)
    return tuple(_next(c, view, rises.get(c.site, 1.0)) for c in courses)


def _next(c: Course, view: View, most: float) -> Course:
    verdict = view.verdicts.get(c.site)
    age = view.ages.get(c.site, 0.0)
    if verdict is None:
        return c
    lost, cut = verdict.state is State.LOST, verdict.state is State.CUT
    # One that is out and answers its own balancers only is on its way back: not yet a site to
    # itself.
    if cut is not c.apart and not lost and (c.apart or c.part > 0):
        if cut:
            return replace(c, apart=True, why=verdict.why, count=c.count + 1)
        if c.aim is not Aim.IN or c.part <= 0:
            return replace(c, apart=False, why="it is reached again", count=c.count + 1)
        # Its boxes went on serving what came in there: they are warm, and take the rest in shares.
        return replace(
            c,
            apart=False,
            stage=Stage.SHARES,
            part=min(c.part, 1.0 / recovery.RISE),
            why="it is reached again",
            count=c.count + 1,
        )
    if lost and (c.part > 0 or c.stage is not Stage.OUT or c.apart):
        # What failed on its way back counts; a site that was well is lost for the first time.
        fails = min(16, c.fails + (c.stage not in (Stage.NORMAL, Stage.OUT)))
        return replace(
            c,
            stage=Stage.OUT,
            part=0.0,
            apart=False,
            fails=fails,
            why=verdict.why,
            count=c.count + 1,
        )
    if lost or cut:
        return c
    if c.aim is not Aim.IN:
        return _emptied(c, view, age)
    if c.stage is Stage.NORMAL:
        return c
    seen = view.seen.get(c.site, Seen(False, 0, 1.0))
    now = Return(c.site, c.stage, c.part, c.fails, c.fell)
    then = recovery.step(now, seen, age, most, view.needed)
    if then == now:
        return c
    said = (
        f"{then.stage.value} at {then.share:.0%}: {seen.answers} answers, {seen.good:.0%} in time"
    )
    return replace(
        c,
        stage=then.stage,
        part=then.share,
        fails=then.fails,
        fell=then.fell,
        why=said,
        count=c.count + 1,
    )


def _emptied(c: Course, view: View, age: float) -> Course:
    """One step of a drain or a drill, if it is time for one."""
    if c.before < 0 and view.served >= 0:
        return replace(c, before=view.served, count=c.count + 1)
    falls = c.before >= 0 and 0 <= view.served < SERVICE_PART * c.before
    if falls and c.aim is Aim.DRILL:
        return _homeward(
            c, f"the drill ended itself: {view.served:.1%} are served, {c.before:.1%} were"
        )
    if c.part > 0:
        if falls:
            why = f"rests: {view.served:.1%} are served, {c.before:.1%} were when it began"
            return c if c.why.startswith("rests") else replace(c, why=why, count=c.count + 1)
        if age < c.over_s / STEPS:
            return c
        # A look may come later than a step is due: by then it is a larger one, but never by half.
        step = min(0.5, max(1.0 / STEPS, age / c.over_s)) if c.over_s else 1.0
        part = max(0.0, round(c.part - step, 6))
        return replace(
            c,
            part=part,
            stage=c.stage if part else Stage.OUT,
            why="is empty" if not part else f"gets {part:.0%}",
            count=c.count + 1,
        )
    if c.aim is Aim.DRILL and age >= c.hold_s:
        return _homeward(c, "the drill is over")
    return c


def parts(courses: Iterable[Course]) -> dict[str, float]:
    """Of each site that is not as usual, the part of its usual load that it gets from the
    others.
    """
    return {c.site: 0.0 if c.apart else c.part for c in courses if not c.well}

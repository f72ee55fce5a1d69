"""A roll: boxes taken out of use for a restart, a few at a time, and put back. Pure: from the roll
as it stands and what is seen comes the next step, which is one write of the store or nothing.

The state is the roll's document and the set of disabled upstreams; both change in the same write,
under the owner's token and at the versions that were read. So an owner may die before, during or
after any step, and the next one goes on from what stands: no box is out twice, none forgotten,
never more than `at_once` out.

    waiting -> out -> quiet -> back -> done        (each box)
    out:   in the set; balancers may still have attempts there
    quiet: every balancer said that it heard, and has nothing under way there: it may be restarted
    back:  restarted, out of the set again, cold
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

MOST_BOXES = 1000
OLD_S = 10.0  # a report or a list older than this is not gone by
PATIENCE_S = 60.0  # what is old for so long stops the roll
SERVICE_PART = 0.9  # of the part that was served when the roll began; below it the roll stops
APART_S = 1.0  # two starts of a box are further apart: clocks are only so exact
DOOR = re.compile(r"/[A-Za-z0-9._~/-]{0,199}\Z")
FEW = 5.0  # attempts a second, below which a part tells nothing


class Phase(Enum):
    WAITING = "waiting"
    OUT = "out"
    QUIET = "quiet"
    BACK = "back"
    DONE = "done"


class State(Enum):
    RUNNING = "running"
    PAUSED = "paused"  # by an operator, or by itself: `why` says
    ABORTING = "aborting"  # what is out is put back, nothing more is taken
    ENDED = "ended"


class Box(msgspec.Struct, frozen=True):
    """`since_ms`: when it came into this phase; `before`: its start as listed when it was taken
    out, Unix time; `word`: an operator said that it is restarted; `asked`: the owner's token under
    which it was last meant to be asked to restart, 0: never.
    """

    name: str
    number: int
    phase: Phase = Phase.WAITING
    since_ms: int = 0
    before: float = 0.0
    word: bool = False
    asked: int = 0


class Roll(msgspec.Struct, frozen=True):
    """The document. `least`: part of the listed boxes that stays in use; `served`: what part of the
    attempts was served when it began; `door`: the path at which a box is asked to restart, empty:
    operators do it.
    """

    id: str
    boxes: tuple[Box, ...]
    at_once: int
    per_site: int = 0  # 0: no bound of its own
    least: float = 0.7
    warm_s: float = 30.0
    wait_s: float = 900.0  # for the restart of a box
    state: State = State.RUNNING
    why: str = ""
    by: str = ""
    began_ms: int = 0
    served: float = -1.0
    steps: int = 0
    door: str = ""


class Report(msgspec.Struct, frozen=True):
    """What a balancer says: the set's version that it goes by, which of the boxes in it still have
    attempts of its own, and attempts a second that it sent and that were served. `count` grows with
    each report.
    """

    version: int
    busy: tuple[str, ...]
    sent: float
    served: float
    count: int


@dataclass(frozen=True, slots=True)
class Seen:
    """A report and for how long it has stood, by the reader's clock. `live`: the balancer holds its
    name.
    """

    report: Report
    age_s: float
    live: bool


@dataclass(frozen=True, slots=True)
class Listed:
    site: str
    started: float  # Unix time; 0: long ago
    ready: bool
    address: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class View:
    """All that is seen at one time. `now_ms`: Unix time, noted for people. `version`: of the set of
    disabled names. `ages_s`: by name, how long each box has been in its phase, by this owner's own
    clock: one that took over counts from then on.
    """

    now_ms: int
    disabled: frozenset[str]
    version: int
    balancers: Mapping[str, Seen]
    boxes: Mapping[int, Listed]
    list_age_s: float
    ages_s: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Step:
    """What the next write makes of the roll and of the set (None: it stays). `say`: in one line."""

    roll: Roll
    disabled: frozenset[str] | None
    say: str


@dataclass(slots=True)
class Draft:
    roll: Roll
    say: list[str] = field(default_factory=list)

    def set(self, box: Box, phase: Phase, now_ms: int, **more: Any) -> None:
        changed = msgspec.structs.replace(box, phase=phase, since_ms=now_ms, **more)
        boxes = tuple(changed if b.name == box.name else b for b in self.roll.boxes)
        self.roll = msgspec.structs.replace(self.roll, boxes=boxes)
        self.say.append(f"{box.name} is {phase.value}")


def wrong(roll: Roll) -> str:
    """What can't be about a roll that is to begin, in one line; empty: nothing."""
    names = [b.name for b in roll.boxes]
    if not names or len(names) > MOST_BOXES:
        return f"a roll has 1 to {MOST_BOXES} boxes"
    if len(set(names)) < len(names):
        return f"{next(n for n in names if names.count(n) > 1)} stands there twice"
    if roll.at_once < 1 or roll.per_site < 0:
        return "at least one box at once"
    if roll.door and not DOOR.match(roll.door):
        return f"{roll.door!r} is no path of a box's door"
    if not 0 <= roll.least <= 1:
        return "the part that stays in use is 0 to 1"
    if roll.warm_s < 0 or roll.wait_s <= 0:
        return "times must not be negative"
    return ""


def served(view: View) -> float:
    """The part of the fleet's attempts that is served; under 0: too few to tell."""
    sent = sum(s.report.sent for s in view.balancers.values() if s.live)
    good = sum(s.report.served for s in view.balancers.values() if s.live)
    return min(1.0, good / sent) if sent >= FEW else -1.0


def blind(view: View) -> str:
    """What is too old, or not seen, to take a step by; empty: nothing."""
    if not view.balancers:
        return "no balancer reports"
    if view.list_age_s > OLD_S:
        return f"the list of boxes is {view.list_age_s:.0f} s old"
    for name, seen in sorted(view.balancers.items()):
        if not seen.live:
            return f"balancer {name} is silent: what it has under way can't be seen"
        if seen.age_s > OLD_S:
            return f"balancer {name} has not reported for {seen.age_s:.0f} s"
    return ""


def quiet(box: Box, view: View) -> bool:
    """Did every balancer hear that it is out, and has none an attempt there?"""
    return all(
        s.report.version >= view.version and box.name not in s.report.busy
        for s in view.balancers.values()
    )


def unusable(view: View, roll: Roll) -> int:
    """Boxes that are out of use for any reason: disabled, drained, or cold from this roll."""
    cold = {b.number for b in roll.boxes if b.phase is Phase.BACK}
    by_name = {b.number for b in roll.boxes if b.name in view.disabled}
    others = len(view.disabled) - len({b.name for b in roll.boxes} & view.disabled)
    down = {n for n, b in view.boxes.items() if not b.ready}
    return len(down | by_name | cold) + others


def decide(roll: Roll, view: View, blind_s: float = 0.0) -> Step | None:
    """The next step, if there is one now. `blind_s`: for how long nothing could be seen by now."""
    draft, disabled = Draft(roll), set(view.disabled)
    if roll.state is State.ENDED:
        return None
    if roll.state is State.ABORTING:
        for box in roll.boxes:
            if box.phase in (Phase.OUT, Phase.QUIET):
                disabled.discard(box.name)
                draft.set(box, Phase.WAITING, view.now_ms)
        return _ended(draft, disabled, view, "aborted: all that it had taken out is back")
    why = blind(view)
    if why:
        # Nothing is taken out or said to be quiet by what is old; what is out stays out.
        return _pause(roll, why) if roll.state is State.RUNNING and blind_s > PATIENCE_S else None
    _onward(draft, disabled, view)
    if draft.say:
        return Step(_counted(draft.roll), frozenset(disabled), "; ".join(draft.say))
    if roll.state is State.PAUSED:
        return None
    stop = _guard(roll, view)
    if stop:
        return _pause(roll, stop)
    if roll.served < 0 and (now := served(view)) >= 0:
        return Step(
            msgspec.structs.replace(roll, served=now), None, f"{now:.1%} of attempts are served"
        )
    following = _next(roll, view)
    if following is not None:
        disabled.add(following.name)
        before = view.boxes[following.number].started
        draft.set(following, Phase.OUT, view.now_ms, before=before, word=False)
        return Step(_counted(draft.roll), frozenset(disabled), draft.say[0])
    if all(b.phase is Phase.DONE for b in roll.boxes):
        return _ended(draft, disabled, view, "all boxes are done")
    return None


def _onward(draft: Draft, disabled: set[str], view: View) -> None:
    """Boxes that are under way, each as far as what is seen bears."""
    for box in draft.roll.boxes:
        listed = view.boxes.get(box.number)
        age_s = view.ages_s.get(box.name, 0.0)
        if box.phase is Phase.OUT and quiet(box, view):
            draft.set(box, Phase.QUIET, view.now_ms)
        elif box.phase is Phase.QUIET:
            restarted = (
                listed is not None and listed.ready and listed.started > box.before + APART_S
            )
            if restarted or (box.word and listed is not None and listed.ready):
                disabled.discard(box.name)
                draft.set(box, Phase.BACK, view.now_ms)
        elif (
            box.phase is Phase.BACK
            and age_s >= draft.roll.warm_s
            and listed is not None
            and listed.ready
        ):
            draft.set(box, Phase.DONE, view.now_ms)


def _guard(roll: Roll, view: View) -> str:
    """Why it must not go on by itself; empty: it may."""
    now = served(view)
    if roll.served >= 0 and 0 <= now < SERVICE_PART * roll.served:
        return f"{now:.1%} of attempts are served, and {roll.served:.1%} were when it began"
    for box in roll.boxes:
        age_s = view.ages_s.get(box.name, 0.0)
        if box.phase is Phase.OUT and age_s > PATIENCE_S:
            return f"{box.name} still has attempts under way after {age_s:.0f} s"
        if box.phase is Phase.QUIET and age_s > roll.wait_s:
            return f"{box.name} was not restarted in {roll.wait_s:.0f} s"
        if (
            box.phase is Phase.BACK
            and box.number not in view.boxes
            and age_s > roll.warm_s + PATIENCE_S
        ):
            return f"{box.name} is not listed any more, {age_s:.0f} s after it was put back"
        if box.phase in (Phase.OUT, Phase.QUIET) and box.name not in view.disabled:
            return f"somebody put {box.name} back while it was out for this roll"
    return ""


def _next(roll: Roll, view: View) -> Box | None:
    """The next to take out, where that leaves enough."""
    under = [b for b in roll.boxes if b.phase in (Phase.OUT, Phase.QUIET, Phase.BACK)]
    if len(under) >= roll.at_once or unusable(view, roll) >= roll.at_once:
        return None
    total = len(view.boxes)
    if total - unusable(view, roll) - 1 < roll.least * total:
        return None
    sites: dict[str, int] = {}
    for b in under:
        site = view.boxes[b.number].site if b.number in view.boxes else ""
        sites[site] = sites.get(site, 0) + 1
    for box in roll.boxes:
        listed = view.boxes.get(box.number)
        if (
            box.phase is not Phase.WAITING
            or listed is None
            or not listed.ready
            or box.name in view.disabled
        ):
            continue
        if not roll.per_site or sites.get(listed.site, 0) < roll.per_site:
            return box
    return None


def held_up(roll: Roll, view: View) -> str:
    """Why nothing more is taken out just now, for people; empty: nothing holds it up."""
    why = blind(view)
    if why or roll.state is not State.RUNNING:
        return why or roll.why
    waiting = [b for b in roll.boxes if b.phase is Phase.WAITING]
    if not waiting or _next(roll, view) is not None:
        return ""
    out = unusable(view, roll)
    if out >= roll.at_once:
        return f"{out} of {len(view.boxes)} boxes are out of use, and {roll.at_once} at once may be"
    if len(view.boxes) - out - 1 < roll.least * len(view.boxes):
        return (
            f"{out} of {len(view.boxes)} boxes are out of use, and {roll.least:.0%} must stay in it"
        )
    return "no box that waits is listed as ready, enabled, and free by its site"


def meant(roll: Roll, token: int, owned_s: float, lease_s: float) -> Step | None:
    """The write that says which boxes are about to be asked to restart, and by whom: it stands
    before the act, so that whoever comes next knows that one may be on its way. A box that an owner
    of before meant to ask is asked again only when a lease's time has gone by since: what that one
    still sends is late.
    """
    draft = Draft(roll)
    for box in roll.boxes if roll.door and roll.state is not State.ABORTING else ():
        if (
            box.phase is Phase.QUIET
            and box.asked != token
            and (not box.asked or owned_s >= lease_s)
        ):
            draft.set(box, Phase.QUIET, box.since_ms, asked=token)
            draft.say[-1] = f"{box.name} is to be asked to restart"
    return Step(_counted(draft.roll), None, "; ".join(draft.say)) if draft.say else None


def to_ask(roll: Roll, token: int) -> list[Box]:
    """Boxes that this owner said it would ask to restart, and that are not seen to have done so.
    Asked under one name however often, so that a box does it once.
    """
    if not roll.door or roll.state in (State.ABORTING, State.ENDED):
        return []
    return [b for b in roll.boxes if b.phase is Phase.QUIET and b.asked == token]


def name_of(roll: Roll, box: Box) -> str:
    """Of the one restart of a box in a roll, whoever asks for it."""
    return f"{roll.id}/{box.name}"


def _counted(roll: Roll) -> Roll:
    return msgspec.structs.replace(roll, steps=roll.steps + 1)


def _pause(roll: Roll, why: str) -> Step:
    paused = msgspec.structs.replace(roll, state=State.PAUSED, why=why)
    return Step(paused, None, f"it stops by itself: {why}")


def _ended(draft: Draft, disabled: set[str], view: View, say: str) -> Step:
    roll = msgspec.structs.replace(_counted(draft.roll), state=State.ENDED, why=say)
    changed = frozenset(disabled) if disabled != view.disabled else None
    return Step(roll, changed, say)

"""How a site comes back: what it may get at each moment, and who may send to its cold boxes. Pure.

Stages: out, then answers to probes, a trickle, shares that rise by what it was seen to bear,
normal. A stage that fails goes back to the one before, and waits longer each time; a site that goes
again begins anew. No stage counts time but that which its owner has itself seen go by, so a new
owner may be slower and never quicker.

Cold starts are dealt out by one owner: of each cold box a few balancers get so many requests a
second, all of them together no more than it bears now. Without an owner each balancer falls back to
its own reckoning, which assumes that all others send too.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

PROBES_S, TRICKLE_S, STEP_S = 1.0, 1.0, 1.0  # least time in a stage, and between two rises
TRICKLE, RISE, LEAST_STEP = (
    0.04,
    2.0,
    0.1,
)  # part of its usual load; times as much; at least so much more
HASTE = 0.5, 0.5  # where it is needed: part of these times, and least step
GOOD, BAD = 0.9, 0.7  # part of answers in time: rises from the first on, goes back below the second
SLOW, TOO_SLOW = 2.0, 4.0  # times the other sites' pace: rises no more; goes back
ENOUGH = 5  # answers in a stage before it is judged
WAIT_S = 2.0, 120.0  # before the next try after a failure, first and at most
GROWTH = (
    0.12  # of what the whole fleet bears, that all returning sites together may rise by in one step
)
SENDERS = 4  # balancers at least that share a cold box: one that goes must not leave it idle


class Stage(Enum):
    OUT = "out"
    PROBES = "probes"
    TRICKLE = "trickle"
    SHARES = "shares"
    NORMAL = "normal"


@dataclass(frozen=True, slots=True)
class Return:
    """One site's way back. `share`: of its usual load; `fails`: stages that failed since it was
    last normal; `fell`: that is the last thing that happened to it.
    """

    site: str
    stage: Stage = Stage.OUT
    share: float = 0.0
    fails: int = 0
    fell: bool = False

    @property
    def wait_s(self) -> float:
        """Before it is tried again, after so many failures."""
        return 0.0 if not self.fails else min(WAIT_S[1], WAIT_S[0] * 2.0 ** (self.fails - 1))


@dataclass(frozen=True, slots=True)
class Seen:
    """What is known of a site now. `answers`: since this stage began, and the part of them in time,
    and `pace`, both against the other sites'; `lost`: no sign of life.
    """

    lost: bool
    answers: int
    good: float
    pace: float = 1.0


ORDER = tuple(Stage)


def _back(r: Return) -> Return:
    """The stage before, with a longer wait ahead of the next try."""
    before = ORDER[max(1, ORDER.index(r.stage) - 1)]
    share = {Stage.PROBES: 0.0, Stage.TRICKLE: TRICKLE}.get(before, r.share / RISE)
    return replace(
        r, stage=before, share=min(r.share, share), fails=min(16, r.fails + 1), fell=True
    )


def step(r: Return, seen: Seen, age_s: float, most: float = 1.0, needed: bool = False) -> Return:
    """What it is next. `age_s`: how long it has been as it is; `most`: it may rise by so much now;
    `needed`: the others refuse for want of room, so each second that it stays away costs, and it
    comes by larger steps.
    """
    if seen.lost:
        if r.stage is Stage.OUT:
            return r
        return Return(r.site, Stage.OUT, 0.0, min(16, r.fails + (r.stage is not Stage.NORMAL)))
    if r.stage is Stage.NORMAL:
        return r
    if r.stage is Stage.OUT:
        return replace(r, stage=Stage.PROBES) if age_s >= r.wait_s else r
    if seen.answers >= ENOUGH and (seen.good < BAD or seen.pace > TOO_SLOW):
        return _back(r)
    least = {Stage.PROBES: PROBES_S, Stage.TRICKLE: TRICKLE_S}.get(r.stage, STEP_S)
    least *= HASTE[0] if needed else 1.0
    least = max(least, r.wait_s if r.fell else 0.0)
    if age_s < least or seen.answers < ENOUGH or seen.good < GOOD or seen.pace > SLOW:
        return r
    if r.stage is Stage.PROBES:
        return replace(r, stage=Stage.TRICKLE, share=TRICKLE, fell=False)
    rise = max(LEAST_STEP, r.share * (RISE - 1.0))
    share = min(1.0, r.share + (max(rise, HASTE[1]) if needed else min(most, rise)))
    if share >= 1.0:
        return Return(r.site, Stage.NORMAL, 1.0, 0)
    return replace(r, stage=Stage.SHARES, share=share, fell=False)


def rises(returning: Iterable[Return], bears: Mapping[str, float]) -> dict[str, float]:
    """By how much each site that comes back may rise in its next step: all together by no more than
    what the fleet can take a change of. Those nearer to their end first would starve the others, so
    evenly.
    """
    them = [r for r in returning if r.stage in (Stage.TRICKLE, Stage.SHARES)]
    whole = sum(bears.values())
    return {r.site: GROWTH * whole / len(them) / max(1e-9, bears.get(r.site, 0.0)) for r in them}


def deal(
    boxes: Sequence[int],
    balancers: Sequence[str],
    per_s: Mapping[int, float],
    prefer: Mapping[str, float] | None = None,
) -> dict[str, dict[int, float]]:
    """Of each cold box, requests a second that each balancer may send. `per_s`: what the box bears
    now from all together. Each box goes to so few that one gets a request in a second or so, and
    they take turns over the boxes, so that none has many more than others; `prefer`: by balancer,
    its part of the traffic.
    """
    found: dict[str, dict[int, float]] = {}
    if not balancers:
        return found
    weights = [max(0.0, (prefer or {}).get(b, 1.0)) for b in balancers]
    whole = sum(weights) or float(len(balancers))
    marks, total = [], 0.0
    for w in weights:
        total += w if sum(weights) else 1.0
        marks.append(total / whole)
    place = 0.0
    for number in boxes:
        rate = per_s.get(number, 0.0)
        if rate <= 0:
            continue
        senders = min(len(balancers), max(SENDERS, math.ceil(rate)))
        chosen: dict[str, int] = {}
        for turn in range(senders):
            at = (place + turn / senders) % 1.0
            who = balancers[
                min(len(balancers) - 1, next(i for i, m in enumerate(marks) if at < m + 1e-12))
            ]
            chosen[who] = chosen.get(who, 0) + 1
        for who, turns in chosen.items():
            found.setdefault(who, {})[number] = rate * turns / senders
        place = (place + 0.6180339887498949) % 1.0  # spread evenly, whatever their number
    return found


def bears_now(
    warm_per_s: float,
    age_s: float,
    cold_s: float,
    slow_start_capacity: float,
    multiple: float,
    careful: float = 0.7,
) -> float:
    """Requests a second that a cold box bears from all together, by the settings' rule for cold
    starts.
    """
    part = (
        1.0
        if cold_s <= 0
        else slow_start_capacity + (1.0 - slow_start_capacity) * min(1.0, max(0.0, age_s) / cold_s)
    )
    return careful * multiple * part * warm_per_s if part < 1.0 else warm_per_s

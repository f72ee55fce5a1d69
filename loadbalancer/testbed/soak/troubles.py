"""Which troubles come when: drawn from a seed, so that two or three overlap at any time."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Trouble(Enum):
    """What may go wrong, and how long it may last, in seconds."""

    RESTART = ("a balancer is told to end, and started again", 0.0, 0.0)
    REPLACE = ("a new process takes a balancer over", 0.0, 0.0)
    KILL = ("a balancer is killed, and started again", 0.0, 0.0)
    MOVE = ("a new configuration moves discovery", 0.0, 0.0)
    RELOADS_THEN_TERM = ("several reloads and an end within milliseconds", 0.0, 0.0)
    TERM_REPEATED = ("a balancer is told to end again and again", 0.0, 0.0)
    RELOAD_AFTER_TERM = ("a reload comes right behind the word to end", 0.0, 0.0)
    TERM_AT_START = ("a process is told to end before it listens", 0.0, 0.0)
    REPLACE_IN_RELOAD = ("a new process takes over during a reload", 0.0, 0.0)
    BOTH_TOLD = ("both processes of a replacement are told to end", 0.0, 0.0)
    DEATH_AT_HANDOVER = ("one of two processes dies at the hand-over", 0.0, 0.0)
    HOLD_UP = ("a balancer stands still for up to 0.15 s", 0.02, 0.15)
    CLOCK = ("a balancer's wall clock is stepped", 1.0, 6.0)
    CALLS_FAIL = ("a balancer's system calls fail now and then", 0.5, 3.0)
    DISABLE = ("operators disable an upstream, and enable it", 1.0, 4.0)
    HANG = ("an upstream takes requests and says nothing", 0.5, 4.0)
    FULL_QUEUE = ("an upstream accepts no connection", 0.3, 2.5)
    RESETS = ("an upstream resets connections under requests", 0.5, 3.0)
    SHEDS = ("an upstream turns requests away", 0.5, 3.0)
    NO_LENGTH = ("an upstream's answers have no length, some break off", 0.5, 3.0)
    TWICE = ("an upstream answers twice", 0.5, 3.0)
    CRASH = ("an upstream dies, and starts again", 0.3, 3.0)
    DRAIN = ("an upstream drains, and is there again", 1.0, 6.0)
    LISTS_SILENT = ("all open watches fall silent", 0.0, 0.0)
    LISTS_BUSY = ("discovery turns calls away", 0.5, 4.0)
    LISTS_DOWN = ("discovery is down", 0.5, 6.0)
    LISTS_SLOW = ("discovery answers late", 0.5, 4.0)
    LISTS_LATE = ("discovery answers 1.3 to 1.8 s late, also behind the hold", 5.0, 9.0)


@dataclass(frozen=True, slots=True)
class Event:
    """One of them. `draw` decides whom it meets."""

    at_s: float
    trouble: Trouble
    lasts_s: float
    draw: float


def schedule(seed: int, seconds: float, overlap: float = 2.5) -> list[Event]:
    """Troubles over so many seconds, with `overlap` of them at once in the mean."""
    rng = random.Random(seed)
    kinds = list(Trouble)
    mean_s = sum(max(1.0, (t.value[1] + t.value[2]) / 2) for t in kinds) / len(kinds)
    gap_s = mean_s / overlap
    found, at_s = [], 1.0
    while at_s < seconds - 1.0:
        trouble = rng.choice(kinds)
        found.append(Event(at_s, trouble, rng.uniform(*trouble.value[1:]), rng.random()))
        at_s += rng.expovariate(1 / gap_s)
    return found

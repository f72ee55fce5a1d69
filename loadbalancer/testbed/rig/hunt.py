"""Draws schedules by seed, plays each with real processes, and shrinks what fails."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, wait
from dataclasses import dataclass, field

import msgspec

from loadbalancer.settings import Json
from loadbalancer.testbed.experiments import processes
from loadbalancer.testbed.rig.run import Result, play
from loadbalancer.testbed.rig.scenario import SECOND, Fault, Scenario, drawn, parsed, source
from loadbalancer.testbed.shrinking import shrink
from loadbalancer.units import Duration

NUMBERS = re.compile(r"[0-9a-f]{6,}|\d+")


@dataclass(slots=True)
class Hunted:
    played: int = 0
    figures: list[Json] = field(default_factory=list)
    found: list[Result] = field(default_factory=list)  # each the smallest of its kind
    unusable: int = 0


def bad(result: Result) -> str:
    """What is wrong, in words that stay the same while the schedule is shrunk."""
    return NUMBERS.sub("N", result.wrong[0]) if result.wrong else ""


def shorter(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, lasts=Duration(max(SECOND // 5, fault.lasts // 2)))


def one(scenario: Json, seed: int) -> Result:
    """In a process of its own: the rig's loop, and its children."""
    return play(parsed(scenario), seed)


def hunt(
    s: Scenario,
    seconds: float,
    first: int,
    workers: int,
    most: int = 3,
    shrink_s: float = 300.0,
    heard: Callable[[Hunted], None] = lambda hunted: None,
) -> Hunted:
    """Until the time is over, or so many ways to fail were found; then each is made smaller, for so
    long at the most.
    """
    ends = time.monotonic() + seconds
    hunted, seed, seen = Hunted(), first, set[str]()
    raw = source(s)
    with processes(workers) as pool:
        running: dict[Future[Result], int] = {}
        while running or (time.monotonic() < ends and len(hunted.found) < most):
            while len(running) < workers and time.monotonic() < ends and len(hunted.found) < most:
                running[pool.submit(one, raw, seed)] = seed
                seed += 1
            if not running:
                break
            done, _ = wait(running, return_when=FIRST_COMPLETED)
            for future in done:
                running.pop(future)
                if future.exception() is not None:  # the machine was too busy for a start
                    hunted.unusable += 1
                    continue
                result = future.result()
                hunted.played += 1
                hunted.figures.append(result.figures)
                what = bad(result)
                if what and what not in seen:
                    seen.add(what)
                    hunted.found.append(result)
            heard(hunted)
    for place, result in enumerate(hunted.found):
        hunted.found[place] = smallest(s, result, time.monotonic() + shrink_s)
        heard(hunted)
    return hunted


def smallest(s: Scenario, result: Result, until: float) -> Result:
    """Played again and again with less; the last that was bad in the same way."""
    best, what = result, bad(result)

    def is_bad(fewer: list[Fault]) -> str:
        nonlocal best
        if time.monotonic() > until:
            return ""
        tried = play(s, result.seed, fewer)
        if bad(tried) == what:
            best = tried
        return bad(tried)

    shrink(drawn(s, result.seed), what, is_bad, (shorter,))
    return best

"""Makes a schedule of faults smaller while it still does what was found. Pure: who plays it is
handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

Fault = TypeVar("Fault")
TIMES = 3  # that each of a fault's figures is made milder


def shrink(
    faults: Sequence[Fault],
    what: str,
    is_bad: Callable[[list[Fault]], str],
    milder: Sequence[Callable[[Fault], Fault]],
) -> list[Fault]:
    """The smallest schedule that is still bad in the same way: faults dropped one by one, then made
    milder, each in each way. `is_bad` plays a schedule and says in which way it is bad.
    """
    kept = list(faults)
    for fault in list(kept):
        fewer = [f for f in kept if f is not fault]
        if fewer and is_bad(fewer) == what:
            kept = fewer
    for i, fault in enumerate(kept):
        for way in milder:
            for _ in range(TIMES):
                tried = way(fault)
                if tried == fault or is_bad([*kept[:i], tried, *kept[i + 1 :]]) != what:
                    break
                kept[i] = fault = tried
    return kept

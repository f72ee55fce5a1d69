"""What could have been served in time by one that sees the true state each 100 ms. Pure.

Sites that reach each other are one island: whatever came in there may be served by any of its
boxes. On an island the best is known without a solver: the most worth for its work first, of what
can still be answered in its time (the fractional knapsack, Dantzig 1957). Keys, queues inside boxes
and handshakes are left out, so it is a bound that nobody need reach.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loadbalancer.testbed.sites.incidents import Hit
from loadbalancer.testbed.topology import Class

SECOND = 1_000_000_000
STEP_NS = SECOND // 10


@dataclass(frozen=True, slots=True)
class Asked:
    """A first try: who wants what, when, at which site, and the work of it, ns of the yardstick."""

    number: int
    cls: Class
    received_ns: int
    zone: int
    work: float


def ceiling(
    roots: Iterable[Asked],
    able: Sequence[tuple[int, dict[str, float]]],
    hits: Sequence[Hit],
    sites: Sequence[str],
    start_ns: int,
) -> set[int]:
    """Numbers of those that could be served in time. `able`: each 100 ms, seconds of work a second
    by site.
    """
    waiting: dict[str, list[tuple[float, int, int, float]]] = {}
    todo = sorted(roots, key=lambda r: r.received_ns)
    served: set[int] = set()
    place = 0
    budget: dict[str, float] = {}
    for now, by_site in able:
        at_s = (now - start_ns) / SECOND
        on = [h for h in hits if h.at_s <= at_s < h.at_s + h.lasts_s]
        apart = {sites[h.site] for h in on if h.to >= 1 or h.back >= 1}
        lost = {sites[h.site] for h in on if h.clients}

        def island(site: str, apart: set[str] = apart, lost: set[str] = lost) -> str:
            return site if site in apart and site not in lost else ""

        room: dict[str, float] = {}
        for site, capacity in by_site.items():
            if site not in lost:
                room[island(site)] = room.get(island(site), 0.0) + capacity * STEP_NS
        while place < len(todo) and todo[place].received_ns < now + STEP_NS:
            r = todo[place]
            place += 1
            dense = r.cls.worth / max(1.0, r.work)
            heapq.heappush(
                waiting.setdefault(island(sites[r.zone % len(sites)]), []),
                (-dense, r.received_ns + int(r.cls.aim), r.number, r.work),
            )
        for name, queue in waiting.items():
            # What was left of the last step's may be carried on into this one, by part of a
            # request.
            left = room.get(name, 0.0) + min(0.0, budget.get(name, 0.0))
            while queue and left > 0:
                _, due, number, work = heapq.heappop(queue)
                if due >= now:
                    left -= work
                    served.add(number)
            budget[name] = left
    return served

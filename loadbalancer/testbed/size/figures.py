"""From what a run wrote down to its figures: when changes were in force, bytes, CPU, memory.
Pure.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from loadbalancer.settings import Json
from loadbalancer.testbed.results import spread
from loadbalancer.testbed.size.parties import Usage
from loadbalancer.testbed.size.writer import Change

MINUTE_S = 60
Mark = tuple[int, str, int, int]  # balancer, scope, revision, moment in ns


class Marks:
    """By balancer and scope, the revisions that came into force, and when."""

    def __init__(self, marks: Iterable[Mark]) -> None:
        self.rows: dict[tuple[int, str], tuple[list[int], list[int]]] = {}
        for balancer, scope, revision, at in sorted(marks, key=lambda m: m[3]):
            revisions, times = self.rows.setdefault((balancer, scope), ([], []))
            if not revisions or revision >= revisions[-1]:
                revisions.append(revision)
                times.append(at)

    def at_ns(self, balancer: int, scope: str, revision: int) -> int:
        """When it had this; 0: never."""
        found = self.rows.get((balancer, scope))
        if found is None:
            return 0
        place = bisect_left(found[0], revision)
        return found[1][place] if place < len(found[0]) else 0


def in_force(
    changes: Sequence[Change],
    marks: Marks,
    carriers: Mapping[str, Collection[int]],
    since_ns: int = 0,
) -> Json:
    """Seconds from when a change was sent, or from another moment, until it was in force on each
    balancer that carries it; and of each change until it was on the last.
    """
    every: list[float] = []
    last: list[float] = []
    committed: list[float] = []
    never = 0
    for change in changes:
        took: list[float] = []
        for scope, revision in change.scopes.items():
            for balancer in carriers.get(scope, ()):
                at = marks.at_ns(balancer, scope, revision)
                never += not at
                if at:
                    took.append((at - (since_ns or change.at_ns)) / 1e9)
        every += took
        last.append(max(took, default=0.0))
        committed.append((change.done_ns - change.at_ns) / 1e9)
    middle, late, most = spread(every)
    return {
        "changes": len(changes),
        "arrivals": len(every),
        "never": never,
        "p50_s": round(middle, 4),
        "p99_s": round(late, 4),
        "most_s": round(most, 4),
        "p90_s": round(part(every, 0.9), 4),
        "last_p50_s": round(spread(last)[0], 4),
        "commit_p50_s": round(spread(committed)[0], 4),
        "commit_most_s": round(max(committed, default=0.0), 4),
    }


def part(values: Sequence[float], share: float) -> float:
    """The value that this share of them is not above."""
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def worst_minute(seconds: Sequence[tuple[int, int]], length_s: float) -> float:
    """Most bytes a second over any minute, or over all of what is shorter."""
    window = min(MINUTE_S, length_s)
    most = total = first = 0
    for second, size in seconds:
        total += size
        while seconds[first][0] <= second - window:
            total -= seconds[first][1]
            first += 1
        most = max(most, total)
    return most / window


def traffic(
    flows: Mapping[str, tuple[Sequence[int], Sequence[tuple[int, int]]]],
    balancers: int,
    length_s: float,
    steady: bool,
) -> Json:
    """Bytes a second of each balancer, both directions together, and of all links between nodes.
    Names of links hold a `>`. What is not `steady` counts as if the rest of its minute were
    quiet.
    """
    length_s = length_s if steady else max(MINUTE_S, length_s)
    own = {name: row for name, row in flows.items() if ">" not in name}
    sums = [sum(row[0]) / length_s for row in own.values()]
    minutes = [worst_minute(row[1], length_s) for row in own.values()]
    middle, late, most = spread(sums)
    to_nodes = sum(row[0][0] for row in own.values())
    between = sum(sum(row[0]) for name, row in flows.items() if ">" in name)
    count = max(1, balancers)
    return {
        "mean": round(sum(sums) / count, 1),
        "p50": round(middle, 1),
        "p99": round(late, 1),
        "most": round(most, 1),
        "worst_minute": round(max(minutes, default=0.0), 1),
        "whole_mean": round(sum(sums) * length_s / count),
        "whole_most": round(most * length_s),
        "to_nodes": round(to_nodes / length_s / count, 1),
        "between_nodes": round(between / length_s, 1),
    }


def gained(before: Mapping[int, Counter[str]], after: Mapping[int, Counter[str]]) -> Json:
    """What the nodes counted meanwhile, summed; of one that began anew, what it counted since."""
    found: Counter[str] = Counter()
    for place, counts in after.items():
        since = before.get(place, Counter())
        anew = any(counts[what] < count for what, count in since.items())
        found.update(
            counts if anew else {what: count - since[what] for what, count in counts.items()}
        )
    return dict(found)


def used(
    before: Mapping[str, Usage], after: Mapping[str, Usage], length_s: float, balancers: int
) -> Json:
    """Parts of a core and MB. Names begin with what they are: a node, hollow balancers, or
    links.
    """

    def cpu(kind: str) -> list[float]:
        return [
            (after[n].cpu_s - before[n].cpu_s) / length_s
            for n in sorted(after)
            if n.startswith(kind)
            and n in before
            and after[n].cpu_s >= before[n].cpu_s
            and after[n].rss
        ]

    def rss(kind: str) -> list[int]:
        return [round(after[n].rss / 1e6) for n in sorted(after) if n.startswith(kind)]

    nodes = cpu("node")
    return {
        "balancer_cpu": round(sum(cpu("hollow")) / max(1, balancers), 6),
        "node_cpu_mean": round(sum(nodes) / max(1, len(nodes)), 4),
        "node_cpu_most": round(max(nodes, default=0.0), 4),
        "links_cpu": [round(c, 3) for c in cpu("links")],
        "node_mb": rss("node"),
        "hollow_mb": rss("hollow"),
        "links_mb": rss("links"),
    }

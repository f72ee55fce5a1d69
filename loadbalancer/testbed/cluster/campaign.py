"""Many simulated clusters over all cores, and the hunt for planted bugs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import Future, as_completed
from dataclasses import dataclass, field

from loadbalancer.testbed.cluster import owners
from loadbalancer.testbed.cluster.plans import (
    Outcome,
    disturbed,
    early_read,
    figure_8,
    play,
    two_majorities,
)
from loadbalancer.testbed.cluster.planted import played
from loadbalancer.testbed.experiments import processes

EVERY_STEERED = 10  # one seed of so many plays a returning node or a steered run, no storm
AHEAD = 4  # runs handed to each process beforehand


def one(seed: int, plant: str, leased: bool = False) -> Outcome:
    """A run by its seed alone. `leased`: with owners of a lease over the cluster."""
    if leased:
        return owners.play(seed)
    if plant:
        return played(plant, seed)
    if seed % EVERY_STEERED == 0:
        return (disturbed, figure_8, two_majorities, early_read)[seed // EVERY_STEERED % 4](seed)
    return play(seed)


@dataclass(slots=True)
class Campaign:
    """What many seeds came to."""

    played: int = 0
    broken: list[Outcome] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def note(self, outcome: Outcome) -> None:
        self.played += 1
        self.counts.update(outcome.counts)
        if outcome.broken:
            self.broken.append(outcome)


def run(
    seeds: Iterable[int],
    workers: int,
    plant: str = "",
    most_broken: int = 1_000_000,
    heard: Callable[[Campaign], None] = lambda campaign: None,
    leased: bool = False,
) -> Campaign:
    """Play these seeds until so many are broken."""
    campaign = Campaign()
    ahead = iter(seeds)
    with processes(workers) as pool:
        waiting: set[Future[Outcome]] = set()

        def more() -> None:
            while len(waiting) < AHEAD * workers and (seed := next(ahead, -1)) >= 0:
                waiting.add(pool.submit(one, seed, plant, leased))

        more()
        while waiting and len(campaign.broken) < most_broken:
            future = next(as_completed(waiting))
            waiting.remove(future)
            campaign.note(future.result())
            heard(campaign)
            more()
    campaign.broken.sort(key=lambda outcome: outcome.seed)
    return campaign


def catch(plant: str, workers: int, most: int = 2_000) -> Outcome | None:
    """The first seed, of those played until one was found, that shows this planted bug."""
    found = run(range(1, most + 1), workers, plant, 1).broken
    return found[0] if found else None

"""What balancers tell of the sites, put together: what the fleet takes each site to be. Pure.

A balancer's row tells of the sites by its own tries. None is believed alone: a site is lost when
most of the sites that can tell say so, and nobody within it says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from loadbalancer.failover.evidence import PART, State, Verdict

OLD_S = 8.0  # of a row, beyond which it tells nothing
AGREE = 2 / 3  # of the sites that can tell


@dataclass(frozen=True, slots=True)
class Row:
    """A balancer's, as it stands in the store; small, and put some times a minute. `loads`: by
    class and tenant, requests a second that came in, and the part of them that were clients'
    repeats; `sites`: by site, tries that ended since the row before, the part of them that were
    good, and their pace; `served`: part of what came in that was answered in time, under 0: too
    few; `work`: by class, seconds that a request takes; `count` grows.
    """

    site: str
    answers: tuple[str, ...]
    silent: tuple[str, ...]
    alone: bool
    loads: tuple[tuple[str, str, float, float], ...] = ()
    sites: tuple[tuple[str, int, float, float], ...] = ()
    served: float = -1.0
    work: tuple[tuple[str, float], ...] = ()  # by class, seconds that a request takes
    count: int = 0


@dataclass(frozen=True, slots=True)
class Told:
    """A row, and for how long it has stood, by the reader's clock; `live`: its balancer holds its
    name.
    """

    row: Row
    age_s: float
    live: bool = True

    @property
    def fresh(self) -> bool:
        return self.live and self.age_s <= OLD_S


@dataclass(frozen=True, slots=True)
class Heard:
    """All rows: by site, who says what of it."""

    answers: Mapping[str, list[str]] = field(
        default_factory=dict
    )  # site: sites whose balancers it answers
    silent: Mapping[str, list[str]] = field(default_factory=dict)
    within: Mapping[str, int] = field(default_factory=dict)  # site: its own balancers that speak


def heard(rows: Mapping[str, Told]) -> Heard:
    """One voice for each site that can tell, by most of its balancers."""
    votes: dict[tuple[str, str], list[int]] = {}
    within: dict[str, int] = {}
    for told in rows.values():
        if not told.fresh:
            continue
        within[told.row.site] = within.get(told.row.site, 0) + 1
        if told.row.alone:
            continue  # it is itself cut off, and can't tell
        for name in told.row.answers:
            votes.setdefault((name, told.row.site), [0, 0])[0] += 1
        for name in told.row.silent:
            votes.setdefault((name, told.row.site), [0, 0])[1] += 1
    answers: dict[str, list[str]] = {}
    silent: dict[str, list[str]] = {}
    for (name, by), (yes, no) in sorted(votes.items()):
        (answers if yes >= no else silent).setdefault(name, []).append(by)
    return Heard(answers, silent, within)


def verdict(name: str, h: Heard, listed: int, usual: int) -> Verdict:
    """What the fleet takes a site to be. `listed`: of its boxes, that discovery lists as ready, of
    `usual`."""
    for_, against = h.silent.get(name, []), h.answers.get(name, [])
    others_no, others_yes = [s for s in for_ if s != name], [s for s in against if s != name]
    why = (
        f"{len(others_no)} other sites get no answer there ({', '.join(others_no) or 'none'}),"
        f" {len(others_yes)} do; {h.within.get(name, 0)} of its own balancers speak;"
        f" {listed} of {usual} boxes are listed"
    )
    alive = listed / usual if usual else 1.0
    if usual and not listed:
        return Verdict(State.LOST, 0, 0.0, "discovery lists none of its boxes; " + why)
    opinions = len(others_no) + len(others_yes)
    # One voice is not enough where others could speak: it may be that site's own network.
    voices = min(2, sum(1 for site in h.within if site != name))
    if others_no and len(others_no) >= max(voices, AGREE * opinions):
        if name in against:
            return Verdict(State.CUT, 0, alive, "its own balancers are answered; " + why)
        return Verdict(State.LOST, 0, 0.0, why)
    if len(others_no) >= voices and others_no:
        return Verdict(State.CUT, 0, alive, "some sites get no answer there; " + why)
    if name in for_ and not others_yes:
        return Verdict(State.LOST, 0, 0.0, "its own balancers get no answer there; " + why)
    if usual and alive < 1 - PART:
        return Verdict(State.IMPAIRED, 0, alive, why)
    return Verdict(State.WELL, 0, alive, why)

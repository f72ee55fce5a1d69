"""Model of the fleet for failover planning: sites, classes of requests, loads. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Final

# Levels of load shedding; each class of requests, or several alike, has one from FIRST_CLASS on.
NO_SHEDDING: Final = 0
EXCESS: Final = 1
RETRIES: Final = 2
HEDGES: Final = 3
FIRST_CLASS: Final = 4
SIMILAR_DENSITY: Final = 1.3  # times the value for the work, below which classes share a level
EPSILON: Final = 1e-9


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of requests.

    Attributes:
        value: Of a request answered in time.
        work: Of a request, in seconds of a warmed-up core.
    """

    name: str
    value: float
    work: float

    @property
    def density(self) -> float:
        """Value for the work."""
        return self.value / max(EPSILON, self.work)


@dataclass(frozen=True, slots=True)
class Load:
    """What comes in at a site of one class and tenant.

    Attributes:
        rate: Requests a second.
        excess: The fraction beyond the tenant's quota.
        retries: The fraction that are clients' retries.
        hedges: Hedged requests on top, as a fraction.
    """

    site: str
    class_name: str
    tenant: str
    rate: float
    excess: float = 0.0
    retries: float = 0.0
    hedges: float = 0.0


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """Capacity of a site.

    Attributes:
        capacity: Work a second that its upstreams can do when warmed up.
        burst: How much more than usual may come at a time, as a fraction.
        costs: By origin site, the cost of a request sent here from there.
        connections: Work that its free connections allow, where it is known.
    """

    name: str
    capacity: float
    burst: float = 0.0
    costs: Mapping[str, float] = field(default_factory=dict)
    connections: float | None = None


@dataclass(frozen=True)
class Fleet:
    """All sites, classes and loads.

    Attributes:
        quotas: By tenant, the requests a second within its quota.
    """

    sites: Mapping[str, SiteCapacity]
    classes: Mapping[str, WorkClass]
    loads: tuple[Load, ...]
    quotas: Mapping[str, float] = field(default_factory=dict)

    @cached_property
    def class_levels(self) -> list[list[str]]:
        """The classes in the order in which they are shed, by level.

        Classes of about the same value for their work share a level: else a small change of their
        measured work would reverse the order.
        """
        levels: list[list[str]] = []
        first_density = 0.0
        for work_class in sorted(
            self.classes.values(), key=lambda work_class: (work_class.density, work_class.name)
        ):
            if levels and work_class.density < SIMILAR_DENSITY * first_density:
                levels[-1].append(work_class.name)
            else:
                levels.append([work_class.name])
                first_density = work_class.density
        return levels

    @cached_property
    def level_of(self) -> dict[str, int]:
        """The shedding level of each class."""
        return {
            name: FIRST_CLASS + index
            for index, names in enumerate(self.class_levels)
            for name in names
        }

    @property
    def top_level(self) -> int:
        """The last level."""
        return FIRST_CLASS + len(self.class_levels) - 1

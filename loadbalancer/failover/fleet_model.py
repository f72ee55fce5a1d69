"""Model of the fleet for failover planning: sites, request classes and loads."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Final

# Levels of load shedding. Request classes have the levels from FIRST_CLASS on; classes of similar
# density share one.
NO_SHEDDING: Final = 0
EXCESS: Final = 1
RETRIES: Final = 2
HEDGES: Final = 3
FIRST_CLASS: Final = 4
SIMILAR_DENSITY: Final = 1.3  # ratio of densities below which classes share a level
EPSILON: Final = 1e-9


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A request class.

    Attributes:
        value: Value of a request answered in time.
        work: Work per request, in seconds of a warmed-up core.
    """

    name: str
    value: float
    work: float

    @property
    def density(self) -> float:
        """Value per unit of work."""
        return self.value / max(EPSILON, self.work)


@dataclass(frozen=True, slots=True)
class Load:
    """Incoming load of one class and tenant at a site.

    Attributes:
        rate: Requests/s.
        excess: Fraction of requests beyond the tenant's quota.
        retries: Fraction of requests that are client retries.
        hedges: Additional hedged requests as a fraction of the requests.
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
        capacity: Work per second that the site's warmed-up upstreams can do.
        burst: Fraction by which the site's own load may briefly exceed its average.
        costs: By origin site, the cost of a request sent from there to this site.
        connections: Work that the site's free connections allow, if known.
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
        quotas: By tenant, its quota in requests/s.
    """

    sites: Mapping[str, SiteCapacity]
    classes: Mapping[str, WorkClass]
    loads: tuple[Load, ...]
    quotas: Mapping[str, float] = field(default_factory=dict)

    @cached_property
    def class_levels(self) -> list[list[str]]:
        """The classes by shedding level, in the order in which they are shed.

        Classes of similar density share a level. Otherwise a small change of their measured work
        would reverse their order.
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
        """The highest shedding level."""
        return FIRST_CLASS + len(self.class_levels) - 1

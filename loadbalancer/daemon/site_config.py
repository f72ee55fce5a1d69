"""The operators' description of their sites, a store document at `config/sites/SERVICE`.

[[site]]
name = "tema"
bears = "400/s"           # requests of the usual mix served in time by its warmed-up upstreams
burst = 0.2               # fraction above the usual load that may arrive at a time
prices = {kasoa = 0.03}   # fraction of its value that a request from there costs
"""

from __future__ import annotations

from typing import Any

import msgspec

from loadbalancer.failover.fleet_model import SiteCapacity
from loadbalancer.units import PerSecond, convert, first_duplicate

DOCUMENT = "sites"  # followed by / and the service's name
MAX_SITES = 32
MAX_BURST = 5


class SiteDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One `[[site]]` table."""

    name: str
    capacity: PerSecond = msgspec.field(name="bears")
    burst: float = 0.2
    prices: dict[str, float] = {}
    # Requests a second that the site's free connections allow; 0: enough.
    connections: PerSecond = PerSecond(0.0)


class SitesDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete document."""

    sites: list[SiteDescription] = msgspec.field(name="site")


def read(raw: Any) -> dict[str, SiteCapacity]:
    """Reads a parsed document.

    Returns:
        The sites by name.

    Raises:
        ValueError: The document is not valid; the message is one line.
    """
    document: SitesDocument = convert(raw, SitesDocument)
    _validate(document)
    return {
        site.name: SiteCapacity(
            site.name,
            float(site.capacity),
            site.burst,
            site.prices,
            float(site.connections) or None,
        )
        for site in document.sites
    }


def _validate(document: SitesDocument) -> None:
    names = [site.name for site in document.sites]
    if not 1 <= len(names) <= MAX_SITES:
        raise ValueError(f"site: 1 to {MAX_SITES} are told")
    duplicate = first_duplicate(names)
    if duplicate:
        raise ValueError(f"site: {duplicate} stands there twice")
    for site in document.sites:
        _validate_site(site, names)


def _validate_site(site: SiteDescription, names: list[str]) -> None:
    has_valid_rates = site.capacity > 0 and site.connections >= 0
    if not site.name or not has_valid_rates or not 0 <= site.burst <= MAX_BURST:
        raise ValueError(
            f"site {site.name!r}: needs a name, bears over 0/s and a burst of 0 to {MAX_BURST}"
        )
    for other, price in site.prices.items():
        if other not in names or price < 0:
            raise ValueError(
                f"site {site.name}: prices: {other} is no site, or its price is negative"
            )

"""The operators' description of their sites, the store document `config/sites/SERVICE`.

[[site]]
name = "tema"
bears = "400/s"           # requests of the usual mix that its warmed-up upstreams serve in time
burst = 0.2               # fraction above the usual load that may arrive in a burst
prices = {kasoa = 0.03}   # cost of a request from that site, as a fraction of the request's value
"""

from __future__ import annotations

from typing import Any

import msgspec

from loadbalancer.failover.fleet_model import SiteCapacity
from loadbalancer.units import PerSecond, convert, first_duplicate

DOCUMENT = "sites"  # the document's name is `sites/SERVICE`
MAX_SITES = 32
MAX_BURST = 5


class SiteDescription(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One `[[site]]` table."""

    name: str
    capacity: PerSecond = msgspec.field(name="bears")
    burst: float = 0.2
    prices: dict[str, float] = {}
    # Requests per second that the site's free connections allow; 0: no limit.
    connections: PerSecond = PerSecond(0.0)


class SitesDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete document."""

    sites: list[SiteDescription] = msgspec.field(name="site")


def read(raw: Any) -> dict[str, SiteCapacity]:
    """Convert a parsed document.

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
        raise ValueError(f"site: 1 to {MAX_SITES} sites are required")
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

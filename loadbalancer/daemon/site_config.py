"""What operators say of their sites, as a document of the store: `config/sites/SERVICE`.

[[site]]
name = "tema"
bears = "400/s"        # requests of the usual mix that its boxes serve in time, warm
burst = 0.2            # by so much more than usual may come at a time
prices = {kasoa = 0.03}   # part of its worth that a request costs which comes from there
"""

from __future__ import annotations

from typing import Any

import msgspec

from loadbalancer.failover.plan import Place
from loadbalancer.units import PerSecond, convert, repeated

DOCUMENT = "sites"  # and a service's name behind it
MOST = 32


class Described(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    bears: PerSecond
    burst: float = 0.2
    prices: dict[str, float] = {}
    connections: PerSecond = PerSecond(
        0.0
    )  # requests a second that its free connections allow; 0: enough


class Sites(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole document."""

    sites: list[Described] = msgspec.field(name="site")


def read(raw: Any) -> dict[str, Place]:
    """Raises ValueError, in one line."""
    found: Sites = convert(raw, Sites)
    names = [s.name for s in found.sites]
    if not 1 <= len(names) <= MOST:
        raise ValueError(f"site: 1 to {MOST} are told")
    twice = repeated(names)
    if twice:
        raise ValueError(f"site: {twice} stands there twice")
    for s in found.sites:
        if not s.name or s.bears <= 0 or not 0 <= s.burst <= 5 or s.connections < 0:
            raise ValueError(f"site {s.name!r}: needs a name, bears over 0/s and a burst of 0 to 5")
        for other, price in s.prices.items():
            if other not in names or price < 0:
                raise ValueError(
                    f"site {s.name}: prices: {other} is no site, or its price is negative"
                )
    return {
        s.name: Place(s.name, float(s.bears), s.burst, s.prices, float(s.connections))
        for s in found.sites
    }

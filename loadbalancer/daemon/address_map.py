"""Upstreams behind address translation: at which address all know one, and at which it is dialled
from here.

The list that balancers share says the first; each dials by its own `[store.reach]`. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from loadbalancer.proxy.upstream import Endpoint
from loadbalancer.settings import split_address


class Reach:
    def __init__(self, reach: Mapping[str, str]) -> None:
        """`reach`: HOST:PORT as all know it -> as dialled from here; what is not named is dialled
        so.
        """
        pairs = [(split_address(known), split_address(here)) for known, here in reach.items()]
        self._here = dict(pairs)
        self._known = {here: known for known, here in pairs}

    def dialled(self, known: tuple[str, int]) -> tuple[str, int]:
        return self._here.get(known, known)

    def from_here(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """With the addresses to dial."""
        return [_at(e, self._here) for e in endpoints]

    def as_known(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """With the addresses that all know, for the list that is shared."""
        return [_at(e, self._known) for e in endpoints]


def _at(e: Endpoint, where: Mapping[tuple[str, int], tuple[str, int]]) -> Endpoint:
    found = where.get((e.host, e.port))
    return e if found is None else replace(e, host=found[0], port=found[1])

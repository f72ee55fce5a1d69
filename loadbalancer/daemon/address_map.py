"""Address translation between the fleet's canonical addresses and those dialed from this host.

The shared endpoint list has canonical addresses. Each balancer translates them to the addresses
that it dials with its own `[store.reach]` table. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.settings import split_address

Address = tuple[str, int]


class AddressMap:
    """Translates endpoint addresses in both directions; an unlisted address stays unchanged."""

    def __init__(self, dialed_by_canonical: Mapping[str, str]) -> None:
        """Parse the table.

        Args:
            dialed_by_canonical: Canonical HOST:PORT -> the HOST:PORT to dial from this host.
        """
        pairs = [
            (split_address(canonical), split_address(dialed))
            for canonical, dialed in dialed_by_canonical.items()
        ]
        self._dialed = dict(pairs)
        self._canonical = {dialed: canonical for canonical, dialed in pairs}

    def dialed_address(self, canonical: Address) -> Address:
        """Return the address to dial for a canonical address."""
        return self._dialed.get(canonical, canonical)

    def to_dialed(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints with the addresses to dial."""
        return [_translate(endpoint, self._dialed) for endpoint in endpoints]

    def to_canonical(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints with canonical addresses, for the shared list."""
        return [_translate(endpoint, self._canonical) for endpoint in endpoints]


def _translate(endpoint: Endpoint, table: Mapping[Address, Address]) -> Endpoint:
    translated = table.get((endpoint.host, endpoint.port))
    if translated is None:
        return endpoint
    host, port = translated
    return replace(endpoint, host=host, port=port)

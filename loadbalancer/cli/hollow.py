"""A process of hollow balancers: `python -m loadbalancer.cli.hollow`, under `loadbalancer lab size
fleet`.

It is here because what the daemon writes into the store and the lab's balancers meet on this floor
alone.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from loadbalancer.changefeed.messages import Row
from loadbalancer.daemon import row_codec
from loadbalancer.daemon.persisted import (
    SavedEndpointList,
    decode_row,
    load_endpoints,
    save_endpoints,
)
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.store.wire.protocol import Row as StoreRow
from loadbalancer.testbed.size import parties
from loadbalancer.testbed.size.hollow import Hollows
from loadbalancer.wallclock import unix_s

MODULE = "loadbalancer.cli.hollow"
TYPED = ("upstream", "service", "list")


class Written:
    """Upstreams as the daemon writes them down."""

    def service(self, name: str) -> bytes:
        return row_codec.encode(row_codec.ServiceRow(name))

    def row(self, endpoint: Endpoint) -> bytes:
        return row_codec.encode_upstream(endpoint)

    def check(self, scope: str, row: Row) -> str:
        """Kinds that the daemon has no types for yet are taken as they are."""
        return row_codec.find_row_error(scope, row) if row.key.startswith(TYPED) else ""

    def endpoint(self, value: bytes) -> Endpoint:
        return row_codec.to_endpoint(row_codec.decode_upstream(value))

    def document(self, endpoints: Sequence[Endpoint]) -> bytes:
        return msgspec.json.encode(
            SavedEndpointList(round(unix_s(), 3), save_endpoints(list(endpoints)), 1, 1, 1)
        )

    def endpoints(self, row: StoreRow) -> list[Endpoint]:
        saved = decode_row(row, SavedEndpointList)
        return [] if saved is None else load_endpoints(saved)


if __name__ == "__main__":
    parties.serve(lambda: Hollows(Written()).do)

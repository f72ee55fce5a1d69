"""A process of hollow balancers: `python -m lanelift.cli.hollow`, under `lanelift lab size fleet`.

It is here because what the daemon writes into the store and the lab's balancers meet on this floor
alone.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from lanelift.daemon import rows
from lanelift.daemon.saved import SavedList, decoded, load_list, save_list
from lanelift.feed.messages import Row
from lanelift.lab.size import parties
from lanelift.lab.size.hollow import Hollows
from lanelift.net.upstream import Endpoint
from lanelift.store.wire.protocol import Row as StoreRow
from lanelift.wallclock import unix_s

MODULE = "lanelift.cli.hollow"
TYPED = ("upstream", "service", "list")


class Written:
    """Upstreams as the daemon writes them down."""

    def service(self, name: str) -> bytes:
        return rows.pack(rows.ServiceRow(name))

    def row(self, endpoint: Endpoint) -> bytes:
        return rows.packed(endpoint)

    def check(self, scope: str, row: Row) -> str:
        """Kinds that the daemon has no types for yet are taken as they are."""
        return rows.check(scope, row) if row.key.startswith(TYPED) else ""

    def endpoint(self, value: bytes) -> Endpoint:
        return rows.endpoint_of(rows.unpack_upstream(value))

    def document(self, endpoints: Sequence[Endpoint]) -> bytes:
        return msgspec.json.encode(
            SavedList(round(unix_s(), 3), save_list(list(endpoints)), 1, 1, 1)
        )

    def endpoints(self, row: StoreRow) -> list[Endpoint]:
        saved = decoded(row, SavedList)
        return [] if saved is None else load_list(saved)


if __name__ == "__main__":
    parties.serve(lambda: Hollows(Written()).do)

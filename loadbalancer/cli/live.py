"""A table of a socket run while it goes on; plain lines where the output is no terminal."""

from __future__ import annotations

import sys
from types import TracebackType

from rich.console import Group
from rich.live import Live as RichLive
from rich.table import Table
from rich.text import Text

from loadbalancer.settings import Json
from loadbalancer.testbed.topology import Topology

LINE_S = 5.0  # between two plain lines
WIDEST = 24  # boxes that are shown one by one


class Live:
    """Shows what `look` is handed, as it comes."""

    def __init__(self, t: Topology) -> None:
        self.t = t
        self.plain = not sys.stdout.isatty()
        self.rich = RichLive(refresh_per_second=4) if not self.plain else None
        self.next_s = LINE_S
        self.before: Json = {}

    def __enter__(self) -> Live:
        if self.rich is not None:
            self.rich.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.rich is not None:
            self.rich.stop()

    def look(self, seen: Json) -> None:
        if self.rich is not None:
            self.rich.update(self._table(seen))
        elif seen["at_s"] >= self.next_s:
            self.next_s += LINE_S
            loads = seen["loads"]
            print(
                f"{seen['at_s']:5.1f} s: {loads.get('asked', 0)} asked, {loads.get('good', 0)} "
                f"in time, "
                f"{loads.get('late', 0)} late, {loads.get('refused', 0)} refused, "
                f"{loads.get('failed', 0)} failed; balancers up "
                f"{sum(b['up'] for b in seen['balancers'])} of {len(seen['balancers'])}",
                flush=True,
            )

    def _table(self, seen: Json) -> Group:
        loads = seen["loads"]
        rates = {key: 2 * (count - self.before.get(key, 0)) for key, count in loads.items()}
        self.before = dict(loads)
        top = Table(
            title=f"{self.t.name}: {max(0.0, seen['at_s']):.0f} of {seen['length_s']:.0f} s"
        )
        for column in ("", "asked", "in time", "late", "refused", "failed", "retries"):
            top.add_column(column, justify="right")
        for name, row in (("a second", rates), ("so far", loads)):
            top.add_row(
                name,
                *(
                    str(row.get(key, 0))
                    for key in ("asked", "good", "late", "refused", "failed", "retries")
                ),
            )
        boxes = Table(title="boxes: requests held, and state")
        held, states = seen["fleet"].get("held", []), seen["fleet"].get("state", [])
        for i in range(min(len(held), WIDEST)):
            boxes.add_column(str(i), justify="right")
        boxes.add_row(*map(str, held[:WIDEST]))
        boxes.add_row(*states[:WIDEST])
        each = [
            f"{n} {'up' if b['up'] else 'DOWN'} {b['peak_mb']:.0f} MB"
            for n, b in enumerate(seen["balancers"])
        ]
        return Group(top, boxes, Text("balancers: " + "  ".join(each)))

"""The upstreams that may be used, in the orders that decisions need, kept by each change of the
list.

Nothing here looks at all of them but where a list is whole, or a class may go to a part of them
only.
"""

from __future__ import annotations

import bisect

from loadbalancer.policy import api, rules
from loadbalancer.policy.upstream_stats import BY_SPOT, BY_TURN, Server


class Ring:
    """`ready`: by their spots on the ring that all proxies compute alike; `near`: those of them
    whose way is not farther than any; `mine`: in an order of this proxy's own; `starts`: the times
    of their last starts, where known.
    """

    def __init__(self) -> None:
        self.ready: list[Server] = []
        self.near: list[Server] = []
        self.mine: list[Server] = []
        self.starts: list[int] = []

    def add(self, s: Server) -> None:
        """It may be used from now on."""
        s.placed, s.placed_near, s.placed_start = True, s.way == 1.0, s.started_ns
        bisect.insort(self.ready, s, key=BY_SPOT)
        bisect.insort(self.mine, s, key=BY_TURN)
        if s.placed_near:
            bisect.insort(self.near, s, key=BY_SPOT)
        if s.placed_start:
            bisect.insort(self.starts, s.placed_start)

    def remove(self, s: Server) -> None:
        """It may not be used any more."""
        s.placed = False
        del self.ready[bisect.bisect_left(self.ready, s.spot, key=BY_SPOT)]
        del self.mine[bisect.bisect_left(self.mine, s.turn, key=BY_TURN)]
        if s.placed_near:
            del self.near[bisect.bisect_left(self.near, s.spot, key=BY_SPOT)]
        if s.placed_start:
            del self.starts[bisect.bisect_left(self.starts, s.placed_start)]

    def place(self, s: Server) -> None:
        """Whatever has changed of it."""
        as_it_stands = (
            s.placed and s.placed_near is (s.way == 1.0) and s.placed_start == s.started_ns
        )
        if s.usable is s.placed and (as_it_stands or not s.placed):
            return
        if s.placed:
            self.remove(s)
        if s.usable:
            self.add(s)

    def started_since(self, at_ns: int) -> int:
        """How many have started later than that."""
        return len(self.starts) - bisect.bisect_right(self.starts, at_ns)

    def open_to(self, cls: api.RequestClass) -> Ring:
        """Those that the class may go to."""
        part = Ring()
        part.ready = [s for s in self.ready if rules.open_to(s.entry, cls)]
        part.near = [s for s in self.near if rules.open_to(s.entry, cls)]
        part.mine = [s for s in self.mine if rules.open_to(s.entry, cls)]
        return part

    def stretch(self, first: int, even: int, count: int) -> list[Server]:
        """So many: from this place on the ring as it stands, up to `even`, then the near ones
        behind that, then the others.
        """
        ready, n = self.ready, len(self.ready)
        found = [ready[(first + i) % n] for i in range(min(even, count))]
        if len(found) < count:
            taken = {s.id for s in found}
            found += self._near_from(first + even, taken, count - len(found))
        at = first + even
        while len(found) < count:  # few are near: at most these are passed over
            s = ready[at % n]
            if s.way != 1.0:
                found.append(s)
            at += 1
        return found

    def _near_from(self, place: int, taken: set[int], count: int) -> list[Server]:
        """The first near ones from this place of the ring on, but for those taken."""
        near, found = self.near, []
        if near:
            at = bisect.bisect_left(near, self.ready[place % len(self.ready)].spot, key=BY_SPOT)
            for i in range(len(near)):
                s = near[(at + i) % len(near)]
                if s.id not in taken:
                    found.append(s)
                    if len(found) == count:
                        break
        return found

    def further(
        self, first: int, even: int, home: list[Server], some: list[Server]
    ) -> list[Server]:
        """Those of some that stand here and not in the home, in the order in which its stretch goes
        on.
        """
        n = len(self.ready)
        at_home = {s.id for s in home}
        found = []
        for s in some:
            at = bisect.bisect_left(self.ready, s.spot, key=BY_SPOT)
            if at < n and self.ready[at] is s and s.id not in at_home:
                place = (at - first) % n
                found.append((place >= even and s.way != 1.0, place, s.id, s))
        return [s for *_, s in sorted(found, key=lambda row: row[:3])]

    def beyond(self, home: list[Server], count: int) -> list[Server]:
        """So many more, in this proxy's own order."""
        found: list[Server] = []
        if count > 0:
            at_home = {s.id for s in home}
            for s in self.mine:
                if s.id not in at_home:
                    found.append(s)
                    if len(found) == count:
                        break
        return found

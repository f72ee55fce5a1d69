"""The upstreams that a set of classes may go to, the part that this proxy draws from, and the
draw.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from loadbalancer.policy import api, rules
from loadbalancer.policy.subset_ring import Ring
from loadbalancer.policy.upstream_stats import ACROSS, FAULTY, Server, mixed, weight

if TYPE_CHECKING:
    from loadbalancer.policy.requests import Request
    from loadbalancer.policy.upstream_set import Fleet

SCAN: Final = 64  # upstreams that are looked through at most, where chance finds none that is fit
DRAWS: Final = 2  # random draws beside the previous winner
KEYED: Final = 2
KEYED_SEEMS: Final = 0.6
KEY_PART: Final = 4
KEYS: Final = 4096
SPREAD: Final = 0xD1342543DE82EF95  # odd: it carries a difference of any bit to the top
HOME = (4, 10)  # least home to draw from, one large enough for pauses; proxies that may share it
SHARED: Final = 6


class Pool:
    """The upstreams that one set of classes may go to, and the part of them this proxy draws
    from.
    """

    def __init__(self, fleet: Fleet, cls: api.RequestClass) -> None:
        self.fleet = fleet
        self.cls = cls  # one of the classes it serves: they are all open to the same upstreams
        self.ring = fleet.ring  # the ready ones
        self.order: list[
            Server
        ] = []  # of these, this proxy's home first; no more than are drawn from
        self.home = 0
        self.width = 0  # how many it draws from
        self.reach = 0  # and at least
        self.bounded = False  # its part of the ring is larger than its home
        self.last: Server | None = None  # the previous winner
        self.near: list[Server] = []  # those at home in its own zone, where that matters
        self.favours = True  # one draw is among them
        self.places: dict[int, int] = {}  # where each stands in `order`
        self.by_key: dict[int, list[Server]] = {}  # by checksum: a key may be long
        self.line: deque[Request] = deque()
        self.blocked_ns = 0  # the line found no upstream since
        self.jammed = (
            False  # nor has room for more: its head waits for that, not for an answer about load
        )

    def arrange(self, ring: Ring, proxies: int) -> None:
        """Extension: each proxy's home is its stretch of one ring that all proxies compute alike,
        so that its own requests in flight say something of the upstream. Beyond it, an order of its
        own. Looks at as many upstreams as it needs, not at all of them.
        """
        if self.cls.zones or self.cls.kinds:
            ring = ring.open_to(self.cls)
        self.ring = ring
        n, me = len(ring.ready), self.fleet.settings.me
        first = me * n // proxies
        # Few proxies have a part of the fleet that they do not need: what is drawn from grows with
        # the load.
        part = (me + 1) * n // proxies - first
        stretch = min(SCAN, part)
        self.bounded = stretch < part
        least = max(
            HOME[0],
            min(HOME[1], SHARED * n // proxies),
            self.fleet.keyed * min(SCAN, n // KEY_PART),
        )
        self.home = n if self.fleet.looks else min(n, max(least, stretch))
        # First the ring as it stands, for half of the home, or some upstream is in nobody's; then
        # its own zone's. That alone would not do: where a zone has many proxies and few upstreams,
        # all of them would crowd these while the other zones' stand idle. No proxy knows how many
        # others there are in its zone: it needs some of each to see which are quicker.
        even = max(stretch, -(-self.home // 2))
        home = ring.stretch(first, even, self.home)
        # What operators put back is drawn from by every proxy for a while: they wait to see it in
        # use.
        if self.fleet.back:
            home += ring.further(first, even, home, self.fleet.put_back())
        self.home = len(home)
        self.order = home
        self.near = [s for s in home if s.way == 1.0]
        if len(self.near) == len(home):
            self.near = []  # no choice between them
        # Random draws come from as many whatever the home's size: few would all be met by the same
        # few proxies.
        self.reach = min(n, max(self.home, min(SCAN, n // KEY_PART)))
        self.width = min(n, max(self.width, self.reach))
        self.order = home + ring.beyond(home, self.width - len(home))
        self.places = {s.id: i for i, s in enumerate(self.order)}
        self.by_key.clear()
        for s in home:
            s.own = True

    @property
    def count(self) -> int:
        """How many upstreams there are to go to, drawn from or not."""
        return len(self.ring.ready)

    def widen(self) -> None:
        """Draw from more: one, or where there is far more to be had a quarter as many again."""
        more = max(1, self.width // 4) if self.bounded else 1
        self.width = min(self.count, self.width + more)
        if self.width > len(self.order):
            home = self.order[: self.home]
            self.order = home + self.ring.beyond(home, self.width - len(home))
            self.places = {s.id: i for i, s in enumerate(self.order)}

    def all(self) -> list[Server]:
        """All that there are, those drawn from first."""
        return self.order[: self.home] + self.ring.beyond(self.order[: self.home], self.count)

    def keyed(self, key: str) -> list[Server]:
        """Extension: those of the home that all proxies would send this key to, by rendezvous
        hashing.
        """
        number = zlib.crc32(key.encode(errors="surrogatepass"))
        found = self.by_key.get(number)
        if found is None:
            if len(self.by_key) >= KEYS:
                self.by_key.clear()
            salt = mixed(number, 0)
            home = self.order[: self.home]
            ranked = sorted(
                [((s.spot[0] ^ salt) * SPREAD & 0xFFFFFFFFFFFFFFFF, i) for i, s in enumerate(home)]
            )
            found = self.by_key[number] = [home[i] for _, i in ranked[:KEYED]]
        return found

    def draw(self, count: int, now: int) -> list[Server]:
        """So many random draws from those that are fit, and the previous winner. Looks at the
        upstreams within reach at most, never at the fleet.
        """
        reach, fit, near = self.width, self.fleet.fit, self.near
        drawn: list[Server] = []
        if near and self.favours:  # one of the draws is among those that cost no crossing
            s = near[int(self.fleet.rng.random() * len(near))]
            if fit(s, now):
                drawn.append(s)
        for _ in range(4 * count if reach else 0):
            s = self.order[int(self.fleet.rng.random() * reach)]
            if fit(s, now):
                drawn.append(s)
                if len(drawn) == count:
                    break
        if not drawn and reach:
            first = int(self.fleet.rng.random() * reach) if reach > SCAN else 0
            beyond = min(first, max(0, first + SCAN - reach))
            seen = self.order[first : min(reach, first + SCAN)] + self.order[:beyond]
            some = [s for s in seen if fit(s, now)]
            drawn = (
                [some[int(self.fleet.rng.random() * len(some))] for _ in range(count)]
                if some
                else []
            )
        last = self.last
        if last is not None and fit(last, now) and rules.open_to(last.entry, self.cls):
            drawn.append(last)
        return drawn

    def compare(self) -> None:
        """Is what crossing costs still more than what its own zone is slower? Where a zone is
        crowded, all its proxies see it alike, and each that goes on as before keeps it so.
        """
        if self.near:
            home = self.order[: self.home]
            near = sum(s.pace for s in self.near) / len(self.near)
            far = (sum(s.pace for s in home) - near * len(self.near)) / (len(home) - len(self.near))
            self.favours = near <= ACROSS * far

    def able(self, now: int) -> int:
        """How many within reach are not left alone: what the dead had must not all move to the
        rest. A cold one that has a request of ours, and is given the next one in a while, has its
        part.
        """
        places, width, alone = self.places, self.width, self.fleet.alone
        for s in [s for s in alone.values() if s.barred_ns <= now]:
            del alone[s.id]
        return width - sum(
            places.get(number, width) < width and not (s.inflight and self.fleet.cold(s, now))
            for number, s in alone.items()
        )

    def pick(
        self, now: int, allowed: Iterable[Server] | None = None, once: bool = False, key: str = ""
    ) -> Server | None:
        """The lightest, by own in flight and learned speed, of two draws and the previous winner.
        `once`: for what may not be repeated, so not to one that lately failed, if another is
        drawn.
        """
        drawn = (
            self.draw(DRAWS, now)
            if allowed is None
            else [s for s in allowed if self.fleet.fit(s, now)]
        )
        known: list[Server] = []
        if key and allowed is None:
            known = [s for s in self.keyed(key) if self.fleet.fit(s, now)]
            drawn += known
        if not drawn:
            return None
        if once:
            drawn = [s for s in drawn if s.errors < FAULTY[2]] or drawn
        best, least = drawn[0], math.inf
        for s in drawn:
            seems = weight(s) * (KEYED_SEEMS if s in known else 1.0)
            if seems < least:
                best, least = s, seems
        self.last = best
        return best

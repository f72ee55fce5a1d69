"""The list of upstreams: members, slow start, health, and which of them each pool has."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import TYPE_CHECKING, Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import START_WINDOW, WIDE, WIDEST, Crowding
from loadbalancer.policy.pool import SCAN, Pool
from loadbalancer.policy.subset_ring import Ring
from loadbalancer.policy.upstream_stats import ACROSS, ERROR_FELT, FAULTY, Server, mixed

if TYPE_CHECKING:
    from loadbalancer.policy.requests import Attempt

# An upstream that lately met a key may do less work for it, and remembers few. So each key has some
# upstreams of a home that are drawn for it and seem so much lighter. A home is such a part of the
# fleet at least, or what all proxies send of one key falls on too many. So many keys are kept
# together with their upstreams. While one upstream in so many is new, that is, started within so
# many times what it is cold, most keys are met by nobody, and large homes only make each known the
# later: then homes are small.
NEW = 5, 3
LOOKS: Final = 3  # upstreams asked for their load before a send, where that is cheap
LOOK_PRICE: Final = 0.01  # most that the looks of a request may cost
COLD_PART: Final = 0.7  # part of a cold upstream's budget that is used
BAR_MAX = 3 * SECOND  # longest time for which an upstream is left alone
BROKEN = (
    0.05,
    3,
)  # part of all attempts whose breaks say nothing of an upstream, short of so many in a row


class Fleet:
    """Membership, cold starts, health, and which upstreams this proxy draws from."""

    def __init__(self, settings: api.Settings, crowding: Crowding, rng: random.Random) -> None:
        self.settings = settings
        self.crowding = crowding
        self.rng = rng
        self.servers: dict[int, Server] = {}
        self.past: dict[
            int, tuple[float, int]
        ] = {}  # learnt before a restart, of what is not listed yet
        self.looks = (
            settings.limits.probes
            and "inflight" in settings.report_columns
            and settings.prices.probe * (LOOKS + 1) <= LOOK_PRICE
        )
        self.borne = 0.0  # own attempts a second that a warm upstream is seen to bear
        self.breaks = 0.0  # the part of all attempts whose connections broke lately
        self.keyed = True  # homes are large, for the keys that upstreams remember
        self.sharers = 1.0  # proxies that have an upstream in their home
        self.banned: set[int] = set()  # by operators, listed or not
        self.back: dict[int, int] = {}  # put back by them, and when
        self.plan = api.TrafficPlan()
        self.trusted = True  # the list is not older than a change may go unknown
        self.alone: dict[int, Server] = {}  # those left alone for now
        self.ring = Ring()  # usable ones
        self.pools: dict[tuple[frozenset[str], frozenset[str]], Pool] = {}
        self.main = self.pool(api.RequestClass(""))

    @property
    def ready(self) -> list[Server]:
        """Usable ones, by their spots on the ring."""
        return self.ring.ready

    def put_back(self) -> list[Server]:
        """Those that operators put back lately."""
        return [self.servers[number] for number in self.back if number in self.servers]

    def pool(self, cls: api.RequestClass) -> Pool:
        """The pool of all classes that are open to the same upstreams."""
        found = self.pools.get((cls.zones, cls.kinds))
        return found or self.pools.setdefault((cls.zones, cls.kinds), Pool(self, cls))

    def learn(self, update: api.EndpointsUpdated, now: int) -> None:
        if update.kind is not api.EndpointListKind.DELTA:
            listed = {e.id for e in update.upstreams}
            for s in [s for s in self.servers.values() if s.id not in listed]:
                s.entry = s.entry._replace(
                    state=api.UpstreamState.REMOVED
                )  # missing from a whole list
                self.ring.place(s)
                self.forget(s)
        here = self.settings.zone if self.settings.prices.cross_zone else ""
        for entry in update.upstreams:
            s = self.servers.get(entry.id) or self.met(entry)
            s.way = ACROSS if here and entry.zone != here else 1.0
            s.part = self.plan.zones.get(entry.zone, 1.0)
            s.banned, s.retry_window_ns = entry.id in self.banned, self.back.get(entry.id, 0)
            was, s.entry = s.entry, entry
            if entry.started_ns != was.started_ns:
                s.strikes = s.barred_ns = 0
            if self.cold(s, now) and (entry.started_ns != was.started_ns or was is entry):
                # Rule 4: the first requests of all proxies must not reach it together.
                self.leave(s, now + int(self.rng.random() * self.cold_gap_ns(s, now)))
            self.ring.place(s)
            self.forget(s)
        self.arrange(now)

    def met(self, entry: api.Upstream) -> Server:
        """An upstream that was not known."""
        spots = ((mixed(entry.id, salt), entry.id) for salt in (0, self.settings.me + 1))
        s = self.servers[entry.id] = Server(entry.id, entry)
        s.spot, s.turn = spots
        if entry.id in self.past:
            self.remember(s)
        return s

    def recall(self, paces: Mapping[int, tuple[float, int]], trust: float) -> None:
        """How fast upstreams were before a restart of this proxy; those not yet listed take it when
        they are.
        """
        self.past = {
            n: (1.0 + trust * (pace - 1.0), started) for n, (pace, started) in paces.items()
        }
        for number in [n for n in self.past if n in self.servers]:
            self.remember(self.servers[number])

    def remember(self, s: Server) -> None:
        """One that was started since is another."""
        pace, started = self.past.pop(s.id)
        if started == s.entry.started_ns:
            s.pace = min(10.0, max(0.1, pace))

    def leave(self, s: Server, until_ns: int) -> None:
        """Leave it alone until then."""
        s.barred_ns = until_ns
        self.alone[s.id] = s

    def ban(self, e: api.UpstreamDisabled, now: int) -> None:
        """It holds whatever the lists say, until it is taken back. Then the upstream counts as
        cold.
        """
        self.back = {
            number: at
            for number, at in self.back.items()
            if now - at < self.settings.rules.slow_start_ns and number != e.upstream
        }
        s = self.servers.get(e.upstream)
        if e.on:
            self.banned.add(e.upstream)
        elif e.upstream in self.banned:
            self.banned.discard(e.upstream)
            self.back[e.upstream] = now
            if s is not None:
                s.retry_window_ns, s.strikes = now, 0
                gap = int(self.rng.random() * self.cold_gap_ns(s, now)) if self.cold(s, now) else 0
                self.leave(s, now + gap)
        if s is not None:
            s.banned = e.on
            self.ring.place(s)
        self.arrange(now)

    def follow(self, plan: api.TrafficPlan, now: int) -> None:
        """The fleet's plan: what each zone may be given, and who sends to what is cold."""
        was, self.plan = self.plan.cold, plan
        for s in self.servers.values():
            s.part = plan.zones.get(s.entry.zone, 1.0)
            if self.cold(s, now) and plan.cold.get(s.id) != was.get(s.id):
                self.leave(s, now + int(self.rng.random() * self.cold_gap_ns(s, now)))
            self.ring.place(s)
        self.arrange(now)

    def arrange(self, now: int) -> None:
        """Which upstreams each pool draws from."""
        ready, proxies = self.ready, max(1, self.settings.instance_count)
        lately = now - NEW[1] * self.settings.rules.slow_start_ns
        self.keyed = NEW[0] * self.ring.started_since(lately) <= len(ready)
        for pool in self.pools.values():
            for s in pool.order[: pool.home]:
                s.own = False
        for pool in self.pools.values():
            pool.arrange(self.ring, proxies)
        self.sharers = max(1.0, proxies * self.main.home / max(1, len(ready)))
        # Where homes are bounded, the upstreams beyond them are nobody's: they bear nothing yet.
        served = min(len(ready), self.main.home * proxies)
        own = START_WINDOW * served / proxies
        own = max(1.0, own + math.sqrt(own))
        widest = max(WIDE, WIDEST * START_WINDOW * served / proxies)
        self.crowding.begin(own / max(1, self.main.home), widest / max(1, self.main.home))

    def forget(self, s: Server) -> None:
        """What has gone and holds no attempt of ours any more is of no use: in time ids are ever
        new.
        """
        if s.entry.state is api.UpstreamState.REMOVED and not s.inflight:
            self.servers.pop(s.id, None)
            self.alone.pop(s.id, None)

    def judge(self, s: Server, error: bool) -> bool:
        """Note an answer. Is it one error too many? An upstream that fails, and at once, seems the
        lightest of all, and draws what may not be repeated. Where many fail alike, for a fault of
        the requests or on the way, none is left alone for it.
        """
        s.errors += ERROR_FELT[not error] * (error - s.errors)
        if not error or s.errors <= FAULTY[0]:
            return False
        reach = self.main.order[: min(self.main.width, SCAN)]
        alike = [o for o in reach if o.errors > FAULTY[0]]
        if len(alike) <= FAULTY[1] * len(reach):
            return True
        for o in alike:
            o.strikes = o.barred_ns = 0
        return False

    def broken(self, s: Server) -> bool:
        """A connection broke. Has its upstream failed? Where connections break all the time, the
        way there or what stands on it is at fault: with half the upstreams left alone for it, the
        others are crowded.
        """
        self.breaks += 0.02 * (1.0 - self.breaks)
        s.breaks += 1
        return self.breaks < BROKEN[0] or s.breaks >= BROKEN[1]

    def cold(self, s: Server, now: int) -> bool:
        # A start may lie in the future, where clocks differ; it is cold all the same, if anything
        # ever is.
        return bool(s.started_ns) and now - s.started_ns < self.settings.rules.slow_start_ns > 0

    def cold_gap_ns(self, s: Server, now: int) -> int:
        """Rule 4: the least time between sends to a cold upstream, so that all whose home it is in
        stay, together, inside what it can bear now. A warm one bears what it is seen to bear, or
        one in `each`.
        """
        rules = self.settings.rules
        dealt = self.plan.cold.get(s.id)
        if dealt is not None:
            return int(SECOND / dealt) if dealt > 0 else rules.slow_start_ns
        age = max(0, now - s.started_ns)  # clocks differ: it may have started in the future
        part = (
            rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_ns
        )
        bears = max(self.borne, SECOND / self.crowding.each / self.sharers)
        return int(SECOND / (COLD_PART * rules.overload_multiple * part * bears))

    def fit(self, s: Server, now: int) -> bool:
        if not s.usable or not self.trusted or now < s.barred_ns:
            return False
        if s.part < 1.0 and self.rng.random() >= s.part:
            return False
        # One that failed or is still cold is tried with one request at a time.
        # Where upstreams are asked for their load before each send, own counts add nothing to it.
        limit = 1 if s.strikes or self.cold(s, now) else self.crowding.limit
        return s.inflight < limit or (self.looks and not s.strikes)

    def bar(self, a: Attempt, now: int, base: float) -> None:
        """Leave a failing upstream alone, longer each time, unless that would leave hardly any.

        What was out there when it stood still fails together, though not at once: one strike for
        all that was sent before it. Else a crowd of eight is seven strikes, one that is idle by
        then is left alone for seconds, and what it had crowds the next. A stall that lasts is seen
        by the next attempt.
        """
        s = a.server
        if s.barred_ns > now or a.sent_ns < s.struck_ns:
            return
        s.strikes += 1
        s.struck_ns = now
        width = self.main.width
        if width - self.main.able(now) < 0.7 * width:
            length = min(base * 2 ** min(s.strikes - 1, 5), BAR_MAX)
            self.leave(s, now + int(length * self.rng.uniform(0.75, 1.25)))

"""The fleet's plan in virtual time: the cores that the daemon runs, with the store between them as
delays.

Every balancer keeps its own evidence from its own tries; rows and plans take their time, and none
passes to or from a site that is cut off. The owner stands in the first site that is not.
"""

from __future__ import annotations

import random
from collections import Counter

from loadbalancer.failover.controller import FailoverController, FleetSnapshot, StartingUpstream
from loadbalancer.failover.fleet_model import SiteCapacity
from loadbalancer.failover.health import PeerReport
from loadbalancer.failover.observer import SiteObserver, Update
from loadbalancer.failover.recovery import SlowStartRules
from loadbalancer.failover.site_reports import ReceivedReport, SiteReport
from loadbalancer.failover.site_state import DesiredState, SiteState
from loadbalancer.failover.traffic_shares import TrafficShares
from loadbalancer.policy import api

SECOND = 1_000_000_000
TICK_NS, OWNER_NS = SECOND // 4, 3 * SECOND // 10
COMMIT_NS = 30_000_000  # from a write to those that watch
PRICE = 0.03  # of crossing, as the site's settings have it
TAKES_OVER_NS = 2 * SECOND  # until the next one owns the work, where the owner's site is lost


class SiteFleet:
    def __init__(
        self,
        sites: dict[int, str],
        boxes: dict[int, str],
        settings: api.Settings,
        bears: dict[str, float],
        taken: dict[str, float],
        seed: int,
        now: int,
    ) -> None:
        """`sites`: of each balancer; `boxes`: by upstream id; `bears`: requests a second of each
        site; `taken`: by class, ns that a request takes.
        """
        rng = random.Random(f"{seed}/sites")
        self.boxes = boxes
        self.taken = taken
        self.settings = settings
        self.members = {
            n: SiteObserver(site, f"{n:04d}", len(sites), rng, now) for n, site in sites.items()
        }
        for m in self.members.values():
            m.evidence.update_upstreams(boxes, now)
        self.told: dict[
            int, tuple[SiteReport, int]
        ] = {}  # rows as they stand in the store, and since when
        self.places = {
            n: SiteCapacity(n, b, 0.1, {o: PRICE for o in bears if o != n})
            for n, b in sorted(bears.items())
        }
        self.states = tuple(SiteState(n) for n in self.places)
        rules = settings.rules
        self.rules = SlowStartRules(
            rules.slow_start_ns / 1e9, rules.slow_start_capacity, rules.overload_multiple
        )
        self.controller = FailoverController(self.rules, now)
        self.owner_site = min(self.places)
        self.rests_ns = now + SECOND
        self.cold: dict[int, int] = {}  # upstream: when it started
        self.log: list[tuple[int, str]] = []

    def tick(self, number: int, now: int, reaches: bool) -> Update:
        """One balancer's turn. `reaches`: it has the store."""
        m = self.members[number]
        turn = m.update(now, reaches)
        if reaches and m.is_report_due(now):
            row = m.take_report(self.taken, now)
            self.told[number] = row, now
            said = PeerReport(row.site, frozenset(row.answering), frozenset(row.silent))
            for other in self.members.values():
                if other is not m and not row.is_isolated:
                    other.evidence.peer_reports[m.name] = said, now + COMMIT_NS
        return turn

    def owner(self, now: int, speaks: set[str]) -> TrafficShares | None:
        """One look and one step, where somebody owns the work. `speaks`: sites that have the
        store.
        """
        if self.owner_site not in speaks:
            if not speaks:
                return None
            self.owner_site, self.rests_ns = min(speaks), now + TAKES_OVER_NS
            self.controller = FailoverController(self.rules, now)
        if now < self.rests_ns:
            return None
        rows = {
            self.members[n].name: ReceivedReport(row, (now - at) / SECOND, row.site in speaks)
            for n, (row, at) in self.told.items()
        }
        if not any(t.is_fresh for t in rows.values()):
            return None
        usual = Counter(self.boxes.values())
        cold = tuple(
            StartingUpstream(n, self.boxes[n], (now - at) / 1e9) for n, at in self.cold.items()
        )
        planned = self.controller.decide(
            self.states,
            FleetSnapshot(
                self.places,
                rows,
                {k: c.priority_weight for k, c in self.settings.classes.items()},
                {n: t.quota_per_s for n, t in self.settings.tenants.items()},
                usual,
                usual,
                cold,
            ),
            now,
        )
        for was, course in zip(self.states, planned.states, strict=True):
            if was != course:
                self.log.append(
                    (
                        now,
                        f"{course.site}: {course.stage.value} {course.fraction:.0%}"
                        f"{' apart' if course.is_partitioned else ''}",
                    )
                )
        self.states = planned.states
        return planned.shares

    def hears(self, number: int, orders: TrafficShares, now: int) -> None:
        held = {
            c.site: c.operator
            for c in self.states
            if c.desired is not DesiredState.ACTIVE and c.fraction <= 0
        }
        self.members[number].set_shares(orders, frozenset(self.places), held, now)

"""Stored form of site failover: keys, documents and their field names.

site/SERVICE/row/BALANCER    a balancer's report, written several times a minute
site/SERVICE/plan            site states and traffic shares; written by the leader, and by
                             operators who change site states
site/SERVICE/stands          the leader's confirmations of the plan
site/SERVICE/tables          precomputed load distribution after each loss of one or two sites
"""

from __future__ import annotations

import msgspec

from loadbalancer.failover.site_state import SiteState
from loadbalancer.failover.traffic_shares import TrafficShares
from loadbalancer.store.commands import LEASE_PREFIX


class SiteKeys:
    """Store keys of one service's sites."""

    def __init__(self, service: str) -> None:
        self.rows = f"site/{service}/row/"
        self.plan = f"site/{service}/plan"
        self.confirmation = f"site/{service}/stands"
        self.tables = f"site/{service}/tables"
        self.prefix = f"site/{service}"
        self.names = f"{LEASE_PREFIX}name/{service}/"


class SitePlanDocument(msgspec.Struct, frozen=True):
    """The leader's plan.

    `sequence` counts the leader's plans under its token. `sites` are the sites that the plan
    covers. An operator's change of `site_states` leaves both unchanged.
    """

    token: int = 0
    sequence: int = msgspec.field(name="number", default=0)
    sites: tuple[str, ...] = ()
    site_states: tuple[SiteState, ...] = msgspec.field(name="courses", default=())
    traffic_shares: TrafficShares = msgspec.field(name="orders", default=TrafficShares())
    written_at_s: float = msgspec.field(name="at", default=0.0)

    def state_of(self, site: str) -> SiteState:
        """Return a site's state, or the normal state if the plan has none."""
        return next((state for state in self.site_states if state.site == site), SiteState(site))

    def with_state(self, state: SiteState) -> SitePlanDocument:
        """Return the plan with the state of one site replaced."""
        states = tuple(
            state if current.site == state.site else current for current in self.site_states
        )
        if state not in states:
            states += (state,)
        return msgspec.structs.replace(self, site_states=states)


class LossTable(msgspec.Struct, frozen=True):
    """Precomputed effect of one loss. `utilisation` is by site; values are per second."""

    lost: tuple[str, ...]
    shares: dict[str, dict[str, float]]
    level: int = msgspec.field(name="rung")
    fraction: float = msgspec.field(name="part")
    utilisation: dict[str, float] = msgspec.field(name="fill")
    value: float = msgspec.field(name="worth")
    usual_value: float = msgspec.field(name="usual")
    traffic_shares: TrafficShares = msgspec.field(name="orders")


class LossTablesDocument(msgspec.Struct, frozen=True):
    """All precomputed losses. `quotas` are the same for each loss, so they are stored once."""

    token: int
    sequence: int = msgspec.field(name="number")
    written_at_s: float = msgspec.field(name="at")
    sites: tuple[str, ...]
    tables: tuple[LossTable, ...]
    quotas: dict[str, dict[str, float]] = msgspec.field(name="shares", default_factory=dict)

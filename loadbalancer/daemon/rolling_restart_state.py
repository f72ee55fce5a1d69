"""Stored state of a rolling restart, and the view of the fleet that its leader observes.

    waiting -> out -> quiet -> back -> done        (stored phases of each upstream)

The stored names of fields and phases are those in `msgspec.field(name=...)` and the enums' values.
This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

UNKNOWN_RATIO = -1.0  # stored form of an unknown success ratio


class Phase(Enum):
    """Phase of one upstream's restart."""

    WAITING = "waiting"
    DRAINING = "out"  # disabled; balancers may still have attempts in flight there
    DRAINED = "quiet"  # no balancer has attempts in flight there: the upstream may be restarted
    WARMING_UP = "back"  # restarted and enabled again; in slow start
    DONE = "done"


class State(Enum):
    """State of the rolling restart."""

    RUNNING = "running"
    PAUSED = "paused"  # by an operator or by the leader, see `pause_reason`
    ABORTING = "aborting"  # upstreams disabled by the restart are enabled; no others are disabled
    ENDED = "ended"


class UpstreamRestart(msgspec.Struct, frozen=True):
    """Restart of one upstream.

    Attributes:
        name: The upstream's name.
        number: The upstream's number in the policy.
        phase: Its phase.
        since_ms: Unix time at which it entered its phase.
        previous_start_s: Unix time of its start as listed when it was disabled.
        is_confirmed: Whether an operator confirmed the restart.
        request_token: The leader's token under which its restart was last announced; 0: never.
    """

    name: str
    number: int
    phase: Phase = Phase.WAITING
    since_ms: int = 0
    previous_start_s: float = msgspec.field(name="before", default=0.0)
    is_confirmed: bool = msgspec.field(name="word", default=False)
    request_token: int = msgspec.field(name="asked", default=0)

    @property
    def is_out_of_service(self) -> bool:
        """Whether the rolling restart has disabled the upstream."""
        return self.phase in {Phase.DRAINING, Phase.DRAINED}

    @property
    def is_under_way(self) -> bool:
        """Whether it counts towards the limits on upstreams restarted at the same time."""
        return self.is_out_of_service or self.phase is Phase.WARMING_UP


class RollingRestart(msgspec.Struct, frozen=True):
    """The stored document.

    `min_available` is the fraction of the listed upstreams that must stay in use. `success_ratio`
    is the fraction of attempts that succeeded at the start, and `UNKNOWN_RATIO` until it is
    measured. `restart_path` is the path of the upstreams' admin API to which restart requests are
    sent; if it is empty, operators restart the upstreams.
    """

    id: str
    upstreams: tuple[UpstreamRestart, ...] = msgspec.field(name="boxes")
    max_unavailable: int = msgspec.field(name="at_once")
    max_per_site: int = msgspec.field(name="per_site", default=0)  # 0: no limit
    min_available: float = msgspec.field(name="least", default=0.7)
    slow_start_s: float = msgspec.field(name="warm_s", default=30.0)
    restart_timeout_s: float = msgspec.field(name="wait_s", default=900.0)
    state: State = State.RUNNING
    pause_reason: str = msgspec.field(name="why", default="")
    started_by: str = msgspec.field(name="by", default="")
    started_ms: int = msgspec.field(name="began_ms", default=0)
    success_ratio: float = msgspec.field(name="served", default=UNKNOWN_RATIO)
    step_count: int = msgspec.field(name="steps", default=0)
    restart_path: str = msgspec.field(name="door", default="")


class BalancerReport(msgspec.Struct, frozen=True):
    """A balancer's stored report.

    `disabled_version` is the version of the disabled set that the balancer applies.
    `busy_upstreams` are the upstreams of that set where it still has attempts in flight. `sent` and
    `served` are attempts per second. `sequence` increases with each report.
    """

    disabled_version: int = msgspec.field(name="version")
    busy_upstreams: tuple[str, ...] = msgspec.field(name="busy")
    sent: float
    served: float
    sequence: int = msgspec.field(name="count")


NO_REPORT = BalancerReport(0, (), 0.0, 0.0, 0)


@dataclass(frozen=True, slots=True)
class ObservedReport:
    """A report, its age by the reader's clock, and whether the balancer holds its name lease."""

    report: BalancerReport
    age_s: float
    is_live: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream's entry in the endpoint list. `started_s` is a Unix time; 0 means long ago."""

    site: str
    started_s: float
    is_ready: bool
    address: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as the leader observes it at one time.

    Attributes:
        now_ms: Unix time, stored for operators only.
        disabled: Names of all disabled upstreams.
        disabled_version: Version of the disabled set.
        balancers: Reports by balancer name.
        upstreams: The endpoint list by upstream number.
        list_age_s: Time since the list was confirmed.
        phase_ages_s: Time that each upstream has been in its phase, by upstream name. It is
            measured with this leader's clock, so it starts at 0 when a leader takes over.
    """

    now_ms: int
    disabled: frozenset[str]
    disabled_version: int
    balancers: Mapping[str, ObservedReport]
    upstreams: Mapping[int, UpstreamStatus]
    list_age_s: float
    phase_ages_s: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Step:
    """The next write: the new state, the new disabled set (None: unchanged) and a summary."""

    restart: RollingRestart
    disabled: frozenset[str] | None
    summary: str

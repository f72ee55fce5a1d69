"""State of a rolling restart as it stands in the store, and what its leader observes. Pure.

    waiting -> out -> quiet -> back -> done        (each upstream, by its stored phase)

Stored field names and phases are those given by `msgspec.field(name=...)` and the enums' values.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

UNKNOWN_RATIO = -1.0  # stored form of a success ratio that is not known


class Phase(Enum):
    """Progress of one upstream."""

    WAITING = "waiting"
    DRAINING = "out"  # disabled; balancers may still have attempts there
    DRAINED = "quiet"  # no balancer has an attempt there: it may be restarted
    WARMING_UP = "back"  # restarted and enabled again, in slow start
    DONE = "done"


class State(Enum):
    """State of the rolling restart."""

    RUNNING = "running"
    PAUSED = "paused"  # by an operator or by itself, see `pause_reason`
    ABORTING = "aborting"  # disabled upstreams are enabled again, no other is disabled
    ENDED = "ended"


class UpstreamRestart(msgspec.Struct, frozen=True):
    """Restart of one upstream.

    `since_ms`: when it entered its phase, Unix time. `previous_start_s`: its start as listed when
    it was disabled, Unix time. `is_confirmed`: an operator confirmed the restart. `request_token`:
    the leader's token under which its restart was last announced, 0: never.
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
        """Whether this rolling restart has it disabled."""
        return self.phase in {Phase.DRAINING, Phase.DRAINED}

    @property
    def is_under_way(self) -> bool:
        """Whether it counts against the limits of upstreams taken at a time."""
        return self.is_out_of_service or self.phase is Phase.WARMING_UP


class RollingRestart(msgspec.Struct, frozen=True):
    """The stored document.

    `min_available`: fraction of the listed upstreams that stays in use. `success_ratio`: fraction
    of attempts that succeeded when it began, `UNKNOWN_RATIO` until it is measured.
    `restart_path`: admin API path at which an upstream is asked to restart; empty: operators
    restart it.
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

    `disabled_version`: version of the set of disabled upstreams in force there.
    `busy_upstreams`: those of the set that still have its attempts. `sent` and `served`: attempts
    a second. `sequence` grows with each report.
    """

    disabled_version: int = msgspec.field(name="version")
    busy_upstreams: tuple[str, ...] = msgspec.field(name="busy")
    sent: float
    served: float
    sequence: int = msgspec.field(name="count")


NO_REPORT = BalancerReport(0, (), 0.0, 0.0, 0)


@dataclass(frozen=True, slots=True)
class ObservedReport:
    """A report, its age by the reader's clock, and whether the balancer holds its name."""

    report: BalancerReport
    age_s: float
    is_live: bool


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream as it stands in the endpoint list. `started_s`: Unix time, 0: long ago."""

    site: str
    started_s: float
    is_ready: bool
    address: tuple[str, int] = ("", 0)


@dataclass(frozen=True, slots=True)
class FleetView:
    """All that the leader observes at one time.

    Attributes:
        now_ms: Unix time, noted for people.
        disabled: Names of all disabled upstreams.
        disabled_version: Version of that set.
        balancers: Reports by balancer.
        upstreams: The endpoint list by number.
        list_age_s: How long ago the list was confirmed.
        phase_ages_s: By upstream name, how long it has been in its phase, by this leader's own
            clock: a leader that took over counts from then on.
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

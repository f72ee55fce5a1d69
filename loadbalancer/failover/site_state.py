"""Stored state of each site and its transitions.

A site's state contains the fraction of its usual load that the site gets, and the reason. Three
things change it:
the verdict on the site (lost, partitioned, reachable again), an operator (drain, hold, return,
drill), and the stages of the recovery ramp (`recovery`). The next states are computed from the
current ones and from observations, and are written to the store in one write if any changed.

The process that computes the states holds a lease and may fail at any point. Its successor
continues from the stored states and restarts the timer of the current stage. So a change of the
holder can lengthen a stage, but can neither shorten it nor repeat a completed one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec
from msgspec.structs import replace

from loadbalancer.failover import recovery
from loadbalancer.failover.health import SiteHealth, Verdict
from loadbalancer.failover.recovery import MAX_FAILURES, Observation, Recovery, Stage

DRAIN_STEPS: Final = 20
MAX_DRAIN_STEP: Final = 0.5  # largest step of a drain with a duration, of the usual load
# A drain pauses, and a drill ends, if the fraction of requests served falls below this ratio of its
# value at the start.
MIN_SERVED_RATIO: Final = 0.95
DEFAULT_DRILL_S: Final = 60.0  # how long a drill leaves a site without load
MAX_DURATION_S: Final = 86_400.0
NOT_KNOWN: Final = -1.0  # stored value of `served_before` until it is measured
PAUSED_PREFIX: Final = "rests"  # start of the stored reason of a paused drain
NO_OBSERVATION: Final = Observation(is_lost=False, attempts=0, good_fraction=1.0)


class DesiredState(Enum):
    """State of a site that operators ask for. The values are stored."""

    ACTIVE = "in"  # the site gets the load that it can serve
    DRAINED = "out"
    DRILL = "drill"  # drained, then returned to service automatically


class SiteState(msgspec.Struct, frozen=True):
    """State of one site as stored.

    Attributes:
        fraction: Fraction of its usual load that the site gets.
        is_partitioned: The other sites do not reach the site, so it serves only the requests that
            arrive there.
        failures: Failed stages and losses of its recovery, at most `MAX_FAILURES`.
        has_failed: The last step of its recovery was the failure of a stage.
        drain_s: Duration of the drain.
        hold_s: How long a drill leaves the site without load.
        served_before: Fraction of requests served when a drain started; NOT_KNOWN if not measured.
        operator: The operator who asked for the drain or drill; empty otherwise.
        version: Version number, which grows with each change.
    """

    site: str
    desired: DesiredState = msgspec.field(default=DesiredState.ACTIVE, name="aim")
    stage: Stage = Stage.NORMAL
    fraction: float = msgspec.field(default=1.0, name="part")
    is_partitioned: bool = msgspec.field(default=False, name="apart")
    failures: int = msgspec.field(default=0, name="fails")
    has_failed: bool = msgspec.field(default=False, name="fell")
    drain_s: float = msgspec.field(default=0.0, name="over_s")
    hold_s: float = 0.0
    served_before: float = msgspec.field(default=NOT_KNOWN, name="before")
    operator: str = msgspec.field(default="", name="by")
    reason: str = msgspec.field(default="", name="why")
    version: int = msgspec.field(default=0, name="count")

    @property
    def is_normal(self) -> bool:
        """Whether the site is in normal service."""
        return (
            self.desired is DesiredState.ACTIVE
            and self.stage is Stage.NORMAL
            and not self.is_partitioned
        )


@dataclass(frozen=True, slots=True)
class FleetView:
    """Observations of the fleet at one time.

    Attributes:
        ages_s: By site, the time since its state last changed, by this lease holder's clock.
        served: Fraction of the fleet's requests served in time; None if there were too few.
        blocked_reason: Why these observations must not change any state; empty if they may.
        is_capacity_short: The fleet is short of capacity, so recoveries are urgent.
    """

    verdicts: Mapping[str, Verdict]
    observations: Mapping[str, Observation]
    ages_s: Mapping[str, float]
    capacities: Mapping[str, float]
    served: float | None = None
    blocked_reason: str = ""
    is_capacity_short: bool = False


def apply_operator_request(
    state: SiteState,
    desired: DesiredState,
    operator: str,
    drain_s: float = 0.0,
    hold_s: float = 0.0,
) -> SiteState:
    """Return a site's state after an operator's request.

    Raises:
        ValueError: The request is not possible now.
    """
    if not (0.0 <= drain_s <= MAX_DURATION_S and 0.0 <= hold_s <= MAX_DURATION_S):
        raise ValueError("durations must be between 0 s and one day")
    if desired is DesiredState.DRILL and not state.is_normal:
        raise ValueError(f"{state.site} is not in normal service: no drill can start")
    if desired is DesiredState.ACTIVE:
        if state.desired is DesiredState.ACTIVE:
            raise ValueError(f"{state.site} is not held, drained or in a drill")
        return _begin_recovery(state, f"{operator} lets it return")
    return _changed(
        state,
        desired=desired,
        operator=operator,
        drain_s=drain_s,
        hold_s=hold_s or DEFAULT_DRILL_S,
        served_before=NOT_KNOWN,
        reason=f"{operator} {'drills' if desired is DesiredState.DRILL else 'empties'} it",
    )


def _changed(state: SiteState, **changes: object) -> SiteState:
    return replace(state, version=state.version + 1, **changes)


def _begin_recovery(state: SiteState, reason: str) -> SiteState:
    """Start a recovery from the site's current fraction."""
    return _changed(
        state,
        desired=DesiredState.ACTIVE,
        stage=Stage.HEALTH_CHECKS if state.fraction <= 0 else Stage.SHARES,
        served_before=NOT_KNOWN,
        reason=reason,
        operator="",
    )


def advance(states: Iterable[SiteState], view: FleetView) -> tuple[SiteState, ...]:
    """Return the next states; a state that does not change is returned as the same object."""
    current = tuple(states)
    if view.blocked_reason:
        return current
    recoveries = [_recovery_of(state) for state in current if state.desired is DesiredState.ACTIVE]
    rises = recovery.allowed_rises(recoveries, view.capacities)
    return tuple(_next_state(state, view, rises.get(state.site, 1.0)) for state in current)


def _recovery_of(state: SiteState) -> Recovery:
    return Recovery(state.site, state.stage, state.fraction, state.failures, state.has_failed)


def _next_state(state: SiteState, view: FleetView, max_rise: float) -> SiteState:
    verdict = view.verdicts.get(state.site)
    if verdict is None:
        return state
    is_lost = verdict.health is SiteHealth.LOST
    is_partitioned = verdict.health is SiteHealth.PARTITIONED
    # A site without load that only its own balancers reach is coming back. It is marked as
    # partitioned only once it has load.
    if (
        is_partitioned is not state.is_partitioned
        and not is_lost
        and (state.is_partitioned or state.fraction > 0)
    ):
        if is_partitioned:
            return _changed(state, is_partitioned=True, reason=verdict.reason)
        return _end_partition(state)
    if is_lost:
        return _mark_lost(state, verdict)
    return state if is_partitioned else _next_state_of_reachable(state, view, max_rise)


def _next_state_of_reachable(state: SiteState, view: FleetView, max_rise: float) -> SiteState:
    if state.desired is not DesiredState.ACTIVE:
        return _drain(state, view)
    if state.stage is Stage.NORMAL:
        return state
    return _recover(state, view, max_rise)


def _end_partition(state: SiteState) -> SiteState:
    """Return the state of a site after the end of its partition."""
    reason = "it is reached again"
    if state.desired is not DesiredState.ACTIVE or state.fraction <= 0:
        return _changed(state, is_partitioned=False, reason=reason)
    # Its upstreams kept serving the local load and are warmed up, so the recovery skips the early
    # stages.
    return _changed(
        state,
        is_partitioned=False,
        stage=Stage.SHARES,
        fraction=min(state.fraction, 1.0 / recovery.RISE_FACTOR),
        reason=reason,
    )


def _mark_lost(state: SiteState, verdict: Verdict) -> SiteState:
    if state.fraction <= 0 and state.stage is Stage.OUT and not state.is_partitioned:
        return state
    # Only a loss during a recovery counts as a failure of the recovery.
    was_recovering = state.stage not in (Stage.NORMAL, Stage.OUT)
    return _changed(
        state,
        stage=Stage.OUT,
        fraction=0.0,
        is_partitioned=False,
        failures=min(MAX_FAILURES, state.failures + was_recovering),
        reason=verdict.reason,
    )


def _recover(state: SiteState, view: FleetView, max_rise: float) -> SiteState:
    """Take one step of the recovery if one is due."""
    observed = view.observations.get(state.site, NO_OBSERVATION)
    before = _recovery_of(state)
    age_s = view.ages_s.get(state.site, 0.0)
    after = recovery.step(before, observed, age_s, max_rise, view.is_capacity_short)
    if after == before:
        return state
    return _changed(
        state,
        stage=after.stage,
        fraction=after.fraction,
        failures=after.failures,
        has_failed=after.has_failed,
        reason=(
            f"{after.stage.value} at {after.fraction:.0%}: {observed.attempts} answers,"
            f" {observed.good_fraction:.0%} in time"
        ),
    )


def _drain(state: SiteState, view: FleetView) -> SiteState:
    """Take one step of a drain or a drill if one is due."""
    age_s = view.ages_s.get(state.site, 0.0)
    if state.served_before < 0 and view.served is not None:
        return _changed(state, served_before=view.served)
    if (
        view.served is not None
        and state.served_before >= 0
        and view.served < MIN_SERVED_RATIO * state.served_before
    ):
        if state.desired is DesiredState.DRILL:
            return _begin_recovery(
                state,
                f"the drill ended itself: {view.served:.1%} are served,"
                f" {state.served_before:.1%} were",
            )
        if state.fraction > 0:
            return _pause_drain(state, view.served)
    if state.fraction > 0:
        return _drain_step(state, age_s)
    if state.desired is DesiredState.DRILL and age_s >= state.hold_s:
        return _begin_recovery(state, "the drill is over")
    return state


def _pause_drain(state: SiteState, served: float) -> SiteState:
    if state.reason.startswith(PAUSED_PREFIX):
        return state
    return _changed(
        state,
        reason=(
            f"{PAUSED_PREFIX}: {served:.1%} are served,"
            f" {state.served_before:.1%} were when it began"
        ),
    )


def _drain_step(state: SiteState, age_s: float) -> SiteState:
    if age_s < state.drain_s / DRAIN_STEPS:
        return state
    step = 1.0
    if state.drain_s:
        # A late step is larger, up to half the usual load.
        step = min(MAX_DRAIN_STEP, max(1.0 / DRAIN_STEPS, age_s / state.drain_s))
    fraction = max(0.0, round(state.fraction - step, 6))
    return _changed(
        state,
        fraction=fraction,
        stage=state.stage if fraction else Stage.OUT,
        reason=f"gets {fraction:.0%}" if fraction else "is empty",
    )


def load_fractions(states: Iterable[SiteState]) -> dict[str, float]:
    """Return the fraction of its usual load for each site that is not in normal service."""
    return {
        state.site: 0.0 if state.is_partitioned else state.fraction
        for state in states
        if not state.is_normal
    }

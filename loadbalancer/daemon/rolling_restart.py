"""Decides the next step of a rolling restart.

The next step follows from the state in the store and the observed fleet. It is one write, or
nothing. The state consists of the rolling restart's document and the set of disabled upstreams.
Both change in one write, under the leader's fencing token and conditional on the versions that were
read. So a leader may fail before, during or after any step, and the next leader continues from the
stored state: no upstream is restarted twice or skipped, and at most `max_unavailable` are out of
service at a time. This module does no I/O.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from loadbalancer.daemon.rolling_restart_state import (
    FleetView,
    Phase,
    RollingRestart,
    State,
    Step,
    UpstreamRestart,
    UpstreamStatus,
)

MAX_UPSTREAMS = 1000
MAX_EVIDENCE_AGE_S = 10.0  # no step is based on an older report or endpoint list
# The restart pauses after waiting this long for evidence, for attempts in flight to finish, or for
# an enabled upstream to be listed.
PROGRESS_TIMEOUT_S = 60.0
MIN_SUCCESS_FRACTION = 0.9  # of the success ratio at the start; below this, the restart pauses
# A start time that is later by less than this is the same start, because clocks are inexact.
MIN_START_DISTANCE_S = 1.0
RESTART_PATH = re.compile(r"/[A-Za-z0-9._~/-]{0,199}\Z")
MIN_ATTEMPTS_PER_S = 5.0  # with fewer attempts, the success ratio is not meaningful


@dataclass(slots=True)
class _Draft:
    """Mutable state of a step while it is assembled."""

    restart: RollingRestart
    disabled: set[str]
    changes: list[str] = field(default_factory=list)

    def enter_phase(
        self, upstream: UpstreamRestart, phase: Phase, now_ms: int, **changes: Any
    ) -> None:
        """Move an upstream into a phase."""
        changed = msgspec.structs.replace(upstream, phase=phase, since_ms=now_ms, **changes)
        self.replace(changed, f"{upstream.name} is {phase.value}")

    def replace(self, changed: UpstreamRestart, summary: str) -> None:
        """Replace the upstream of the same name, and add the summary of the change."""
        upstreams = tuple(
            changed if upstream.name == changed.name else upstream
            for upstream in self.restart.upstreams
        )
        self.restart = msgspec.structs.replace(self.restart, upstreams=upstreams)
        self.changes.append(summary)

    @property
    def summary(self) -> str:
        """All changes, in one line."""
        return "; ".join(self.changes)


def find_error(restart: RollingRestart) -> str:
    """Return in one line why a rolling restart can't begin, or an empty string if it can."""
    names = [upstream.name for upstream in restart.upstreams]
    error = ""
    if not names or len(names) > MAX_UPSTREAMS:
        error = f"a rolling restart has 1 to {MAX_UPSTREAMS} upstreams"
    elif len(set(names)) < len(names):
        duplicate = next(name for name in names if names.count(name) > 1)
        error = f"{duplicate} is named twice"
    elif restart.max_unavailable < 1 or restart.max_per_site < 0:
        error = "at least one upstream at a time"
    elif restart.restart_path and not RESTART_PATH.match(restart.restart_path):
        error = f"{restart.restart_path!r} is no path of an upstream's admin API"
    elif not 0 <= restart.min_available <= 1:
        error = "the fraction that stays in use is 0 to 1"
    elif restart.slow_start_s < 0 or restart.restart_timeout_s <= 0:
        error = "times must not be negative"
    return error


def success_ratio(view: FleetView) -> float | None:
    """Return the fraction of the fleet's attempts that succeed, or None with too few attempts."""
    reports = [observed.report for observed in view.balancers.values() if observed.is_live]
    sent = sum(report.sent for report in reports)
    served = sum(report.served for report in reports)
    return min(1.0, served / sent) if sent >= MIN_ATTEMPTS_PER_S else None


def find_missing_evidence(view: FleetView) -> str:
    """Return which evidence for a step is missing or too old, or an empty string if none is."""
    if not view.balancers:
        return "no balancer reports"
    if view.list_age_s > MAX_EVIDENCE_AGE_S:
        return f"the endpoint list is {view.list_age_s:.0f} s old"
    for name, observed in sorted(view.balancers.items()):
        if not observed.is_live:
            return f"balancer {name} is silent: its attempts in flight are unknown"
        if observed.age_s > MAX_EVIDENCE_AGE_S:
            return f"balancer {name} has not reported for {observed.age_s:.0f} s"
    return ""


def is_drained(upstream: UpstreamRestart, view: FleetView) -> bool:
    """Return whether every balancer disabled the upstream and has no attempt in flight there."""
    return all(
        observed.report.disabled_version >= view.disabled_version
        and upstream.name not in observed.report.busy_upstreams
        for observed in view.balancers.values()
    )


def count_unavailable(view: FleetView, restart: RollingRestart) -> int:
    """Count the upstreams that are out of use for any reason.

    They are disabled, not ready, or warming up after their restart.
    """
    warming_up = {
        upstream.number for upstream in restart.upstreams if upstream.phase is Phase.WARMING_UP
    }
    disabled = {upstream.number for upstream in restart.upstreams if upstream.name in view.disabled}
    restart_names = {upstream.name for upstream in restart.upstreams}
    disabled_by_others = len(view.disabled) - len(restart_names & view.disabled)
    not_ready = {number for number, status in view.upstreams.items() if not status.is_ready}
    return len(not_ready | disabled | warming_up) + disabled_by_others


def next_step(
    restart: RollingRestart, view: FleetView, without_evidence_s: float = 0.0
) -> Step | None:
    """Return the next step, or None if no step is possible now.

    Args:
        restart: The stored state.
        view: The observed fleet.
        without_evidence_s: How long evidence has been missing so far.
    """
    if restart.state is State.ENDED:
        return None
    if restart.state is State.ABORTING:
        return _abort(restart, view)
    missing = find_missing_evidence(view)
    if missing:
        # Without evidence, no upstream is disabled, counts as drained, or is enabled again.
        is_overdue = restart.state is State.RUNNING and without_evidence_s > PROGRESS_TIMEOUT_S
        return _pause(restart, missing) if is_overdue else None
    draft = _advance(restart, view)
    if draft.changes:
        return Step(_count_step(draft.restart), frozenset(draft.disabled), draft.summary)
    return _continue(restart, view)


def _continue(restart: RollingRestart, view: FleetView) -> Step | None:
    """Return the next step when no upstream under way can change its phase."""
    if restart.state is State.PAUSED:
        return None
    fault = _find_fault(restart, view)
    if fault:
        return _pause(restart, fault)
    return _record_success_ratio(restart, view) or _start_next_or_end(restart, view)


def _abort(restart: RollingRestart, view: FleetView) -> Step:
    draft = _Draft(restart, set(view.disabled))
    for upstream in restart.upstreams:
        if upstream.is_out_of_service:
            draft.disabled.discard(upstream.name)
            draft.enter_phase(upstream, Phase.WAITING, view.now_ms)
    return _end(draft, view, "aborted: all upstreams that it disabled are enabled")


def _advance(restart: RollingRestart, view: FleetView) -> _Draft:
    """Move each upstream under way into its next phase if the evidence permits it."""
    draft = _Draft(restart, set(view.disabled))
    for upstream in restart.upstreams:
        status = view.upstreams.get(upstream.number)
        if upstream.phase is Phase.DRAINING and is_drained(upstream, view):
            draft.enter_phase(upstream, Phase.DRAINED, view.now_ms)
        elif status is None or not status.is_ready:
            continue
        elif upstream.phase is Phase.DRAINED and _is_restarted(upstream, status):
            draft.disabled.discard(upstream.name)
            draft.enter_phase(upstream, Phase.WARMING_UP, view.now_ms)
        elif (
            upstream.phase is Phase.WARMING_UP
            and view.phase_ages_s.get(upstream.name, 0.0) >= restart.slow_start_s
        ):
            draft.enter_phase(upstream, Phase.DONE, view.now_ms)
    return draft


def _is_restarted(upstream: UpstreamRestart, status: UpstreamStatus) -> bool:
    has_later_start = status.started_s > upstream.previous_start_s + MIN_START_DISTANCE_S
    return has_later_start or upstream.is_confirmed


def _find_fault(restart: RollingRestart, view: FleetView) -> str:
    """Return why the rolling restart must pause, or an empty string if it may continue."""
    current = success_ratio(view)
    if (
        restart.success_ratio >= 0
        and current is not None
        and current < MIN_SUCCESS_FRACTION * restart.success_ratio
    ):
        return (
            f"{current:.1%} of attempts succeed, and {restart.success_ratio:.1%} did when it began"
        )
    for upstream in restart.upstreams:
        fault = _find_upstream_fault(restart, upstream, view)
        if fault:
            return fault
    return ""


def _find_upstream_fault(
    restart: RollingRestart, upstream: UpstreamRestart, view: FleetView
) -> str:
    age_s = view.phase_ages_s.get(upstream.name, 0.0)
    if upstream.phase is Phase.DRAINING and age_s > PROGRESS_TIMEOUT_S:
        return f"{upstream.name} still has attempts in flight after {age_s:.0f} s"
    if upstream.phase is Phase.DRAINED and age_s > restart.restart_timeout_s:
        return f"{upstream.name} was not restarted in {restart.restart_timeout_s:.0f} s"
    is_unlisted = upstream.number not in view.upstreams
    if (
        upstream.phase is Phase.WARMING_UP
        and is_unlisted
        and age_s > restart.slow_start_s + PROGRESS_TIMEOUT_S
    ):
        return f"{upstream.name} is no longer status, {age_s:.0f} s after it was enabled"
    if upstream.is_out_of_service and upstream.name not in view.disabled:
        return f"{upstream.name} was enabled by an operator during its restart"
    return ""


def _record_success_ratio(restart: RollingRestart, view: FleetView) -> Step | None:
    """Return the step that stores the initial success ratio, once it is known."""
    current = success_ratio(view)
    if restart.success_ratio >= 0 or current is None:
        return None
    measured = msgspec.structs.replace(restart, success_ratio=current)
    return Step(measured, None, f"{current:.1%} of attempts succeed")


def _start_next_or_end(restart: RollingRestart, view: FleetView) -> Step | None:
    """Return the step that disables the next upstream, or ends the restart after the last one."""
    draft = _Draft(restart, set(view.disabled))
    upstream = _next_upstream(restart, view)
    if upstream is not None:
        draft.disabled.add(upstream.name)
        draft.enter_phase(
            upstream,
            Phase.DRAINING,
            view.now_ms,
            previous_start_s=view.upstreams[upstream.number].started_s,
            is_confirmed=False,
        )
        return Step(_count_step(draft.restart), frozenset(draft.disabled), draft.summary)
    if all(upstream.phase is Phase.DONE for upstream in restart.upstreams):
        return _end(draft, view, "all upstreams are done")
    return None


def _next_upstream(restart: RollingRestart, view: FleetView) -> UpstreamRestart | None:
    """Return the next upstream to disable, or None if too few would remain in use."""
    under_way = [upstream for upstream in restart.upstreams if upstream.is_under_way]
    if len(under_way) >= restart.max_unavailable or _find_capacity_limit(restart, view):
        return None
    site_counts = Counter(
        view.upstreams[upstream.number].site if upstream.number in view.upstreams else ""
        for upstream in under_way
    )
    for upstream in restart.upstreams:
        status = view.upstreams.get(upstream.number)
        is_candidate = upstream.phase is Phase.WAITING and upstream.name not in view.disabled
        if not is_candidate or status is None or not status.is_ready:
            continue
        if not restart.max_per_site or site_counts[status.site] < restart.max_per_site:
            return upstream
    return None


def _find_capacity_limit(restart: RollingRestart, view: FleetView) -> str:
    """Return which limit forbids disabling one more upstream, or an empty string if none does."""
    unavailable = count_unavailable(view, restart)
    total = len(view.upstreams)
    if unavailable >= restart.max_unavailable:
        return (
            f"{unavailable} of {total} upstreams are out of use,"
            f" and at most {restart.max_unavailable} may be"
        )
    if total - unavailable - 1 < restart.min_available * total:
        return (
            f"{unavailable} of {total} upstreams are out of use,"
            f" and {restart.min_available:.0%} must stay in use"
        )
    return ""


def explain_wait(restart: RollingRestart, view: FleetView) -> str:
    """Return for operators why no further upstream is disabled now; empty if one can be."""
    missing = find_missing_evidence(view)
    if missing or restart.state is not State.RUNNING:
        return missing or restart.pause_reason
    waiting = [upstream for upstream in restart.upstreams if upstream.phase is Phase.WAITING]
    if not waiting or _next_upstream(restart, view) is not None:
        return ""
    return _find_capacity_limit(restart, view) or (
        "no waiting upstream is listed as ready, enabled, and within its site's limit"
    )


def announce_requests(
    restart: RollingRestart, token: int, lease_held_s: float, lease_s: float
) -> Step | None:
    """Return the step that announces the upstreams to which restart requests will be sent.

    The announcement is stored before a request is sent, so that the next leader can see that a
    request may be in flight. A new leader announces an upstream that an earlier leader announced
    only after it has held the lease for one lease duration. By then, the earlier leader sends no
    more requests.

    Args:
        restart: The stored state.
        token: This leader's fencing token.
        lease_held_s: How long this leader has held the lease.
        lease_s: Duration of the lease.
    """
    if not restart.restart_path or restart.state is State.ABORTING:
        return None
    draft = _Draft(restart, set())
    for upstream in restart.upstreams:
        is_unannounced = upstream.phase is Phase.DRAINED and upstream.request_token != token
        if is_unannounced and (not upstream.request_token or lease_held_s >= lease_s):
            draft.replace(
                msgspec.structs.replace(upstream, request_token=token),
                f"{upstream.name} is to be asked to restart",
            )
    return Step(_count_step(draft.restart), None, draft.summary) if draft.changes else None


def pending_requests(restart: RollingRestart, token: int) -> list[UpstreamRestart]:
    """Return the upstreams that this leader announced and that have not restarted yet.

    All restart requests for an upstream have the same idempotency key, so that it restarts once.
    """
    if not restart.restart_path or restart.state in {State.ABORTING, State.ENDED}:
        return []
    return [
        upstream
        for upstream in restart.upstreams
        if upstream.phase is Phase.DRAINED and upstream.request_token == token
    ]


def restart_name(restart: RollingRestart, upstream: UpstreamRestart) -> str:
    """Return the idempotency key of an upstream's restart, the same for every leader."""
    return f"{restart.id}/{upstream.name}"


def _count_step(restart: RollingRestart) -> RollingRestart:
    return msgspec.structs.replace(restart, step_count=restart.step_count + 1)


def _pause(restart: RollingRestart, reason: str) -> Step:
    paused = msgspec.structs.replace(restart, state=State.PAUSED, pause_reason=reason)
    return Step(paused, None, f"paused: {reason}")


def _end(draft: _Draft, view: FleetView, reason: str) -> Step:
    ended = msgspec.structs.replace(
        _count_step(draft.restart), state=State.ENDED, pause_reason=reason
    )
    has_changed = draft.disabled != view.disabled
    return Step(ended, frozenset(draft.disabled) if has_changed else None, reason)

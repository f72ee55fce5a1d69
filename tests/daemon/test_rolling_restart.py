"""Tests of rolling restarts with failing leaders, and of polling discovery without a leader."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.endpoint_source import FLEET_POLLS_PER_S, LEADER_TIMEOUT_NS, EndpointSource
from loadbalancer.daemon.rolling_restart import (
    PROGRESS_TIMEOUT_S,
    announce_requests,
    explain_wait,
    find_error,
    next_step,
    pending_requests,
    restart_name,
)
from loadbalancer.daemon.rolling_restart_state import (
    BalancerReport,
    FleetView,
    ObservedReport,
    Phase,
    RollingRestart,
    State,
    UpstreamRestart,
    UpstreamStatus,
)
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint

SECOND = 1_000_000_000


def rolling_restart(count: int, concurrency: int = 1, **overrides: object) -> RollingRestart:
    """Return a rolling restart of `count` upstreams that has not begun."""
    upstreams = tuple(UpstreamRestart(f"box-{i}", i) for i in range(count))
    return msgspec.structs.replace(
        RollingRestart("r", upstreams, concurrency, slow_start_s=2.0, min_available=0.5),
        **overrides,
    )


def view(
    restart: RollingRestart,
    disabled: frozenset[str] = frozenset(),
    version: int = 1,
    **overrides: object,
) -> FleetView:
    """Return a view of a healthy fleet of one balancer and eight upstreams, with changes."""
    upstreams = {i: UpstreamStatus("a" if i % 2 else "b", 100.0, True) for i in range(8)}
    observed = {"one": ObservedReport(BalancerReport(version, (), 50.0, 49.0, 1), 0.5, True)}
    phase_ages_s = {entry.name: 1_000.0 - entry.since_ms / 1000 for entry in restart.upstreams}
    default_view = FleetView(1_000_000, disabled, version, observed, upstreams, 1.0, phase_ages_s)
    return replace(default_view, **overrides)  # type: ignore[arg-type]


class Fleet:
    """A simulated fleet in virtual time: balancers, upstreams, operators and two store rows."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.stored_restart = rolling_restart(
            self.rng.randint(1, 6), self.rng.randint(1, 3), max_per_site=self.rng.randint(0, 2)
        )
        self.disabled: frozenset[str] = frozenset()
        self.restart_version = self.version = 1
        self.now = 1_000.0
        self.started = {i: 100.0 for i in range(8)}
        self.unlisted: set[int] = set()
        self.versions = dict.fromkeys(
            ("one", "two", "three"), 1
        )  # version of the disabled set that each balancer applies
        self.known: dict[str, frozenset[str]] = dict.fromkeys(self.versions, frozenset())
        self.busy: dict[str, set[str]] = {name: set() for name in self.versions}
        self.reports = {name: BalancerReport(1, (), 50.0, 49.0, 1) for name in self.versions}
        self.ages = dict.fromkeys(self.versions, 0.0)
        self.restarts = {entry.name: 0 for entry in self.stored_restart.upstreams}
        self.previous_phase = {entry.name: Phase.WAITING for entry in self.stored_restart.upstreams}

    def view(self) -> FleetView:
        observed = {n: ObservedReport(self.reports[n], self.ages[n], True) for n in self.versions}
        upstreams = {
            i: UpstreamStatus("ab"[i % 2], s, True)
            for i, s in self.started.items()
            if i not in self.unlisted
        }
        phase_ages_s = {
            entry.name: self.now - entry.since_ms / 1000 for entry in self.stored_restart.upstreams
        }
        return FleetView(
            int(self.now * 1000),
            self.disabled,
            self.version,
            observed,
            upstreams,
            1.0,
            phase_ages_s,
        )

    def write(
        self, read: tuple[int, int], new: RollingRestart, disabled: frozenset[str] | None
    ) -> None:
        """Write both rows if they still have the versions that were read."""
        if read != (self.restart_version, self.version):
            return
        self.stored_restart, self.restart_version = new, self.restart_version + 1
        if disabled is not None:
            self.disabled, self.version = disabled, self.version + 1
        self.check_invariants()

    def check_invariants(self) -> None:
        """Check the invariants of the stored state."""
        out_of_service = {
            entry.name
            for entry in self.stored_restart.upstreams
            if entry.phase in (Phase.DRAINING, Phase.DRAINED)
        }
        assert out_of_service == self.disabled, "the disabled set differs from the document"
        assert len(out_of_service) <= self.stored_restart.max_unavailable
        for entry in self.stored_restart.upstreams:
            order = list(Phase)
            previous_phase, self.previous_phase[entry.name] = (
                self.previous_phase[entry.name],
                entry.phase,
            )
            assert order.index(entry.phase) - order.index(previous_phase) in (0, 1), (
                f"{entry.name}: {previous_phase} to {entry.phase}"
            )
            if entry.phase is Phase.DRAINED and previous_phase is Phase.DRAINING:
                assert not any(entry.name in busy for busy in self.busy.values()), (
                    f"{entry.name} still has attempts in flight"
                )
            if entry.phase is Phase.WARMING_UP and previous_phase is Phase.DRAINED:
                assert self.restarts[entry.name] == 1, (
                    f"{entry.name} was enabled before it was restarted"
                )

    def advance(self) -> None:
        """Advance the time by 0.5 s.

        Balancers receive the disabled set, start and finish attempts and write reports. Operators
        restart drained upstreams.
        """
        rng, self.now = self.rng, self.now + 0.5
        for name in self.versions:
            self.ages[name] += 0.5
            if rng.random() < 0.5:
                self.versions[name], self.known[name] = self.version, self.disabled
            if rng.random() < 0.6:
                self.busy[name] = {entry for entry in self.busy[name] if rng.random() < 0.5}
            for entry in self.previous_phase:
                if entry not in self.known[name] and rng.random() < 0.2:
                    self.busy[name].add(entry)
            if rng.random() < 0.7:
                quiet = tuple(sorted(self.busy[name] & self.known[name]))
                count = self.reports[name].sequence + 1
                self.reports[name] = BalancerReport(self.versions[name], quiet, 50.0, 49.0, count)
                self.ages[name] = 0.0
        for upstream in self.stored_restart.upstreams:
            if (
                upstream.phase is Phase.DRAINED
                and not self.restarts[upstream.name]
                and rng.random() < 0.3
            ):
                self.unlisted.add(upstream.number)
                self.restarts[upstream.name] = 1
            elif upstream.number in self.unlisted and rng.random() < 0.5:
                self.unlisted.discard(upstream.number)
                self.started[upstream.number] = self.now


@pytest.mark.parametrize("seed", range(60))
def test_leader_failures_neither_repeat_nor_skip_restarts_nor_exceed_limits(
    seed: int,
) -> None:
    fleet = Fleet(seed)
    delayed_writes: list[tuple[tuple[int, int], RollingRestart, frozenset[str] | None]] = []
    for _ in range(2000):
        fleet.advance()
        for leader in range(
            fleet.rng.choice([1, 1, 1, 2])
        ):  # sometimes two processes act as the leader
            read = fleet.restart_version, fleet.version
            step = next_step(fleet.stored_restart, fleet.view())
            if step is None:
                continue
            random_number = fleet.rng.random()
            if leader or random_number < 0.15:
                delayed_writes.append(
                    (read, step.restart, step.disabled)
                )  # the leader is suspended before its write, and writes later
            elif random_number < 0.9:
                fleet.write(read, step.restart, step.disabled)
        if delayed_writes and fleet.rng.random() < 0.2:
            fleet.write(*delayed_writes.pop(0))
        if fleet.stored_restart.state is State.ENDED:
            break
    assert fleet.stored_restart.state is State.ENDED and not fleet.disabled, explain_wait(
        fleet.stored_restart, fleet.view()
    )
    assert all(entry.phase is Phase.DONE for entry in fleet.stored_restart.upstreams)


def test_a_silent_balancer_delays_and_finally_pauses_the_restart() -> None:
    restart = rolling_restart(2)
    silent = view(
        restart,
        balancers={
            "one": ObservedReport(BalancerReport(1, (), 50.0, 49.0, 1), 0.5, True),
            "two": ObservedReport(BalancerReport(1, (), 50.0, 49.0, 1), 0.5, False),
        },
    )
    assert next_step(restart, silent) is None and "balancer two is silent" in explain_wait(
        restart, silent
    )
    step = next_step(restart, silent, PROGRESS_TIMEOUT_S + 1)
    assert step is not None and step.restart.state is State.PAUSED and step.disabled is None
    old_report = view(
        restart, balancers={"one": ObservedReport(BalancerReport(1, (), 50.0, 49.0, 1), 11.0, True)}
    )
    assert next_step(restart, old_report) is None
    assert next_step(restart, view(restart, list_age_s=11.0)) is None


def test_a_falling_success_ratio_pauses_but_upstreams_under_way_continue() -> None:
    restart = rolling_restart(3, success_ratio=0.98)
    low_success = view(
        restart, balancers={"one": ObservedReport(BalancerReport(1, (), 50.0, 40.0, 1), 0.5, True)}
    )
    step = next_step(restart, low_success)
    assert (
        step is not None
        and step.restart.state is State.PAUSED
        and "80.0% of attempts" in step.restart.pause_reason
    )
    upstream = msgspec.structs.replace(
        restart.upstreams[0], phase=Phase.DRAINED, since_ms=999_000, previous_start_s=100.0
    )
    paused = msgspec.structs.replace(
        restart, state=State.PAUSED, upstreams=(upstream, *restart.upstreams[1:])
    )
    upstreams = {**low_success.upstreams, 0: UpstreamStatus("b", 500.0, True)}
    step = next_step(
        paused, replace(low_success, disabled=frozenset({"box-0"}), upstreams=upstreams)
    )
    assert (
        step is not None
        and step.disabled == frozenset()
        and step.restart.upstreams[0].phase is Phase.WARMING_UP
    )


def test_upstreams_unavailable_for_any_reason_count_towards_the_limits() -> None:
    restart = rolling_restart(3, success_ratio=0.98)
    drained = {**view(restart).upstreams, 7: UpstreamStatus("a", 100.0, False)}
    assert next_step(restart, view(restart, upstreams=drained)) is None
    assert next_step(restart, view(restart, disabled=frozenset({"another"}))) is None
    assert "1 of 8 upstreams are out of use" in explain_wait(
        restart, view(restart, upstreams=drained)
    )
    relaxed_limit = msgspec.structs.replace(restart, max_unavailable=8, min_available=0.95)
    assert next_step(
        relaxed_limit, view(relaxed_limit)
    ) is None and "95% must stay" in explain_wait(relaxed_limit, view(relaxed_limit))


def test_an_abort_enables_only_what_the_restart_disabled() -> None:
    restart = rolling_restart(2, state=State.ABORTING)
    upstream = msgspec.structs.replace(restart.upstreams[0], phase=Phase.DRAINING)
    restart = msgspec.structs.replace(restart, upstreams=(upstream, restart.upstreams[1]))
    step = next_step(restart, view(restart, disabled=frozenset({"box-0", "by-hand"})))
    assert (
        step is not None
        and step.disabled == frozenset({"by-hand"})
        and step.restart.state is State.ENDED
    )


def test_an_operator_enabling_an_upstream_under_way_pauses_the_restart() -> None:
    upstream = msgspec.structs.replace(
        rolling_restart(1).upstreams[0], phase=Phase.DRAINING, since_ms=999_500
    )
    restart = rolling_restart(1, success_ratio=0.98, upstreams=(upstream,))
    busy = view(
        restart,
        balancers={"one": ObservedReport(BalancerReport(1, ("box-0",), 50.0, 49.0, 1), 0.5, True)},
    )
    step = next_step(restart, busy)
    assert (
        step is not None
        and step.restart.state is State.PAUSED
        and "box-0 was enabled" in step.restart.pause_reason
    )


@pytest.mark.parametrize(
    ("restart", "expected_error"),
    [
        (rolling_restart(0), "1 to 1000 upstreams"),
        (rolling_restart(2, max_unavailable=0), "at least one"),
        (
            rolling_restart(1, upstreams=(UpstreamRestart("a", 1), UpstreamRestart("a", 1))),
            "a is named twice",
        ),
    ],
)
def test_an_invalid_restart_is_a_one_line_error(
    restart: RollingRestart, expected_error: str
) -> None:
    assert expected_error in find_error(restart)


# ---- polling of discovery ------------------------------------------------------------------------


@pytest.mark.parametrize("count", [8, 40, 200])
def test_the_fleet_stays_within_the_poll_rate_while_the_leader_is_silent(
    count: int,
) -> None:
    followers = [EndpointSource(count, random.Random(i), 0) for i in range(count)]
    for follower in followers:
        follower.learn_committed(FencingPosition(1, 1), 0)
        assert follower.accept_list(FencingPosition(1, 1), 0)
    calls = [0] * 60
    for ms in range(0, 60_000, 50):
        for follower in followers:
            calls[ms // 1000] += follower.take_due_poll(ms * SECOND // 1000)
    assert sum(calls[: LEADER_TIMEOUT_NS // SECOND]) == 0, (
        "a balancer polls although the leader's last message is recent"
    )
    assert max(calls) <= 2.5 * max(FLEET_POLLS_PER_S, count / 10 if count < 10 else 0) + 3
    assert sum(calls[30:]) / 30 <= 1.3 * FLEET_POLLS_PER_S, "the mean poll rate is too high"
    assert sum(calls[30:]) > 0, "no balancer polls"
    for follower in followers:
        follower.confirm(FencingPosition(1, 1), 1, 60 * SECOND)
    assert not any(f.take_due_poll(61 * SECOND) for f in followers)


def test_a_list_that_is_older_or_precedes_the_committed_position_is_rejected() -> None:
    follower = EndpointSource(8, random.Random(1), 0)
    assert not follower.accept_list(FencingPosition(3, 1), 0)
    follower.learn_committed(FencingPosition(5, 2), 0)
    assert not follower.accept_list(FencingPosition(4, 9), 0) and not follower.accept_list(
        FencingPosition(5, 1), 0
    )
    assert follower.accept_list(FencingPosition(5, 2), 0) and follower.accept_list(
        FencingPosition(6, 1), 0
    )


def test_a_balancer_without_upstreams_polls_soon() -> None:
    follower = EndpointSource(8, random.Random(1), 0)
    first = next(ms for ms in range(0, 20_000, 10) if follower.take_due_poll(ms * 1_000_000))
    assert first <= 760


# ---- an upstream's admin API, which checks no fencing token --------------------------------------


def test_a_restart_is_requested_after_its_announcement_and_by_a_new_leader_after_a_lease() -> None:
    quiet = msgspec.structs.replace(UpstreamRestart("box-0", 0), phase=Phase.DRAINED)
    restart = msgspec.structs.replace(
        rolling_restart(1), upstreams=(quiet,), restart_path="/restart"
    )
    assert pending_requests(restart, 5) == []  # no request before its announcement is stored
    step = announce_requests(restart, 5, 0.0, 10.0)
    assert (
        step is not None
        and step.disabled is None
        and announce_requests(step.restart, 5, 99.0, 10.0) is None
    )
    assert [entry.name for entry in pending_requests(step.restart, 5)] == [
        "box-0"
    ] and pending_requests(step.restart, 6) == []
    assert announce_requests(step.restart, 6, 9.9, 10.0) is None
    later = announce_requests(step.restart, 6, 10.0, 10.0)
    assert (
        later is not None
        and pending_requests(later.restart, 5) == []
        and pending_requests(later.restart, 6) != []
    )
    assert restart_name(later.restart, later.restart.upstreams[0]) == restart_name(
        restart, quiet
    )  # the same idempotency key from every leader
    aborting = msgspec.structs.replace(later.restart, state=State.ABORTING)
    assert (
        pending_requests(aborting, 6) == [] and announce_requests(aborting, 7, 99.0, 10.0) is None
    )
    assert (
        announce_requests(msgspec.structs.replace(restart, restart_path=""), 5, 99.0, 10.0) is None
    )
    assert "is no path" in find_error(msgspec.structs.replace(restart, restart_path="/a b\r\nX: y"))


def test_upstreams_are_shared_with_canonical_and_dialed_with_translated_addresses() -> None:
    address_map = AddressMap({"10.0.0.1:80": "127.0.0.1:9001"})
    known = [Endpoint(api.Upstream(n), host, 80) for n, host in enumerate(("10.0.0.1", "10.0.0.2"))]
    dialed = address_map.to_dialed(known)
    assert [(e.host, e.port) for e in dialed] == [("127.0.0.1", 9001), ("10.0.0.2", 80)]
    assert address_map.to_canonical(dialed) == known and address_map.dialed_address(
        ("10.0.0.1", 80)
    ) == ("127.0.0.1", 9001)

"""The roll's decisions, over owners that die anywhere and whatever is seen; and who asks
discovery.
"""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.endpoint_source import FLEET_POLLS_PER_S, LEADER_TIMEOUT_NS, EndpointSource
from loadbalancer.daemon.rolling_restart import (
    PATIENCE_S,
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
    ListedUpstream,
    ObservedReport,
    Phase,
    RollingRestart,
    State,
    UpstreamRestart,
)
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.policy import api
from loadbalancer.proxy.upstream import Endpoint

SECOND = 1_000_000_000


def roll(count: int, at_once: int = 1, **more: object) -> RollingRestart:
    boxes = tuple(UpstreamRestart(f"box-{i}", i) for i in range(count))
    return msgspec.structs.replace(
        RollingRestart("r", boxes, at_once, warm_up_s=2.0, min_available=0.5), **more
    )


def view(
    r: RollingRestart, disabled: frozenset[str] = frozenset(), version: int = 1, **more: object
) -> FleetView:
    boxes = {i: ListedUpstream("a" if i % 2 else "b", 100.0, True) for i in range(8)}
    seen = {"one": ObservedReport(BalancerReport(version, (), 50.0, 49.0, 1), 0.5, True)}
    phase_ages_s = {b.name: 1_000.0 - b.since_ms / 1000 for b in r.upstreams}
    return replace(FleetView(1_000_000, disabled, version, seen, boxes, 1.0, phase_ages_s), **more)  # type: ignore[arg-type]


class Fleet:
    """Balancers, boxes, operators and the store's two rows, in virtual time, with owners that
    die.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.roll = roll(
            self.rng.randint(1, 6), self.rng.randint(1, 3), max_per_site=self.rng.randint(0, 2)
        )
        self.disabled: frozenset[str] = frozenset()
        self.roll_version = self.version = 1
        self.now = 1_000.0
        self.started = {i: 100.0 for i in range(8)}
        self.down: set[int] = set()
        self.heard = dict.fromkeys(
            ("one", "two", "three"), 1
        )  # the set's version that each goes by
        self.known: dict[str, frozenset[str]] = dict.fromkeys(self.heard, frozenset())
        self.busy: dict[str, set[str]] = {name: set() for name in self.heard}
        self.reports = {name: BalancerReport(1, (), 50.0, 49.0, 1) for name in self.heard}
        self.ages = dict.fromkeys(self.heard, 0.0)
        self.restarts = {b.name: 0 for b in self.roll.upstreams}
        self.was = {b.name: Phase.WAITING for b in self.roll.upstreams}

    def view(self) -> FleetView:
        seen = {n: ObservedReport(self.reports[n], self.ages[n], True) for n in self.heard}
        boxes = {
            i: ListedUpstream("ab"[i % 2], s, True)
            for i, s in self.started.items()
            if i not in self.down
        }
        phase_ages_s = {b.name: self.now - b.since_ms / 1000 for b in self.roll.upstreams}
        return FleetView(
            int(self.now * 1000), self.disabled, self.version, seen, boxes, 1.0, phase_ages_s
        )

    def write(
        self, read: tuple[int, int], new: RollingRestart, disabled: frozenset[str] | None
    ) -> None:
        """One write, at the versions that were read, or nothing."""
        if read != (self.roll_version, self.version):
            return
        self.roll, self.roll_version = new, self.roll_version + 1
        if disabled is not None:
            self.disabled, self.version = disabled, self.version + 1
        self.judge()

    def judge(self) -> None:
        out = {b.name for b in self.roll.upstreams if b.phase in (Phase.DRAINING, Phase.DRAINED)}
        assert out == self.disabled, "the set and the document say the same"
        assert len(out) <= self.roll.max_unavailable
        for b in self.roll.upstreams:
            order = list(Phase)
            was, self.was[b.name] = self.was[b.name], b.phase
            assert order.index(b.phase) - order.index(was) in (0, 1), (
                f"{b.name}: {was} to {b.phase}"
            )
            if b.phase is Phase.DRAINED and was is Phase.DRAINING:
                assert not any(b.name in busy for busy in self.busy.values()), (
                    f"{b.name} is not quiet"
                )
            if b.phase is Phase.WARMING_UP and was is Phase.DRAINED:
                assert self.restarts[b.name] == 1, f"{b.name} came back before it was restarted"

    def happen(self) -> None:
        """Balancers hear, send, finish and report; operators restart what is quiet."""
        rng, self.now = self.rng, self.now + 0.5
        for name in self.heard:
            self.ages[name] += 0.5
            if rng.random() < 0.5:
                self.heard[name], self.known[name] = self.version, self.disabled
            if rng.random() < 0.6:
                self.busy[name] = {b for b in self.busy[name] if rng.random() < 0.5}
            for b in self.was:
                if b not in self.known[name] and rng.random() < 0.2:
                    self.busy[name].add(b)
            if rng.random() < 0.7:
                quiet = tuple(sorted(self.busy[name] & self.known[name]))
                count = self.reports[name].sequence + 1
                self.reports[name] = BalancerReport(self.heard[name], quiet, 50.0, 49.0, count)
                self.ages[name] = 0.0
        for box in self.roll.upstreams:
            if box.phase is Phase.DRAINED and not self.restarts[box.name] and rng.random() < 0.3:
                self.down.add(box.number)
                self.restarts[box.name] = 1
            elif box.number in self.down and rng.random() < 0.5:
                self.down.discard(box.number)
                self.started[box.number] = self.now


@pytest.mark.parametrize("seed", range(60))
def test_whatever_dies_and_when_no_box_is_out_twice_none_forgotten_and_never_too_many(
    seed: int,
) -> None:
    fleet = Fleet(seed)
    late: list[tuple[tuple[int, int], RollingRestart, frozenset[str] | None]] = []
    for _ in range(2000):
        fleet.happen()
        for owner in range(
            fleet.rng.choice([1, 1, 1, 2])
        ):  # two believe that they own it, now and then
            read = fleet.roll_version, fleet.version
            step = next_step(fleet.roll, fleet.view())
            if step is None:
                continue
            chance = fleet.rng.random()
            if owner or chance < 0.15:
                late.append(
                    (read, step.restart, step.disabled)
                )  # it stops ahead of its write, and wakes late
            elif chance < 0.9:
                fleet.write(read, step.restart, step.disabled)
        if late and fleet.rng.random() < 0.2:
            fleet.write(*late.pop(0))
        if fleet.roll.state is State.ENDED:
            break
    assert fleet.roll.state is State.ENDED and not fleet.disabled, explain_wait(
        fleet.roll, fleet.view()
    )
    assert all(b.phase is Phase.DONE for b in fleet.roll.upstreams)


def test_a_silent_balancer_holds_it_up_and_in_time_stops_it() -> None:
    r = roll(2)
    silent = view(
        r,
        balancers={
            "one": ObservedReport(BalancerReport(1, (), 50.0, 49.0, 1), 0.5, True),
            "two": ObservedReport(BalancerReport(1, (), 50.0, 49.0, 1), 0.5, False),
        },
    )
    assert next_step(r, silent) is None and "balancer two is silent" in explain_wait(r, silent)
    step = next_step(r, silent, PATIENCE_S + 1)
    assert step is not None and step.restart.state is State.PAUSED and step.disabled is None
    old = view(
        r, balancers={"one": ObservedReport(BalancerReport(1, (), 50.0, 49.0, 1), 11.0, True)}
    )
    assert next_step(r, old) is None
    assert next_step(r, view(r, list_age_s=11.0)) is None


def test_it_stops_by_itself_when_service_falls_and_goes_on_with_what_is_out() -> None:
    r = roll(3, success_ratio=0.98)
    fallen = view(
        r, balancers={"one": ObservedReport(BalancerReport(1, (), 50.0, 40.0, 1), 0.5, True)}
    )
    step = next_step(r, fallen)
    assert (
        step is not None
        and step.restart.state is State.PAUSED
        and "80.0% of attempts" in step.restart.pause_reason
    )
    box = msgspec.structs.replace(
        r.upstreams[0], phase=Phase.DRAINED, since_ms=999_000, previous_start_s=100.0
    )
    paused = msgspec.structs.replace(r, state=State.PAUSED, upstreams=(box, *r.upstreams[1:]))
    boxes = {**fallen.upstreams, 0: ListedUpstream("b", 500.0, True)}
    step = next_step(paused, replace(fallen, disabled=frozenset({"box-0"}), upstreams=boxes))
    assert (
        step is not None
        and step.disabled == frozenset()
        and step.restart.upstreams[0].phase is Phase.WARMING_UP
    )


def test_what_is_out_for_any_reason_counts() -> None:
    r = roll(3, success_ratio=0.98)
    drained = {**view(r).upstreams, 7: ListedUpstream("a", 100.0, False)}
    assert next_step(r, view(r, upstreams=drained)) is None
    assert next_step(r, view(r, disabled=frozenset({"another"}))) is None
    assert "1 of 8 upstreams are out of use" in explain_wait(r, view(r, upstreams=drained))
    most = msgspec.structs.replace(r, max_unavailable=8, min_available=0.95)
    assert next_step(most, view(most)) is None and "95% must stay" in explain_wait(most, view(most))


def test_an_abort_puts_back_what_the_roll_took_and_nothing_else() -> None:
    r = roll(2, state=State.ABORTING)
    box = msgspec.structs.replace(r.upstreams[0], phase=Phase.DRAINING)
    r = msgspec.structs.replace(r, upstreams=(box, r.upstreams[1]))
    step = next_step(r, view(r, disabled=frozenset({"box-0", "by-hand"})))
    assert (
        step is not None
        and step.disabled == frozenset({"by-hand"})
        and step.restart.state is State.ENDED
    )


def test_a_box_that_an_operator_put_back_meanwhile_stops_the_roll() -> None:
    box = msgspec.structs.replace(roll(1).upstreams[0], phase=Phase.DRAINING, since_ms=999_500)
    r = roll(1, success_ratio=0.98, upstreams=(box,))
    busy = view(
        r,
        balancers={"one": ObservedReport(BalancerReport(1, ("box-0",), 50.0, 49.0, 1), 0.5, True)},
    )
    step = next_step(r, busy)
    assert (
        step is not None
        and step.restart.state is State.PAUSED
        and "box-0 was enabled" in step.restart.pause_reason
    )


@pytest.mark.parametrize(
    ("r", "why"),
    [
        (roll(0), "1 to 1000 upstreams"),
        (roll(2, max_unavailable=0), "at least one"),
        (roll(1, upstreams=(UpstreamRestart("a", 1), UpstreamRestart("a", 1))), "a is named twice"),
    ],
)
def test_a_roll_that_cant_be_is_told_in_one_line(r: RollingRestart, why: str) -> None:
    assert why in find_error(r)


# ---- who asks discovery --------------------------------------------------------------------------


@pytest.mark.parametrize("count", [8, 40, 200])
def test_where_the_owner_is_silent_all_together_ask_no_more_than_is_allowed(count: int) -> None:
    followers = [EndpointSource(count, random.Random(i), 0) for i in range(count)]
    for follower in followers:
        follower.learn_committed(FencingPosition(1, 1), 0)
        assert follower.accept_list(FencingPosition(1, 1), 0)
    calls = [0] * 60
    for ms in range(0, 60_000, 50):
        for follower in followers:
            calls[ms // 1000] += follower.take_due_poll(ms * SECOND // 1000)
    assert sum(calls[: LEADER_TIMEOUT_NS // SECOND]) == 0, (
        "nobody asks while the owner's word is fresh"
    )
    assert max(calls) <= 2.5 * max(FLEET_POLLS_PER_S, count / 10 if count < 10 else 0) + 3
    assert sum(calls[30:]) / 30 <= 1.3 * FLEET_POLLS_PER_S, "in the long run"
    assert sum(calls[30:]) > 0, "and they do ask"
    for follower in followers:
        follower.confirm(FencingPosition(1, 1), 1, 60 * SECOND)
    assert not any(f.take_due_poll(61 * SECOND) for f in followers)


def test_an_older_word_or_one_before_the_majority_was_heard_is_not_gone_by() -> None:
    follower = EndpointSource(8, random.Random(1), 0)
    assert not follower.accept_list(FencingPosition(3, 1), 0)
    follower.learn_committed(FencingPosition(5, 2), 0)
    assert not follower.accept_list(FencingPosition(4, 9), 0) and not follower.accept_list(
        FencingPosition(5, 1), 0
    )
    assert follower.accept_list(FencingPosition(5, 2), 0) and follower.accept_list(
        FencingPosition(6, 1), 0
    )


def test_a_balancer_that_knows_of_no_box_does_not_wait_long() -> None:
    follower = EndpointSource(8, random.Random(1), 0)
    first = next(ms for ms in range(0, 20_000, 10) if follower.take_due_poll(ms * 1_000_000))
    assert first <= 760


# ---- a box's own door, which checks no token -----------------------------------------------------


def test_a_box_is_asked_only_by_who_wrote_so_and_by_the_next_owner_only_after_a_leases_time() -> (
    None
):
    quiet = msgspec.structs.replace(UpstreamRestart("box-0", 0), phase=Phase.DRAINED)
    r = msgspec.structs.replace(roll(1), upstreams=(quiet,), restart_path="/restart")
    assert pending_requests(r, 5) == []  # nothing is done that the store does not say first
    step = announce_requests(r, 5, 0.0, 10.0)
    assert (
        step is not None
        and step.disabled is None
        and announce_requests(step.restart, 5, 99.0, 10.0) is None
    )
    assert [b.name for b in pending_requests(step.restart, 5)] == ["box-0"] and pending_requests(
        step.restart, 6
    ) == []
    assert announce_requests(step.restart, 6, 9.9, 10.0) is None
    later = announce_requests(step.restart, 6, 10.0, 10.0)
    assert (
        later is not None
        and pending_requests(later.restart, 5) == []
        and pending_requests(later.restart, 6) != []
    )
    assert restart_name(later.restart, later.restart.upstreams[0]) == restart_name(
        r, quiet
    )  # the same act, whoever asks
    aborting = msgspec.structs.replace(later.restart, state=State.ABORTING)
    assert (
        pending_requests(aborting, 6) == [] and announce_requests(aborting, 7, 99.0, 10.0) is None
    )
    assert announce_requests(msgspec.structs.replace(r, restart_path=""), 5, 99.0, 10.0) is None
    assert "is no path" in find_error(msgspec.structs.replace(r, restart_path="/a b\r\nX: y"))


def test_boxes_behind_translation_are_shared_as_all_know_them_and_dialled_as_from_here() -> None:
    address_map = AddressMap({"10.0.0.1:80": "127.0.0.1:9001"})
    known = [Endpoint(api.Upstream(n), host, 80) for n, host in enumerate(("10.0.0.1", "10.0.0.2"))]
    here = address_map.to_dialed(known)
    assert [(e.host, e.port) for e in here] == [("127.0.0.1", 9001), ("10.0.0.2", 80)]
    assert address_map.to_canonical(here) == known and address_map.dialed_address(
        ("10.0.0.1", 80)
    ) == ("127.0.0.1", 9001)

"""Connections to upstreams, and what discovery and other balancers tell."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace
from typing import Any

import pytest

from loadbalancer.policy import Balancer, api
from loadbalancer.proxy import discovery, discovery_watch, policy_driver, process
from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.proxy.endpoint_list import read_endpoint
from loadbalancer.proxy.messages import message
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import Timing, Upstreams
from loadbalancer.settings import MalformedError, split_address
from loadbalancer.wallclock import StartTimes
from tests.fakes import (
    SECOND,
    SETTINGS,
    EventRecorder,
    FakeUpstream,
    never_respond,
    run,
    running_balancer,
)


def test_connections_are_kept_and_a_stale_one_is_not_used(recorder: EventRecorder) -> None:
    async def test() -> None:
        async with running_balancer() as w:
            upstream = w.upstreams[0]
            for name in ("r1", "r2"):
                assert (await w.ask(name)).status == 200
            assert [m.connection_number for m in upstream.received_requests] == [1, 1]
            upstream.abort_connections()
            await upstream.until(lambda: upstream.peer_closed_count == 1)
            assert (await w.ask("r3")).status == 200
            assert upstream.received_requests[-1].connection_number == 2
            assert recorder.results() == [api.AttemptResult.OK] * 3

    run(test())


def test_idle_connections_go_before_the_upstream_closes_them() -> None:
    async def test() -> None:
        limits = replace(SETTINGS.limits, conn_idle_ns=SECOND // 5)
        async with running_balancer(settings=replace(SETTINGS, limits=limits)) as w:
            assert (await w.ask("r1")).status == 200
            await w.upstreams[0].until(lambda: w.upstreams[0].peer_closed_count == 1)

    run(test())


@pytest.mark.parametrize("change", ["drain", "restart", "gone"])
def test_what_drains_restarts_or_goes_loses_its_idle_connections(change: str) -> None:
    async def test() -> None:
        async with running_balancer(2) as w:
            upstream, other = w.upstreams
            while not upstream.received_requests:  # the module picks at random
                assert (await w.ask(f"r{len(other.received_requests)}")).status == 200
            row = {
                "drain": upstream.row("Terminating"),
                "gone": upstream.row("Gone"),
                "restart": upstream.row("Ready", int(time.time() * 1000)),
            }[change]
            await w.update_endpoints(row)
            await upstream.until(lambda: upstream.peer_closed_count == len(upstream.connections))
            count = len(upstream.received_requests)
            for number in range(8):
                assert (await w.ask(f"n{number}")).status == 200
            assert change == "restart" or len(upstream.received_requests) == count

    run(test())


def test_an_outage_keeps_the_old_list_and_what_changed_comes_after_it(
    recorder: EventRecorder,
) -> None:
    async def test() -> None:
        async with running_balancer(2) as w:
            await w.wait_for_endpoint_list()
            w.discovery.down = True
            w.discovery.abort_connections()
            gone, stays = w.upstreams
            assert (await w.ask("r1")).status == 200
            w.discovery.change(gone.row("Gone"))
            asked = len(w.discovery.received_requests)
            await w.discovery.until(
                lambda: len(w.discovery.received_requests) > asked + 1
            )  # it tries again, and again
            w.discovery.down = False
            await w.wait_for_endpoint_list()
            first, last = recorder.of_type(api.EndpointsUpdated)
            assert (first.kind, last.kind) == (
                api.EndpointListKind.CACHED,
                api.EndpointListKind.DELTA,
            )
            assert [(u.id, u.state) for u in last.upstreams] == [
                (upstream_number(gone.name), api.UpstreamState.REMOVED)
            ]
            assert (await w.ask("r2")).body == stays.name.encode()

    run(test())


@pytest.mark.parametrize("push", [True, False])
def test_a_watch_that_fell_silent_is_given_up_before_its_changes_count_as_told(
    push: bool, monkeypatch: pytest.MonkeyPatch, recorder: EventRecorder
) -> None:
    most_ms = discovery_watch.PollSchedule.for_fleet(1).max_hold_ms
    assert most_ms / 1000 + discovery_watch.ANSWER_GRACE_S < 6
    monkeypatch.setattr(discovery_watch, "MIN_MEAN_HOLD_MS", 100)
    monkeypatch.setattr(discovery_watch, "MIN_HOLD_MS", 100)
    monkeypatch.setattr(discovery_watch, "SPREAD_PER_BALANCER_MS", 0)
    monkeypatch.setattr(discovery_watch, "CATCH_UP_HOLD_MS", 50)
    monkeypatch.setattr(discovery_watch, "ANSWER_GRACE_S", 0.1)

    async def test() -> None:
        async with running_balancer(2, settings=replace(SETTINGS, discovery_push=push)) as w:
            w.discovery.max_answered_wait_ms = 60  # a held watch hears nothing, nor of what changes
            await w.discovery.until(
                lambda: any(
                    int(m.start_line[1].rpartition("=")[2]) > 60
                    for m in w.discovery.received_requests
                )
            )
            gone, stays = w.upstreams
            w.discovery.change(gone.row("Gone"))
            await recorder.until(
                lambda: any(
                    [(u.id, u.state) for u in e.upstreams]
                    == [(upstream_number(gone.name), api.UpstreamState.REMOVED)]
                    for e in recorder.of_type(api.EndpointsUpdated)
                )
            )
            assert api.EndpointListKind.FAILED not in [
                e.kind for e in recorder.of_type(api.EndpointsUpdated)
            ]  # no pause before it
            assert all("from=" in m.start_line[1] for m in w.discovery.received_requests)
            assert (await w.ask("r1")).body == stays.name.encode()

    run(test())


@pytest.mark.parametrize("push", [True, False])
def test_by_a_list_that_is_older_than_its_term_nothing_is_sent(
    push: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What a silent watch hid counts as told by then: one of the upstreams may drain, and none
    tells.
    """
    for name, value in (
        ("MIN_MEAN_HOLD_MS", 100),
        ("MIN_HOLD_MS", 100),
        ("SPREAD_PER_BALANCER_MS", 0),
        ("CHANGE_DEADLINE_S", 0.3),
        ("HOLD_DEADLINE_S", 0.1),
        ("ANSWER_GRACE_S", 0.1),
        ("CHECK_TIMEOUT_S", 0.1),
    ):
        monkeypatch.setattr(discovery_watch, name, value)

    async def test() -> None:
        rules = replace(SETTINGS.rules, drain_grace_ns=SECOND // 2)
        async with running_balancer(
            settings=replace(SETTINGS, discovery_push=push, rules=rules)
        ) as w:
            await w.wait_for_endpoint_list()
            w.discovery.silent = True
            answers = []
            for number in range(60):
                answers.append((await w.ask(f"r{number}", X_Deadline_Ms=100)).status)
                if answers[-1] != 200:
                    break
                await asyncio.sleep(0.05)
            assert answers[0] == 200 and answers[-1] == 503
            sent = len(w.upstreams[0].received_requests)
            assert (await w.ask("again", X_Deadline_Ms=100)).status == 503
            assert len(w.upstreams[0].received_requests) == sent
            w.discovery.silent = False
            w.discovery.change(w.upstreams[0].row())
            await w.wait_for_endpoint_list()
            assert (await w.ask("last")).status == 200

    run(test())


def test_a_known_endpoint_list_is_updated_by_its_changes_also_after_rejected_calls(
    recorder: EventRecorder,
) -> None:
    """Forty balancers that each ask for sixty lines at a start, and again after each 503, leave
    discovery no time: seen in a release, where none of them heard of a change for ten seconds.
    """

    async def test() -> None:
        async with running_balancer(2) as w:
            await w.wait_for_endpoint_list()
            w.discovery.busy = True
            gone, stays = w.upstreams
            w.discovery.change(stays.row())  # ends the call that waits
            asked = len(w.discovery.received_requests)
            await w.discovery.until(lambda: len(w.discovery.received_requests) > asked + 1)
            w.discovery.busy = False
            await w.update_endpoints(gone.row("Gone"))
            assert all("from=" in m.start_line[1] for m in w.discovery.received_requests)
            assert [
                e.kind
                for e in recorder.of_type(api.EndpointsUpdated)
                if e.kind is api.EndpointListKind.FULL
            ] == []
            assert (await w.ask("r1")).body == stays.name.encode()

    run(test())


def test_the_calls_of_a_large_fleet_are_fewer(recorder: EventRecorder) -> None:
    async def test() -> None:
        for balancers, calls_s in ((1, 0.3), (4, 1.1), (40, 4.1), (400, 21.0)):
            driver = Driver(
                replace(SETTINGS, instance_count=balancers),
                1,
                Upstreams(SETTINGS.limits, 4, (), BodyMemory(1)),
            )
            watch = discovery.Discovery(driver, ("127.0.0.1", 1), 1)
            assert balancers / (watch.watch.mean_hold_ms / 1000) < calls_s
            assert watch.watch.schedule.pause_s < 0.2  # a watch that pauses longer has ended

    run(test())


def test_where_discovery_is_asked_a_failed_call_is_told_and_the_module_asks_again(
    recorder: EventRecorder,
) -> None:
    async def test() -> None:
        settings = replace(
            SETTINGS, discovery_push=False, rules=api.TrafficRules(list_expiry_ns=SECOND // 2)
        )
        async with running_balancer(settings=settings) as w:
            w.discovery.down = True
            await recorder.until(
                lambda: (
                    api.EndpointListKind.FAILED
                    in [e.kind for e in recorder.of_type(api.EndpointsUpdated)]
                )
            )
            w.discovery.down = False
            await w.wait_for_endpoint_list()
            assert (await w.ask("r1")).status == 200

    run(test())


def test_a_list_entry() -> None:
    now_ms = time.time_ns() // 1_000_000
    row = {
        "id": "s-5be2a07c",
        "addr": "127.0.0.9:8000",
        "state": "Ready",
        "started_ms": now_ms - 5000,
    }
    first, again = read_endpoint(row), read_endpoint(row)
    assert first == again and (first.host, first.port) == ("127.0.0.9", 8000)
    # The module's clock is monotonic: five seconds ago by it, too.
    now = time.monotonic_ns()
    assert abs(now - StartTimes().started_ns(1, first.started_ms, now) - 5 * SECOND) < SECOND
    assert StartTimes().started_ns(1, read_endpoint({**row, "started_ms": 0}).started_ms, now) == 0
    # Balancers must compute the same number, now and in any later version.
    assert upstream_number("s-5be2a07c") == first.entry.id == 9587356208999800076
    odd = [
        {**row, key: value}
        for key in ("started_ms", "weight")
        for value in (float("inf"), float("nan"))
    ]
    addresses = [{**row, "addr": text} for text in ("nowhere", "a.host:80", "127.0.0.1:99999")]
    for bad in (
        *odd,
        *addresses,
        {**row, "started_ms": -1},
        {**row, "state": "Odd"},
        {"addr": "127.0.0.1:1"},
        7,
    ):
        with pytest.raises(MalformedError):
            read_endpoint(bad)
    assert split_address("[::1]:80") == ("::1", 80)


def test_peers(recorder: EventRecorder) -> None:
    async def test() -> None:
        with (
            socket.socket(type=socket.SOCK_DGRAM) as peer,
            socket.socket(type=socket.SOCK_DGRAM) as odd,
            socket.socket(type=socket.SOCK_DGRAM) as own,
        ):
            for sock in (peer, odd, own):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            address = own.getsockname()
            own.close()
            async with running_balancer(
                peer_listen=address,
                peers=[address, peer.getsockname()],
                peers_all=peer.getsockname(),
            ):
                await recorder.until(lambda: recorder.of_type(api.EndpointsUpdated))
                odd.sendto(b"from nobody", address)
                peer.sendto(b"x" * 300, address)
                peer.sendto(b"hello", address)
                await recorder.until(lambda: recorder.of_type(api.GossipReceived))
                assert recorder.of_type(api.GossipReceived) == [api.GossipReceived(1, b"hello")]

    run(test())


def test_a_message_is_told_to_one_peer_or_all(monkeypatch: pytest.MonkeyPatch) -> None:
    class Teller(Balancer):
        def handle(self, now: int, events: object) -> list[api.Action]:
            return [api.SendGossip(b"one", 0), api.SendGossip(b"all")]

    monkeypatch.setattr(policy_driver, "Balancer", Teller)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with (
            socket.socket(type=socket.SOCK_DGRAM) as peer,
            socket.socket(type=socket.SOCK_DGRAM) as everyone,
        ):
            for sock in (peer, everyone):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            async with running_balancer(
                peer_listen=("127.0.0.1", 0),
                peers=[peer.getsockname()],
                peers_all=everyone.getsockname(),
            ):
                assert await loop.sock_recv(peer, 300) == b"one"
                assert await loop.sock_recv(everyone, 300) == b"all"

    run(test())


def test_an_answer_of_discovery_that_nobody_foresaw_does_not_end_the_watch(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with running_balancer(2) as w:
            await w.wait_for_endpoint_list()

            def fails(*args: object) -> None:
                monkeypatch.undo()
                raise ZeroDivisionError

            monkeypatch.setattr(policy_driver.Driver, "learn", fails)
            gone, stays = w.upstreams
            w.discovery.change(gone.row("Gone"))
            await w.wait_for_endpoint_list()  # it has come back, and begun with the whole list
            assert (await w.ask("r1")).body == stays.name.encode()
        assert "ZeroDivisionError" in caplog.text

    run(test())


def test_churn_leaves_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    built: list[Driver] = []

    def build(*args: Any) -> Driver:
        built.append(Driver(*args))
        return built[-1]

    monkeypatch.setattr(process, "Driver", build)

    async def test() -> None:
        async with running_balancer() as w:
            upstream = w.upstreams[0]
            for number in range(30):  # ever new ids at one address, each with its own connections
                assert (await w.ask(f"r{number}", obj=number)).status == 200
                before, upstream.name = upstream.row("Gone"), f"new-{number}"
                await w.update_endpoints(before, upstream.row())
            (balancer,) = built
            await upstream.until(lambda: upstream.peer_closed_count >= 30)
            assert (await w.ask("last")).status == 200
            assert (
                len(balancer.upstreams.targets)
                == len(balancer.balancer.upstream_set.upstreams)
                == 1
            )
            assert (
                balancer.upstreams.connections_open <= 2 and not balancer.upstreams.pool.connecting
            )
            assert not balancer.requests and not balancer.open and not balancer.balancer.requests

    run(test())


def test_with_no_connection_to_spare_no_upstream_is_blamed() -> None:
    async def test() -> None:
        upstream = FakeUpstream("s-0")
        upstream.script = [never_respond]
        await upstream.start()
        upstreams = Upstreams(SETTINGS.limits, 1, (), BodyMemory(1024))
        upstreams.learn([read_endpoint(upstream.row())], full=True)
        ended: asyncio.Queue[api.AttemptResult] = asyncio.Queue()
        request = message(b"GET /quote HTTP/1.1", [(b"Host", b"h")])
        for seconds in (0.3, 5.0):
            upstreams.send(
                upstream_number("s-0"),
                request,
                lambda result, *rest: ended.put_nowait(result),
                Timing(seconds),
            )
        assert [await ended.get(), await ended.get()] == [
            api.AttemptResult.NOT_SENT,
            api.AttemptResult.TIMEOUT,
        ]
        upstreams.close()
        upstream.stop()

    run(test())

"""Races between polls, endpoint lists and changes of discovery; see `docs/design/races.md`."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from loadbalancer.policy import api, subscription
from loadbalancer.proxy import (
    discovery,
    discovery_watch,
    endpoint_list,
)
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.proxy.frontend import Frontend
from tests.bench import MS, PolicyHarness, of_type, settings
from tests.fakes import (
    SECOND,
    SETTINGS,
    EventRecorder,
    FakeDiscovery,
    run,
    running_balancer,
)

FLEET_SETTINGS = replace(SETTINGS, instance_count=200)  # polls have a hold of 20 s


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("failure", ["rejected", "reset", "timed out"])
def test_change_after_failed_poll_is_applied_whatever_the_next_hold(
    failure: str, push: bool, recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change after a failed poll is delivered within 6 s, whatever the hold of the next poll.

    The poll after a failed one had a hold of 20 s. If discovery stopped answering during that poll,
    all changes meanwhile were missed.
    """
    backoff_s = max(discovery_watch.MAX_BACKOFF_S, subscription.MAX_BACKOFF_NS / SECOND)
    assert (
        backoff_s
        + max(
            2 * discovery_watch.POLL_TIMEOUT_S,
            discovery_watch.CATCH_UP_HOLD_MS / 1000 + discovery_watch.ANSWER_GRACE_S,
        )
        <= discovery_watch.CHANGE_DEADLINE_S
    )
    monkeypatch.setattr(discovery, "POLL_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with running_balancer(
            2, settings=replace(FLEET_SETTINGS, discovery_push=push)
        ) as harness:
            fake_discovery = harness.discovery
            await harness.wait_for_endpoint_list()
            fake_discovery.busy, fake_discovery.down = failure == "rejected", failure == "reset"
            fake_discovery.silent = failure == "timed out"
            poll_count = len(fake_discovery.received_requests)
            if failure == "rejected":
                fake_discovery.change(harness.upstreams[0].row())  # ends the poll in flight
            else:
                fake_discovery.abort_connections()
            await fake_discovery.until(
                lambda: len(fake_discovery.received_requests) > poll_count + 1
            )
            (
                fake_discovery.max_answered_wait_ms,
                fake_discovery.busy,
                fake_discovery.down,
                fake_discovery.silent,
            ) = (
                discovery_watch.CATCH_UP_HOLD_MS,
                False,
                False,
                False,
            )
            fake_discovery.change(harness.upstreams[1].row("Gone"))
            removed_upstream = upstream_number(harness.upstreams[1].name)

            def is_removal_delivered() -> bool:
                [last_update] = recorder.of_type(api.EndpointsUpdated)[-1:]
                return (
                    last_update.kind is api.EndpointListKind.FULL
                    and removed_upstream not in [u.id for u in last_update.upstreams]
                    or last_update.kind is api.EndpointListKind.DELTA
                    and removed_upstream in [u.id for u in last_update.upstreams]
                )

            await asyncio.wait_for(recorder.until(is_removal_delivered), 6.0)

    run(test())


def test_address_change_does_not_wait_for_backoff(
    frontends: list[Frontend], recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change of discovery's address does not wait for the backoff after a failed poll.

    After a switch to another address (SIGHUP), the list from the new address must be in force
    within 4 s.
    """
    monkeypatch.setattr(subscription, "MAX_BACKOFF_NS", 1000 * SECOND)

    async def test() -> None:
        rules = replace(FLEET_SETTINGS.rules, list_expiry_ns=1000 * SECOND)
        async with running_balancer(
            2, settings=replace(FLEET_SETTINGS, discovery_push=False, rules=rules)
        ) as harness:
            harness.discovery.down = True
            monkeypatch.setattr(subscription, "SPREAD_NS", 0)
            monkeypatch.setattr(subscription, "SPREAD_WITHOUT_UPSTREAMS_NS", 0)
            await recorder.until(
                lambda: (
                    api.EndpointListKind.FAILED
                    in [e.kind for e in recorder.of_type(api.EndpointsUpdated)]
                )
            )
            discovery_client = frontends[0].driver.discovery
            assert isinstance(discovery_client, discovery.Discovery)
            other_discovery = FakeDiscovery([harness.upstreams[1].row()])
            await other_discovery.start()
            discovery_client.change_address(other_discovery.address)
            await asyncio.wait_for(
                recorder.until(
                    lambda: [
                        e
                        for e in recorder.of_type(api.EndpointsUpdated)
                        if e.kind is api.EndpointListKind.FULL
                    ]
                ),
                4.0,
            )
            other_discovery.stop()

    run(test())


def test_policy_subscribes_again_within_max_backoff() -> None:
    """Without push, the policy subscribes again within its maximum backoff after each failure."""
    policy_harness = PolicyHarness(settings(discovery_push=False))
    for _ in range(12):
        policy_harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FAILED, []))
        failed_at_ns = policy_harness.now
        while not of_type(api.SubscribeEndpoints, policy_harness.advance(10 * MS)):
            assert policy_harness.now - failed_at_ns <= subscription.MAX_BACKOFF_NS + 20 * MS


def test_fetched_list_does_not_wait_for_watch_poll(
    recorder: EventRecorder, frontends: list[Frontend]
) -> None:
    """A list fetched in addition to the watch does not wait for the watch's poll.

    The fetch waited for the only connection, and so for the hold of the poll in flight.
    """

    async def test() -> None:
        async with running_balancer(2, settings=FLEET_SETTINGS) as harness:
            await harness.wait_for_endpoint_list()
            discovery_client = frontends[0].driver.discovery
            assert discovery_client is not None
            harness.discovery.rows.pop()  # without a new version, so the watch reports nothing
            discovery_client.fetch()
            await asyncio.wait_for(
                recorder.until(
                    lambda: [
                        e.kind
                        for e in recorder.of_type(api.EndpointsUpdated)
                        if len(e.upstreams) == 1
                    ]
                ),
                6.0,
            )
            await harness.update_endpoints(
                harness.upstreams[0].row("Terminating")
            )  # the watch is still in force

    run(test())


def test_answer_of_old_address_after_address_change_is_ignored(
    frontends: list[Frontend], recorder: EventRecorder
) -> None:
    """An answer from the old discovery address that is read after an address change is ignored."""

    async def test() -> None:
        async with running_balancer(2) as harness:
            await harness.discovery.until(
                lambda: any(
                    "from=1&" in m.start_line[1] and "hold_ms=0" not in m.start_line[1]
                    for m in harness.discovery.received_requests
                )
            )
            discovery_client = frontends[0].driver.discovery
            assert isinstance(discovery_client, discovery.Discovery)
            other_discovery = FakeDiscovery([harness.upstreams[1].row()])
            await other_discovery.start()
            # The old address's answer has been written but not read when the address changes.
            harness.discovery.change(harness.upstreams[0].row("Terminating"))
            while not discovery_client.connection or discovery_client.connection.reusable:
                await asyncio.sleep(0)
            discovery_client.change_address(other_discovery.address)
            await other_discovery.until(
                lambda: any("from=1&" in m.start_line[1] for m in other_discovery.received_requests)
            )
            assert [e.kind for e in recorder.of_type(api.EndpointsUpdated)] == [
                api.EndpointListKind.CACHED,
                api.EndpointListKind.FULL,
            ]
            other_discovery.stop()

    run(test())


def test_invalid_entries_are_logged_in_one_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Invalid entries of a list are skipped and logged in one line, however many they are."""
    invalid_rows = [{"id": f"s-{n}", "addr": "a.host:80"} for n in range(1000)]
    valid_row = {"id": "s-0", "addr": "127.0.0.1:80"}
    version, full, endpoints = endpoint_list.read_list(
        {"version": 1, "servers": [*invalid_rows, valid_row]}
    )
    assert (version, full, len(endpoints), len(caplog.records)) == (1, False, 1, 1)

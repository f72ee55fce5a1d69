"""Tests of the admin API, and of the upstreams that operators disable with it."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import admin_api
from loadbalancer.proxy.admin_api import MAX_CALLS, CallDeclinedError
from loadbalancer.proxy.disabled_upstreams import FILE, DisabledUpstreams
from loadbalancer.proxy.listener import listening_socket
from loadbalancer.proxy.process_handover import ProcessNote, ProcessRegistry
from tests.fakes import BalancerHarness, Client, EventRecorder, Message, run, running_balancer

Address = tuple[str, int]


@asynccontextmanager
async def balancer_with_admin_api(
    count: int = 2, **config: Any
) -> AsyncIterator[tuple[BalancerHarness, Address]]:
    """Run a balancer with an admin API, and yield its harness and the address of the API."""
    listener = listening_socket(("127.0.0.1", 0))
    listener.listen()  # calls wait in the accept queue until the balancer runs
    address = listener.getsockname()
    async with running_balancer(count, door=listener, **config) as harness:
        yield harness, address


async def call(address: Address, path: str, method: str = "POST") -> Message:
    """Call the admin API on a new connection, which must be closed after the response."""
    client = await Client.connect(address)
    response = await client.send_raw(
        f"{method} {path} HTTP/1.1\r\nHost: mgmt\r\nContent-Length: 0\r\n\r\n".encode()
    )
    assert response.headers["connection"] == "close"
    await client.expect_eof()
    client.close()
    return response


def test_metrics_call_counts_requests_and_lists() -> None:
    async def test() -> None:
        async with balancer_with_admin_api() as (harness, admin_address):
            assert (await harness.ask("r1")).status == 200
            metrics = await call(admin_address, "/-/metrics", "GET")
            assert metrics.status == 200
            rows = metrics.body.decode().splitlines()
            assert 'loadbalancer_upstream_state_changes_total{state="ready"} 2' in rows
            assert "# TYPE loadbalancer_requests_given_up_total counter" in rows
            assert (await call(admin_address, "/-/metrics")).status == 405

    run(test())


def test_valid_calls_succeed_and_invalid_ones_are_rejected() -> None:
    """Guards against wrong methods, paths, names and malformed requests that have an effect."""

    async def test() -> None:
        async with balancer_with_admin_api() as (harness, admin_address):
            assert (await harness.ask("r1")).status == 200
            assert (await call(admin_address, "/-/ready", "GET")).status == 200
            assert (await call(admin_address, "/-/ready")).status == 405
            assert (await call(admin_address, "/-/upstreams/s-0/disable", "GET")).headers[
                "allow"
            ] == "POST"
            assert (await call(admin_address, "/-/upstreams/s-9/disable")).status == 404
            assert (await call(admin_address, "/-/upstreams/s-9/enable")).status == 404
            for path in (
                "/",
                "/ready",
                "/-/upstreams//disable",
                "/-/upstreams/s-0/restart",
                "/-/drain",
            ):
                assert (await call(admin_address, path)).status == 404, path
            for junk in (
                b"\x00\x01\r\n\r\n",
                b"GET /-/ready HTTP/1.1\r\n\r\n",
                b"POST /-/ready HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n",
            ):
                client = await Client.connect(admin_address)
                assert (await client.send_raw(junk)).status == 400
                await client.expect_eof()
            partial_client = await Client.connect(admin_address)
            partial_client.writer.write(b"GET /-/re")
            partial_client.writer.write_eof()
            assert b"400" in await partial_client.reader.readline()

    run(test())


def test_not_ready_without_an_upstream() -> None:
    """Guards against traffic to a balancer that can only respond with errors."""

    async def test() -> None:
        async with balancer_with_admin_api(1) as (harness, admin_address):
            await harness.update_endpoints(harness.upstreams[0].row("Terminating"))
            assert (await call(admin_address, "/-/ready", "GET")).status == 503

    run(test())


def test_silent_callers_time_out_without_blocking_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections without a call that block the API for operators."""
    monkeypatch.setattr(admin_api, "CALL_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with balancer_with_admin_api() as (_, admin_address):
            silent = [await Client.connect(admin_address) for _ in range(3 * MAX_CALLS)]
            assert (await call(admin_address, "/-/ready", "GET")).status == 200
            for client in silent:
                await client.expect_eof()
            partial_client = await Client.connect(admin_address)
            assert (await partial_client.send_raw(b"GET /-/ready HTTP/1.1\r\n")).status == 408

    run(test())


def test_disabled_upstream_gets_no_attempts_whatever_the_list_says(recorder: EventRecorder) -> None:
    """Guards against an upstream that is enabled by a restart, or by a return to the list."""

    async def test() -> None:
        async with balancer_with_admin_api() as (harness, admin_address):
            first, second = harness.upstreams
            for _ in range(2):  # the call is idempotent
                assert (await call(admin_address, "/-/upstreams/s-0/disable")).status == 200
            assert recorder.of_type(api.UpstreamDisabled) == [
                api.UpstreamDisabled(recorder.of_type(api.UpstreamDisabled)[0].upstream, True)
            ]
            await harness.update_endpoints(first.row(started_ms=1))
            await harness.update_endpoints(first.row("Gone"))
            await harness.update_endpoints(first.row(started_ms=2))
            for number in range(30):
                assert (await harness.ask(f"r{number}")).body == b"s-1"
            assert not first.received_requests
            assert (await call(admin_address, "/-/upstreams/s-0/enable")).status == 200
            assert (await call(admin_address, "/-/upstreams/s-0/enable")).status == 200
            await harness.update_endpoints(second.row("Terminating"))
            assert (await harness.ask("r30")).body == b"s-0"

    run(test())


def test_disabled_set_survives_restart(tmp_path: Path) -> None:
    """Guards against attempts to a disabled upstream after the process restarts."""

    async def test() -> None:
        async with balancer_with_admin_api(folder=tmp_path) as (_, admin_address):
            assert (await call(admin_address, "/-/upstreams/s-1/disable")).status == 200
        assert json.loads((tmp_path / FILE).read_text())["disabled"] == ["s-1"]
        async with balancer_with_admin_api(folder=tmp_path) as (harness, _):
            for number in range(20):
                assert (await harness.ask(f"r{number}")).body == b"s-0"
            assert not harness.upstreams[1].received_requests
        assert not list(tmp_path.glob("lanelift-process-*"))

    run(test())


class DisableRecorder:
    """Records the changes that a `DisabledUpstreams` applies to the balancer."""

    def __init__(self) -> None:
        self.changes: list[tuple[str, bool]] = []

    def was_listed(self, name: str) -> bool:
        return name.startswith("s-")

    def set_disabled(self, name: str, is_disabled: bool) -> None:
        self.changes.append((name, is_disabled))


def start_disabled_upstreams(
    folder: Path, name: str = "n3"
) -> tuple[DisabledUpstreams, DisableRecorder, ProcessRegistry]:
    """Start the disabled set of one process, with a recorder in place of the balancer."""
    disable_recorder, siblings = DisableRecorder(), ProcessRegistry(folder)
    disabled = DisabledUpstreams(folder, name, siblings, disable_recorder)
    disabled.start()
    return disabled, disable_recorder, siblings


def test_two_processes_apply_the_same_set(tmp_path: Path) -> None:
    """Guards against processes with different sets during a replacement.

    A call to either of them is applied by both before it succeeds.
    """

    async def test() -> None:
        old, old_recorder, old_registry = start_disabled_upstreams(tmp_path)
        new, new_recorder, new_registry = start_disabled_upstreams(tmp_path)
        old_registry.watch()
        new_registry.watch()
        await asyncio.gather(old.disable("s-1"), new.disable("s-2"))
        assert old.names == new.names == {"s-1", "s-2"}
        await new.enable("s-1")
        # The call succeeds only after both processes have applied the change.
        assert (
            old.names == {"s-2"}
            and ("s-1", False) in old_recorder.changes
            and ("s-1", False) in new_recorder.changes
        )
        with pytest.raises(CallDeclinedError):
            await new.disable("unheard-of")
        old_registry.close()
        new_registry.check()
        assert new_registry.is_alone
        await new.enable("s-2")
        new_registry.close()

    run(test())


def test_call_is_declined_until_other_process_confirms(tmp_path: Path) -> None:
    """Guards against success for a change that another process has not applied."""

    async def test() -> None:
        idle_registry = ProcessRegistry(tmp_path)  # never confirms a change
        disabled, disable_recorder, registry = start_disabled_upstreams(tmp_path)
        with pytest.raises(CallDeclinedError):
            await disabled.disable("s-1")
        assert disable_recorder.changes == [("s-1", True)]  # applied in this process nevertheless
        idle_registry.publish(ProcessNote(applied_version=disabled.version))
        await disabled.disable("s-1")
        idle_registry.close()
        registry.close()

    run(test())


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{not json",
        "[]",
        "[" * 100_000,
        json.dumps({"format": 9}),
        json.dumps({"format": 1, "balancer": "n3", "version": "x", "disabled": []}),
        json.dumps({"format": 1, "balancer": "n3", "version": 1, "disabled": [3]}),
        json.dumps({"format": 1, "balancer": "n4", "version": 7, "disabled": ["s-1"]}),
    ],
)
def test_invalid_set_file_is_logged_and_ignored(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a failed start, and against a file that stays invalid."""

    async def test() -> None:
        (tmp_path / FILE).write_text(text)
        disabled, disable_recorder, registry = start_disabled_upstreams(tmp_path)
        assert not disable_recorder.changes and "file of disabled upstreams ignored" in caplog.text
        await disabled.disable("s-2")  # the call replaces the invalid file
        assert json.loads((tmp_path / FILE).read_text())["disabled"] == ["s-2"]
        # A process that has the set in memory restores the file.
        other = tmp_path / "other"
        other.write_text(text)
        os.replace(other, tmp_path / FILE)
        disabled.refresh()
        assert json.loads((tmp_path / FILE).read_text())["disabled"] == ["s-2"]
        assert disable_recorder.changes == [("s-2", True)]
        registry.close()

    run(test())


def test_call_is_declined_when_set_cannot_be_saved(tmp_path: Path) -> None:
    """Guards against success for a change that a restart would lose."""

    async def test() -> None:
        disabled, disable_recorder, registry = start_disabled_upstreams(tmp_path)
        (tmp_path / FILE).mkdir()
        with pytest.raises(CallDeclinedError):
            await disabled.disable("s-1")
        assert disable_recorder.changes == [("s-1", True)]
        registry.close()

    run(test())

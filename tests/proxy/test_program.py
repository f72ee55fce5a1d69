"""Tests of the program as the platform starts it: configuration, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from tests.fakes import (
    Client,
    FakeDiscovery,
    FakeUpstream,
    Message,
    free_port,
    next_problem,
    read_message,
    run,
)

SETTINGS = {
    "profiles": [
        {
            "name": "quote",
            "repeat": "read_like",
            "aim_ns": 2_000_000_000,
            "hard_limit_ns": 2_500_000_000,
        }
    ]
}


def config(**changes: Any) -> dict[str, Any]:
    """Return a valid configuration with these changes."""
    return {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "8c1f",
        "settings": SETTINGS,
        **changes,
    }


@pytest.mark.parametrize(
    "text",
    [
        None,
        "{not json",
        "[]",
        json.dumps(config(listen="nowhere")),
        json.dumps(config(seed="not hex")),
        json.dumps(config(settings={"profiles": [{"name": 3}]})),
        json.dumps(config(settings=None)),
        json.dumps(config(limits={"sockets": 3})),
        json.dumps(config(mgmt="nowhere")),
        json.dumps(config(mgmt=7)),
        json.dumps((configuration := config()) | {"mgmt": configuration["listen"]}),
        json.dumps(config(known={"version": 1})),
    ],
    ids=[
        "missing",
        "not JSON",
        "a list",
        "bad listen address",
        "bad seed",
        "bad class",
        "no settings",
        "too few sockets",
        "bad admin address",
        "admin address of a wrong type",
        "duplicate address",
        "bad known list",
    ],
)
def test_invalid_configuration_prints_one_line_and_exits_with_2(
    tmp_path: Path, text: str | None
) -> None:
    """Guards against tracebacks, and against a start with an invalid configuration."""
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "loadbalancer"],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith("loadbalancer: ") and completed.stderr.count("\n") == 1


def test_unset_configuration_variable_exits_with_2() -> None:
    """Guards against a traceback if BALANCER_CONFIG is not set."""
    environ = {
        name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")
    }
    completed = subprocess.run(
        [sys.executable, "-m", "loadbalancer"],
        capture_output=True,
        text=True,
        timeout=60,
        env=environ,
        check=False,
    )
    assert (completed.returncode, completed.stderr) == (
        2,
        "loadbalancer: BALANCER_CONFIG is not set\n",
    )


@asynccontextmanager
async def running_program(
    path: Path,
    configuration: dict[str, Any],
    preexec: Callable[[], None] | None = None,
    **environ: str,
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the program with this configuration and environment; `preexec` runs in the child."""
    path.write_text(json.dumps(configuration))
    base_environ = {name: value for name, value in os.environ.items() if name != "TMPDIR"}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "loadbalancer",
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=preexec,
        env={**base_environ, "BALANCER_CONFIG": str(path), **environ},
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def listen_address(configuration: dict[str, Any]) -> tuple[str, int]:
    """Return the address for clients in a configuration."""
    return "127.0.0.1", int(configuration["listen"].rpartition(":")[2])


def test_sigterm_drains_open_and_late_requests(tmp_path: Path) -> None:
    """Guards against losing requests at shutdown.

    Open requests are completed, and requests that arrive during the drain are served, on new and on
    idle connections. Each response closes its connection.
    """

    async def test() -> None:
        upstream = FakeUpstream("s-0")
        await upstream.start()
        discovery = FakeDiscovery([upstream.row()])
        await discovery.start()
        may_respond = asyncio.Event()

        async def slow() -> bytes:
            await may_respond.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

        upstream.script = [slow]
        configuration = config(discovery=f"127.0.0.1:{discovery.port}", known=discovery.full_list())
        async with running_program(tmp_path / "config.json", configuration) as process:
            address = listen_address(configuration)
            # After its first poll for changes, the program listens or is about to.
            await discovery.until(
                lambda: any("from=" in m.start_line[1] for m in discovery.received_requests)
            )
            waiting_client, idle_client = await connect(address), await connect(address)
            assert (await idle_client.ask("r", path="/ready")).status == 200
            waiting_client.send("r1")
            await upstream.until(lambda: len(upstream.received_requests) == 1)
            process.send_signal(signal.SIGTERM)
            late_response = await (await connect(address)).ask("r2")  # still accepted
            assert_last_response(late_response, b"s-0")
            ready = await idle_client.ask("r", path="/ready")  # idle connections stay usable
            assert (ready.status, ready.headers["connection"]) == (503, "close")
            may_respond.set()
            assert_last_response(await read_message(waiting_client.reader), b"slow")
            assert await process.wait() == 0
            assert process.stderr is not None
            assert await next_problem(process.stderr) == b""
        upstream.stop()
        discovery.stop()

    run(test())


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_during_exit_does_not_change_exit_status(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    """Guards against exit status -15, which looks like a crash.

    After the event loop was closed, no handler for the signal was installed any more.
    """

    async def test() -> None:
        discovery = FakeDiscovery([])
        await discovery.start()
        configuration = config(discovery=f"127.0.0.1:{discovery.port}", known=discovery.full_list())
        async with running_program(tmp_path / "config.json", configuration) as process:
            await discovery.until(
                lambda: any("from=" in m.start_line[1] for m in discovery.received_requests)
            )
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal_number)
                await asyncio.sleep(0.001)
            assert process.returncode == 0
        discovery.stop()

    run(test())


@pytest.mark.parametrize(
    "old_behavior", ["holds a watch", "holds the first poll", "refuses connections"]
)
def test_sighup_switches_to_another_discovery(tmp_path: Path, old_behavior: str) -> None:
    """The list of the new discovery replaces the old one, whatever the old discovery does.

    An invalid configuration file is ignored, and a SIGHUP during the drain has no effect on it.
    """

    async def test() -> None:
        first, second = FakeUpstream("s-0"), FakeUpstream("s-1")
        await first.start()
        await second.start()
        old_discovery, new_discovery = FakeDiscovery([first.row()]), FakeDiscovery([second.row()])
        old_discovery.version = 41  # the versions of the new discovery are lower
        old_discovery.silent = old_behavior == "holds the first poll"
        if old_behavior != "refuses connections":
            await old_discovery.start()
        await new_discovery.start()
        configuration = config(known=old_discovery.full_list())
        if old_behavior != "refuses connections":
            configuration["discovery"] = f"127.0.0.1:{old_discovery.port}"
        path = tmp_path / "config.json"
        async with running_program(path, configuration) as process:
            assert process.stderr is not None
            address = listen_address(configuration)
            if old_behavior == "refuses connections":
                assert b"no connection" in await next_problem(process.stderr)
            else:
                target = "from=41&" if old_behavior == "holds a watch" else "/v1/endpoints"
                await old_discovery.until(
                    lambda: any(target in m.start_line[1] for m in old_discovery.received_requests)
                )
            assert (await (await connect(address)).ask("r1")).body == b"s-0"
            # An invalid file changes nothing, and one line is logged.
            path.write_text("{not json")
            process.send_signal(signal.SIGHUP)
            while b"not reloaded" not in (line := await process.stderr.readline()):
                assert line
            assert (await (await connect(address)).ask("r2")).body == b"s-0"
            path.write_text(
                json.dumps({**configuration, "discovery": f"127.0.0.1:{new_discovery.port}"})
            )
            process.send_signal(signal.SIGHUP)
            await asyncio.wait_for(
                new_discovery.until(
                    lambda: any(
                        "from=1&" in m.start_line[1] for m in new_discovery.received_requests
                    )
                ),
                4,
            )
            assert (await (await connect(address)).ask("r3")).body == b"s-1"
            process.send_signal(signal.SIGTERM)
            late_client = await connect(address)
            process.send_signal(signal.SIGHUP)  # neither aborts nor restarts the drain
            assert_last_response(await late_client.ask("r4"), b"s-1")
            assert await process.wait() == 0
        for server in (first, second, old_discovery, new_discovery):
            server.stop()

    run(test())


async def call_admin_api(address: str, path: str, method: str = "POST") -> int:
    """Call the admin API on a new connection, and return the status."""
    client = await connect(("127.0.0.1", int(address.rpartition(":")[2])))
    response = await client.send_raw(f"{method} {path} HTTP/1.1\r\nHost: mgmt\r\n\r\n".encode())
    client.close()
    return response.status


def test_process_replacement_under_load_loses_no_request(tmp_path: Path) -> None:
    """Guards against lost requests and lost disabled upstreams when a process replaces another.

    Each request uses a new connection. Both processes apply the disabled set, which must survive
    the replacement.
    """

    async def test() -> None:
        upstreams = [FakeUpstream("s-0"), FakeUpstream("s-1")]
        for upstream in upstreams:
            await upstream.start()
        discovery = FakeDiscovery(upstream.row() for upstream in upstreams)
        await discovery.start()
        configuration = config(
            discovery=f"127.0.0.1:{discovery.port}", known=discovery.full_list(), name="n3"
        )
        address = listen_address(configuration)
        first_admin_address, second_admin_address = (
            f"127.0.0.1:{free_port()}",
            f"127.0.0.1:{free_port()}",
        )
        request_count = 0
        stop = asyncio.Event()

        async def load(number: int) -> None:
            nonlocal request_count
            while not stop.is_set():
                request_count += 1
                client = await Client.connect(address)
                response = await client.ask(f"r{number}-{request_count}")
                assert (response.status, response.body) == (200, b"s-0")
                client.close()

        async with running_program(
            tmp_path / "1.json",
            configuration,
            TMPDIR=str(tmp_path),
            BALANCER_MGMT=first_admin_address,
        ) as old:
            assert await call_admin_api(first_admin_address, "/-/upstreams/s-1/disable") == 200
            while await call_admin_api(first_admin_address, "/-/ready", "GET") != 200:
                await asyncio.sleep(0.01)
            clients = [asyncio.create_task(load(n)) for n in range(4)]
            async with running_program(
                tmp_path / "2.json",
                configuration,
                TMPDIR=str(tmp_path),
                BALANCER_MGMT=second_admin_address,
            ) as new:
                while await call_admin_api(second_admin_address, "/-/ready", "GET") != 200:
                    await asyncio.sleep(0.01)
                assert await call_admin_api(second_admin_address, "/-/upstreams/s-1/disable") == 200
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
                requests_before = request_count
                while request_count < requests_before + 50:
                    await asyncio.sleep(0.01)
                stop.set()
                await asyncio.gather(*clients)
                assert not upstreams[1].received_requests
                assert await call_admin_api(second_admin_address, "/-/upstreams/s-1/enable") == 200
                new.send_signal(signal.SIGTERM)
                assert await new.wait() == 0
        for server in (*upstreams, discovery):
            server.stop()

    run(test())


@pytest.mark.parametrize("discovery_fault", ["silent", "down", "busy"])
def test_restarted_process_serves_from_cached_list_during_discovery_fault(
    tmp_path: Path, discovery_fault: str
) -> None:
    """Guards against a start that waits for discovery although a list is cached."""

    async def test() -> None:
        upstream = FakeUpstream("s-0")
        await upstream.start()
        discovery = FakeDiscovery([upstream.row()])
        await discovery.start()
        setattr(discovery, discovery_fault, True)
        configuration = config(discovery=f"127.0.0.1:{discovery.port}", known=discovery.full_list())
        async with running_program(tmp_path / "config.json", configuration):
            client = await connect(listen_address(configuration))
            assert (await client.ask("r", path="/ready")).status == 200
            assert (await client.ask("r1")).status == 200
        upstream.stop()
        discovery.stop()

    run(test())


def test_idle_clients_cannot_exhaust_file_descriptors(tmp_path: Path) -> None:
    """Guards against idle clients that use up all descriptors.

    Attempts, the admin API and discovery have reserved descriptors within RLIMIT_NOFILE.
    """
    sockets = 96

    async def test() -> None:
        upstreams = [FakeUpstream("s-0"), FakeUpstream("s-1")]
        for upstream in upstreams:
            await upstream.start()
        discovery = FakeDiscovery([upstreams[0].row()])
        discovery.change(upstreams[0].row("Gone"), upstreams[1].row())
        discovery.port = free_port()  # no server listens on it yet
        known = {"version": 0, "full": True, "servers": [upstreams[0].row()]}
        admin_address = f"127.0.0.1:{free_port()}"
        configuration = config(
            discovery=f"127.0.0.1:{discovery.port}", known=known, limits={"sockets": sockets}
        )
        address = listen_address(configuration)

        def preexec() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

        async with running_program(
            tmp_path / "config.json", configuration, preexec, BALANCER_MGMT=admin_address
        ) as process:
            first = await connect(address)
            assert (await first.ask("r0")).body == b"s-0"
            with ExitStack() as idle_sockets:
                for _ in range(3 * sockets):
                    idle = idle_sockets.enter_context(socket.socket())
                    idle.setblocking(False)
                    idle.connect_ex(address)  # accepted, or waits in the accept queue
                assert (await call_admin_api(admin_address, "/-/ready", "GET")) == 200
                active_client = await connect(address)
                assert (await active_client.ask("r1")).body == b"s-0"
                await discovery.start()
                # The first answer contains the change.
                await discovery.until(lambda: len(discovery.received_requests) > 1)
                active_client = await connect(address)
                assert (await active_client.ask("r2")).body == b"s-1"
                assert (await call_admin_api(admin_address, "/-/ready", "GET")) == 200
            process.kill()
            assert process.stderr is not None
            log = (await process.stderr.read()).decode()
            assert "accept" not in log and "Too many open files" not in log
        for server in (*upstreams, discovery):
            server.stop()

    run(test())


def assert_last_response(message: Message, body: bytes) -> None:
    """Assert that a response succeeded and closes its connection."""
    assert (message.status, message.body, message.headers["connection"]) == (200, body, "close")


async def connect(address: tuple[str, int]) -> Client:
    """Connect to the program, retrying until it listens."""
    while True:
        try:
            return await Client.connect(address)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)

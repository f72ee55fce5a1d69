"""Clients' connections: bad input, limits, keep-alive and the answers that the balancer gives by
itself.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from contextlib import suppress
from dataclasses import replace

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import connection_phase, frontend, parse
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.resource_limits import RESERVE
from loadbalancer.proxy.tcp_state import receive_state
from tests.fakes import (
    CLASSES,
    SECOND,
    SETTINGS,
    Client,
    EventRecorder,
    FakeUpstream,
    http_response,
    read_message,
    run,
    running_balancer,
)


def test_ready_once_the_module_can_serve() -> None:
    async def test() -> None:
        async with running_balancer(known=None) as w:
            await w.wait_for_endpoint_list()
            assert (await w.ask("r", path="/ready")).status == 200
            await w.update_endpoints(w.upstreams[0].row("Terminating"))
            assert (await w.ask("r", path="/ready")).status == 503

    run(test())


def test_bad_input_gets_an_answer_and_harms_nobody() -> None:
    async def test() -> None:
        async with running_balancer() as w:
            other = await w.client()
            other.send("r0")
            for junk, status in [
                (b"\x00\x01\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\nno colon\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000, 431),
                (raw_request("Content-Length: -4"), 400),
            ]:
                bad = await w.client()
                assert (await bad.send_raw(junk)).status == status, junk[:40]
                await bad.expect_eof()
            client = await w.client()
            assert (await client.ask("r1", path="/nowhere")).status == 404
            assert (await client.ask("r2", "unheard-of")).status == 404
            assert (await client.ask("", X_Request_Id=None)).status == 400
            assert (await client.ask("r3", X_Deadline_Ms="soon")).status == 400
            assert (await client.ask("r4", X_Cost_Hint="-1")).status == 400
            assert (await client.ask("r5", X_Tenant="stranger")).status == 200
            assert (await client.ask("r6", X_Deadline_Ms=0)).status == 503
            assert (await read_message(other.reader)).status == 200
            assert (await other.ask("r7")).status == 200

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_that_is_too_large(chunked: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parse, "MAX_LENGTH", 69_000)

    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client()
            if chunked:
                client.send("r1", "pay", "POST", Transfer_Encoding="chunked")
                client.writer.write(b"11170\r\n" + b"x" * 0x11170)
            else:
                client.send("r1", "pay", "POST", b"x" * 70_000)
            assert (await read_message(client.reader)).status == 413
            assert not w.upstreams[0].received_requests

    run(test())


def test_an_id_that_is_open_already() -> None:
    async def test() -> None:
        async with running_balancer() as w:
            first = await w.client_awaiting_response("r1")
            assert (await w.ask("r1")).status == 409
            first.close()

    run(test())


def test_requests_follow_each_other_on_a_connection_also_when_sent_ahead() -> None:
    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client()
            client.send("r1")
            client.send("r2")
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            assert [m.headers["x-request-id"] for m in w.upstreams[0].received_requests] == [
                "r1",
                "r2",
            ]

    run(test())


def test_a_flood_behind_an_open_request_is_cut_off() -> None:
    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client_awaiting_response("r1")
            client.writer.write(b"x" * 1_000_000)
            await client.expect_eof()
            assert (await w.ask("r2")).status == 200

    run(test())


def test_more_open_requests_than_allowed_are_refused() -> None:
    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open=1))
        async with running_balancer(settings=settings) as w:
            client = await w.client_awaiting_response("r1")
            assert (await w.ask("r2")).status == 503
            client.close()

    run(test())


def test_at_the_cap_idle_clients_make_room_and_busy_ones_are_kept(
    monkeypatch: pytest.MonkeyPatch, recorder: EventRecorder
) -> None:
    monkeypatch.setattr(frontend, "EVICT_IDLE_S", 0.0)

    async def test() -> None:
        async with running_balancer(
            sockets=RESERVE + 2 * 2
        ) as w:  # two clients, two connections to upstreams
            go_on = asyncio.Event()
            upstream: FakeUpstream = w.upstreams[0]

            async def slow() -> bytes:
                await go_on.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            idle = await w.client()
            assert (await idle.ask("r0")).status == 200
            upstream.script = [slow, slow]
            busy = [await w.client(), await w.client()]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await recorder.until(lambda: len(recorder.of_type(api.RequestArrived)) == 3)
            await idle.expect_eof()
            late = await w.client()  # it waits in the backlog, and is answered once there is room
            late.send("r1")
            go_on.set()
            for client in busy:
                assert (await read_message(client.reader)).body == b"slow"
            assert (await read_message(late.reader)).status == 200

    run(test())


def test_at_the_cap_silent_clients_make_room_for_one_that_asks() -> None:
    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as w:
            silent = [await w.client() for _ in range(20)]
            asking = await w.client()
            assert (await asking.ask("r1")).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_the_cap_the_silent_make_room_and_a_slow_writer_is_left_its_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(frontend, "EVICT_SILENT_S", 0.2)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 4 * 2) as w:
            slow = await w.client()
            slow.writer.write(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n")
            silent = []
            for (
                letter
            ) in b"X-Class: quote\r\n\r\n":  # it connected first, and is kept as long as it goes on
                await asyncio.sleep(0.03)
                slow.writer.write(bytes([letter]))
                silent.append(await w.client())
            assert (await read_message(slow.reader)).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_the_cap_an_idle_client_is_left_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "EVICT_IDLE_S", 1000.0)
    monkeypatch.setattr(frontend, "EVICT_SILENT_S", 0.0)
    monkeypatch.setitem(
        connection_phase.LIMIT_S, Phase.NEW, 0.1
    )  # the last newcomer is driven out by nobody

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as w:
            idle = await w.client()
            assert (await idle.ask("r0")).status == 200
            newcomers = [await w.client() for _ in range(9)]
            for client in newcomers:
                await client.expect_eof()
            assert (await idle.ask("r1")).status == 200

    run(test())


def test_with_all_places_taken_an_answer_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Idle connections are left their 2 s: with more clients than places, each newcomer waited for
    # that.
    for limit in ("EVICT_IDLE_S", "EVICT_SILENT_S", "EVICT_NEW_S"):
        monkeypatch.setattr(frontend, limit, 1000.0)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as w:
            clients = [await w.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"r{number}")
            for client in clients:
                assert (await read_message(client.reader)).status == 200

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
def test_a_client_that_left_before_it_was_read_is_not_served(recorder: EventRecorder) -> None:
    async def test() -> None:
        async with running_balancer() as w:

            def asks(name: str) -> bytes:
                return f"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\n\r\n".encode()

            # No turn of the loop between a client's request and its leaving: the balancer finds
            # both at once, on a connection that is still in the backlog and on one that was used
            # before. Plain sockets: a loop's own write may wait for its next turn.
            loop = asyncio.get_running_loop()
            used = socket.socket()
            used.setblocking(False)
            await loop.sock_connect(used, w.address)
            used.send(asks("r0"))
            assert (await loop.sock_recv(used, 4096)).startswith(b"HTTP/1.1 200 ")
            with used:
                used.send(asks("gone"))
            with socket.create_connection(w.address) as early:
                early.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n\r\n")
            assert (await w.ask("r1")).status == 200
            assert [e.request for e in recorder.of_type(api.RequestArrived)] == ["r0", "r1"]
            assert [m.headers["x-request-id"] for m in w.upstreams[0].received_requests] == [
                "r0",
                "r1",
            ]

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
def test_a_request_counts_from_when_it_came_not_from_when_it_was_read(
    recorder: EventRecorder,
) -> None:
    async def test() -> None:
        async with running_balancer() as w:
            late = 0.2
            used = await w.client()
            assert (await used.ask("r0")).status == 200
            used.send("r1")
            with socket.create_connection(w.address) as new:
                new.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n")
                sent_ns = time.monotonic_ns()
                time.sleep(late)  # the loop stands still
                await recorder.until(lambda: len(recorder.of_type(api.RequestArrived)) == 3)
            for arrival in recorder.of_type(api.RequestArrived)[1:]:
                assert arrival.received_ns < sent_ns + late / 2 * SECOND
                assert (
                    arrival.deadline_ns < sent_ns + CLASSES["quote"].deadline_ns + late / 2 * SECOND
                )

    run(test())


@pytest.mark.parametrize(
    ("part", "status"),
    [
        (b"", None),
        (b"GET /quote HTT", 408),
        (b"GET /quote HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf", 408),
    ],
)
@pytest.mark.parametrize("used", [False, True])
def test_a_request_that_does_not_come_in_time_ends_its_connection(
    monkeypatch: pytest.MonkeyPatch, part: bytes, status: int | None, used: bool
) -> None:
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.NEW, 0.2)
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.IDLE, 0.3)

    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client()
            if used:
                assert (await client.ask("r1")).status == 200
            client.writer.write(part)
            if status is not None:
                assert (await read_message(client.reader)).status == status
            await client.expect_eof()

    run(test())


def raw_request(*headers: str, start: str = "POST /pay HTTP/1.1", body: bytes = b"") -> bytes:
    rows = ["Host: h", "X-Request-Id: r1", "X-Class: pay", *headers]
    return "\r\n".join([start, *rows, "", ""]).encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        # What stands behind the chunk without length would be read as a request by whoever goes by
        # the coding.
        (
            raw_request(
                "Content-Length: 60",
                "Transfer-Encoding: chunked",
                body=b"0\r\n\r\nGET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n",
            ),
            400,
        ),
        (raw_request("Content-Length: 4", "Content-Length: 5", body=b"body!"), 400),
        (raw_request("Content-Length: 60000000"), 413),
        (raw_request("Content-Length: -4", body=b"body"), 400),
        (raw_request("X-Request-Id: r2"), 400),
        (raw_request("X-Class: quote"), 400),
        (raw_request("X-Deadline-Ms: 10", "X-Deadline-Ms: 3000"), 400),
        (raw_request(start="CONNECT /pay HTTP/1.1"), 405),
        (raw_request("X-Pad: " + "p" * 20_000), 431),
    ],
)
def test_a_request_that_could_be_read_in_two_ways_is_turned_away(data: bytes, status: int) -> None:
    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client()
            assert (await client.send_raw(data)).status == status
            await client.expect_eof()
            assert (await w.ask("r3")).status == 200
            assert [m.headers["x-request-id"] for m in w.upstreams[0].received_requests] == ["r3"]

    run(test())


def test_a_method_that_is_not_the_class_s_and_an_endless_id() -> None:
    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client()
            assert (await client.ask("r1", "pay", "GET")).status == 405
            assert (await client.ask("r1", "quote", "DELETE")).status == 405
            assert (await client.ask("r1", "quote", "GET", b"body")).status == 400
            assert (await client.ask("r" * 1000)).status == 400
            assert (await client.ask("r1")).status == 200

    run(test())


def test_a_client_that_does_not_read_gets_no_more_answers_piled_up(
    monkeypatch: pytest.MonkeyPatch, recorder: EventRecorder
) -> None:
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.IDLE, 0.5)

    async def test() -> None:
        async with running_balancer() as w:
            body = b"x" * 60_000
            w.upstreams[0].script = [http_response(200, body) for _ in range(1000)]
            reader, writer = await asyncio.open_connection(*w.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            client = Client(reader, writer)
            for number in range(1000):
                client.send(f"r{number}")
            # Answers stop going out, and with them the requests behind them; then the connection
            # ends.
            with suppress(ConnectionError):
                while True:
                    writer.write(b"\r\n")
                    await asyncio.sleep(0.01)
                    if writer.transport.is_closing():
                        break
            assert len(recorder.of_type(api.RequestArrived)) < 900
            assert (await w.ask("last")).status == 200

    run(test())


def test_a_sweep_that_is_due_at_once_does_not_break_the_next() -> None:
    """uvloop gives a handle without a time where the delay rounds to nothing."""

    async def test() -> None:
        front = frontend.Frontend.__new__(frontend.Frontend)
        front.loop, front.timer, front.timer_at = asyncio.get_running_loop(), None, 0.0
        now = front.loop.time()
        front._sweep_at(now)
        front._sweep_at(now - 1.0)
        assert front.timer is not None
        front.timer.cancel()

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not tell")
@pytest.mark.parametrize("end", ["drained", "swept", "made room"])
def test_a_connection_at_rest_is_not_closed_over_a_request_that_lies_unread(
    end: str, frontends: list[frontend.Frontend]
) -> None:
    """A timer runs ahead of the sockets: with both due in one turn the request was lost,
    unanswered.
    """

    async def test() -> None:
        async with running_balancer() as w:
            loop = asyncio.get_running_loop()
            used, silent = socket.socket(), socket.socket()
            for sock in (used, silent):
                sock.setblocking(False)
                await loop.sock_connect(sock, w.address)
            with used, silent:
                used.send(raw_request(start="GET /quote HTTP/1.1").replace(b"pay", b"quote"))
                assert (await loop.sock_recv(used, 4096)).startswith(b"HTTP/1.1 200 ")
                [front] = frontends
                table = front.clients_by_phase[Phase.IDLE]
                [kept] = table
                assert isinstance(kept, ClientConnection) and kept.transport is not None
                sock = kept.transport.get_extra_info("socket")
                while receive_state(sock)[1] < 30_000_000:  # the kernel counts in ticks
                    await asyncio.sleep(0)
                for client in table:
                    table[client] -= (
                        2.0 if end == "made room" else connection_phase.LIMIT_S[Phase.IDLE]
                    )
                used.send(raw_request(start="GET /quote HTTP/1.1").replace(b"pay", b"quote"))
                if end == "drained":
                    front._stop()
                elif end == "swept":
                    front._sweep()
                else:
                    front._evict()
                assert (await loop.sock_recv(used, 4096)).startswith(b"HTTP/1.1 200 ")
                for client in table:
                    table[client] -= 60.0
                front._sweep()
                assert await loop.sock_recv(used, 4096) == b""  # with nothing unread it ends

    run(test())


def test_who_leaves_answers_a_request_that_has_more_time_than_it_has(
    frontends: list[frontend.Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Taken before SIGTERM, with a deadline behind the process's own end: it ended over the open
    request.
    """
    monkeypatch.setattr(frontend, "MAX_SHUTDOWN_DEADLINE_NS", 100_000_000)
    monkeypatch.setattr(frontend, "SHUTDOWN_MARGIN_NS", 100_000_000)

    async def test() -> None:
        async with running_balancer() as w:
            client = await w.client_awaiting_response("r1", X_Deadline_Ms=3000)
            frontends[0].drain()
            assert (await asyncio.wait_for(read_message(client.reader), 2.0)).status == 504
            await client.expect_eof()

    run(test())

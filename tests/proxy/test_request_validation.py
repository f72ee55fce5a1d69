"""Tests of requests that are malformed, ambiguous, too large or not allowed."""

from __future__ import annotations

import pytest

from loadbalancer.proxy import parse
from tests.fakes import (
    read_message,
    run,
    running_balancer,
)


def test_bad_input_is_rejected_without_affecting_other_clients() -> None:
    """Malformed requests close their connection; invalid headers only fail the request."""

    async def test() -> None:
        async with running_balancer() as harness:
            other = await harness.client()
            other.send("r0")
            for junk, status in [
                (b"\x00\x01\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\nno colon\r\n\r\n", 400),
                (b"GET /quote HTTP/1.1\r\n\r\n", 400),
                (b"GET /" + b"x" * 70_000, 431),
                (raw_request("Content-Length: -4"), 400),
            ]:
                bad = await harness.client()
                assert (await bad.send_raw(junk)).status == status, junk[:40]
                await bad.expect_eof()
            client = await harness.client()
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
def test_too_large_body_is_rejected_with_413(
    chunked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against forwarding a body above the limit, whether or not its length is announced."""
    monkeypatch.setattr(parse, "MAX_LENGTH", 69_000)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            if chunked:
                client.send("r1", "pay", "POST", Transfer_Encoding="chunked")
                client.writer.write(b"11170\r\n" + b"x" * 0x11170)
            else:
                client.send("r1", "pay", "POST", b"x" * 70_000)
            assert (await read_message(client.reader)).status == 413
            assert not harness.upstreams[0].received_requests

    run(test())


def raw_request(*headers: str, start: str = "POST /pay HTTP/1.1", body: bytes = b"") -> bytes:
    """Return a request with these additional header lines and this body, both unchecked."""
    header_lines = ["Host: h", "X-Request-Id: r1", "X-Class: pay", *headers]
    return "\r\n".join([start, *header_lines, "", ""]).encode() + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        # Request smuggling: a parser that prefers Transfer-Encoding would read the bytes after the
        # empty chunk as a second request.
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
def test_ambiguous_or_oversized_request_is_rejected(data: bytes, status: int) -> None:
    """Guards against request smuggling.

    A request that two parsers can read differently is rejected, as is one that is too large, and
    its connection is closed.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            assert (await client.send_raw(data)).status == status
            await client.expect_eof()
            assert (await harness.ask("r3")).status == 200
            assert [m.headers["x-request-id"] for m in harness.upstreams[0].received_requests] == [
                "r3"
            ]

    run(test())


def test_unsupported_method_unexpected_body_and_too_long_id_are_rejected() -> None:
    """Each request is rejected, and its connection stays usable."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            assert (await client.ask("r1", "pay", "GET")).status == 405
            assert (await client.ask("r1", "quote", "DELETE")).status == 405
            assert (await client.ask("r1", "quote", "GET", b"body")).status == 400
            assert (await client.ask("r" * 1000)).status == 400
            assert (await client.ask("r1")).status == 200

    run(test())

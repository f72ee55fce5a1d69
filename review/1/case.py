"""An upstream is slow; the balancer closes the connections of clients with chunked bodies."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from lab import (  # noqa: E402 (needs the path above)
    BROKEN,
    HELD,
    HOST,
    Balancer,
    Call,
    CouldNotRunError,
    Discovery,
    Record,
    Upstream,
    answer,
    is_troubled,
    message,
    play,
    read_head,
)

BODY_BYTES = 70_000  # a little over 64 KiB; the pages name up to 32 MB
CHUNK_BYTES = 8_000
DEADLINE_S = 3.0  # give-up time of the class
OBSERVED_S = 6.0
UPSTREAMS = 5  # one slow one is 20%: the pages name up to 22%
WORK_S = 0.096  # the most that a booking needs on the yardstick core
SLOW_WORK_S = WORK_S / 0.51 * 9.8  # on the slowest machine, 9.8 times slower: 1.84 s
WAVES = 8
SLOW = "s-0"


class Client:
    """A client that sends one booking with a chunked body on a new connection.

    Attributes:
        answered: The status of its answer; empty: none came.
        is_closed: Whether the balancer ended the connection without an answer.
    """

    def __init__(self, record: Record, request_id: str) -> None:
        self.record = record
        self.id = request_id
        self.answered = ""
        self.is_closed = False

    async def run(self, port: int) -> None:
        """Send the request, and wait for the answer."""
        headers = {
            "Host": "origin.svc",
            "X-Request-Id": self.id,
            "X-Class": "book-delivery",
            "X-Tenant": "volta-fuels",
            "X-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Transfer-Encoding": "chunked",
        }
        body = bytes(BODY_BYTES)
        pieces = [body[at : at + CHUNK_BYTES] for at in range(0, BODY_BYTES, CHUNK_BYTES)]
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
        reader, writer = await asyncio.open_connection(HOST, port)
        head = message(f"POST /book-delivery?obj={self.id} HTTP/1.1", headers)
        writer.write(head + chunks + b"0\r\n\r\n")
        await writer.drain()
        sent_s = time.monotonic()
        self.record.write("client sent", id=self.id)
        end = ""
        try:
            async with asyncio.timeout(OBSERVED_S):
                self.answered, fields = await read_head(reader)
                await reader.readexactly(int(fields["content-length"]))
        except (EOFError, OSError) as error:  # an incomplete read is an EOFError
            self.is_closed = True
            end = f"closed by the balancer: {error}"
        except TimeoutError:
            end = "nothing came"
        took_s = round(time.monotonic() - sent_s, 3)
        self.record.write("client's end", id=self.id, answer=self.answered, end=end, took_s=took_s)
        writer.close()


async def read_chunks(reader: asyncio.StreamReader) -> int:
    """Read a chunked body; return its length."""
    length = 0
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        await reader.readexactly(size + 2)
        length += size
        if not size:
            return length


async def work(
    upstream: Upstream, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Read the body, run the request and answer."""
    if "transfer-encoding" in call.headers:
        length = await read_chunks(reader)
    else:
        length = len(await reader.readexactly(call.length))
    if length != BODY_BYTES:
        raise EOFError
    upstream.run(call)
    started_s = time.monotonic()
    ended_early = asyncio.create_task(reader.read(1))  # the balancer sends nothing more but its end
    done, _ = await asyncio.wait({ended_early}, timeout=upstream.work_s)
    if done:
        worked_s = round(time.monotonic() - started_s, 3)
        upstream.record.write(
            "balancer gave the attempt up", upstream=upstream.name, id=call.id, worked_s=worked_s
        )
        raise EOFError
    ended_early.cancel()
    await asyncio.gather(ended_early, return_exceptions=True)
    writer.write(answer("200 OK", call.id.encode()))
    await writer.drain()
    upstream.record.write("upstream answered 200", upstream=upstream.name, id=call.id)


async def case(record: Record, scratch: Path) -> int:
    """Play the case."""
    upstreams = [Upstream(record, f"s-{number}", work) for number in range(UPSTREAMS)]
    for upstream in upstreams:
        upstream.work_s = SLOW_WORK_S if upstream.name == SLOW and is_troubled() else WORK_S
        await upstream.start()
    discovery = Discovery(record, "discovery", [upstream.entry() for upstream in upstreams])
    await discovery.start()
    balancer = Balancer(record, scratch)
    balancer.write_config(discovery)
    clients: list[Client] = []
    try:
        await balancer.start()
        for wave in range(WAVES):
            new = [Client(record, f"b00c{wave:02x}{number:02x}") for number in range(UPSTREAMS)]
            clients += new
            await asyncio.gather(*(client.run(balancer.port) for client in new))
            if any(not client.answered for client in new):
                await asyncio.sleep(SLOW_WORK_S)  # shows what becomes of the work at the upstream
                break
    finally:
        await balancer.stop()
    lost = [client.id for client in clients if not client.answered]
    record.write("judged", requests=len(clients), lost=lost)
    if lost:
        return BROKEN
    if is_troubled() and not upstreams[0].ran:
        raise CouldNotRunError("no request reached the slow upstream")
    if not is_troubled() and not any("200" in client.answered for client in clients):
        raise CouldNotRunError("no request was served without the disruption")
    return HELD


if __name__ == "__main__":
    play(HERE, case)

"""An upstream gives a long answer in pieces, with a pause behind the first: does it come whole?"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from bed import (
    BROKEN,
    HELD,
    HOST,
    OK,
    Bed,
    Discovery,
    Head,
    Record,
    SetupError,
    Upstream,
    free_port,
    platform_settings,
    read_body,
    read_head,
    run,
)

LONG_BYTES = 200_000  # OPERATION: beyond 64 KiB, the first bytes are timed
FIRST_BYTES, PIECE_BYTES = 3_000, 30_000
PAUSE_S = 1.4  # under the 2 s for which the rest of a long answer may not be held back
DEADLINE_MS = 500  # BRIEF: 40 to 80% of the 750 ms of this class
REQUESTS = 12
REST_S = 1.0
LIMIT_S = 10.0


class SlowUpstream(Upstream):
    """It answers at once, in pieces, and pauses behind the first one."""

    def __init__(self, record: Record, name: str, pause_s: float) -> None:
        super().__init__(record, name)
        self.pause_s = pause_s
        self.gave: dict[str, int] = {}

    async def _handle(
        self, began_s: float, line: str, head: Head, writer: asyncio.StreamWriter
    ) -> bool:
        if not head[1].get("x-class"):
            return await super()._handle(began_s, line, head, writer)
        request = head[1]["x-request-id"]
        self.got.append((began_s, request))
        self.record.line("run", upstream=self.name, request=request)
        await asyncio.sleep(self.work_s)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        left, size = LONG_BYTES, FIRST_BYTES
        while left:
            size = min(size, left)
            writer.write(b"%x\r\n%b\r\n" % (size, b"a" * size))
            await writer.drain()
            left -= size
            self.gave[request] = LONG_BYTES - left
            self.record.line("gives", request=request, bytes=LONG_BYTES - left)
            if size == FIRST_BYTES:
                await asyncio.sleep(self.pause_s)
            size = PIECE_BYTES
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.line("has given all", request=request)
        return True


async def ask(record: Record, port: int, request: str) -> tuple[int, str]:
    """Send a request; return the status, and how its answer ended."""
    began_s = record.now()
    status, end = 0, "no answer"
    try:
        async with asyncio.timeout(LIMIT_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                "POST /confirm-drop?obj=user:7 HTTP/1.1\r\nHost: origin.svc\r\n"
                f"X-Request-Id: {request}\r\nX-Class: confirm-drop\r\nX-Tenant: volta-fuels\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 4\r\n\r\ndrop".encode()
            )
            record.line("sent", request=request)
            head = await read_head(reader)
            if head is not None:
                status, end = int(head[0].split(" ")[1]), "cut off"
                record.line("answer begins", request=request, status=status)
                body = await read_body(reader, head[1])
                end = "whole" if status != OK or len(body) == LONG_BYTES else "wrong"
            writer.close()
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        end = f"{end} ({type(error).__name__})"
    took_s = record.now() - began_s
    record.line("answered", request=request, status=status, end=end, after=f"{took_s:.3f}")
    return status, end


async def case(bed: Bed) -> int:
    """Run the case."""
    record = bed.record
    pause_s = PAUSE_S if bed.is_troubled else 0.0
    upstreams = [SlowUpstream(record, f"s-{number:08x}", pause_s) for number in range(1, 7)]
    for upstream in upstreams:
        await upstream.start()
    discovery = Discovery(record, list(upstreams))
    await discovery.start()
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": platform_settings(),
    }
    await bed.start_balancer("n1", config, port, bed.new_folder("tmp"))
    await asyncio.sleep(REST_S)
    ends: list[tuple[int, str]] = []
    for number in range(REQUESTS):
        ends.append(await ask(record, port, f"{number:016x}"))
        await asyncio.sleep(REST_S)
    begun = [end for status, end in ends if status == OK]
    lost = [end for end in begun if end != "whole"]
    record.say(f"{len(ends)} requests, {len(begun)} answers of 200 began, {len(lost)} were cut off")
    if not begun:
        raise SetupError("no answer began")
    return BROKEN if lost else HELD


run(Path(__file__).resolve().parent, case)

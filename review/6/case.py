"""Bad clients send bodies of 60 MB to a class that doesn't exist: does the balancer keep its limit?

The class is `ready`, so the path is the one at which the balancer says whether it is ready.
"""

from __future__ import annotations

import asyncio
import os
import signal
from contextlib import suppress
from pathlib import Path

from bed import (
    BROKEN,
    HELD,
    HOST,
    Bed,
    Clients,
    Discovery,
    Program,
    Upstream,
    free_port,
    platform_settings,
    read_head,
    run,
)

MEMORY_MB = 192  # DEPLOY: on scored days the limits are at most 192 MB and 1,024 descriptors
SOCKETS = 1024
BAD_CLIENTS = 20
BODY_BYTES = 60_000_000  # DAYS, Bad clients: "bodies of 60 MB"
CHUNK_BYTES = 100_000
OWED_S = 6.0  # DAYS: an error or a close within 6 s with 60 MB to send
QUIET_S = 3.0
WATCH_S = 12.0
LOOK_S = 0.02


def resident_bytes(program: Program) -> int:
    """Return the resident memory of the balancer's process."""
    text = Path(f"/proc/{program.process.pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Platform:
    """The platform's limit on memory: over it, the balancer is killed."""

    def __init__(self, bed: Bed, balancer: Program) -> None:
        self.bed = bed
        self.balancer = balancer
        self.most_bytes = 0
        self.has_killed = False

    async def watch(self) -> None:
        """Look at the memory until the balancer is killed or ends."""
        while self.balancer.is_running:
            with suppress(OSError, IndexError):
                self.most_bytes = max(self.most_bytes, resident_bytes(self.balancer))
            if self.most_bytes > MEMORY_MB << 20:
                self.bed.record.say(f"over {MEMORY_MB} MB: the balancer is killed")
                self.has_killed = True
                self.balancer.send(signal.SIGKILL)
                return
            await asyncio.sleep(LOOK_S)


async def bad_client(bed: Bed, port: int, number: int) -> None:
    """Send a body of 60 MB at full speed, and read what comes."""
    record = bed.record
    status = "none"
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return
    answer = asyncio.create_task(read_head(reader))
    record.line("bad client sends", number=number)
    try:
        writer.write(
            f"POST /ready HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: bad-{number}\r\n"
            "X-Class: ready\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        piece = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"z" * CHUNK_BYTES)
        for _ in range(BODY_BYTES // CHUNK_BYTES):
            writer.write(piece)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(OWED_S):
            head = await answer
        status = "close" if head is None else head[0]
    except (OSError, TimeoutError) as error:
        status = type(error).__name__
    finally:
        answer.cancel()
        writer.close()
    record.line("bad client ends", number=number, got=status.replace(" ", "_"))


async def case(bed: Bed) -> int:
    """Run the case."""
    record = bed.record
    upstreams = [Upstream(record, f"s-{number:08x}") for number in range(1, 7)]
    for upstream in upstreams:
        await upstream.start()
    discovery = Discovery(record, upstreams)
    await discovery.start()
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": discovery.whole(),
        "settings": platform_settings(),
    }
    balancer = await bed.start_balancer("n1", config, port, bed.new_folder("tmp"))
    platform = Platform(bed, balancer)
    watching = asyncio.create_task(platform.watch())
    clients = Clients(record, port, booked_share=0.4)
    await asyncio.sleep(QUIET_S)
    record.say(f"with sound clients alone: {platform.most_bytes / 1e6:.0f} MB")
    if bed.is_troubled:
        record.say(f"{BAD_CLIENTS} bad clients send 60 MB each")
        bad = [bad_client(bed, port, number) for number in range(BAD_CLIENTS)]
        await asyncio.gather(*bad)
    else:
        await asyncio.sleep(WATCH_S)
    await asyncio.sleep(QUIET_S)
    crashed = platform.has_killed or not balancer.is_running
    watching.cancel()
    await clients.stop()
    record.say(f"the most memory: {platform.most_bytes / 1e6:.0f} MB of {MEMORY_MB}")
    record.say(f"{len(clients.lost_bookings())} bookings were neither served nor refused")
    return BROKEN if crashed else HELD


run(Path(__file__).resolve().parent, case)

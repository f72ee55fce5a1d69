"""Discovery answers late, and an upstream begins to drain: does the balancer hear of it?"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from bed import (
    BROKEN,
    HELD,
    HOST,
    SLACK_S,
    Bed,
    Clients,
    Discovery,
    Upstream,
    free_port,
    platform_settings,
    run,
)

DELAY_S = 2.6  # of each answer of discovery; what it has to tell counts after 6 s
NOTIFIED_S = 6.0  # PROTOCOL: what discovery has to tell counts as told at the latest 6 s later,
AFTER_WAIT_S = 2.0  # for a call that may wait 2 s after that wait ends
GRACE_S = 0.5  # settings.rules.stop_sending_within_ns
QUIET_S = 6.0
WORK_S = 0.1
WATCH_S = 30.0


async def case(bed: Bed) -> int:
    """Run the case."""
    record = bed.record
    upstreams = [Upstream(record, f"s-{number:08x}", WORK_S) for number in range(1, 7)]
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
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": platform_settings(),
    }
    await bed.start_balancer("n1", config, port, bed.new_folder("tmp"))
    clients = Clients(record, port, booked_share=0.4)
    await asyncio.sleep(QUIET_S)
    if bed.is_troubled:
        discovery.delay_s = DELAY_S
        record.say(f"from now on discovery answers each call {DELAY_S} s late")
    await asyncio.sleep(QUIET_S)
    drained = upstreams[0]
    drained_s = record.now()
    waits = list(discovery.open_waits.values())
    discovery.change(drained, "Terminating")
    notified_s = max([drained_s + NOTIFIED_S, *(wait_s + AFTER_WAIT_S for wait_s in waits)])
    await asyncio.sleep(WATCH_S)
    record.say(f"{drained.name} has finished its work, and goes")
    drained.stop()
    discovery.change(drained, "Gone")
    await asyncio.sleep(QUIET_S)
    late = [at_s for at_s, _ in drained.got if at_s > notified_s + GRACE_S + SLACK_S]
    record.say(f"notified {notified_s - drained_s:.2f} s after the change at the latest")
    record.say(f"{drained.name} got {len(late)} requests after that and the grace")
    if late:
        first_s, last_s = late[0] - notified_s, late[-1] - notified_s
        record.say(f"from {first_s:.2f} to {last_s:.2f} s after it was notified")
    await clients.stop()
    record.say(f"{len(clients.lost_bookings())} bookings were neither served nor refused")
    return BROKEN if late else HELD


run(Path(__file__).resolve().parent, case)

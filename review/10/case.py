"""A new configuration names a discovery that answers late: does the balancer hear of a drain?"""

from __future__ import annotations

import asyncio
import os
import signal
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

DELAY_S = 2.2  # of each answer of discovery; what it has to tell counts 4 s after SIGHUP
AFTER_SIGHUP_S = 4.0  # DAYS: 4 s after SIGHUP, what discovery has to tell counts as told
NOTIFIED_S = 6.0  # PROTOCOL: at the latest 6 s later
OLD_CLOSES_S = 1.5  # DAYS: after that, the old address closes the open connections
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
    old, new = Discovery(record, upstreams), Discovery(record, upstreams)
    await old.start()
    await new.start()
    if bed.is_troubled:
        new.delay_s = DELAY_S
        record.say(f"the new discovery answers each call {DELAY_S} s late")
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{old.port}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": old.whole(),
        "settings": platform_settings(),
    }
    balancer = await bed.start_balancer("n1", config, port, bed.new_folder("tmp"))
    clients = Clients(record, port, booked_share=0.4)
    await asyncio.sleep(QUIET_S)
    bed.write_config("n1", {**config, "discovery": f"{HOST}:{new.port}"})
    balancer.send(signal.SIGHUP)
    reloaded_s = record.now()
    record.say("a new configuration, and SIGHUP")
    old.stop_listening()
    await asyncio.sleep(OLD_CLOSES_S)
    old.close_open()
    await asyncio.sleep(QUIET_S)
    drained = upstreams[0]
    drained_s = record.now()
    new.change(drained, "Terminating")
    notified_s = max(drained_s + NOTIFIED_S, reloaded_s + AFTER_SIGHUP_S)
    await asyncio.sleep(WATCH_S)
    record.say(f"{drained.name} has finished its work, and goes")
    drained.stop()
    new.change(drained, "Gone")
    await asyncio.sleep(QUIET_S)
    late = [at_s for at_s, _ in drained.got if at_s > notified_s + GRACE_S + SLACK_S]
    record.say(f"{drained.name} got {len(late)} requests after the notification and the grace")
    if late:
        first_s, last_s = late[0] - notified_s, late[-1] - notified_s
        record.say(f"from {first_s:.2f} to {last_s:.2f} s after it was notified")
    await clients.stop()
    record.say(f"{len(clients.lost_bookings())} bookings were neither served nor refused")
    return BROKEN if late else HELD


run(Path(__file__).resolve().parent, case)

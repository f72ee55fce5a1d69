"""An upstream is disabled, one node of the store killed, and the process replaced: does it last?"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from bed import (
    BROKEN,
    HELD,
    HOST,
    OK,
    Bed,
    Clients,
    SetupError,
    Upstream,
    call_once,
    free_port,
    run,
)
from store_bed import CLASSES, Store, serve, server_tables, store_table

GRACE_S = 0.55  # WIRE: stop_sending_within_ns, 500 ms; PROTOCOL: 50 ms longer on sockets
OLD_ENDS_S = 3.7  # OPERATION: the longest deadline plus 0.7 s after SIGTERM
SETTLE_S = 3.0
DOWN_S = 4.0  # for so long the killed node is away
WATCH_S = 8.0


def settings(bed: Bed, store: Store, port: int, admin_port: int, upstreams: list[Upstream]) -> str:
    """Return a balancer's settings; both processes have all but the admin address in common."""
    head = (
        f'listen = "{HOST}:{port}"\noperators = "{HOST}:{admin_port}"\n'
        f'state = "{bed.folder}/state"\n'
    )
    return head + server_tables(upstreams) + CLASSES + store_table(store, "")


async def operate(bed: Bed, admin_port: int, name: str, action: str) -> None:
    """Make an operator's call, which has to be answered with yes."""
    status, text = await call_once(admin_port, "POST", f"/-/upstreams/{name}/{action}", 2.0)
    bed.record.say(f"operator: {action} {name}: {status} {text}")
    if status != OK:
        raise SetupError(f"{action} {name} was not accepted")


async def use_before(bed: Bed, admin_port: int) -> None:
    """Disable an upstream and enable it, so that the store has had a set, as it has in service."""
    for action in ("disable", "enable"):
        await operate(bed, admin_port, "box-6", action)
        await asyncio.sleep(1.0)


async def case(bed: Bed) -> int:
    """Run the case."""
    record = bed.record
    store = Store(bed)
    await store.start()
    upstreams = [Upstream(record, f"box-{number}") for number in range(1, 7)]
    for upstream in upstreams:
        await upstream.start()
    port, admin_port, new_admin_port = free_port(), free_port(), free_port()
    old = await serve(bed, "balancer", settings(bed, store, port, admin_port, upstreams))
    await bed.wait_until_ready(old, admin_port, "/-/ready")
    clients = Clients(record, port)
    await asyncio.sleep(SETTLE_S)
    await use_before(bed, admin_port)
    record.say("the process is replaced: the new one starts beside the old one")
    new = await serve(bed, "balancer-new", settings(bed, store, port, new_admin_port, upstreams))
    await bed.wait_until_ready(new, new_admin_port, "/-/ready")
    await asyncio.sleep(1.0)
    leader = await store.leader()
    if bed.is_troubled:
        record.say(f"node {leader} of the store, which leads, is killed")
        store.kill(leader)
    await operate(bed, admin_port, "box-1", "disable")
    disabled_s = record.now()
    old.send(signal.SIGTERM)
    await asyncio.wait_for(old.process.wait(), OLD_ENDS_S + 1.0)
    record.say("the old process has ended")
    await asyncio.sleep(DOWN_S)
    if bed.is_troubled:
        record.say(f"node {leader} of the store starts again")
        await store.restart(leader)
    await asyncio.sleep(SETTLE_S)
    await operate(bed, new_admin_port, "box-5", "disable")
    await asyncio.sleep(WATCH_S)
    if not new.is_running:
        raise SetupError("the new process does not run")
    got = [at_s for at_s, _ in upstreams[0].got if at_s > disabled_s + GRACE_S]
    record.say(f"box-1 got {len(got)} requests after it was disabled, and no call enabled it")
    if got:
        record.say(f"the first one {got[0] - disabled_s:.2f} s after the yes")
    await clients.stop()
    return BROKEN if got else HELD


run(Path(__file__).resolve().parent, case)

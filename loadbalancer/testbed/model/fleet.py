"""The boxes of a run, drawn by its seed, and where each stands. Pure."""

from __future__ import annotations

import random

from loadbalancer.policy.api import UpstreamState
from loadbalancer.testbed.model.box import Box, Draw, KeyMemory, Nature, draw_nature
from loadbalancer.testbed.model.registry import Entry
from loadbalancer.testbed.topology import Topology


def zones_of(t: Topology) -> list[str]:
    """The zone of each box."""
    return [t.network.zones[i % len(t.network.zones)] for i in range(t.fleet.boxes)]


def entry_of(
    t: Topology, box: Box, number: int, state: UpstreamState = UpstreamState.READY
) -> Entry:
    """A box as the list has it, under the id that balancers know it by."""
    zone = t.network.zones[box.number % len(t.network.zones)]
    return Entry(
        box.number,
        number,
        zone,
        box.nature.machine,
        box.number // t.fleet.cell,
        state,
        box.started_ns,
    )


def build_fleet(t: Topology, seed: int, now: int) -> list[Box]:
    """The boxes of a run, drawn by its seed: machines dealt by their shares, in a drawn order."""
    rng = random.Random(f"{seed}/fleet")
    draw = Draw(rng)
    natures: list[Nature] = []
    whole = sum(m.share for m in t.fleet.machines)
    speeds = {m.name: draw.of(m.speed) for m in t.fleet.machines}
    for m in t.fleet.machines:
        count = round(t.fleet.boxes * m.share / whole)
        for _ in range(count if m is not t.fleet.machines[-1] else t.fleet.boxes - len(natures)):
            nature = draw_nature(t.fleet, m, draw)
            nature.speed = speeds[m.name] * (1.0 + 0.1 * (2 * rng.random() - 1))
            natures.append(nature)
    natures = natures[: t.fleet.boxes]
    rng.shuffle(natures)
    lasts = draw.ns(t.fleet.key_memory)
    keys = draw.of(t.fleet.keys_per_core)
    boxes = []
    memory = KeyMemory(lasts, 1)
    for i, nature in enumerate(natures):
        if i % t.fleet.cell == 0:
            cores = sum(n.cores for n in natures[i : i + t.fleet.cell])
            memory = KeyMemory(lasts, max(1, round(keys * cores)))
        boxes.append(Box(i, nature, t.rules, memory, random.Random(f"{seed}/box/{i}"), now))
    return boxes

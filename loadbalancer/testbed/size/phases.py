"""What a fleet goes through, and what is measured meanwhile; at the end, whether all have what
stands in the store, and none ever went back.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Collection, Sequence
from dataclasses import asdict, dataclass, field

from loadbalancer.settings import Json
from loadbalancer.testbed.results import spread
from loadbalancer.testbed.size.figures import gained, in_force, part, traffic, used
from loadbalancer.testbed.size.fleet import Fleet, Group
from loadbalancer.testbed.size.writer import Change, stepped

STEPS = 3  # changes of a restart
A_DAY = 13_000 * STEPS / 86_400 / 44_000  # changes a second of one upstream
RELEASE_PART = 0.05  # of all upstreams
RELEASE_EVERY_S = 0.5
BATCH = 64  # upstreams that restart together
Say = Callable[[str], None]


@dataclass(frozen=True)
class Times:
    """Seconds. `dense`: how many times as many changes as on a usual day."""

    quiet: float = 15.0
    usual: float = 60.0
    release: float = 20.0
    cut: float = 10.0
    patience: float = 90.0
    dense: float = 10.0


@dataclass(eq=False)
class Run:
    fleet: Fleet
    times: Times
    say: Say
    wrong: list[str] = field(default_factory=list)
    found: list[Json] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.fleet.plan.seed}/phases")
        self.writer = self.fleet.writer
        self.last: dict[str, int] = {}  # by scope, the newest revision that was written

    # ---- parts -----------------------------------------------------------------------------------

    def carriers(self, among: Collection[int]) -> dict[str, list[int]]:
        """By scope, those of these balancers that hear it."""
        scope = "service:{}".format if self.fleet.plan.rows else str
        found = {
            scope(s.name): [n for n in s.balancers if n in among] for s in self.fleet.world.services
        }
        return found | {self.writer.probe_scope: sorted(among)}

    async def measured(
        self,
        name: str,
        work: Callable[[], Awaitable[list[Change]]],
        note: str,
        among: Collection[int] | None = None,
        steady: bool = False,
    ) -> Json:
        """Do it, wait until all that was written is in force everywhere, and put down what that
        took. `among`: whose times count, where not all balancers' do; `steady`: bytes come at a
        rate, and are no burst within a minute.
        """
        fleet = self.fleet
        await fleet.marks()
        told = await fleet.told()
        await fleet.count_anew()
        before, began = fleet.usages(), time.monotonic()
        changes = await work()
        behind = await self.settled(changes)
        took = time.monotonic() - began
        after, flows, marks = fleet.usages(), await fleet.counted(), await fleet.marks()
        living = fleet.live if among is None else fleet.live & set(among)
        row: Json = {
            "phase": name,
            "note": note,
            "seconds": round(took, 2),
            "balancers": len(fleet.live),
            "behind": behind,
            "in_force": in_force(changes, marks, self.carriers(living)),
            "bytes_s": traffic(flows, len(fleet.live), took, steady),
            "use": used(before, after, took, len(fleet.live)),
            "feed": gained(told, await fleet.told()),
        }
        if behind or row["in_force"]["never"]:
            self.wrong.append(
                f"{name}: {behind} balancers were behind after {self.times.patience:g} s"
            )
        self.marks = marks
        self.found.append(row)
        force = row["in_force"]
        self.say(
            f"{name} ({note}): {took:.1f} s, {force['changes']} changes in force after "
            f"{force['p50_s']:.3f} s at 50, {force['p99_s']:.3f} s at 99, {force['most_s']:.3f} "
            f"s at 100"
            f" in 100; {row['bytes_s']['mean']:.0f} bytes/s a balancer; behind {behind}"
        )
        return row

    async def settled(self, changes: Sequence[Change]) -> int:
        for change in changes:
            for scope, revision in change.scopes.items():
                self.last[scope] = max(revision, self.last.get(scope, 0))
        return await self.fleet.reached(self.last, self.times.patience)

    async def restarts(self, per_s: float, seconds: float, label: str) -> list[Change]:
        """Upstreams drawn by lot restart, with so many changes a second in all."""
        loop = asyncio.get_running_loop()
        began, tasks = loop.time(), []
        for n in range(max(1, round(per_s * seconds / STEPS))):
            for step in range(STEPS):
                await asyncio.sleep(max(0.0, began + (n * STEPS + step) / per_s - loop.time()))
                if not step:
                    number = self.rng.randrange(len(self.fleet.world.upstreams))
                    while self.writer.now[number] is None:
                        number = self.rng.randrange(len(self.fleet.world.upstreams))
                change = self.writer.change(
                    label,
                    [number],
                    lambda e, s=step: stepped(e, s),  # type: ignore[misc]
                )
                tasks.append(loop.create_task(change))
        return [change for some in await asyncio.gather(*tasks) for change in some]

    def going(self, label: str) -> asyncio.Task[list[Change]]:
        """Changes that go on during a fault."""
        return asyncio.get_running_loop().create_task(
            self.restarts(self.usual_s, self.times.cut, label)
        )

    @property
    def usual_s(self) -> float:
        """Changes a second, denser than on a usual day."""
        return A_DAY * len(self.fleet.world.upstreams) * self.times.dense

    def since(
        self, row: Json, name: str, probe: Change, numbers: Collection[int], at_ns: int
    ) -> None:
        """How long after a moment these balancers had what was written after it."""
        row[name] = in_force([probe], self.marks, self.carriers(set(numbers)), at_ns)
        found = row[name]
        self.say(
            f"  {name.replace('_', ' ')}: {len(numbers)} balancers, {found['p50_s']:.2f} s at 50, "
            f"{found['p90_s']:.2f} s at 90, {found['most_s']:.2f} s at 100 in 100"
        )

    # ---- phases ----------------------------------------------------------------------------------

    async def load(self) -> None:
        """Everything is written; then all balancers start at once."""
        fleet = self.fleet
        empty = fleet.usages()
        began = time.monotonic()
        keys = await self.writer.load()
        wrote_s = time.monotonic() - began
        self.say(f"{keys} keys written in {wrote_s:.1f} s")

        async def start() -> list[Change]:
            probe = await self.writer.probe("load")
            await fleet.begin(range(len(fleet.world.balancers)))
            return [probe]

        row = await self.measured("load", start, f"{keys} keys, all balancers at once")
        await self.ready(row, fleet.live)
        await fleet.ask("settled")
        full = fleet.usages()
        grown = [full[g.party.name].rss - empty[g.party.name].rss for g in fleet.groups]
        row |= {
            "keys": keys,
            "wrote_s": round(wrote_s, 2),
            "base_mb": round(max(empty[g.party.name].rss for g in fleet.groups) / 1e6, 1),
            "balancer_mb": round(sum(grown) / len(fleet.live) / 1e6, 3),
            "balancer_mb_most": round(
                max(g / len(o.balancers) for g, o in zip(grown, fleet.groups, strict=True)) / 1e6, 3
            ),
        }

    async def ready(self, row: Json, numbers: Collection[int]) -> None:
        took = [s for n, s in (await self.fleet.ready()).items() if n in numbers]
        middle, late, most = spread(took)
        row["ready"] = {
            "p50_s": round(middle, 3),
            "p90_s": round(part(took, 0.9), 3),
            "p99_s": round(late, 3),
            "most_s": round(most, 3),
            "not": sum(not s for s in took),
        }
        self.say(
            f"  ready: {middle:.2f} s at 50, {part(took, 0.9):.2f} s at 90, {most:.2f} s at 100 "
            f"in 100"
        )

    async def quiet(self) -> None:
        async def wait() -> list[Change]:
            await asyncio.sleep(self.times.quiet)
            return []

        await self.measured("quiet", wait, "nothing changes", steady=True)

    async def usual(self) -> None:
        note = f"{self.usual_s:.2f} changes/s, {self.times.dense:g} times a usual day's"
        await self.measured(
            "usual day",
            lambda: self.restarts(self.usual_s, self.times.usual, "usual"),
            note,
            steady=True,
        )

    async def release(self) -> None:
        """A part of all upstreams restart, service by service."""
        world, times = self.fleet.world, self.times
        want = max(1, round(RELEASE_PART * len(world.upstreams)))
        numbers: list[int] = []
        for service in self.rng.sample(world.services, len(world.services)):
            numbers += [n for n in service.upstreams if self.writer.now[n] is not None]
            if len(numbers) >= want:
                break
        numbers = numbers[:want]

        async def roll() -> list[Change]:
            loop = asyncio.get_running_loop()
            # In batches, each with its three steps behind each other, as a rolling release has it.
            steps = [
                (place // BATCH + 2 * s, s, n)
                for s in range(STEPS)
                for place, n in enumerate(numbers)
            ]
            steps.sort()
            turns = max(1, round(times.release / RELEASE_EVERY_S))
            began, tasks = loop.time(), []
            for turn in range(turns):
                await asyncio.sleep(max(0.0, began + turn * RELEASE_EVERY_S - loop.time()))
                some = steps[len(steps) * turn // turns : len(steps) * (turn + 1) // turns]
                for step in range(STEPS):
                    hit = [n for _, s, n in some if s == step]
                    if hit:
                        change = self.writer.change(
                            "release",
                            hit,
                            lambda e, s=step: stepped(e, s),  # type: ignore[misc]
                        )
                        tasks.append(loop.create_task(change))
            return [c for some_changes in await asyncio.gather(*tasks) for c in some_changes]

        await self.measured(
            "release",
            roll,
            f"{len(numbers)} upstreams, {STEPS} changes each, in {times.release:g} s",
        )

    async def zone(self) -> None:
        """One goes: its upstreams change and its balancers vanish, at once."""
        fleet, world = self.fleet, self.fleet.world
        zone = self.rng.randrange(world.shape.zones)
        lost = [
            u.number
            for u in world.upstreams
            if u.zone == zone and self.writer.now[u.number] is not None
        ]
        gone = [b.number for b in world.balancers if b.zone == zone and b.number in fleet.live]

        async def lose() -> list[Change]:
            _, changes = await asyncio.gather(
                fleet.stop(gone), self.writer.change("zone", lost, lambda e: None)
            )
            return changes

        await self.measured("zone lost", lose, f"{len(lost)} upstreams and {len(gone)} balancers")

        async def back() -> list[Change]:
            _, changes = await asyncio.gather(
                fleet.begin(gone), self.writer.change("zone", lost, lambda e: e)
            )
            return changes

        row = await self.measured(
            "zone back", back, f"{len(lost)} upstreams and {len(gone)} balancers"
        )
        await self.ready(row, gone)

    async def _victim(self) -> tuple[int, list[int]]:
        """The node with the most balancers that does not lead."""
        leader = await self.fleet.leader()
        at = {
            m.place: await self.fleet.at(m.place)
            for m in self.fleet.cluster.members
            if m is not leader
        }
        place = max(at, key=lambda p: len(at[p]))
        return place, at[place]

    async def node(self) -> None:
        """One is killed; its balancers go to others."""
        fleet = self.fleet
        place, moved = await self._victim()
        member = fleet.cluster.members[place]
        at_ns = 0
        probe: list[Change] = []

        async def kill() -> list[Change]:
            nonlocal at_ns
            going = self.going("node")
            at_ns = time.monotonic_ns()
            await fleet.cluster.kill(member)
            probe.append(await self.writer.probe("node"))
            return [*probe, *await going]

        row = await self.measured("node killed", kill, f"node {place}, with {len(moved)} balancers")
        self.since(row, "moved", probe[0], moved, at_ns)
        self.since(row, "others", probe[0], fleet.live - set(moved), at_ns)
        await fleet.cluster.begin(member)

    async def region(self) -> None:
        """One is cut off from the others, both ways, and healed; changes go on meanwhile."""
        fleet = self.fleet
        leads = fleet.region_of_node[(await fleet.leader()).place]
        region = self.rng.choice([r for r in range(fleet.plan.shape.regions) if r != leads])
        inside = [
            b.number
            for g in fleet.groups
            if g.region == region
            for b in g.balancers
            if b.number in fleet.live
        ]
        at = [await fleet.at(place) for place, r in enumerate(fleet.region_of_node) if r == region]
        strays = {n for some in at for n in some} - set(inside)
        at_ns = 0
        probe: list[Change] = []

        async def cut() -> list[Change]:
            nonlocal at_ns
            where = fleet.region
            faults = await fleet.fault(
                "cut", 0.0, "both", lambda a, b: (where[a] == region) != (where[b] == region)
            )
            changes = await self.going("region")
            at_ns = time.monotonic_ns()
            await fleet.over(faults)
            probe.append(await self.writer.probe("region"))
            return [*changes, *probe]

        row = await self.measured(
            "region cut",
            cut,
            f"region {region} with {len(inside)} balancers, {self.times.cut:g} s in place "
            f"of an hour; {len(strays)} of others were at its nodes",
            fleet.live - set(inside) - strays,
        )
        self.since(row, "healed", probe[0], inside, at_ns)
        if strays:
            self.since(row, "strays", probe[0], strays, at_ns)

    async def start(self) -> None:
        """All balancers of a region are stopped, and then started at once."""
        fleet = self.fleet
        region = self.rng.randrange(fleet.plan.shape.regions)
        some = [
            b.number
            for g in fleet.groups
            if g.region == region
            for b in g.balancers
            if b.number in fleet.live
        ]
        await fleet.stop(some)

        async def begin() -> list[Change]:
            await fleet.begin(some)
            return [await self.writer.probe("start")]

        row = await self.measured(
            "region starts", begin, f"region {region}: {len(some)} balancers at once"
        )
        await self.ready(row, some)

    async def oneway(self) -> None:
        """What a node says reaches none of its balancers, what they say reaches it; new connections
        come up at other nodes alone.
        """
        fleet = self.fleet
        place, deaf = await self._victim()
        at_ns = 0
        probe: list[Change] = []

        async def cut() -> list[Change]:
            nonlocal at_ns
            going = self.going("one way")
            at_ns = time.monotonic_ns()
            faults = await fleet.fault(
                "cut", 0.0, "from", lambda a, b: b == f"node{place}" and not a.startswith("node")
            )
            probe.append(await self.writer.probe("one way"))
            changes = await going
            behind = await self.settled([*probe, *changes])
            if behind:
                self.wrong.append(f"one-way cut: {behind} balancers did not find another node")
            await fleet.over(faults)
            return [*probe, *changes]

        row = await self.measured(
            "one-way cut",
            cut,
            f"from node {place} to its {len(deaf)} balancers, until"
            " all had the last change from elsewhere",
            fleet.live - set(deaf),
        )
        self.since(row, "moved", probe[0], deaf, at_ns)

    async def stopped(self) -> None:
        """A process of balancers stands still, and goes on; the others must not wait for it."""
        fleet = self.fleet
        group: Group = self.rng.choice(fleet.groups)
        still = [b.number for b in group.balancers if b.number in fleet.live]
        at_ns = 0
        probe: list[Change] = []

        async def stop() -> list[Change]:
            nonlocal at_ns
            group.party.send(signal.SIGSTOP)
            changes = await self.going("stopped")
            probe.append(await self.writer.probe("stopped"))
            at_ns = time.monotonic_ns()
            group.party.send(signal.SIGCONT)
            return [*changes, *probe]

        row = await self.measured(
            "stopped",
            stop,
            f"{len(still)} balancers for {self.times.cut:g} s",
            fleet.live - set(still),
        )
        self.since(row, "woken", probe[0], still, at_ns)

    # ---- the end ---------------------------------------------------------------------------------

    async def judge(self) -> None:
        """All balancers have what stands in the store, and none ever went back."""
        truth, held = await self.writer.truth(), await self.fleet.held()
        carried = self.carriers(self.fleet.live)
        for scope, numbers in carried.items():
            other = [n for n in numbers if held[n][0].get(scope) != truth.get(scope, 0)]
            if other:
                self.wrong.append(
                    f"{scope}: {len(other)} balancers have other rows than the store, as {other[0]}"
                )
        back = [n for n, row in held.items() if row[1]]
        refused = [n for n, row in held.items() if row[2]]
        if back:
            self.wrong.append(f"{len(back)} balancers went back to something older: {back[:3]}")
        if refused:
            self.wrong.append(f"{len(refused)} balancers refused rows: {refused[:3]}")


PHASES: dict[str, Callable[[Run], Awaitable[None]]] = {
    "quiet": Run.quiet,
    "usual": Run.usual,
    "release": Run.release,
    "zone": Run.zone,
    "node": Run.node,
    "region": Run.region,
    "start": Run.start,
}
FAULTS: dict[str, Callable[[Run], Awaitable[None]]] = {
    "node": Run.node,
    "one-way": Run.oneway,
    "region": Run.region,
    "stopped": Run.stopped,
}


async def play(
    fleet: Fleet, times: Times, phases: Sequence[Callable[[Run], Awaitable[None]]], say: Say
) -> Json:
    """All of it. Raises Unusable."""
    run = Run(fleet, times, say)
    began = time.monotonic()
    try:
        await fleet.start()
        say(
            f"{fleet.plan.nodes} nodes, {len(fleet.groups)} hollow processes, "
            f"{len(fleet.links)} of links, "
            f"started in {time.monotonic() - began:.1f} s"
        )
        await run.load()
        for phase in phases:
            await phase(run)
        await run.judge()
    finally:
        await fleet.end()
    world = fleet.world
    rows = [world.rows(b) for b in world.balancers]
    return {
        "plan": asdict(fleet.plan),
        "times": asdict(times),
        "wrong": run.wrong,
        "phases": run.found,
        "seconds": round(time.monotonic() - began, 1),
        "world": {
            "rows_mean": round(sum(rows) / len(rows), 1),
            "rows_most": max(rows),
            "largest_service": world.services[0].size,
            "its_balancers": len(world.services[0].balancers),
            "connections": world.connections,
            "carried_mean": round(sum(len(b.carries) for b in world.balancers) / len(rows), 2),
            "carried_most": max(len(b.carries) for b in world.balancers),
        },
    }

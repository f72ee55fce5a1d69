"""One run of a scenario: start, faults at times and moments, an end in which all must be well, and
the verdict.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.settings import Json
from loadbalancer.store.client import Client
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.testbed.results import spread
from loadbalancer.testbed.rig.books import Books
from loadbalancer.testbed.rig.firsts import Firsts
from loadbalancer.testbed.rig.processes import Process
from loadbalancer.testbed.rig.relay import TO, Relay
from loadbalancer.testbed.rig.scenario import LINKS, Expected, Fault, Scenario, drawn, quiet, source
from loadbalancer.testbed.rig.standins import CLASSES, DOOR, Try
from loadbalancer.testbed.rig.world import SERVICE, World
from loadbalancer.testbed.rig.writers import CALM_S, Ledger, Writer, digest, judge, look
from loadbalancer.testbed.topology import Unusable

LEASE = f"work/list/{SERVICE}"
STATUS_S = 0.1
RESTART_S = 0.3  # that operators take to restart a box
OLDER_S = 1.0  # between two lists of an older program
SERVED_S = 1.5  # at the end, in which every request is served
ENDS_AT_ONCE = ("kill", "lose", "leave", "restart", "reset", "boxes", "jump", "upgrade", "down")


@dataclass(eq=False)
class Armed:
    """A fault that waits for its moment."""

    fault: Fault
    count: int = 0
    done: bool = False


@dataclass(eq=False)
class Result:
    """`wrong`: empty where all held. `events`: seconds from the start, and what happened."""

    name: str
    seed: int
    faults: list[Json]
    wrong: list[str] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)
    owners: list[tuple[str, int, str, float, float]] = field(default_factory=list)
    service: list[tuple[float, int, int]] = field(
        default_factory=list
    )  # each half second: asked, served
    figures: dict[str, float] = field(default_factory=dict)
    down: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    seconds: float = 0.0
    scenario: Json = field(default_factory=dict)
    tails: dict[str, list[str]] = field(default_factory=dict)


class Run:
    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, faults: Sequence[Fault] | None = None
    ) -> None:
        self.s = scenario
        self.faults = list(drawn(scenario, seed) if faults is None else faults)
        self.books = Books()
        self.books.turned = self._turned
        self.books.older = scenario.older_lists
        self.ledger = Ledger()
        self.world = World(scenario, folder, seed, self._heard, self._said)
        self.world.owner = self._owner
        self.firsts = Firsts(self.world)
        self.world.begun = self._begun
        for name, box in self.world.boxes.items():
            box.door = lambda name=name: self._asked_at_door(name)  # type: ignore[misc]
        self.loop = asyncio.get_running_loop()
        self.began = 0.0
        self.armed = [Armed(f) for f in self.faults if f.when is not None]
        self.leader = ""
        self.tasks: set[asyncio.Task[None]] = set()
        self.undo: dict[int, Callable[[], None]] = {}
        self.result = Result(
            scenario.name,
            seed,
            source(quiet(scenario, self.faults))["fault"],
            scenario=source(scenario),
        )
        self.over = self.running = False
        self.last_s = 0.0  # when the last fault ended
        self.listed = 0

    @property
    def listed_there(self) -> bool:
        """Is there a list in the store at all?"""
        return bool(self.s.balancers) and not self.s.alone

    @property
    def now(self) -> float:
        return time.monotonic() - self.began

    def event(self, what: str) -> None:
        if len(self.result.events) < 2000:
            self.result.events.append((round(self.now, 3), what))

    def _owner(self, lease: str) -> str:
        return self.leader if lease == "@leader" else self.books.owner(lease)

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(self._kept(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _kept(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except Unusable as error:
            self.books.say(str(error))
        except Exception as error:
            self.books.say(f"the rig itself: {type(error).__name__}: {error}")
            raise

    # ---- what is heard ---------------------------------------------------------------------------

    def _heard(self, relay: Relay, way: int, kind: str) -> None:
        who = relay.dialler if way == TO else relay.listener
        whom = relay.listener if way == TO else relay.dialler
        self.books.counts[f"message {kind}"] += 1
        for armed in self.armed:
            m = armed.fault.when
            if (
                not self.running
                or armed.done
                or m is None
                or m.says != kind
                or self.now * 1e9 < m.after
            ):
                continue
            if self.world.matches(m.process, who) and self.world.matches(m.to, whom):
                armed.count += 1
                if armed.count >= m.nth:
                    armed.done = True
                    self.event(f"{who} said {kind} to {whom}")
                    self._strike(armed.fault)

    def _said(self, process: Process, line: str) -> None:
        if (
            "lease acquired:" in line
            or "lease lost:" in line
            or "lease has no holder:" in line
            or "fenced write rejected:" in line
            or "store connection declined:" in line
            or "refused" in line
            or "row rejected" in line
            or "belongs to" in line
            or ("site" in line and ("INFO" in line or "WARNING" in line))
        ):
            self.event(f"{process.name}: {line.split(' ', 1)[-1]}")

    def _begun(self, name: str) -> None:
        if self.running:
            self._task(self.firsts.watch(name))

    # ---- faults ----------------------------------------------------------------------------------

    def _strike(self, fault: Fault) -> None:
        """Begin a fault, in the same turn in which its moment came."""
        if self.over:
            return
        if self.s.every and self.world.replacing:
            # A second loss ahead of the first one's replacement would be that of a majority, for
            # good.
            self.event(f"{fault.do} {fault.on}: not while a node is being replaced")
            return
        ends: list[Callable[[], None]] = []
        world = self.world
        if fault.do in LINKS:
            hit = world.links(fault.link)
            ends = [relay.set(fault.do, fault.size, fault.way) for relay in hit]
            names = f"{fault.link} ({len(hit)}, {fault.way})"
        elif fault.do == "boxes":
            boxes = sorted(world.boxes)
            self.listed += 1
            kept = [boxes[(self.listed + i) % len(boxes)] for i in range(max(1, int(fault.size)))]
            world.discovery.change(sorted(set(kept)))
            names = f"{len(set(kept))} listed, version {world.discovery.version}"
        elif fault.do == "down":
            down = world.boxed(fault.on)
            for box in down:
                box.down()
                ends.append(lambda box=box: self._task(box.up()))  # type: ignore[misc]
            names = ", ".join(b.name for b in down) or f"{fault.on}: nobody"
        elif fault.do == "discovery-down":
            world.discovery.fail(True)
            ends, names = [lambda: world.discovery.fail(False)], "discovery"
        else:
            some = world.named(fault.on)
            for process in some:
                ends.append(self._hit(process, fault))
            names = ", ".join(p.name for p in some) or f"{fault.on}: nobody"
        self.event(f"{fault.do} {names}")

        def end() -> None:
            self.undo.pop(key, None)
            for one in ends:
                one()
            self.event(f"{fault.do} {names}: over")
            self.last_s = self.now

        key = id(end)
        self.undo[key] = end
        if fault.lasts or fault.do in ENDS_AT_ONCE:
            self.loop.call_later(fault.lasts / 1e9, lambda: self.undo.get(key, lambda: None)())

    async def _writers(self) -> None:
        """Until `over`."""
        ledger, stop = self.ledger, self.world.clients.over
        clients = [self.world.client(f"writer {i}") for i in range(self.s.writers)]
        try:
            await asyncio.gather(
                look(clients[0], self.s.writers, ledger, stop),
                *(Writer(client, i, ledger, stop).run() for i, client in enumerate(clients)),
            )
        finally:
            for client in clients:
                await client.close()

    async def _judge_store(self, client: Client) -> None:
        """What stands against what was answered, by the watch, and on each node once it is
        stopped.
        """
        world, books = self.world, self.books
        versions = await judge(client, self.ledger)
        await self._until(
            lambda: all(books.seen.get(k, 0) == v for k, v in versions.items()),
            "the watch saw every version",
        )
        if not await world.level(CALM_S):
            books.say(f"the nodes were not level after {CALM_S:.0f} s")
        nodes = {n: p for n, p in world.processes.items() if n.startswith("node")}
        await asyncio.gather(*(p.end() for p in nodes.values()))
        digests = {n: digest(p.folder) for n, p in nodes.items() if p.folder is not None}
        if len(set(digests.values())) > 1:
            books.say(f"nodes differ: {digests}")
        books.wrong += self.ledger.wrong
        middle, late, most = spread(self.ledger.latencies)
        self.result.figures |= {
            "writes": self.ledger.acknowledged.total(),
            "undecided": self.ledger.undecided.total(),
            "pairs read whole": self.ledger.pairs,
            "step p50 ms": round(1000 * middle, 1),
            "step p99 ms": round(1000 * late, 1),
            "longest step s": round(most, 2),
        }

    def _hit(self, process: Process, fault: Fault) -> Callable[[], None]:
        world = self.world
        match fault.do:
            case "stop":
                process.stop()
                return process.go_on
            case "kill" | "lose":
                process.kill()
                lost = fault.do == "lose"
                world.replacing |= lost
                return lambda: self._task(world.again(process.name, lost))
            case "leave" | "restart":
                process.kill(signal.SIGTERM)
                return lambda: self._task(world.again(process.name))
            case "fast" | "slow":
                process.rate = 2.0 if fault.do == "fast" else 0.5
                process.kill()
                self._task(world.again(process.name))
            case "slowdisk":
                process.sync_ms = fault.size or 200.0
                process.kill()
                self._task(world.again(process.name))
            case "old":
                self._replace(process, True)
                return lambda: self._replace(process, False)
            case "upgrade":
                self._replace(process, False)
            case "jump":
                process.send(signal.SIGUSR2)
            case "full":
                process.send(signal.SIGUSR1)
                return lambda: process.send(signal.SIGUSR1)
        return lambda: None

    def _replace(self, process: Process, old: bool) -> None:
        """Its program is replaced, by an older or by the present one."""
        process.old = old
        process.kill(signal.SIGTERM)
        self._task(self.world.again(process.name))

    # ---- operators -------------------------------------------------------------------------------

    async def _older_lists(self) -> None:
        """What a balancer of an older program does: it puts the list that it knows, unasked and
        without a token, over whatever stands there.
        """
        client = self.world.client("older")
        try:
            while not self.over:
                row = (await client.get(f"list/{SERVICE}")).rows[0]
                if row.value is not None:
                    plain = {
                        k: v
                        for k, v in msgspec.json.decode(row.value).items()
                        if k in ("at", "servers")
                    }
                    await client.put(
                        f"list/{SERVICE}",
                        msgspec.json.encode(plain),
                        options=WriteOptions(note="older program"),
                    )
                await asyncio.sleep(OLDER_S)
        finally:
            await client.close()

    async def _begin_roll(self) -> None:
        """By the command that operators use."""
        roll = self.s.roll
        assert roll is not None
        names = ",".join(sorted(self.world.boxes)[: roll.boxes])
        words = [
            "roll",
            "start",
            "--pick",
            names,
            "--at-once",
            str(roll.at_once),
            "--per-site",
            str(roll.per_site),
            "--least",
            "0.1",
            "--warm",
            str(roll.warm / 1e9),
            *(["--door", DOOR] if roll.door else []),
        ]
        await self._command(words)

    def _order_soon(self, words: str) -> None:
        self._task(self._order(words))

    async def _order(self, words: str) -> None:
        await self._command(["site", *words.split()])

    async def _command(self, words: list[str]) -> None:
        """As operators give it, past all relays. Raises Unusable."""
        nodes = ",".join(
            f"127.0.0.1:{p}" for n, p in self.world.ports.items() if n.startswith("node")
        )
        command = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer.cli.main",
            *words,
            "--service",
            SERVICE,
            "--at",
            nodes,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        said, _ = await command.communicate()
        self.event(f"operators: {said.decode().strip()}")
        if command.returncode:
            raise Unusable(f"{' '.join(words[:2])}: {said.decode().strip()}")

    def _turned(self, name: str, phase: str) -> None:
        """The roll's document says something else of a box."""
        self.event(f"roll: {name} is {phase}")
        box = self.world.boxes[name]
        if phase == "quiet":
            if box.inside:
                self.books.say(
                    f"{name} was said to be quiet, and {box.inside} requests are under way there"
                )
            box.closed = True
            if self.s.roll is not None and not self.s.roll.door:
                self.loop.call_later(RESTART_S, self._restart, name)
        elif phase == "back" and not box.restarts:
            self.books.say(f"{name} was put back before it was restarted")

    def _asked_at_door(self, name: str) -> None:
        if self.books.phases.get(name) != "quiet":
            self.books.say(f"{name} was asked to restart while it is {self.books.phases.get(name)}")
        self.loop.call_later(RESTART_S, self._restart, name)

    def _restart(self, name: str) -> None:
        box = self.world.boxes[name]
        box.closed = False
        box.restarted()
        self.world.discovery.change(list(self.world.discovery.boxes))
        self.event(f"{name} was restarted")

    async def _follow_leader(self) -> None:
        client = self.world.client("leader")
        numbers = {f"{number:x}": name for name, number in self.world.numbers.items()}
        while True:
            with suppress(Exception):
                self.leader = numbers.get((await client.status(0.5))["leader"], self.leader)
            await asyncio.sleep(STATUS_S)

    # ---- the run ---------------------------------------------------------------------------------

    async def play(self) -> Result:
        world, books = self.world, self.books
        client: Client | None = None
        watching: asyncio.Task[None] | None = None
        asking: asyncio.Task[None] | None = None
        writing: asyncio.Task[None] | None = None
        began = time.monotonic()
        try:
            world.discovery.boxes = world.names()
            self.began = began
            await world.start()
            client = world.client("books")
            books.revision = world.filled  # of what came before, not all is kept
            watching = self.loop.create_task(self._kept(books.watch(client)))
            self._task(self._follow_leader())
            if self.listed_there and not self.s.old:
                await self._until(
                    lambda: bool(books.owner(LEASE)) and bool(books.lists), "the list has an owner"
                )
            calls = len(world.discovery.calls)
            self.began = time.monotonic()
            self.running = True
            self.result.events.clear()
            if self.s.balancers:
                asking = self.loop.create_task(world.clients.run())
            if self.s.writers:
                writing = self.loop.create_task(self._kept(self._writers()))
            if self.s.roll is not None:
                self._task(self._begin_roll())
            for order in self.s.orders:
                self.loop.call_later(order.at / 1e9, self._order_soon, order.words)
            if self.s.older_lists:
                self._task(self._older_lists())
            for fault in self.faults:
                if fault.when is None:
                    self.loop.call_later(fault.at / 1e9, self._strike, fault)
            await asyncio.sleep(self.s.lasts / 1e9)
            self.over = True
            minute = 60e9 / self.s.lasts
            self.result.figures["discovery calls a minute"] = round(
                (len(world.discovery.calls) - calls) * minute, 1
            )
            for end in list(self.undo.values()):
                end()
            if self.s.roll is not None and world.discovery.boxes != world.names():
                world.discovery.change(world.names())  # a roll waits for a box that is not listed
            self.last_s = self.now
            await self._settle()
            if writing is not None:
                world.clients.over.set()
                await asyncio.wait_for(writing, CALM_S)
                await self._judge_store(client)
        except TimeoutError as error:
            books.say(str(error))
        finally:
            world.clients.over.set()
            if asking is not None:
                with suppress(TimeoutError):
                    await asyncio.wait_for(asking, 5.0)
            for task in (
                *self.tasks,
                *([watching] if watching else []),
                *([writing] if writing else []),
            ):
                task.cancel()
            if client is not None:
                with suppress(Exception):
                    await client.close()
            await world.close()
        self._judge()
        self.result.seconds = round(time.monotonic() - began, 1)
        return self.result

    async def _until(self, holds: Callable[[], bool], what: str, seconds: float = 0.0) -> None:
        changed = asyncio.Event()
        self.books.poked = changed.set
        try:
            async with asyncio.timeout(seconds or self.s.settle / 1e9):
                while not holds():
                    changed.clear()
                    with suppress(TimeoutError):
                        await asyncio.wait_for(changed.wait(), 0.2)
        except TimeoutError:
            raise TimeoutError(
                f"{what}: not within {seconds or self.s.settle / 1e9:.0f} s"
            ) from None

    async def _settle(self) -> None:
        """All faults are over: an owner, discovery's list in the store, and every request
        served.
        """
        world, books = self.world, self.books
        await self._until(
            lambda: all(p.up for p in world.processes.values()), "all processes are up again"
        )
        if self.listed_there:
            await self._until(lambda: bool(books.owner(LEASE)), "the list has an owner again")
            self.result.figures["owner again s"] = round(self.now - self.last_s, 3)
            await self._until(
                lambda: (
                    bool(books.lists)
                    and books.lists[-1][2] == world.discovery.version
                    and not books.overwritten
                ),
                "the store holds discovery's list",
            )
            self.result.figures["list again s"] = round(self.now - self.last_s, 3)
        if self.s.roll is not None:
            await self._until(
                lambda: books.roll.get("state") == "ended" and not books.out,
                "the roll is at its end, and all boxes in use",
            )
            self.result.figures["roll at its end s"] = round(self.now - self.last_s, 3)
        if not self.s.balancers:
            return
        settled = time.monotonic() + SERVED_S
        await self._until(
            lambda: (
                self._served(time.monotonic() - SERVED_S) if time.monotonic() > settled else False
            ),
            "every request is served",
        )
        self.result.figures["well again s"] = round(self.now - self.last_s, 3)

    def _served(self, since: float) -> bool:
        done = [t for t in self.world.clients.tries.values() if t.at >= since and t.took]
        return len(done) > self.s.rate * SERVED_S / 2 and all(t.status == 200 for t in done)

    # ---- the verdict -----------------------------------------------------------------------------

    def _judge(self) -> None:
        r, books, world = self.result, self.books, self.world
        tries = list(world.clients.tries.values())
        for one in tries:
            if one.answers > 1:
                books.say(f"request {one.id} was answered {one.answers} times")
            if one.status == -2:
                books.say(f"request {one.id} was given the answer of another")
            if one.unsafe and len(one.ran) > 1:
                books.say(f"{one.id} may not be repeated, and ran at {', '.join(one.ran)}")
            if one.status == 200 and not one.ran:
                books.say(f"request {one.id} was served, and no box ran it")
            if not one.answers and not self._excused(one.balancer, one.at):
                books.say(
                    f"request {one.id} of {one.balancer} had no answer, and nothing was wrong there"
                )
        if not any(f.do in LINKS for f in self.faults):  # else what was sent before may arrive late
            for box in world.boxes.values():
                if box.late:
                    books.say(f"{len(box.late)} requests began at {box.name} while it was quiet")
        if self.s.roll is not None:
            for name, phase in books.phases.items():
                if phase != "done" or world.boxes[name].restarts != 1:
                    books.say(
                        f"{name} is {phase}, and was restarted {world.boxes[name].restarts} times"
                    )
        for name, process in world.processes.items():
            if process.hung:
                books.say(f"{name} was asked to leave and did not")
            elif process.ended:
                books.say(f"{name} {process.ended}")
            for _, line in process.lines:
                if "Traceback" in line or "state sync failed" in line or "policy failed" in line:
                    books.say(f"{name}: {line}")
        for box in world.boxes.values():
            if box.falls:
                books.say(f"{box.name} was cold and got more than it bears, {box.falls} times")
        for e in self.s.expects:
            self._expect(e, tries)
        r.wrong = books.wrong
        served = Counter(int((t.at - self.began) * 2) for t in tries if t.status == 200)
        asked = Counter(int((t.at - self.began) * 2) for t in tries)
        r.service = [(i / 2, asked[i], served[i]) for i in range(max(asked, default=0) + 1)]
        r.owners = [
            (
                o.lease,
                o.token,
                o.holder,
                round(o.begin - self.began, 3),
                round((o.end or time.monotonic()) - self.began, 3),
            )
            for o in books.owned
            if not o.lease.startswith("name/")
        ]
        lists = [o for o in r.owners if o[0] == LEASE]
        gaps = [after[3] - before[4] for before, after in zip(lists, lists[1:], strict=False)]
        r.down = {
            n: [
                (round(a - self.began, 3), round((b or time.monotonic()) - self.began, 3))
                for a, b in p.stops
            ]
            for n, p in world.processes.items()
            if p.stops
        }
        r.figures |= {
            "requests": len(tries),
            "served": sum(t.status == 200 for t in tries),
            "served part": round(sum(t.status == 200 for t in tries) / max(1, len(tries)), 4),
            "discovery calls": len(world.discovery.calls),
            "owners": books.counts["owners"],
            "owners' words": books.counts["owners' words"],
            "older words": books.counts["older words"],
            "store changes": books.counts["changes"],
            "fenced": sum(lease.rejected_writes for lease in books.leases.values()),
            "longest gap s": round(max(gaps, default=0.0), 3),
            **self.firsts.figures(),
            "doors asked": sum(len(box.asked) for box in world.boxes.values()),
            "slowest leave s": round(
                max((p.leave_s for p in world.processes.values()), default=0.0), 2
            ),
        }
        r.tails = {n: [line for _, line in p.lines[-40:]] for n, p in world.processes.items()}

    def _expect(self, e: Expected, tries: list[Try]) -> None:
        """Of what clients asked between two moments, was enough served?"""
        begin, end = self.began + e.after / 1e9, self.began + e.before / 1e9
        asked = [
            t
            for t in tries
            if begin <= t.at < end
            and (not e.tenant or t.tenant == e.tenant)
            and (not e.kind or CLASSES[t.unsafe][0] == e.kind)
        ]
        most = float(len(asked))
        if e.within:
            quota = next(t.quota for t in self.s.tenants if t.name == e.tenant)
            most = min(most, quota * (end - begin))
        served = sum(t.status == 200 for t in asked)
        part = min(1.0, served / most) if most else 0.0
        who = e.tenant or e.kind or "all"
        self.result.figures[f"served {who} {e.after / 1e9:g}-{e.before / 1e9:g} s"] = round(part, 4)
        if part < e.served:
            self.books.say(
                f"{part:.1%} of {who} were served from {e.after / 1e9:g} to {e.before / 1e9:g} s,"
                f" and {e.served:.1%} are expected"
            )

    def _excused(self, balancer: str, at: float) -> bool:
        """Was something wrong with this balancer, or with its clients' way, around then?"""
        process = self.world.processes[balancer]
        if any(a - 3.0 <= at <= (b or at) + 1.0 for a, b in process.stops):
            return True
        return any(
            f.do in LINKS
            and (
                f.link.startswith(("clients", "*"))
                or f.link.endswith(f">{balancer}")
                or "@" in f.link
                or "!" in f.link
            )
            for f in self.faults
        )


async def _played(
    scenario: Scenario, seed: int, folder: Path, faults: Sequence[Fault] | None
) -> Result:
    return await Run(scenario, seed, folder, faults).play()


def play(scenario: Scenario, seed: int, faults: Sequence[Fault] | None = None) -> Result:
    """Raises Unusable where the run could not begin."""
    with (
        tempfile.TemporaryDirectory(prefix="loadbalancer-rig-") as folder,
        asyncio.Runner() as runner,
    ):
        return runner.run(_played(scenario, seed, Path(folder), faults))

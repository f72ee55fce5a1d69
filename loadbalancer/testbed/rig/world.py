"""Puts a run together: settings files, processes, stand-ins and a relay for each directed pair."""

from __future__ import annotations

import asyncio
import random
import shutil
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from fnmatch import fnmatchcase
from pathlib import Path

from loadbalancer.store import documents
from loadbalancer.store import run as running
from loadbalancer.store.client import Client
from loadbalancer.store.documents import DocumentChange
from loadbalancer.store.errors import StoreError
from loadbalancer.store.settings import read_store
from loadbalancer.testbed.cluster.bench import fill
from loadbalancer.testbed.cluster.real import RealCluster
from loadbalancer.testbed.rig.processes import Process
from loadbalancer.testbed.rig.relay import Relay
from loadbalancer.testbed.rig.scenario import Scenario
from loadbalancer.testbed.rig.standins import COLD_FROM, Box, Clients, Discovery, kept_port
from loadbalancer.testbed.rig.taps import HttpTap, StoreTap, Tap
from loadbalancer.testbed.topology import Unusable

SERVICE = "orders"
READY_S = 20.0
REPLACED_S = 60.0  # a newcomer has to catch up with what is written meanwhile
POLL_S = 0.01


def unchecked(name: str, text: str) -> str:
    """What the lab writes needs no checking, and the check belongs to the daemon."""
    return ""


class World:
    """`heard`: each message that a relay read, as (relay, direction, kind); `said`: each line of a
    log.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        seed: int,
        heard: Callable[[Relay, int, str], None],
        said: Callable[[Process, str], None],
    ) -> None:
        self.s = scenario
        self.folder = folder
        self.rng = random.Random(f"{seed}/world")
        self.heard = heard
        self.said = said
        self.relays: dict[str, Relay] = {}
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.replacing = False  # a node that lost its folder is not yet a member again
        self.held: list[socket.socket] = []
        self.numbers: dict[str, int] = {}  # of nodes, in the store
        self.filled = 0  # the store's revision once it was filled
        self.sites = {site: tuple(members) for site, members in scenario.sites.items()}
        self.doors = {
            f"balancer-{i}": self._door(f"balancer-{i}") for i in range(scenario.balancers)
        }
        self.clients = Clients(
            self.doors,
            scenario.rate,
            random.Random(f"{seed}/clients"),
            scenario.tenants,
            self.site_of,
        )
        self.boxes = {
            name: Box(name, self.clients.tries, scenario)
            for name in (f"box-{i}" for i in range(scenario.boxes))
        }
        self.begun: Callable[[str], None] = lambda name: None  # a process was started anew
        self.discovery = Discovery(self._row)
        self.owner: Callable[[str], str] = lambda lease: ""  # who holds a lease, by the books

    def _door(self, balancer: str) -> Callable[[], tuple[str, int]]:
        return lambda: ("127.0.0.1", self.relays[f"clients>{balancer}"].port)

    def names(self) -> list[str]:
        """What discovery lists when all is well."""
        return sorted(self.boxes) + [f"more-{i}" for i in range(self.s.listed)]

    def _row(self, balancer: str, name: str) -> dict[str, object]:
        """Balancers with a store hear of boxes at the addresses that all know, and dial what their
        settings say in place of those; one alone is told its own.
        """
        box = name if name in self.boxes else f"box-{int(name.split('-')[1]) % len(self.boxes)}"
        address = (
            self.relays[f"{balancer}>{box}"].address
            if self.s.alone
            else (f"127.0.0.1:{self.boxes[box].port}")
        )
        return {
            "id": name,
            "addr": address,
            "zone": self.site_of(box),
            "kind": "m",
            "cell": 0,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": self.boxes[box].started_ms,
        }

    def site_of(self, name: str) -> str:
        return next((site for site, members in self.sites.items() if name in members), "")

    # ---- names -----------------------------------------------------------------------------------

    def matches(self, pattern: str, name: str) -> bool:
        """Does a pattern of a scenario mean this one, now?"""
        if pattern.startswith("!"):
            return not self.matches(pattern[1:], name)
        if pattern in ("@list", "@roll", "@site"):
            return bool(name) and self.owner(f"work/{pattern[1:]}/{SERVICE}") == name
        if pattern == "@leader":
            return self.owner("@leader") == name
        if pattern.startswith("@"):
            return name in self.sites.get(pattern[1:], ())
        return fnmatchcase(name, pattern)

    def boxed(self, pattern: str) -> list[Box]:
        return [b for name, b in self.boxes.items() if self.matches(pattern, name)]

    def named(self, pattern: str) -> list[Process]:
        return [p for name, p in self.processes.items() if self.matches(pattern, name)]

    def links(self, pattern: str) -> list[Relay]:
        dialler, listener = pattern.split(">")

        def dialled(r: Relay) -> bool:
            # Clients stand at the site of the balancer that they ask.
            sited = "@" in dialler and r.dialler == "clients"
            return self.matches(dialler, r.listener if sited else r.dialler)

        return [
            r for r in self.relays.values() if dialled(r) and self.matches(listener, r.listener)
        ]

    def _relay(
        self,
        dialler: str,
        listener: str,
        target: Callable[[], tuple[str, int]],
        taps: Callable[[], tuple[Tap, Tap]],
    ) -> Relay:
        name = f"{dialler}>{listener}"
        rng = random.Random(f"{name}/{self.rng.random()}")
        relay = self.relays[name] = Relay(dialler, listener, target, rng, taps, self.heard)
        return relay

    # ---- the start -------------------------------------------------------------------------------

    async def start(self) -> None:
        """Raises Unusable."""
        for box in self.boxes.values():
            await box.listen()
        nodes = [f"node-{i}" for i in range(self.s.nodes)]
        for name in nodes:
            self.ports[name] = self._kept_port()
        try:
            await self._store(nodes)
        except StoreError as error:
            raise Unusable(f"the store did not start: {error}") from None
        if self.s.sited:
            await self._describe()
        if self.s.fill_mb:
            client = self.client("fill")
            try:
                await fill(client, self.s.fill_mb)
                self.filled = (await client.get("bench/fill")).revision
            finally:
                await client.close()
        names = [f"balancer-{i}" for i in range(self.s.balancers)]
        first = [n for n in names if self.s.sited and self.site_of(n) == min(self.sites)]
        # Those of the first site own what there is to own: a scenario that loses it loses the
        # owners.
        for some in (first, [n for n in names if n not in first]):
            await asyncio.gather(*(self._balancer(name, nodes) for name in some))

    async def _describe(self) -> None:
        """What operators say of the sites."""
        text = ""
        for site, members in sorted(self.sites.items()):
            boxes = sum(name in self.boxes for name in members)
            bears = self.s.bears or boxes * max(1, self.s.cores) / (self.s.work / 1e9)
            others = ", ".join(f"{other} = 0.03" for other in sorted(self.sites) if other != site)
            text += f'[[site]]\nname = "{site}"\nbears = "{bears:.3f}/s"\nprices = {{{others}}}\n'
        client = self.client("sites")
        try:
            await documents.put(
                client, f"sites/{SERVICE}", text, unchecked, DocumentChange(-1, "rig")
            )
        finally:
            await client.close()

    def _kept_port(self) -> int:
        held = kept_port()
        self.held.append(held)
        port: int = held.getsockname()[1]
        return port

    def _port(self, name: str) -> Callable[[], tuple[str, int]]:
        return lambda: ("127.0.0.1", self.ports[name])

    async def _store(self, nodes: list[str]) -> None:
        ms = int(self.s.election) // 1_000_000
        for i, name in enumerate(nodes):
            reach = ""
            for other in nodes:
                if other != name:
                    relay = self._relay(
                        name, other, self._port(other), lambda: (StoreTap(True), StoreTap(False))
                    )
                    reach += f'"127.0.0.1:{self.ports[other]}" = "{relay.address}"\n'
            path = self.folder / f"{name}.toml"
            path.write_text(
                f'folder = "{name}"\nlisten = "127.0.0.1:{self.ports[name]}"\n[reach]\n{reach}'
                f'[timing]\nelection = "{ms}ms"\nheartbeat = "{ms // 5}ms"\n'
            )
            settings = read_store(path)
            words = ["store", "run", "--settings", str(path)]
            process = self.processes[name] = Process(
                name,
                words,
                "listening",
                self.folder / name,
                old=name in self.s.old,
                heard=self.said,
            )
            if i == 0:
                self.numbers[name] = running.init(settings, name=name).node
                await process.start()
                continue
            client = self.client("join")
            try:
                status = await client.status()
                self.numbers[name] = running.prepare(settings, status["cluster"], name).node
                await RealCluster.insist(
                    client, "learn", self.numbers[name], f"127.0.0.1:{self.ports[name]}", REPLACED_S
                )
                await process.start()
                await RealCluster.insist(client, "promote", self.numbers[name], "", REPLACED_S)
            finally:
                await client.close()

    def client(self, name: str) -> Client:
        """Past all relays."""
        return Client(
            [f"127.0.0.1:{port}" for node, port in self.ports.items() if node.startswith("node")],
            name=name,
            deadline_s=5.0,
        )

    async def _balancer(self, name: str, nodes: list[str]) -> None:
        self.ports[name] = self._kept_port()
        self._relay("clients", name, self._port(name), lambda: (HttpTap(), Tap()))
        port = await self.discovery.listen(name)
        discovery = self._relay(
            name, "discovery", lambda: ("127.0.0.1", port), lambda: (HttpTap(), Tap())
        )
        addresses, reach = [], ""
        for box in self.boxes.values():
            relay = self._relay(
                name,
                box.name,
                lambda box=box: ("127.0.0.1", box.port),  # type: ignore[misc]
                lambda: (HttpTap(), Tap()),
            )
            reach += f'"127.0.0.1:{box.port}" = "{relay.address}"\n'
        for node in nodes:
            relay = self._relay(
                name, node, self._port(node), lambda: (StoreTap(True), StoreTap(False))
            )
            addresses.append(f'"{relay.address}"')
            reach += f'"127.0.0.1:{self.ports[node]}" = "{relay.address}"\n'
        path = self.folder / f"{name}.toml"
        number = int(name.split("-")[1])
        own = (
            f'listen = "127.0.0.1:{self.ports[name]}"\n'
            f'discovery = "{discovery.address}"\nname = "{name}"\n'
            f'number = {number}\nof = {self.s.balancers}\nzone = "{self.site_of(name)}"\n'
            + "".join(
                f'[[class]]\nname = "{kind}"\neffect = "{effect}"\naim = "1s"\ndeadline = "2s"\n'
                for kind, effect in (("lookup", "safe"), ("book-delivery", "unsafe"))
            )
        )
        own += "".join(
            f'[[tenant]]\nname = "{t.name}"\nshare = {t.share}\nquota = "{t.quota}/s"\n'
            for t in self.s.tenants
        )
        if self.s.cold:
            own += f'[drains]\ncold = "{int(self.s.cold)}ns"\ncold_from = {COLD_FROM}\n'
        boot = (
            ""
            if self.s.alone
            else f"[store]\naddresses = [{', '.join(addresses)}]\n"
            f'service = "{SERVICE}"\nbalancer = "{name}"\n'
            f'lease = "{int(self.s.lease)}ns"\n'
            + (
                f"sites = true\nrank = {sorted(self.sites).index(self.site_of(name))}\n"
                if self.s.sited and self.site_of(name)
                else ""
            )
        )
        if self.s.document:
            client = self.client("settings")
            try:
                await documents.put(
                    client, f"balancer/{name}", own, unchecked, DocumentChange(-1, "rig")
                )
            finally:
                await client.close()
            own, boot = "", boot + f'document = "balancer/{name}"\nfolder = "{name}"\n'
        path.write_text(own + boot + (f"[store.reach]\n{reach}" if boot else ""))
        process = self.processes[name] = Process(
            name, ["serve", "--settings", str(path)], "\0", heard=self.said
        )
        await process.start(wait=False)
        await self.answers(name)

    async def answers(self, balancer: str) -> None:
        """Wait until a balancer takes connections. Raises Unusable."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", self.ports[balancer])
                writer.close()
                return
            if not self.processes[balancer].up:
                break
            await asyncio.sleep(POLL_S)
        last = self.processes[balancer].lines[-1:]
        raise Unusable(
            f"{balancer} did not start; it said last: {last[0][1] if last else 'nothing'}"
        )

    async def again(self, name: str, lost: bool = False) -> None:
        """Begin a process anew. Raises Unusable."""
        process = self.processes[name]
        async with process.turn:
            if process.up and not process.meant_down:
                if not lost:
                    return  # another fault's end began it
                process.kill()
            await self._again(process, name, lost)

    async def _again(self, process: Process, name: str, lost: bool) -> None:
        process.ready = "listening" if name.startswith("node") else ""
        if lost and name.startswith("node"):
            await process.gone()
            try:
                await self._replaced(name)
            except StoreError as error:
                raise Unusable(f"{name} could not be replaced: {error}") from None
            return
        await process.gone()
        starting = asyncio.ensure_future(process.start())
        await asyncio.sleep(0)
        self.begun(name)
        await starting
        process.back()

    async def _replaced(self, name: str) -> None:
        """A node whose folder is lost: its number is taken out, and it joins anew, under another.
        Raises StoreError, Unusable.
        """
        process = self.processes[name]
        client = self.client("replace")
        client.deadline_s = REPLACED_S
        try:
            await RealCluster.insist(client, "remove", self.numbers[name], "", REPLACED_S)
            if process.folder is not None:
                shutil.rmtree(process.folder, ignore_errors=True)
            status = await client.status()
            settings = read_store(self.folder / f"{name}.toml")
            self.numbers[name] = running.prepare(settings, status["cluster"], name).node
            await RealCluster.insist(
                client, "learn", self.numbers[name], f"127.0.0.1:{self.ports[name]}", REPLACED_S
            )
            await process.start()
            await RealCluster.insist(client, "promote", self.numbers[name], "", REPLACED_S)
            process.back()
            self.replacing = False
        finally:
            await client.close()

    async def level(self, within_s: float) -> bool:
        """Wait until all nodes have applied the same, and all of it."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            seen = set()
            for name in self.numbers:
                one = Client([f"127.0.0.1:{self.ports[name]}"], deadline_s=2.0)
                try:
                    status = await one.status()
                    seen.add((status["applied"], status["last"], status["leader"]))
                except StoreError:
                    seen.add((-1, 0, name))
                finally:
                    await one.close()
            if len(seen) == 1 and all(applied == last for applied, last, _ in seen):
                return True
            await asyncio.sleep(POLL_S)
        return False

    # ---- the end ---------------------------------------------------------------------------------

    async def close(self) -> None:
        """Whatever happened: nothing is left behind."""
        try:
            ending: list[Awaitable[None]] = [
                p.end() for n, p in self.processes.items() if n.startswith("balancer")
            ]
            await asyncio.gather(*ending)
            await asyncio.gather(
                *(p.end() for n, p in self.processes.items() if n.startswith("node"))
            )
        finally:
            for process in self.processes.values():
                process.end_now()
            for relay in self.relays.values():
                relay.close()
            for box in self.boxes.values():
                if box.server is not None:
                    box.server.close()
                if box.held is not None:
                    box.held.close()
            for server in self.discovery.servers:
                server.close()
            for held in self.held:
                held.close()

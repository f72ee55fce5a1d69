"""A cluster of the store as real processes on loopback, that can be killed, stopped, lost and begun
again.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.store import run as running
from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError
from loadbalancer.store.settings import StoreSettings, read_store
from loadbalancer.testbed.balancer import free_port
from loadbalancer.testbed.topology import Unusable

READY_S = 15.0


@dataclass(eq=False)
class Member:
    """A process and its folder; a new number after the folder was lost."""

    place: int
    path: Path  # of its settings
    settings: StoreSettings
    number: int = 0
    process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        return self.settings.advertise

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None


class RealCluster:
    def __init__(self, folder: Path, size: int, extra: str = "") -> None:
        self.folder = folder
        self.members: list[Member] = []
        for place in range(size):
            path = folder / f"{place}.toml"
            path.write_text(f'folder = "node-{place}"\nlisten = "127.0.0.1:{free_port()}"\n{extra}')
            self.members.append(Member(place, path, read_store(path)))

    @property
    def addresses(self) -> list[str]:
        return [m.address for m in self.members]

    def client(self, name: str = "lab", deadline_s: float = 5.0) -> Client:
        return Client(self.addresses, name=name, deadline_s=deadline_s)

    def settle(self, member: Member, extra: str) -> None:
        """More settings of one that does not run."""
        member.path.write_text(member.path.read_text() + extra)
        member.settings = read_store(member.path)

    async def start(self, voters: int = 0) -> None:
        """The first makes the cluster, the others join it; so many get votes, 0: all."""
        first = self.members[0]
        first.number = running.init(first.settings, name="0").node
        await self.begin(first)
        for member in self.members[1:]:
            await self.join(member, votes=not voters or member.place < voters)

    async def begin(self, member: Member, old: int = 0) -> None:
        """`old`: its program knows formats of the state up to this one; 0: all."""
        log = open(self.folder / f"{member.place}.log", "ab")  # noqa: SIM115 (the child keeps it)
        module = "loadbalancer.testbed.rig.launcher" if old else "loadbalancer.cli.main"
        try:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                "store",
                "run",
                "--settings",
                str(member.path),
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, "LOADBALANCER_TESTBED_OLD": str(old)},
            )
        finally:
            log.close()
        assert member.process.stdout is not None
        async with asyncio.timeout(READY_S):
            if not await member.process.stdout.readline():
                raise Unusable(
                    f"node {member.place} did not start: see {self.folder}/{member.place}.log"
                )

    async def join(
        self, member: Member, patience_s: float = 30.0, old: int = 0, votes: bool = True
    ) -> None:
        """With a new folder and number."""
        client = self.client("join", 10.0)
        try:
            status = await client.status()
            member.number = running.prepare(
                member.settings, status["cluster"], str(member.place)
            ).node
            await self.insist(client, "learn", member.number, member.address, patience_s)
            await self.begin(member, old)
            if votes:
                await self.insist(client, "promote", member.number, "", patience_s)
        finally:
            await client.close()

    @staticmethod
    async def insist(
        client: Client, what: str, number: int, address: str, patience_s: float
    ) -> None:
        """Members change one at a time, and a learner has to catch up first."""
        until = time.monotonic() + patience_s
        while True:
            try:
                await client.administer(what, number, address, 3.0)
                return
            except StoreError as error:
                if "is no member" in str(error):
                    return  # done by a try whose answer was lost
                if time.monotonic() > until:
                    raise
                await asyncio.sleep(0.1)

    async def kill(self, member: Member, how: signal.Signals = signal.SIGKILL) -> None:
        if member.up:
            assert member.process is not None
            member.process.send_signal(how)
            await member.process.wait()

    def pause(self, member: Member, on: bool) -> None:
        if member.up:
            assert member.process is not None
            member.process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    async def lose(self, member: Member) -> None:
        """Its disk is gone for good."""
        await self.kill(member)
        shutil.rmtree(member.settings.folder)

    async def replace(self, member: Member) -> None:
        """Take out the number that is lost, and join anew."""
        client = self.client("replace", 10.0)
        try:
            await self.insist(client, "remove", member.number, "", 30.0)
        finally:
            await client.close()
        await self.join(member)

    async def leader(self, within_s: float = 10.0) -> Member:
        until = time.monotonic() + within_s
        client = self.client("leader", 2.0)
        try:
            while time.monotonic() < until:
                with suppress(StoreError):
                    found = (await client.status())["leader"]
                    for member in self.members:
                        if member.up and found == f"{member.number:x}":
                            return member
                await asyncio.sleep(0.02)
        finally:
            await client.close()
        raise Unusable("the cluster has no leader")

    async def level(self, within_s: float = 60.0) -> bool:
        """Wait until all nodes that there are have applied the same, and all of it; False: they
        have not.
        """
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            seen = set()
            for member in self.members:
                one = Client([member.address], deadline_s=2.0)
                try:
                    status = await one.status()
                    seen.add((status["applied"], status["last"], status["leader"]))
                except StoreError:
                    seen.add((-1, member.place, ""))
                finally:
                    await one.close()
            if len(seen) == 1 and all(applied == last for applied, last, _ in seen):
                return True
            await asyncio.sleep(0.05)
        return False

    async def stop(self) -> None:
        for member in self.members:
            if member.up:
                self.pause(member, False)
        await asyncio.gather(*(self.kill(m, signal.SIGTERM) for m in self.members))

    def end(self) -> None:
        """Whatever is left."""
        for member in self.members:
            if member.up and member.process is not None:
                with suppress(ProcessLookupError):
                    os.kill(member.process.pid, signal.SIGKILL)

"""A store of three nodes and balancers that use it, started as `docs/operate/store.md` says."""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

from bed import HOST, ROOT, Bed, Program, SetupError, Upstream, free_port

COMMAND = ROOT / "review/bed-2/.venv/bin/loadbalancer"
NODES = 3
TRIES = 60
CLASSES = """
[[class]]
name = "lookup"
effect = "safe"
aim = "200ms"
deadline = "500ms"
worth = 3

[[class]]
name = "book-delivery"
aim = "750ms"
deadline = "3s"
worth = 2

[[tenant]]
name = "gold-coast-oil"
share = 0.6

[[tenant]]
name = "volta-fuels"
share = 0.4
"""


class Store:
    """A store of three nodes."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.ports = [free_port() for _ in range(NODES)]
        self.nodes: list[Program] = []

    @property
    def addresses(self) -> list[str]:
        """The addresses of all nodes."""
        return [f"{HOST}:{port}" for port in self.ports]

    def _settings(self, number: int) -> Path:
        return self.bed.folder / f"node-{number}.toml"

    async def command(self, arguments: str, *, must_succeed: bool = True) -> str:
        """Run a command of the operators to its end; return what it said."""
        name = f"loadbalancer {' '.join(arguments.split()[:2])}"
        program = await self.bed.start_program(
            name,
            f"exec {COMMAND} {arguments}",
            {"LOADBALANCER_STORE": ",".join(self.addresses), "COLUMNS": "200"},
        )
        await program.process.wait()
        await program.reading
        said = " ".join(program.lines)
        if must_succeed and program.process.returncode:
            raise SetupError(f"{name}: {said}")
        return said

    async def run_node(self, number: int) -> Program:
        """Start a node's program."""
        return await self.bed.start_program(
            f"node {number}", f"exec {COMMAND} store run --settings {self._settings(number)}"
        )

    async def start(self) -> None:
        """Make the cluster: the first node, then two that join it and get a vote."""
        if not COMMAND.exists():
            raise SetupError("review/build-2.sh has not run")
        for number, port in enumerate(self.ports):
            settings = f'folder = "node-{number}"\nlisten = "{HOST}:{port}"\n'
            self._settings(number).write_text(settings, encoding="utf-8")
        await self.command(f"store init --settings {self._settings(0)}")
        self.nodes.append(await self.run_node(0))
        await self._until_done("store status")
        for number in range(1, NODES):
            said = await self._until_done(f"store join --settings {self._settings(number)}")
            found = re.search(r"node ([0-9a-f]+)", said)
            if found is None:
                raise SetupError(said)
            self.nodes.append(await self.run_node(number))
            await self._until_done(f"store promote {found.group(1)}")

    async def _until_done(self, arguments: str) -> str:
        for _ in range(TRIES):
            said = await self.command(arguments, must_succeed=False)
            if not self.bed.programs[-1].process.returncode:
                return said
            await asyncio.sleep(0.3)
        raise SetupError(f"{arguments}: {said}")

    async def leader(self) -> int:
        """Return which of the nodes leads."""
        said = await self.command("store status --json")
        found = re.search(r'"address": "[^"]*:(\d+)",\s+"voter": true,\s+"leads": true', said)
        if found is None:
            raise SetupError("no leader")
        return self.ports.index(int(found.group(1)))

    def kill(self, number: int) -> None:
        """Kill a node."""
        self.nodes[number].send(signal.SIGKILL)

    async def restart(self, number: int) -> None:
        """Start a node again that was killed."""
        await self.nodes[number].process.wait()
        self.nodes[number] = await self.run_node(number)


def server_tables(upstreams: list[Upstream]) -> str:
    """Return the `[[server]]` tables of a fixed list."""
    return "".join(
        f'\n[[server]]\nid = "{u.name}"\naddress = "{HOST}:{u.port}"\n' for u in upstreams
    )


def store_table(store: Store, more: str) -> str:
    """Return the `[store]` table of a balancer."""
    addresses = ", ".join(f'"{address}"' for address in store.addresses)
    return (
        f"\n[store]\naddresses = [{addresses}]\n"
        f'service = "orders"\nbalancer = "accra-1"\nfolder = "state"\n{more}'
    )


async def serve(bed: Bed, name: str, settings: str) -> Program:
    """Start a balancer from a settings file."""
    (bed.folder / "state").mkdir(exist_ok=True)
    path = bed.folder / f"{name}.toml"
    path.write_text(settings, encoding="utf-8")
    return await bed.start_program(name, f"exec {COMMAND} serve --settings {path}")

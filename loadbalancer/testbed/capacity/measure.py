"""The measurement: balancer and relay by turns on one core, clients and upstreams on others."""

from __future__ import annotations

import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import TextIO

from hdrh.histogram import HdrHistogram

from loadbalancer.settings import Json
from loadbalancer.testbed.balancer import environment, free_port, prepare
from loadbalancer.testbed.topology import Unusable

BLAST = "loadbalancer.testbed.capacity.blast"
RELAY = "loadbalancer.testbed.capacity.relay"
UPSTREAMS, SERVERS, CLIENTS = (
    16,
    4,
    4,
)  # upstreams, and the processes that play them and the clients
PART = 0.5  # of its own capacity, at which times are taken in an open loop
WARM_S = 1.0
READY_S = 20.0
TICK_S = 1 / os.sysconf("SC_CLK_TCK")
SECOND = 1_000_000_000
SETTINGS: Json = {
    "profiles": [
        {"name": "lookup", "repeat": "read_like", "aim_ns": SECOND, "hard_limit_ns": 2 * SECOND}
    ],
    "realms": [{"name": "ash", "share": 1.0}],
    "limits": {"send_cap": 3, "second_copies": False, "may_cancel": True, "retry_after": True},
    "registry_mode": "push",
}


@dataclass(slots=True)
class Side:
    """One of the two that are measured."""

    name: str
    per_s: list[float] = field(default_factory=list)
    cpu_us: list[float] = field(default_factory=list)
    wrong: int = 0
    peak_kb: int = 0
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))


class Run:
    """All processes of a measurement; leaving the block ends them."""

    def __init__(
        self, core: int, others: Sequence[int], connections: int, command: Sequence[str]
    ) -> None:
        self.core = core
        self.others = others
        self.connections = connections
        self.command = command
        self.processes: list[subprocess.Popen[str]] = []
        self.folder = tempfile.TemporaryDirectory(prefix="loadbalancer-capacity-")
        self.dealt = 0

    def __enter__(self) -> Run:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()

    def _start(
        self, core: int, *command: str, env: dict[str, str] | None = None, log: TextIO | None = None
    ) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [*command],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env=env,
            stderr=log,
            start_new_session=True,
        )
        os.sched_setaffinity(process.pid, {core})
        self.processes.append(process)
        return process

    def _other(self) -> int:
        self.dealt += 1
        return self.others[(self.dealt - 1) % len(self.others)]

    @staticmethod
    def _line(process: subprocess.Popen[str]) -> str:
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line or line.startswith("error"):
            raise Unusable(f"the measurement broke off: {line.strip() or 'a process ended'}")
        return line

    def upstreams(self, count: int = UPSTREAMS, processes: int = SERVERS) -> list[int]:
        least, more = divmod(count, processes)
        started = [
            self._start(
                self._other(), sys.executable, "-m", BLAST, "answer", str(least + (n < more))
            )
            for n in range(processes)
        ]
        return [int(port) for process in started for port in self._line(process).split()]

    def relay(self, ports: Sequence[int]) -> tuple[subprocess.Popen[str], int]:
        process = self._start(self.core, sys.executable, "-m", RELAY, *map(str, ports))
        return process, int(self._line(process))

    def balancer(
        self, ports: Sequence[int], tenants: Sequence[Json] = ()
    ) -> tuple[subprocess.Popen[str], int]:
        """`tenants`: as the platform's settings name them; none: the one that clients come as."""
        port = free_port()
        discovery = free_port()  # an address where no discovery is: the list as known stands
        known = {
            "version": 1,
            "full": True,
            "servers": [
                {"id": f"s-{i}", "addr": f"127.0.0.1:{p}", "state": "Ready"}
                for i, p in enumerate(ports)
            ],
        }
        settings = {**SETTINGS, "realms": [*SETTINGS["realms"], *tenants]}
        config = Path(self.folder.name) / f"config-{port}.json"
        prepare(
            config,
            name="n0",
            listen=f"127.0.0.1:{port}",
            discovery=f"127.0.0.1:{discovery}",
            seed="7",
            known=known,
            settings=settings,
        )
        with (Path(self.folder.name) / "log").open("w") as log:
            process = self._start(
                self.core, *self.command, log=log, env=environment(config, Path(self.folder.name))
            )
        _wait_for(port)
        return process, port

    def clients(self, port: int) -> list[subprocess.Popen[str]]:
        least, more = divmod(self.connections, CLIENTS)
        parts = [least + (n < more) for n in range(CLIENTS)]
        started = [
            self._start(
                self._other(), sys.executable, "-m", BLAST, "ask", str(port), str(part), str(n)
            )
            for n, part in enumerate(parts)
            if part
        ]
        for process in started:
            self._line(process)
        return started

    def burst(
        self, clients: Sequence[subprocess.Popen[str]], seconds: float, per_s: float = 0.0
    ) -> tuple[int, int, float, list[HdrHistogram]]:
        for process in clients:
            assert process.stdin is not None
            process.stdin.write(f"{seconds} {per_s / len(clients)}\n")
            process.stdin.flush()
        rows = [self._line(process).split() for process in clients]
        return (
            sum(int(r[0]) for r in rows),
            sum(int(r[1]) for r in rows),
            max(float(r[2]) for r in rows),
            [HdrHistogram.decode(r[3]) for r in rows],
        )


def _wait_for(port: int) -> None:
    ends = time.monotonic() + READY_S
    while time.monotonic() < ends:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as link:
                link.sendall(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                if b" 200 " in link.recv(1024):
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise Unusable("the balancer did not get ready")


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def _peak_kb(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1])
    return 0


def measure(
    connections: int,
    seconds: float,
    pairs: int,
    command: Sequence[str] = (),
    heard: Callable[[int, float, float], None] = lambda pair, ours, relay: None,
) -> Json:
    """Balancer and relay by turns, so many pairs. Rates in a closed loop; times in an open one, at
    half of what each bears, from when each request was due.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 3:
        raise Unusable("capacity needs three cores: one for what is measured, two for the rest")
    with Run(
        cores[0], cores[1:], connections, command or (sys.executable, "-m", "loadbalancer")
    ) as run:
        ports = run.upstreams()
        made = {"balancer": run.balancer(ports), "relay": run.relay(ports)}
        clients = {name: run.clients(port) for name, (_, port) in made.items()}
        sides = {name: Side(name) for name in made}
        for name in made:
            run.burst(clients[name], WARM_S)
        for pair in range(pairs):
            for name, side in sides.items():
                pid = made[name][0].pid
                before = _cpu_s(pid)
                answers, wrong, took, _ = run.burst(clients[name], seconds)
                side.cpu_us.append((_cpu_s(pid) - before) / max(1, answers) * 1e6)
                side.per_s.append(answers / took)
                side.wrong += wrong
            heard(pair + 1, sides["balancer"].per_s[-1], sides["relay"].per_s[-1])
        for name, side in sides.items():
            _, wrong, _, found = run.burst(
                clients[name], seconds, PART * statistics.median(side.per_s)
            )
            side.wrong += wrong
            for histogram in found:
                side.times.add(histogram)
            side.peak_kb = _peak_kb(made[name][0].pid)
        made["balancer"][0].send_signal(signal.SIGTERM)
    ours, relay = sides["balancer"], sides["relay"]
    ratios = [a / b for a, b in zip(ours.per_s, relay.per_s, strict=True)]
    return {
        "connections": connections,
        "pairs": pairs,
        "seconds": seconds,
        "ratio": {"median": statistics.median(ratios), "least": min(ratios), "most": max(ratios)},
        **{side.name: _figures(side) for side in (ours, relay)},
    }


def _figures(side: Side) -> Json:
    return {
        "per_s": statistics.median(side.per_s),
        "per_s_least": min(side.per_s),
        "per_s_most": max(side.per_s),
        "cpu_us": statistics.median(side.cpu_us),
        "peak_mb": side.peak_kb / 1024,
        "wrong": side.wrong,
        "ms": {f"p{p:g}": side.times.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)},
    }

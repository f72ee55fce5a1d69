"""Real balancer processes: what one adds to a request on sockets, beside the way straight to the
upstream; and what one costs that nobody asks anything.
"""

from __future__ import annotations

import os
import signal
import statistics
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path

from hdrh.histogram import HdrHistogram

from loadbalancer.settings import Json
from loadbalancer.testbed.capacity.measure import WARM_S, Run
from loadbalancer.testbed.size.balancer import Heard, Series, Told
from loadbalancer.testbed.size.fit import Slope
from loadbalancer.testbed.size.process import cpu_s, resident_kb
from loadbalancer.testbed.topology import Unusable

CONNECTIONS = 4  # one a process: one that is never used is closed by the balancer after a while
LISTENERS = 256  # of one process that plays upstreams
SETTLE_S = 2.0
LOOK_S = 0.3
TURN_S = 2.0  # of each side: clients' connections must not stand idle until they are closed
FIRST_PORT = 1024  # of upstreams that are listed and never asked


def tenants(count: int) -> list[Json]:
    return [{"name": f"tenant-{i:06d}", "share": 1.0} for i in range(count)]


def idle_by_core() -> dict[int, int]:
    """Ticks that each core had nothing to do so far."""
    rows = [line.split() for line in Path("/proc/stat").read_text().splitlines()]
    return {int(row[0][3:]): int(row[4]) for row in rows if row[0][:3] == "cpu" and row[0] != "cpu"}


def _run(command: Sequence[str]) -> Run:
    """What is measured runs on the core that lately had least to do."""
    before = idle_by_core()
    time.sleep(LOOK_S)
    after = idle_by_core()
    cores = sorted(os.sched_getaffinity(0), key=lambda core: before[core] - after[core])
    if len(cores) < 3:
        raise Unusable("sockets need three cores: one for what is measured, two for the rest")
    return Run(cores[0], cores[1:], CONNECTIONS, command)


def p99_ms(found: Sequence[HdrHistogram]) -> float:
    total = HdrHistogram(1, 60_000_000, 3)
    for histogram in found:
        total.add(histogram)
    return float(total.get_value_at_percentile(99)) / 1000


def added(
    command: Sequence[str],
    counts: Sequence[int],
    rates: Sequence[float],
    repeats: int,
    seconds: float,
    told: Told,
    heard: Heard,
) -> tuple[list[Slope], dict[str, float]]:
    """What a balancer adds to the 99th percentile, in ms, by listed upstreams: the difference to
    clients that ask one upstream straight, by turns, the middle one of so many. Also what was
    measured of both sides.
    """
    series = {rate: Series("upstreams", told) for rate in rates}
    figures: dict[str, float] = {}
    for count in counts:
        with _run(command) as run:
            ports = run.upstreams(count, -(-count // LISTENERS))
            process, port = run.balancer(ports)
            sides = {}
            for name, door in (("direct", ports[0]), ("balancer", port)):
                sides[name] = run.clients(door)
                run.burst(
                    sides[name], min(seconds, WARM_S), rates[0]
                )  # at once, or connections are closed
            for rate in rates:
                p99: dict[str, list[float]] = {name: [] for name in sides}
                wrong = 0
                for _ in range(repeats):
                    seen: dict[str, list[HdrHistogram]] = {name: [] for name in sides}
                    for _ in range(max(1, round(seconds / TURN_S))):
                        for name, clients in sides.items():
                            _, refused, _, found = run.burst(clients, min(seconds, TURN_S), rate)
                            wrong += refused
                            seen[name] += found
                    for name, found in seen.items():
                        p99[name].append(p99_ms(found))
                more = [a - b for a, b in zip(p99["balancer"], p99["direct"], strict=True)]
                series[rate].by_size[count] = {"added": statistics.median(more)}
                where = f"{count} upstreams at {rate:g}/s"
                figures |= {
                    f"{where}: balancer p99 ms": statistics.median(p99["balancer"]),
                    f"{where}: direct p99 ms": statistics.median(p99["direct"]),
                    f"{where}: answers other than 200": wrong,
                    f"{where}: added, least of the runs ms": min(more),
                    f"{where}: added, most of the runs ms": max(more),
                }
                heard(
                    f"{where}: {statistics.median(more):.2f} ms added, {min(more):.2f} to "
                    f"{max(more):.2f}, "
                    f"{wrong} answers other than 200"
                )
            process.send_signal(signal.SIGTERM)
    return [
        slope
        for rate in rates
        for slope in series[rate].slope("added", f"sockets.p99-added.at-{rate:g}", "ms")
    ], figures


def at_rest(
    command: Sequence[str],
    upstreams: Sequence[int],
    tenant_counts: Sequence[int],
    seconds: float,
    told: Told,
    heard: Heard,
) -> list[Slope]:
    """CPU time a second of balancers that are asked nothing while discovery is away, and the memory
    of the whole process: by listed upstreams, and by tenants.
    """
    slopes: list[Slope] = []
    for per, counts in (("upstreams", upstreams), ("tenants", tenant_counts)):
        series = Series(per, told)
        with _run(command) as run:
            started: dict[int, subprocess.Popen[str]] = {}
            for count in counts:
                listed = range(FIRST_PORT, FIRST_PORT + (count if per == "upstreams" else 16))
                started[count], _ = run.balancer(listed, tenants(count if per == "tenants" else 10))
            time.sleep(min(seconds, SETTLE_S))
            before = {count: cpu_s(process.pid) for count, process in started.items()}
            time.sleep(seconds)
            for count, process in started.items():
                spent, held = (
                    (cpu_s(process.pid) - before[count]) / seconds,
                    resident_kb(process.pid),
                )
                if not held:
                    raise Unusable("a balancer ended while it was measured")
                series.by_size[count] = {"ms": 1e3 * spent, "kb": held}
        heard(f"at rest, by {per}")
        slopes += [
            *series.slope("ms", f"rest.by-{per}", "ms"),
            *series.slope("kb", f"process.memory.by-{per}", "MB", 1 / 1024),
        ]
    return slopes

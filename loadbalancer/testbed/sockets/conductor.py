"""The conductor of a socket run: starts the parties and real balancers, keeps the schedule, closes
the books.

Whatever ends it, Ctrl-C included, it leaves no process behind.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from loadbalancer.settings import Json
from loadbalancer.testbed import results
from loadbalancer.testbed import topology as topo
from loadbalancer.testbed.balancer import environment, prepare
from loadbalancer.testbed.model.faults import Step, schedule, steps
from loadbalancer.testbed.model.series import SERIES_NS, TAIL_NS
from loadbalancer.testbed.model.workload import Workload, quotas
from loadbalancer.testbed.sockets.facts import Books, Writer
from loadbalancer.testbed.topology import Topology, Unusable
from loadbalancer.testbed.virtual import Outcome
from loadbalancer.units import Duration

MS = 1_000_000
SECOND = 1000 * MS
MINUTE_NS = 60 * SECOND
START_S = 20.0  # a party or a balancer that is not ready by then ends the run
SLACK = Duration(50 * MS)  # on sockets every limit is this much longer
LATE_P99_MS, LATE_MOST_MS = (
    20.0,
    400.0,
)  # a lab that ran later than this says nothing about its victim
LEAVE_S = 6.0
PR_SET_PDEATHSIG = 1
Look = Callable[[Json], None]


def die_with_parent() -> None:
    with suppress(OSError, AttributeError):
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(eq=False)
class Child:
    """A party: orders go in, word comes back."""

    name: str
    process: asyncio.subprocess.Process
    ready: asyncio.Future[Json]
    done: asyncio.Future[Json]
    status: Json = field(default_factory=dict)
    reader: asyncio.Task[None] | None = None

    def order(self, **what: Any) -> None:
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(what).encode() + b"\n")


@dataclass(eq=False)
class Real:
    """A balancer process, its address, and what became of it."""

    number: int
    port: int
    config: Path
    scratch: Path
    core: int | None
    process: asyncio.subprocess.Process | None = None
    meant_down: bool = True
    peak_kb: int = 0
    minutes_kb: list[int] = field(default_factory=list)  # what it holds, once a minute


class Conductor:
    def __init__(self, t: Topology, seed: int, folder: Path, look: Look) -> None:
        self.t = t
        self.seed = seed
        self.folder = folder
        self.look = look
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{seed}/conductor")
        self.parties: list[Child] = []
        self.real: list[Real] = []
        self.facts: list[Path] = []
        self.own: list[tuple[int, str, int]] = []  # facts of its own: kills and starts
        self.tasks: set[asyncio.Task[None]] = set()
        self.crashes: list[str] = []
        self.faulty: list[str] = []  # what failed in the lab itself
        self.start_by_ns = 0
        self.capacity = 0.0
        cores = sorted(os.sched_getaffinity(0))
        # The lab's own parties get cores that no balancer shares, where there are enough.
        self.lab_cores = cores[-3:] if len(cores) > 3 else cores
        self.balancer_cores = cores[:-3] if len(cores) > 3 else cores

    async def run(self) -> Json:
        try:
            fleet = await self._party("fleet", 0)
            told = await asyncio.wait_for(fleet.ready, START_S)
            self.capacity = told["capacity"]
            await self._balancers(told)
            loads = await self._loads()
            return await self._play(fleet, loads)
        except TimeoutError:
            raise Unusable(
                "the lab could not start its processes in time: is the machine busy?"
            ) from None
        finally:
            await self._end_all()

    # ---- processes -------------------------------------------------------------------------------

    async def _party(self, kind: str, number: int, **told: Any) -> Child:
        name = f"{kind}-{number}"
        path = self.folder / f"{name}.facts"
        self.facts.append(path)
        core = self.lab_cores[len(self.parties) % len(self.lab_cores)]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"loadbalancer.testbed.sockets.{kind}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
            start_new_session=True,
            preexec_fn=die_with_parent,
        )
        child = Child(name, process, self.loop.create_future(), self.loop.create_future())
        child.reader = self.loop.create_task(self._hear(child))
        self.parties.append(child)
        child.order(
            topology=topo.source(self.t),
            seed=self.seed,
            facts=str(path),
            number=number,
            core=core,
            **told,
        )
        return child

    async def _hear(self, child: Child) -> None:
        assert child.process.stdout is not None
        while line := await child.process.stdout.readline():
            word = json.loads(line)
            if "ready" in word:
                child.ready.set_result(word["ready"])
            elif "done" in word:
                child.status = word["done"]
                child.done.set_result(word)
            else:
                child.status = word["status"]
        for future in (child.ready, child.done):
            if not future.done():
                future.set_exception(Unusable(f"the lab's own {child.name} ended early"))
                future.exception()

    async def _balancers(self, told: Json) -> None:
        shares = quotas(self.t, self.capacity)
        held = []
        for n in range(self.t.balancers.count):
            taken = socket.socket()  # held until all ports are drawn, so that no two are the same
            taken.bind(("127.0.0.1", 0))
            held.append(taken)
            scratch = self.folder / f"balancer-{n}"
            scratch.mkdir()
            config = self.folder / f"balancer-{n}.json"
            port = taken.getsockname()[1]
            prepare(
                config,
                name=f"n{n}",
                listen=f"127.0.0.1:{port}",
                discovery=f"127.0.0.1:{told['lists'][n]}",
                known=told["known"][n],
                seed=f"{random.Random(f'{self.seed}/real/{n}').getrandbits(60):x}",
                settings=topo.settings(self.t, n, shares),
            )
            core = self.balancer_cores[n % len(self.balancer_cores)]
            self.real.append(Real(n, port, config, scratch, core))
        for taken in held:
            taken.close()
        await asyncio.gather(*(self._start(real) for real in self.real))

    async def _start(self, real: Real) -> None:
        def settle() -> None:
            die_with_parent()
            if real.core is not None:
                os.sched_setaffinity(0, {real.core})

        log = (self.folder / f"balancer-{real.number}.log").open("ab")
        real.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer",
            stdout=log,
            stderr=log,
            start_new_session=True,
            preexec_fn=settle,
            env=environment(real.config, real.scratch),
        )
        log.close()
        real.meant_down = False
        self._spawn(self._watch(real, real.process))
        async with asyncio.timeout(START_S):
            while not await self._ready(real):
                if real.meant_down:  # it ended, or the schedule took it down again
                    return
                await asyncio.sleep(0.02)

    async def _ready(self, real: Real) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", real.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(2.0):
                return b" 200 " in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def _watch(self, real: Real, process: asyncio.subprocess.Process) -> None:
        """A balancer that ends and was not meant to has crashed."""
        status = await process.wait()
        if real.process is process and not real.meant_down:
            real.meant_down = True
            self.crashes.append(f"balancer {real.number} ended by itself, status {status}")

    def _sample(self, real: Real) -> None:
        """Its memory's peak and its CPU time, while it lives."""
        if real.process is None or real.process.returncode is not None:
            return
        with suppress(OSError, KeyError):  # it may have ended a moment ago
            text = Path(f"/proc/{real.process.pid}/status").read_text()
            rows = (line.split() for line in text.splitlines() if line.startswith("Vm"))
            kb = {row[0]: int(row[1]) for row in rows}
            real.peak_kb = max(real.peak_kb, kb["VmHWM:"])
            if time.monotonic_ns() - self.start_by_ns > MINUTE_NS * len(real.minutes_kb):
                real.minutes_kb.append(kb["VmRSS:"])

    async def _loads(self) -> list[Child]:
        count = min(2, len(self.t.network.zones))
        addresses = [["127.0.0.1", real.port] for real in self.real]
        loads = []
        for number in range(count):
            zones = list(range(number, len(self.t.network.zones), count))
            loads.append(
                await self._party(
                    "load", number, addresses=addresses, capacity=self.capacity, zones=zones
                )
            )
        for load in loads:
            await asyncio.wait_for(load.ready, START_S)
        return loads

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._noticed)
        return task

    def _noticed(self, task: asyncio.Task[None]) -> None:
        """A part of the lab that failed is a failure of the run, not of the balancer it watches."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.faulty.append(f"{type(error).__name__}: {error}")

    # ---- the run ---------------------------------------------------------------------------------

    async def _play(self, fleet: Child, loads: Sequence[Child]) -> Json:
        faults = schedule(self.t, self.seed)
        plan = steps(self.t, faults, self.seed)
        self.start_by_ns = time.monotonic_ns() + SECOND
        for child in (fleet, *loads):
            child.order(go=self.start_by_ns)
        watch = self._spawn(self._watch_parties(fleet, loads))
        for step in plan:
            await self._until(self.start_by_ns + step.at_ns)
            self._step(step, fleet, loads)
        await self._until(self.start_by_ns + self.t.length + TAIL_NS)
        watch.cancel()
        for child in (fleet, *loads):
            child.order(end=True)
        ended = {c.name: await asyncio.wait_for(c.done, START_S) for c in (fleet, *loads)}
        await self._leave()
        return await asyncio.to_thread(self._close_books, faults, plan, fleet, loads, ended)

    async def _until(self, when_ns: int) -> None:
        wait = (when_ns - time.monotonic_ns()) / 1e9
        if wait > 0:
            await asyncio.sleep(wait)

    def _step(self, step: Step, fleet: Child, loads: Sequence[Child]) -> None:
        if step.what == "balancer down":
            real = self.real[step.whom]
            if not real.meant_down and real.process is not None:
                self._sample(real)
                real.meant_down = True
                self.own.append((time.monotonic_ns(), "killed", real.number))
                real.process.kill()
                notice = (
                    self.rng.uniform(self.t.balancers.notice.low, self.t.balancers.notice.high)
                    / 1e9
                )
                self._spawn(self._notice(real, loads, notice))
        elif step.what == "balancer up":
            self._spawn(self._bring_back(self.real[step.whom], fleet, loads))
        else:
            for child in (fleet, *loads):
                child.order(
                    step=step.what, whom=step.whom, size=step.size, name=step.name, part=step.part
                )

    async def _notice(self, real: Real, loads: Sequence[Child], wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        if real.meant_down:
            for load in loads:
                load.order(front=real.number, up=False)

    async def _bring_back(self, real: Real, fleet: Child, loads: Sequence[Child]) -> None:
        if not real.meant_down:
            return
        if real.process is not None:
            await real.process.wait()
        self.own.append((time.monotonic_ns(), "born", real.number))
        await self._start(real)
        for load in loads:
            load.order(front=real.number, up=True)

    async def _watch_parties(self, fleet: Child, loads: Sequence[Child]) -> None:
        """Twice a second, a look for whoever watches."""
        while True:
            await asyncio.sleep(SERIES_NS / 1e9)
            for real in self.real:
                self._sample(real)
            now: dict[str, int] = {}
            for load in loads:
                for key, count in load.status.items():
                    now[key] = now.get(key, 0) + count
            self.look(
                {
                    "at_s": (time.monotonic_ns() - self.start_by_ns) / 1e9,
                    "length_s": self.t.length / 1e9,
                    "loads": now,
                    "fleet": fleet.status,
                    "balancers": [
                        {"up": not r.meant_down, "peak_mb": r.peak_kb / 1024} for r in self.real
                    ],
                }
            )

    async def _leave(self) -> None:
        """SIGTERM to all balancers: each is to end by itself, and well."""
        for real in self.real:
            self._sample(real)
            if real.process is not None and not real.meant_down:
                real.meant_down = True
                real.process.terminate()
                try:
                    status = await asyncio.wait_for(real.process.wait(), LEAVE_S)
                except TimeoutError:
                    status = None
                if status != 0:
                    self.crashes.append(
                        f"balancer {real.number} did not leave on SIGTERM: {status}"
                    )

    async def _end_all(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        processes = [c.process for c in self.parties]
        processes += [r.process for r in self.real if r.process is not None]
        for process in processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in processes:
            await process.wait()

    # ---- the books -------------------------------------------------------------------------------

    def _close_books(
        self,
        faults: Sequence[topo.Fault],
        plan: list[Step],
        fleet: Child,
        loads: Sequence[Child],
        ended: dict[str, Json],
    ) -> Json:
        own = self.folder / "conductor.facts"
        writer = Writer(own)
        for at, kind, number in self.own:
            writer.note(at, kind, number)
        writer.close()
        rules = msgspec.structs.replace(
            self.t.rules,
            answer_grace=Duration(self.t.rules.answer_grace + SLACK),
            drain_grace=Duration(self.t.rules.drain_grace + SLACK),
        )
        books = Books(msgspec.structs.replace(self.t, rules=rules), self.start_by_ns)
        books.post([own, *self.facts])
        if self.crashes:
            books.ledger.broken["no crash"] += len(self.crashes)
        status = fleet.status
        work = Workload(self.t, f"{self.seed}/clients/0", self.capacity, 0)
        wasted = status["wasted"] / work.work_asked()
        judged = books.ledger.judge(books.last_ns + SECOND, wasted, books.crossed, status["probes"])
        outcome = Outcome(
            judged,
            books.ledger,
            books.series.moments,
            plan,
            list(faults),
            status["boxes"],
            work.rate,
            self.capacity,
            list(self.crashes),
        )
        found = results.result(self.t, self.seed, outcome, "here", "sockets")
        late = [
            f"{name}: p99 {word['lag_p99_ms']} ms, most {word['lag_most_ms']} ms"
            for name, word in ended.items()
            if word["lag_p99_ms"] > LATE_P99_MS or word["lag_most_ms"] > LATE_MOST_MS
        ]
        found["lab_lag_ms"] = {
            name: {"p99": word["lag_p99_ms"], "most": word["lag_most_ms"]}
            for name, word in ended.items()
        }
        reasons = [f"the lab itself ran late ({'; '.join(late)})"] if late else []
        reasons += [f"a part of the lab failed ({error})" for error in self.faulty]
        found["void"] = "; ".join(reasons)
        found["balancers"] = [
            {
                "balancer": r.number,
                "peak_mb": round(r.peak_kb / 1024, 1),
                "minutes_mb": [round(kb / 1024, 1) for kb in r.minutes_kb],
            }
            for r in self.real
        ]
        for breach in found["breaches"]:
            breach["at_ns"] -= self.start_by_ns
        return found


def run(t: Topology, seed: int, look: Look = lambda seen: None) -> Json:
    """Play a topology with real balancers on loopback; the result as `lab.results` lays it out,
    with the lab's own lag, and `void` where that was too much. Raises Unusable; an interrupt leaves
    nothing behind.
    """
    with tempfile.TemporaryDirectory(prefix="loadbalancer-lab-") as folder:

        async def play() -> Json:
            task = asyncio.current_task()
            assert task is not None
            for number in (signal.SIGINT, signal.SIGTERM):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            return await Conductor(t, seed, Path(folder), look).run()

        try:
            return asyncio.run(play())
        except asyncio.CancelledError:
            raise KeyboardInterrupt from None

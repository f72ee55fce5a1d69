"""One order box: cores, a bounded queue, a crowd that slows it, keys it remembers, a cold start,
reports.

A box is a queue in front of as many places as it has cores. All that is in work goes on at one
speed, which changes with the box's state; so progress is kept as one running sum of work done for
each place (the virtual time of processor sharing), and a job ends when the sum reaches what it
stood at when it began plus its work. Pure: every call is handed the clock, nanoseconds; `due` says
when `advance` wants to be called next.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from loadbalancer.testbed.topology import Fleet, Machine, Rules
from loadbalancer.units import Numbers, Times

SECOND = 1_000_000_000
COLD_STEP_NS = SECOND // 20  # a cold box's speed is set anew so often
ERROR_NS = 500_000  # work of an answer that fails fast
UTIL_NS = SECOND // 2  # how far back `util` looks


class Verdict(Enum):
    """How a job ended at the box."""

    SERVED = "served"
    ERROR = "error"  # it ran, and its answer is an error
    TURNED_AWAY = "turned away"  # never ran
    EXPIRED = "expired"  # its time was over before it began: never ran
    LOST = "lost"  # the box died with it


@dataclass(slots=True, eq=False)
class Job:
    """One attempt as a box meets it. `work` in nanoseconds on the yardstick machine."""

    ticket: str
    owner: int  # the balancer that sent it
    work: float
    key: str
    deadline_ns: int
    on_end: Callable[[Job, Verdict, int], None]
    began_ns: int = -1
    finish: float = 0.0  # the box's sum at which it is done
    fails: bool = False
    over: bool = False


class Report(NamedTuple):
    """A load report: the part of cores busy, and the recent time for a request without its wait,
    ms.
    """

    util: float
    latency_ms: float


class KeyMemory:
    """The keys that the boxes of one cell have met lately; the least recently met go first."""

    def __init__(self, lasts_ns: int, most: int) -> None:
        self.lasts_ns = lasts_ns
        self.most = most
        self.met: OrderedDict[str, int] = OrderedDict()

    def meet(self, key: str, now: int) -> bool:
        """Note that a key is met; was it remembered?"""
        then = self.met.pop(key, None)
        self.met[key] = now
        if len(self.met) > self.most:
            self.met.popitem(last=False)
        return then is not None and now - then <= self.lasts_ns


@dataclass(slots=True)
class Nature:
    """What a box is like, drawn once."""

    machine: str
    cores: int
    speed: float
    queue: int
    crowd_slows: float
    crowd_at: float
    choke_at: float
    choke_after_ns: int
    choke: float
    choke_rest_ns: int
    choke_most_ns: int
    slow_start_capacity: float
    slow_start_ns: int
    errors: float
    key_gain: float
    handshake_work: float
    probe_work: float
    report_every_ns: int
    report_late_ns: int
    report_noise: float

    @property
    def capacity(self) -> float:
        """Work a second when warm and not crowded, in seconds on the yardstick."""
        return self.cores * self.speed


class Draw:
    """Figures drawn from the ranges of a topology."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def of(self, r: Numbers) -> float:
        drawn: float = r.low + (r.high - r.low) * self.rng.random()
        return drawn

    def ns(self, r: Times) -> int:
        return int(r.low + (r.high - r.low) * self.rng.random())


def draw_nature(fleet: Fleet, m: Machine, draw: Draw) -> Nature:
    return Nature(
        m.name,
        m.cores,
        draw.of(m.speed),
        max(0, round(draw.of(m.queue))),
        draw.of(m.crowd_slows),
        draw.of(m.crowd_at),
        draw.of(m.choke_at),
        draw.ns(m.choke_after),
        draw.of(m.choke),
        draw.ns(m.choke_rest),
        draw.ns(m.choke_most),
        draw.of(m.cold_from),
        max(1, draw.ns(m.cold)),
        draw.of(m.errors),
        draw.of(fleet.key_gain),
        draw.ns(fleet.handshake_work),
        draw.ns(fleet.probe_work),
        max(1, draw.ns(fleet.report_every)),
        draw.ns(fleet.report_late),
        draw.of(fleet.report_noise),
    )


@dataclass(slots=True)
class Counts:
    """What a box did, for the report."""

    offered: int = 0
    turned_away: int = 0
    served: int = 0
    choked_ns: int = 0
    work_done: float = 0.0
    wasted: float = 0.0  # work of jobs that were stopped or failed


@dataclass(slots=True)
class ColdWatch:
    """Rule 4: the work sent to a cold box, against what it can do meanwhile.

    The budget of any window of `overload_for` is `fall_multiple` times what the box could do in it,
    and two jobs of slack for chance. `sent` holds when, how much, and by whom.
    """

    sent: deque[tuple[int, float, int]] = field(default_factory=deque)
    total: float = 0.0

    def add(self, now: int, work: float, owner: int, window_ns: int) -> None:
        self.sent.append((now, work, owner))
        self.total += work
        while self.sent and self.sent[0][0] <= now - window_ns:
            self.total -= self.sent.popleft()[1]

    def by_owner(self) -> dict[int, float]:
        found: dict[int, float] = {}
        for _, work, owner in self.sent:
            found[owner] = found.get(owner, 0.0) + work
        return found


class Box:
    """The state machine of one box. `began(job, now)` is called as a job starts to run: that is its
    effect; `fell(now, work by owner)` when it was pushed over while cold.
    """

    def __init__(
        self,
        number: int,
        nature: Nature,
        rules: Rules,
        memory: KeyMemory,
        rng: random.Random,
        now: int = 0,
    ) -> None:
        self.number = number
        self.nature = nature
        self.rules = rules
        self.memory = memory
        self.rng = rng
        self.began: Callable[[Job, int], None] = lambda job, now: None
        self.fell: Callable[[int, dict[int, float]], None] = lambda now, work: None
        self.counts = Counts()
        self.up = True
        self.draining = False
        self.started_ns = 0  # 0: long ago, and warm
        self.slow = 1.0  # times slower, by a fault
        self.error_part = nature.errors
        self.spoilt = 0.0  # the part of its good answers that come cut off
        self.report_extra_ns = 0
        self.at = now
        self.sum = 0.0  # work done for each place
        self.debt = 0.0  # work of handshakes and probes, ahead of all jobs
        self.running: list[tuple[float, int, Job]] = []
        self.in_work = 0
        self.queue: deque[Job] = deque()
        self.queued = 0
        self.order = 0  # ties end in the order they began
        self.warmth_ns = (
            0.0  # how far a cold box has come: with time, or faster with the work it does
        )
        self.cold = ColdWatch()
        self.mean_work = 40e6
        self.crowded_since = -1
        self.choked_since = -1
        self.quiet_since = -1
        self.busy_at: deque[tuple[int, float]] = deque([(now, 0.0)])
        self.busy = 0.0
        self.latency_ms = 0.0
        self.reports: deque[tuple[int, Report]] = deque()
        self.next_report = now + int(rng.random() * nature.report_every_ns)

    # ---- speed -----------------------------------------------------------------------------------

    @property
    def held(self) -> int:
        return self.in_work + self.queued

    def coldness(self) -> float:
        """The part of its capacity that a started box has by now."""
        if not self.started_ns:
            return 1.0
        n = self.nature
        part = min(1.0, self.warmth_ns / n.slow_start_ns)
        return n.slow_start_capacity + (1.0 - n.slow_start_capacity) * part

    def speed(self) -> float:
        """Of one place in work, in yardstick time for real time."""
        n = self.nature
        speed = n.speed * self.coldness() / self.slow
        if self.choked_since >= 0:
            speed /= n.choke
        if self.held > n.crowd_at:
            speed *= 1.0 - n.crowd_slows * min(1.0, (self.held - n.crowd_at) / n.crowd_at + 0.5)
        return speed

    def able(self) -> float:
        """What it can do at this moment, work a second in nanoseconds on the yardstick."""
        return self.speed() * self.nature.cores * SECOND

    # ---- time ------------------------------------------------------------------------------------

    def advance(self, now: int) -> None:
        """Bring the box to `now`: jobs that end by then end, in order, at their own time."""
        while self.up:
            step = min(now, self._next_change())
            self._run_to(step)
            moved = self._settle(step)
            if step >= now and not moved:
                break
        self.at = max(self.at, now)

    def _next_change(self) -> int:
        """When the speed may change or a job end, whichever is first."""
        at = self._next_end()
        n = self.nature
        if self.started_ns and self.warmth_ns < n.slow_start_ns:
            at = min(at, self.at + COLD_STEP_NS)
        if self.crowded_since >= 0 and self.choked_since < 0:
            at = min(at, max(self.at, self.crowded_since + n.choke_after_ns))
        if self.choked_since >= 0:
            at = min(at, self.choked_since + n.choke_most_ns)
            if self.quiet_since >= 0:
                at = min(at, self.quiet_since + n.choke_rest_ns)
        return max(at, self.at)

    def _next_end(self) -> int:
        if not self.running:
            return 1 << 62
        left = max(0.0, self.running[0][0] - self.sum) + self.debt / self.nature.cores
        return self.at + math.ceil(left / max(1e-9, self.speed()))

    def due(self) -> int | None:
        """When `advance` wants to be called next; None: not before something comes."""
        if not self.up or not (self.running or self.choked_since >= 0):
            return None
        return self._next_change()

    def _run_to(self, to: int) -> None:
        elapsed = to - self.at
        if elapsed <= 0:
            return
        progress = elapsed * self.speed()
        if self.debt:
            paid = min(self.debt / self.nature.cores, progress)
            self.debt -= paid * self.nature.cores
            progress -= paid
        self.sum += progress
        work = progress * self.in_work
        self.counts.work_done += work
        self.busy += elapsed * min(1.0, self.in_work / self.nature.cores)
        if self.choked_since >= 0:
            self.counts.choked_ns += elapsed
        if self.started_ns and self.warmth_ns < self.nature.slow_start_ns:
            # Work warms it up to twice as fast as waiting does.
            self.warmth_ns += elapsed * (1.0 + min(1.0, self.in_work / self.nature.cores))
        self.at = to
        if to >= self.next_report:
            self._report(to)

    def _settle(self, now: int) -> bool:
        """End what is done by now, begin what waits, and turn states over; did anything move?"""
        moved = False
        while self.running and self.running[0][0] <= self.sum + 1.0 and not self.debt >= 1.0:
            _, _, job = heapq.heappop(self.running)
            if job.over:
                continue
            self.in_work -= 1
            moved = True
            took_ms = (now - job.began_ns) / 1e6
            self.latency_ms += 0.1 * (took_ms - self.latency_ms)
            if not job.fails:
                self.counts.served += 1
            self._end(job, Verdict.ERROR if job.fails else Verdict.SERVED, now)
        moved |= self._fill(now)
        self._crowding(now)
        return moved

    def _fill(self, now: int) -> bool:
        moved = False
        while self.queue and self.in_work < self.nature.cores:
            job = self.queue.popleft()
            if job.over:
                continue
            self.queued -= 1
            moved = True
            if now >= job.deadline_ns:
                self._end(job, Verdict.EXPIRED, now)
            else:
                self._begin(job, now)
        return moved

    def _begin(self, job: Job, now: int) -> None:
        work = job.work
        if job.key and self.memory.meet(job.key, now):
            work *= 1.0 - self.nature.key_gain
        job.fails = self.error_part > 0 and self.rng.random() < self.error_part
        if job.fails:
            work = min(work, ERROR_NS)
        job.began_ns = now
        job.finish = self.sum + work
        self.order += 1
        self.in_work += 1
        heapq.heappush(self.running, (job.finish, self.order, job))
        self.began(job, now)

    def _end(self, job: Job, verdict: Verdict, now: int) -> None:
        job.over = True
        job.on_end(job, verdict, now)

    def _crowding(self, now: int) -> None:
        n = self.nature
        if self.held > n.choke_at:
            if self.crowded_since < 0:
                self.crowded_since = now
            elif self.choked_since < 0 and now - self.crowded_since >= n.choke_after_ns:
                self.choked_since = now
        else:
            self.crowded_since = -1
        if self.choked_since < 0:
            self.quiet_since = -1
            return
        if self.in_work <= n.cores * 0.25:
            if self.quiet_since < 0:
                self.quiet_since = now
        else:
            self.quiet_since = -1
        rested = self.quiet_since >= 0 and now - self.quiet_since >= n.choke_rest_ns
        if rested or now - self.choked_since >= n.choke_most_ns:
            self.choked_since = self.quiet_since = self.crowded_since = -1

    # ---- what others do to it --------------------------------------------------------------------

    def offer(self, job: Job, now: int, fresh_connection: bool = False) -> None:
        """A request's last byte has come. It ends through `on_end`, at once if it is turned
        away.
        """
        self.advance(now)
        self.counts.offered += 1
        if fresh_connection:
            self.debt += self.nature.handshake_work
        self.mean_work += 0.02 * (job.work - self.mean_work)
        if self.started_ns and self.coldness() < 1.0:
            self._press(job, now)
        if not self.up:
            self._end(job, Verdict.LOST, now)
        elif self.draining or (
            self.in_work >= self.nature.cores and self.queued >= self.nature.queue
        ):
            self.counts.turned_away += 1
            self._end(job, Verdict.TURNED_AWAY, now)
        else:
            self.queue.append(job)
            self.queued += 1
            self._fill(now)
            self._crowding(now)

    def _press(self, job: Job, now: int) -> None:
        """Rule 4: all work that reaches a cold box presses on it, what it turns away included."""
        window = int(self.rules.overload_for)
        self.cold.add(now, job.work, job.owner, window)
        budget = self.rules.fall_multiple * self.nature.capacity * self.coldness() * window
        if self.cold.total > budget + 2 * self.mean_work:
            self.fell(now, self.cold.by_owner())
            self.die(now)

    def stop(self, job: Job, now: int) -> None:
        """Its sender gave it up: work on it stops."""
        self.advance(now)
        if job.over:
            return
        job.over = True
        if job.began_ns < 0:
            self.queued -= 1
        else:
            self.in_work -= 1
            left = max(0.0, job.finish - self.sum)
            self.counts.wasted += max(0.0, job.work - left)
        self._fill(now)
        self._crowding(now)

    def probe(self, now: int) -> Report:
        """Costs it a little work; gives its last report, as old as that is."""
        self.advance(now)
        self.debt += self.nature.probe_work
        if now >= self.next_report:
            self._report(now)
        late = now - self.nature.report_late_ns - self.report_extra_ns
        while len(self.reports) > 1 and self.reports[1][0] <= late:
            self.reports.popleft()
        return self.reports[0][1] if self.reports else Report(0.0, self.latency_ms)

    def _report(self, now: int) -> None:
        while len(self.busy_at) > 1 and self.busy_at[1][0] <= now - UTIL_NS:
            self.busy_at.popleft()
        then, busy = self.busy_at[0]
        util = (self.busy - busy) / (now - then) if now > then else 0.0
        self.busy_at.append((now, self.busy))
        noise = 1.0 + self.nature.report_noise * self.rng.gauss(0.0, 1.0)
        util = max(0.0, min(1.0, util * noise))
        self.reports.append((now, Report(util, self.latency_ms * max(0.1, noise))))
        if len(self.reports) > 32:
            self.reports.popleft()
        self.next_report = now + self.nature.report_every_ns

    def step(self, what: str, size: float) -> None:
        """What a schedule does to the box's nature (see `faults.Step`); what it does to its process
        and its network is the drive's part. The box must have been brought to now.
        """
        match what:
            case "slow":
                self.slow = size
            case "slow over":
                self.slow = 1.0
            case "errors":
                self.error_part = max(size, self.nature.errors)
            case "errors over":
                self.error_part = self.nature.errors
            case "spoilt" | "spoilt over":
                self.spoilt = size
            case "late reports" | "late reports over":
                self.report_extra_ns = int(size * SECOND)

    def row(self, zone: str, span_ns: int) -> dict[str, str | int | float | bool]:
        """What it did in a run of this length, for the result."""
        n, c = self.nature, self.counts
        return {
            "box": self.number,
            "machine": n.machine,
            "zone": zone,
            "speed": round(n.speed, 4),
            "offered": c.offered,
            "served": c.served,
            "turned_away": c.turned_away,
            "choked_s": round(c.choked_ns / SECOND, 3),
            "up": self.up,
            "load": round(c.work_done / (n.capacity * span_ns), 4),
        }

    def die(self, now: int) -> None:
        """The process is gone, with all it had."""
        self.up = False
        lost = [job for _, _, job in self.running if not job.over] + [
            j for j in self.queue if not j.over
        ]
        self.running.clear()
        self.queue.clear()
        self.in_work = self.queued = 0
        self.choked_since = self.crowded_since = self.quiet_since = -1
        self.debt = 0.0
        for job in lost:
            self._end(job, Verdict.LOST, now)

    def start(self, now: int) -> None:
        """The process starts anew, cold."""
        self.up, self.draining = True, False
        self.at = now
        self.started_ns = max(1, now)
        self.warmth_ns = 0.0
        self.cold = ColdWatch()
        self.memory.met.clear()
        self.reports.clear()
        self.latency_ms = 0.0
        self.next_report = now

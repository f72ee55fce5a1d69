"""The model in virtual time: the decision module, any number of instances, and a fleet of any size.

One heap of things to come; one seed decides all of them. Instances are handed what has come in once
a tick, as one batch each, and share nothing. The same seed gives the same result, byte for byte,
wherever they live.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

from loadbalancer.policy import api
from loadbalancer.settings import Json
from loadbalancer.testbed import topology as topo
from loadbalancer.testbed.hosts import Batch, Crashed, Host
from loadbalancer.testbed.ledger import Answer, Judgement, Ledger, Root, Try
from loadbalancer.testbed.model.box import Box, Draw, Job, Verdict
from loadbalancer.testbed.model.faults import Step, schedule, steps
from loadbalancer.testbed.model.fleet import build_fleet, entry_of, zones_of
from loadbalancer.testbed.model.registry import STOP_TAKING_NS, Entry, Registry
from loadbalancer.testbed.model.series import SERIES_NS, TAIL_NS, Moment, Series
from loadbalancer.testbed.model.workload import Want, Workload, quotas
from loadbalancer.testbed.topology import Fault, Topology

SECOND = 1_000_000_000
START_NS = 10 * SECOND  # the clock begins here, so that 0 can stand for long ago
READY_NS = 200_000_000  # a started balancer is in use by the front after this
PROBE_WAIT_NS = 120_000_000  # a probe that nobody answers ends after this

RESULT_OF = {
    Verdict.SERVED: api.AttemptResult.OK,
    Verdict.ERROR: api.AttemptResult.ERROR,
    Verdict.TURNED_AWAY: api.AttemptResult.REJECTED,
    Verdict.EXPIRED: api.AttemptResult.REJECTED,
    Verdict.LOST: api.AttemptResult.RESET,
}


class Instances(Protocol):
    @property
    def spent_ns(self) -> int: ...

    @property
    def events(self) -> int: ...

    def start(self, number: int, settings: Json, seed: int, now: int) -> None: ...

    def kill(self, number: int) -> None: ...

    def handle(self, now: int, batch: Batch) -> dict[int, list[api.Action]]: ...

    def close(self) -> None: ...


@dataclass(slots=True, eq=False)
class Sent:
    """One attempt. It is over for its balancer once that has its outcome."""

    request: Open
    number: int
    box: Box
    sent_ns: int
    job: Job | None = None
    connected: bool = False  # it holds a connection at its box
    over: bool = False


@dataclass(slots=True, eq=False)
class Open:
    """A request as a balancer holds it."""

    ticket: str
    asked: Try
    want: Want
    life: int  # of which process of its balancer
    over: bool = False
    attempts: list[Sent | None] = field(default_factory=list)
    out: int = 0


@dataclass(slots=True)
class Life:
    """One balancer: its process as it is now, and what outlasts it."""

    number: int
    zone: str
    draw: float = 1.0  # its part of the traffic, against the busiest's
    up: bool = False
    life: int = 0
    front_sees: bool = False  # the front sends to it
    known: dict[int, api.Upstream] = field(default_factory=dict)
    watching: bool = False
    version: int = 0
    requests: dict[str, Open] = field(default_factory=dict)
    idle: dict[int, list[int]] = field(
        default_factory=dict
    )  # box: when each idle connection came free


@dataclass(slots=True)
class Outcome:
    """What a run gave: the judgement, the ledger behind it, and half-second series."""

    judgement: Judgement
    ledger: Ledger
    series: list[Moment]
    steps: list[Step]
    faults: list[Fault]
    boxes: list[Json]
    rate: float
    capacity: float
    notes: list[str]

    def per_first_try(self, count: str) -> float:
        counts = self.judgement.counts
        return counts.get(count, 0) / max(1.0, counts.get("first tries", 0))

    @property
    def load_spread(self) -> float:
        """Coefficient of variation of what boxes did against their capacity."""
        loads = [box["load"] for box in self.boxes]
        mean = sum(loads) / max(1, len(loads))
        return (
            (sum((x - mean) ** 2 for x in loads) / max(1, len(loads))) ** 0.5 / mean
            if mean
            else 0.0
        )


class World:
    """A fleet, its clients, its list and its balancers, driven by one heap."""

    def __init__(
        self,
        t: Topology,
        seed: int,
        instances: Instances | None = None,
        faults: list[Fault] | None = None,
    ) -> None:
        self.t = t
        self.seed = seed
        self.instances = instances if instances is not None else Host()
        self.ledger = Ledger(t)
        self.now = START_NS
        self.heap: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self.order = 0
        self.rng = self._chance("net")
        self.draw = Draw(self.rng)
        self.same_ns = self.draw.ns(t.network.same)
        self.cross_ns = self.draw.ns(t.network.cross)
        self.client_ns = self.draw.ns(t.network.client)
        self.boxes = build_fleet(t, seed, START_NS)
        self.zones = zones_of(t)
        ids = self._chance("ids")
        self.ids = [ids.getrandbits(32) for _ in self.boxes]
        self.by_id = {number: i for i, number in enumerate(self.ids)}
        for box in self.boxes:
            box.began = self._began(box)
            box.fell = self._fell(box)
        self.registry = Registry(
            t.discovery, [self.entry(i) for i in range(len(self.boxes))], self._chance("list")
        )
        self.capacity = sum(box.nature.capacity for box in self.boxes)
        self.quotas = quotas(t, self.capacity)
        self.workload = Workload(t, f"{seed}/clients/0", self.capacity, START_NS)
        self.arrivals: Iterator[Want] = iter(())
        unequal, shares = t.balancers.unequal, self._chance("shares")
        self.lives = [
            Life(n, topo.zone_of(t, n), unequal ** -shares.random())
            for n in range(t.balancers.count)
        ]
        self.front = {z: [b for b in self.lives if b.zone == z] for z in t.network.zones}
        self.waiting: dict[int, list[api.Event]] = {}
        self.flush_at = -1
        self.due: dict[int, int] = {}  # box: when it wants to be called next
        self.cut: set[int] = set()  # boxes behind a silent partition
        self.used: dict[int, int] = {
            i: 0 for i in range(len(self.boxes))
        }  # connections at each box
        self.tickets = 0
        self.crossed = self.probes = 0
        self.series = Series(START_NS)
        self.end_ns = START_NS + int(t.length)
        self.faults = schedule(t, seed) if faults is None else faults
        self.steps = steps(t, self.faults, seed)
        self.notes: list[str] = []

    def _chance(self, what: str) -> random.Random:
        return random.Random(f"{self.seed}/{what}")

    def entry(self, i: int, state: api.UpstreamState = api.UpstreamState.READY) -> Entry:
        return entry_of(self.t, self.boxes[i], self.ids[i], state)

    # ---- the heap --------------------------------------------------------------------------------

    def at(self, when: int, call: Callable[[Any], None], what: Any = None) -> None:
        self.order += 1
        heapq.heappush(self.heap, (when if when > self.now else self.now, self.order, call, what))

    def run(self) -> Outcome:
        """Play the run to its end. Raises Crashed where the module did."""
        for life in self.lives:
            self._start(life)
            life.front_sees = True
        for step in self.steps:
            self.at(START_NS + step.at_ns, self._step, step)
        self.arrivals = self.workload.wants(self.end_ns)
        self._next_arrival(None)
        self.at(START_NS + SERIES_NS, self._tick_series)
        heap, pop = self.heap, heapq.heappop
        stop = self.end_ns + TAIL_NS
        try:
            while heap:
                when, _, call, what = pop(heap)
                if when > stop:
                    break
                self.now = when
                call(what)
        except Crashed as error:
            self.ledger.broken["no crash"] += 1
            self.notes.append(str(error))
        finally:
            self.instances.close()
        return self._outcome(stop)

    def _outcome(self, stop: int) -> Outcome:
        for box in self.boxes:
            box.advance(stop)
        wasted = sum(box.counts.wasted for box in self.boxes) / self.workload.work_asked()
        judgement = self.ledger.judge(stop, wasted, self.crossed, self.probes)
        boxes = [b.row(self.zones[i], stop - START_NS) for i, b in enumerate(self.boxes)]
        return Outcome(
            judgement,
            self.ledger,
            self.series.moments,
            self.steps,
            self.faults,
            boxes,
            self.workload.rate,
            self.capacity,
            self.notes,
        )

    def _tick_series(self, _: Any) -> None:
        self.series.at(self.now)  # also where nothing happens
        if self.now < self.end_ns:
            self.at(self.now + SERIES_NS, self._tick_series)

    # ---- clients ---------------------------------------------------------------------------------

    def _next_arrival(self, _: Any) -> None:
        want = next(self.arrivals, None)
        if want is not None:
            self.at(want.at_ns, self._arrive, want)

    def _arrive(self, want: Want) -> None:
        root = self.ledger.root(want.number, want.cls, want.tenant, want.key, self.now, want.within)
        self.series.at(self.now).asked += 1
        self._try(want, root)
        self._next_arrival(None)

    def _try(self, want: Want, root: Root) -> None:
        self.tickets += 1
        ticket = f"q{self.tickets}"
        if root.tries:
            self.series.at(self.now).retries += 1
        deadline = self.workload.try_ns(want.cls, root.received_ns, self.now)
        life = self._pick_balancer(want.zone)
        asked = self.ledger.asked(ticket, root, self.now, deadline, life.number if life else -1)
        way = self._jitter(self.client_ns)
        if life is None:
            self.at(self.now + 2 * way, self._client_gets, (want, asked, Answer.UNREACHED, 0))
            return
        self.at(self.now + way, self._reach, (life, want, asked))
        self.at(deadline + int(self.t.rules.answer_grace) + 1, self._client_waited, (want, asked))
        if self.t.clients.impatient and self.rng.random() < self.t.clients.impatient:
            leaves = self.now + int((deadline - self.now) * self.rng.uniform(0.05, 0.6))
            self.at(leaves, self._client_leaves, (life, asked))

    def _pick_balancer(self, zone: int) -> Life | None:
        """The plain front of a site: any balancer there that it believes in, else one of another
        site.
        """
        name = self.t.network.zones[zone]
        near = [b for b in self.front[name] if b.front_sees] or [
            b for b in self.lives if b.front_sees
        ]
        while near:
            life = near[int(self.rng.random() * len(near))]
            if life.draw >= 1.0 or self.rng.random() < life.draw:
                return life
        return None

    def _reach(self, what: tuple[Life, Want, Try]) -> None:
        life, want, asked = what
        if not life.up:
            self.at(
                self.now + self._jitter(self.client_ns),
                self._client_gets,
                (want, asked, Answer.UNREACHED, 0),
            )
            return
        asked.taken = True
        life.requests[asked.ticket] = Open(asked.ticket, asked, want, life.life)
        self._post(
            life.number,
            api.RequestArrived(
                asked.ticket, want.cls.name, want.tenant, asked.deadline_ns, key=want.key
            ),
        )

    def _client_leaves(self, what: tuple[Life, Try]) -> None:
        life, asked = what
        request = life.requests.get(asked.ticket)
        if asked.answer is not None or request is None or request.over:
            return
        asked.excused = True
        request.over = True
        self._post(life.number, api.ClientDisconnected(asked.ticket))
        self._tidy(life, request)

    def _client_gets(self, what: tuple[Want, Try, Answer, int]) -> None:
        want, asked, answer, told_ns = what
        known = asked.answer is not None
        self.ledger.answered(asked.ticket, answer, self.now)
        if known:
            return
        self.series.answered(asked, answer, self.now)
        self._maybe_again(want, asked, answer, told_ns)

    def _client_waited(self, what: tuple[Want, Try]) -> None:
        want, asked = what
        if asked.answer is None:
            self.ledger.silent(asked.ticket, self.now)
            self.series.answered(asked, Answer.NONE, self.now)
            self._maybe_again(want, asked, Answer.NONE, 0)

    def _maybe_again(self, want: Want, asked: Try, answer: Answer, told_ns: int) -> None:
        root = asked.root
        at = self.workload.again_at(
            want.cls, root.received_ns, root.tries, answer, told_ns, self.now
        )
        if at is not None:
            self.at(at, self._again, (want, root))

    def _again(self, what: tuple[Want, Root]) -> None:
        self._try(*what)

    # ---- balancers -------------------------------------------------------------------------------

    def _start(self, life: Life) -> None:
        life.up = True
        life.life += 1
        life.watching = False
        settings = topo.settings(self.t, life.number, self.quotas)
        seed = random.Random(f"{self.seed}/balancer/{life.number}/{life.life}").getrandbits(60)
        self.instances.start(life.number, settings, seed, self.now)
        if not life.known:
            life.known = {e.number: upstream(e) for e in self.registry.entries.values()}
        life.version = 0
        self.ledger.restarted(life.number)
        for number, entry in life.known.items():
            self.ledger.tell(
                life.number,
                number,
                entry.state is api.UpstreamState.READY,
                entry.started_ns,
                self.now,
            )
        self._post(
            life.number,
            api.EndpointsUpdated(api.EndpointListKind.CACHED, list(life.known.values())),
        )
        if self.t.discovery.mode == "push":
            life.watching = True

    def _kill(self, life: Life) -> None:
        """All it held is gone; its clients see their connections reset, and boxes stop what it had
        there.
        """
        life.up = False
        self.instances.kill(life.number)
        self.waiting.pop(life.number, None)
        for request in life.requests.values():
            if not request.over:
                request.over = True
                request.asked.excused = True
                self.at(
                    self.now + self._jitter(self.client_ns),
                    self._client_gets,
                    (request.want, request.asked, Answer.FAILED, 0),
                )
            for attempt in request.attempts:
                if attempt is not None and not attempt.over:
                    self._drop(life, attempt)
        for box, idle in life.idle.items():
            self.used[box] -= len(idle)
        life.requests = {}
        life.idle = {}
        self.at(self.now + self.draw.ns(self.t.balancers.notice), self._front_notes, (life, False))

    def _revive(self, life: Life) -> None:
        if not life.up:
            self._start(life)
            self.at(self.now + READY_NS, self._front_notes, (life, True))

    def _front_notes(self, what: tuple[Life, bool]) -> None:
        life, seen = what
        if life.up is seen:
            life.front_sees = seen

    def _post(self, number: int, event: api.Event) -> None:
        self.waiting.setdefault(number, []).append(event)
        if self.flush_at < self.now:
            tick = int(self.t.balancers.tick)
            self.flush_at = -(-self.now // tick) * tick
            self.at(self.flush_at, self._flush)

    def _flush(self, _: Any) -> None:
        batch, self.waiting = self.waiting, {}
        self.flush_at = -1
        batch = {n: events for n, events in sorted(batch.items()) if self.lives[n].up}
        if not batch:
            return
        for number, actions in sorted(self.instances.handle(self.now, batch).items()):
            life = self.lives[number]
            for action in actions:
                self._act(life, action)
        for number, events in batch.items():
            life = self.lives[number]
            for event in events:
                if isinstance(event, api.AttemptFinished | api.ClientDisconnected):
                    request = life.requests.get(event.request)
                    if request is not None:
                        self._tidy(life, request)

    def _act(self, life: Life, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._send(life, action)
            case api.RejectRequest():
                self._finish(life, action.request, Answer.REFUSED, action.retry_after_ns)
            case api.FailRequest():
                self._finish(life, action.request, Answer.FAILED, 0)
            case api.SetTimer():
                self.at(
                    self.now + max(1, action.delay_ns), self._timer, (life, life.life, action.name)
                )
            case api.CancelAttempt():
                self._cancel(life, action)
            case api.CheckHealth():
                self._probe(life, action.upstream)
            case api.SubscribeEndpoints():
                life.watching = False
                if action.enabled:
                    self._call(life, True)
            case api.FetchEndpoints():
                self._call(life, False)
            case api.LogMessage():
                if len(self.notes) < 200:
                    self.notes.append(
                        f"{(self.now - START_NS) / 1e9:.3f} {life.number} {action.text}"
                    )
            case api.SendGossip():
                pass  # these installations have no talk between balancers

    def _timer(self, what: tuple[Life, int, str]) -> None:
        life, number, name = what
        if life.up and life.life == number:
            self._post(life.number, api.TimerFired(name))

    def _finish(self, life: Life, ticket: str, answer: Answer, told_ns: int) -> None:
        request = life.requests.get(ticket)
        if request is None or request.over:
            return
        request.over = True
        self._answer(request, answer, told_ns)
        self._tidy(life, request)

    def _answer(self, request: Open, answer: Answer, told_ns: int) -> None:
        self.at(
            self.now + self._jitter(self.client_ns),
            self._client_gets,
            (request.want, request.asked, answer, told_ns),
        )

    def _tidy(self, life: Life, request: Open) -> None:
        if request.over and not request.out:
            life.requests.pop(request.ticket, None)

    # ---- attempts --------------------------------------------------------------------------------

    def _jitter(self, base_ns: int) -> int:
        return int(base_ns * (1.0 + self.t.network.jitter * (2 * self.rng.random() - 1)))

    def _way(self, life: Life, box: int) -> int:
        return self._jitter(self.same_ns if self.zones[box] == life.zone else self.cross_ns)

    def _silent(self, life: Life, box: int, back: bool = False) -> bool:
        """Does nothing get from this balancer to that box, or back?"""
        return box in self.cut

    def _send(self, life: Life, action: api.StartAttempt) -> None:
        request = life.requests.get(action.request)
        number = self.by_id.get(action.upstream)
        if request is None or number is None:
            self.ledger.broken["no crash"] += 1
            self.notes.append(
                f"balancer {life.number} sent {action.request} to {action.upstream}, one of "
                "which is not known"
            )
            return
        box = self.boxes[number]
        attempt = Sent(request, len(request.attempts), box, self.now)
        request.attempts.append(attempt)
        request.out += 1
        left = request.asked.deadline_ns - self.now
        if (
            request.over
            or left <= 0
            or attempt.number >= topo.SEND_CAP
            or request.out > topo.COPIES
        ):
            self._end(life, attempt, api.AttemptResult.NOT_SENT)
            return
        timeout = min(action.timeout_ns or left, left)
        if timeout < 0:
            self._end(life, attempt, api.AttemptResult.TIMEOUT)
            return
        self.ledger.sent(life.number, number, self.now)
        self.series.at(self.now).attempts += 1
        self.crossed += self.zones[number] != life.zone
        self.at(self.now + timeout, self._expire, (life, life.life, attempt))
        way = self._way(life, number)
        fresh = not self._take_connection(life, number)
        if fresh:
            limit = self.now + int(self.t.fleet.connect_timeout)
            if self._silent(life, number) or self.used[number] >= self.t.fleet.connections:
                self.at(limit, self._connect_failed, (life, life.life, attempt))
                return
            if not box.up:
                self.at(
                    min(limit, self.now + 2 * way), self._connect_failed, (life, life.life, attempt)
                )
                return
            self.used[number] += 1
            way += 2 * way * self.t.fleet.handshake_rtts
        attempt.connected = True
        self.at(self.now + way, self._at_box, (life, life.life, attempt, fresh))

    def _take_connection(self, life: Life, box: int) -> bool:
        """An idle connection to it, the newest first; those that were idle for too long are
        closed.
        """
        idle = life.idle.get(box)
        if not idle:
            return False
        oldest = self.now - int(self.t.fleet.idle * 0.6)
        if idle[-1] < oldest:
            self.used[box] -= len(idle)
            idle.clear()
            return False
        idle.pop()
        return True

    def _connect_failed(self, what: tuple[Life, int, Sent]) -> None:
        life, number, attempt = what
        if life.life == number and life.up and not attempt.over:
            self._end(life, attempt, api.AttemptResult.CONNECT_FAILED)

    def _at_box(self, what: tuple[Life, int, Sent, bool]) -> None:
        life, number, attempt, fresh = what
        box = attempt.box
        if attempt.over or self._silent(life, box.number):
            return  # given up on the way, or lost in a network that says nothing
        if not box.up:
            self._reply(
                life,
                number,
                attempt,
                api.AttemptResult.CONNECT_FAILED if fresh else api.AttemptResult.RESET,
            )
            return
        want = attempt.request.want

        def ended(job: Job, verdict: Verdict, now: int) -> None:
            if verdict is Verdict.SERVED:
                self.ledger.finished(job.ticket)
            result = RESULT_OF[verdict]
            if result is api.AttemptResult.OK and box.spoilt and self.rng.random() < box.spoilt:
                result = api.AttemptResult.RESET  # it ran, and its answer came spoilt
            self.at(now, self._box_says, (life, number, attempt, result))

        # A box stops what its sender has given up, which closing the connection tells it.
        attempt.job = Job(
            attempt.request.ticket,
            life.number,
            want.work,
            want.key,
            attempt.request.asked.deadline_ns,
            ended,
        )
        box.offer(attempt.job, self.now, fresh)
        self._plan(box)

    def _plan(self, box: Box) -> None:
        """Have the box called when it next wants to be. An earlier call that stands is enough."""
        when = box.due()
        if when is None:
            return
        standing = self.due.get(box.number, 0)
        if standing > self.now and standing <= when:
            return
        self.due[box.number] = max(when, self.now)
        self.at(when, self._box_due, (box, self.due[box.number]))

    def _box_due(self, what: tuple[Box, int]) -> None:
        box, planned = what
        if self.due.get(box.number) == planned:
            self.due.pop(box.number)
            box.advance(self.now)
            self._plan(box)

    def _box_says(self, what: tuple[Life, int, Sent, api.AttemptResult]) -> None:
        self._reply(*what)

    def _reply(self, life: Life, number: int, attempt: Sent, result: api.AttemptResult) -> None:
        if not self._silent(life, attempt.box.number, True):
            self.at(
                self.now + self._way(life, attempt.box.number),
                self._back,
                (life, number, attempt, result),
            )

    def _back(self, what: tuple[Life, int, Sent, api.AttemptResult]) -> None:
        life, number, attempt, result = what
        if life.life != number or not life.up or attempt.over:
            return
        if result in (api.AttemptResult.OK, api.AttemptResult.ERROR, api.AttemptResult.REJECTED):
            life.idle.setdefault(attempt.box.number, []).append(self.now)
        else:
            self.used[attempt.box.number] -= 1
        attempt.connected = False
        self._end(life, attempt, result)

    def _expire(self, what: tuple[Life, int, Sent]) -> None:
        life, number, attempt = what
        if life.life == number and life.up and not attempt.over:
            self._drop(life, attempt)
            self._end(life, attempt, api.AttemptResult.TIMEOUT)

    def _cancel(self, life: Life, action: api.CancelAttempt) -> None:
        request = life.requests.get(action.request)
        if request is None or action.attempt >= len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if attempt is not None and not attempt.over:
            self._drop(life, attempt)
            self._end(life, attempt, api.AttemptResult.CANCELLED)

    def _drop(self, life: Life, attempt: Sent) -> None:
        """Its connection is closed; the box hears so a little later and stops."""
        if attempt.connected:
            attempt.connected = False
            self.used[attempt.box.number] -= 1
        if attempt.job is not None:
            self.at(self.now + self._way(life, attempt.box.number), self._stop, attempt)

    def _stop(self, attempt: Sent) -> None:
        if attempt.job is not None and attempt.box.up:
            attempt.box.stop(attempt.job, self.now)
            self._plan(attempt.box)

    def _end(self, life: Life, attempt: Sent, result: api.AttemptResult) -> None:
        """The balancer has the outcome of an attempt; the first good one is the client's answer."""
        attempt.over = True
        request = attempt.request
        request.out -= 1
        request.attempts[attempt.number] = None
        if result is api.AttemptResult.OK and not request.over:
            request.over = True
            self._answer(request, Answer.SERVED, 0)
        self._post(
            life.number,
            api.AttemptFinished(
                request.ticket,
                attempt.number,
                self.ids[attempt.box.number],
                result,
                self.now - attempt.sent_ns,
                request.over,
            ),
        )

    def _began(self, box: Box) -> Callable[[Job, int], None]:
        return lambda job, now: self.ledger.executed(job.ticket, box.number, now)

    def _fell(self, box: Box) -> Callable[[int, dict[int, float]], None]:
        def fell(now: int, work: dict[int, float]) -> None:
            self.ledger.fell(box.number, now, work, box.started_ns)
            self._lose_connections(box.number)
            self._note(box.number, api.UpstreamState.REMOVED)

        return fell

    # ---- probes and the list ---------------------------------------------------------------------

    def _probe(self, life: Life, upstream_id: int) -> None:
        number = self.by_id.get(upstream_id)
        self.probes += 1
        if number is None or not self.boxes[number].up:
            self.at(
                self.now + 2 * self.cross_ns,
                self._probed,
                (life, life.life, upstream_id, api.AttemptResult.CONNECT_FAILED, self.now, None),
            )
        elif self._silent(life, number):
            self.at(
                self.now + PROBE_WAIT_NS,
                self._probed,
                (life, life.life, upstream_id, api.AttemptResult.TIMEOUT, self.now, None),
            )
        else:
            self.at(
                self.now + self._way(life, number),
                self._probe_there,
                (life, life.life, number, self.now),
            )

    def _probe_there(self, what: tuple[Life, int, int, int]) -> None:
        life, number, box, since = what
        result, report = api.AttemptResult.CONNECT_FAILED, None
        if self.boxes[box].up:
            seen = self.boxes[box].probe(self.now)
            result, report = (
                api.AttemptResult.OK,
                {"util": seen.util, "latency_ms": seen.latency_ms},
            )
        self.at(
            self.now + self._way(life, box),
            self._probed,
            (life, number, self.ids[box], result, since, report),
        )

    def _probed(self, what: tuple[Life, int, int, api.AttemptResult, int, Any]) -> None:
        life, number, upstream_id, result, since, report = what
        if life.up and life.life == number:
            self._post(
                life.number, api.HealthCheckFinished(upstream_id, result, self.now - since, report)
            )

    def _call(self, life: Life, watch: bool) -> None:
        at, well = self.registry.call(self.now + self.same_ns)
        self.at(at + self.same_ns, self._listed, (life, life.life, well, watch))

    def _listed(self, what: tuple[Life, int, bool, bool]) -> None:
        life, number, well, watch = what
        if not life.up or life.life != number:
            return
        if not well:
            self._post(life.number, api.EndpointsUpdated(api.EndpointListKind.FAILED))
            return
        life.watching = watch or life.watching
        life.version = self.registry.version
        life.known = {e.number: upstream(e) for e in self.registry.entries.values()}
        self._tell_all(life)
        self._post(
            life.number, api.EndpointsUpdated(api.EndpointListKind.FULL, list(life.known.values()))
        )

    def _tell_all(self, life: Life) -> None:
        for i in range(len(self.boxes)):
            entry = life.known.get(i)
            ready = entry is not None and entry.state is api.UpstreamState.READY
            self.ledger.tell(life.number, i, ready, entry.started_ns if entry else 0, self.now)

    def _note(self, box: int, state: api.UpstreamState) -> None:
        self._will_show(self.registry.note(self.entry(box, state), self.now))

    def _will_show(self, when: int) -> None:
        self.at(when, self._show)

    def _show(self, _: Any) -> None:
        news = self.registry.advance(self.now)
        if not news:
            return
        for entry in news:
            if entry.state is api.UpstreamState.DRAINING:
                self.at(self.now + STOP_TAKING_NS, self._turn_away, entry)
        if self.registry.down:
            return
        for life in self.lives:
            if life.up and life.watching:
                self.at(
                    self.now + self._jitter(self.same_ns) + int(self.rng.random() * 50_000_000),
                    self._told,
                    (life, life.life, news),
                )

    def _turn_away(self, entry: Entry) -> None:
        box = self.boxes[entry.number]
        if box.up and box.started_ns == entry.started_ns:
            box.draining = True

    def _told(self, what: tuple[Life, int, list[Entry]]) -> None:
        life, number, news = what
        if not life.up or life.life != number or not life.watching:
            return
        if self.registry.down:
            self._post(life.number, api.EndpointsUpdated(api.EndpointListKind.FAILED))
            life.watching = False
            return
        for entry in news:
            ready = entry.state is api.UpstreamState.READY
            if entry.state is api.UpstreamState.REMOVED:
                life.known.pop(entry.number, None)
            else:
                life.known[entry.number] = upstream(entry)
            self.ledger.tell(life.number, entry.number, ready, entry.started_ns, self.now)
        self._post(
            life.number,
            api.EndpointsUpdated(api.EndpointListKind.DELTA, [upstream(e) for e in news]),
        )

    # ---- faults ----------------------------------------------------------------------------------

    def _lose_connections(self, box: int) -> None:
        for life in self.lives:
            idle = life.idle.pop(box, [])
            self.used[box] -= len(idle)

    def _step(self, step: Step) -> None:
        box = self.boxes[step.whom] if 0 <= step.whom < len(self.boxes) else None
        if self.workload.step(step.what, step.name, step.size, step.part):
            return
        match step.what:
            case "balancer down":
                if self.lives[step.whom].up:
                    self._kill(self.lives[step.whom])
            case "balancer up":
                self._revive(self.lives[step.whom])
            case "late reports" | "late reports over":
                for each in self.boxes:
                    each.step(step.what, step.size)
            case "list down":
                self.registry.down = True
                for life in self.lives:
                    if life.up and life.watching:
                        life.watching = False
                        self._post(life.number, api.EndpointsUpdated(api.EndpointListKind.FAILED))
            case "list up":
                self.registry.down = False
            case "unfinished" | "unfinished over":
                self.notes.append("unfinished: a matter of sockets, not played in virtual time")
            case _ if box is not None:
                self._box_step(step, box)

    def _box_step(self, step: Step, box: Box) -> None:
        box.advance(self.now)
        number = step.whom
        box.step(step.what, step.size)
        match step.what:
            case "partition":
                self.cut.add(number)
            case "partition over":
                self.cut.discard(number)
                self._lose_connections(number)
            case "drain":
                self._note(number, api.UpstreamState.DRAINING)
            case "box down":
                if box.up:
                    self._lose_connections(number)
                    box.die(self.now)
                    self._note(number, api.UpstreamState.REMOVED)
            case "box up":
                if not box.up:
                    box.start(self.now)
                    self._note(number, api.UpstreamState.READY)
            case "unlist":
                self._note(number, api.UpstreamState.REMOVED)
            case "list":
                if box.up:
                    self._note(number, api.UpstreamState.READY)
        self._plan(box)


def upstream(e: Entry) -> api.Upstream:
    return api.Upstream(e.id, e.state, e.zone, e.cell, 1.0, e.started_ns, e.kind)

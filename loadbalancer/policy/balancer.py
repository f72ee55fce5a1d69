"""The proxy: events in, actions out. Its types are in `loadbalancer/policy/api.py`.

A request passes its tenant's Throttle, may wait in its pool's queue, and goes to the lightest
upstream drawn.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable
from typing import Final

from loadbalancer.policy import api, learned_state
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import Crowding
from loadbalancer.policy.pool import SCAN, Pool
from loadbalancer.policy.rate_controller import FEEDBACK_NS, Rate
from loadbalancer.policy.requests import Attempt, Request, Turn
from loadbalancer.policy.token_bucket import Throttle
from loadbalancer.policy.upstream_set import LOOKS, Fleet
from loadbalancer.policy.upstream_stats import ERROR_FADE, FAULTY, Server

ASK_NS = (
    SECOND // 20,
    5 * SECOND // 2,
)  # over which first calls for a list are spread: none known, or one
# The longest pause behind a call for a list that failed: a change counts as told 6 s after
# discovery had it and could be reached, and two calls take time as well.
ASK_AGAIN_NS = 2 * SECOND
STUCK_PART: Final = 0.25  # of the window that overdue attempts may leave free, or one
LOOK_NS = (SECOND // 333, SECOND // 100)  # of the aim: an answer that takes longer is late
LOOK_PART: Final = 0.04
LINE_PART: Final = 0.5  # of a request's time to spare may go by in the line
OVER_PART: Final = 0.1  # the same for a tenant over its share
# Of the aim: what each request that an upstream holds is thought to take at first, at most.
EACH_PART: Final = 0.08
LATE_LOOK_NS = SECOND // 50  # between two looks whether others wait for the place of a late attempt
LATE_NS: Final = 10_000_000  # a timer that comes so late tells of a proxy without time to look


class Balancer:
    """One proxy. Feed it events with `handle`; carry out the actions it gives, in order."""

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        tenants = settings.tenants or {"": api.Tenant("")}
        self.throttles = {
            name: Throttle(max(1e-6, t.share), self.rng, now) for name, t in tenants.items()
        }
        self.rate = Rate(list(self.throttles.values()), now)
        self.crowding = Crowding()
        self.fleet = Fleet(settings, self.crowding, self.rng)
        self.requests: dict[str, Request] = {}
        for cls in settings.classes.values():
            self.fleet.pool(cls)
        self.turns: dict[str, Turn] = {}
        self.due: list[tuple[int, int, str, Request | Throttle | Turn | None, int]] = []  # by time
        self.count = 0
        self.timer_ns = self.timer = 0  # when the timer that counts is due, and its number
        self.actions: list[api.Action] = []
        self.checked_ns = now
        self.plan = self.fleet.plan
        self.guest = 1.0  # how much slower upstreams beyond the home answer
        self.out = self.stuck = 0  # own attempts in flight, and those of them that are overdue
        self.patience_ns = min(
            (c.latency_objective_ns for c in settings.classes.values()), default=SECOND
        )
        self.look_ns = int(max(LOOK_NS[0], min(LOOK_NS[1], LOOK_PART * self.patience_ns)))
        self.crowding.each = min(self.crowding.each, EACH_PART * self.patience_ns)
        self.failures = 0
        self.subscribed = settings.discovery_push
        if not self.subscribed:
            # Proxies must not all ask together; but one that knows of no upstream serves nobody
            # until it has.
            self._later(
                now + int(self.rng.random() * min(ASK_NS[1], settings.rules.list_expiry_ns / 4)),
                "subscribe",
                None,
            )
            self._later(now + int(self.rng.random() * ASK_NS[0]), "first", None)

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        self.actions = []
        for e in events:
            if type(e) is api.RequestArrived:
                self._arrival(e, now)
            elif type(e) is api.AttemptFinished:
                self._outcome(e, now)
            elif type(e) is api.ClientDisconnected and e.request in self.requests:
                self._end(self.requests[e.request], now)
            elif type(e) is api.EndpointsUpdated:
                self._list(e, now)
            elif type(e) is api.HealthCheckFinished:
                self._probed(e, now)
            elif type(e) is api.ResponseStarted and e.request in self.requests:
                self.requests[e.request].begun = True
            elif type(e) is api.BodyCompleted:
                self._whole(e, now)
            elif type(e) is api.EndpointTrustChanged:
                self.fleet.trusted = e.trusted
            elif type(e) is api.UpstreamDisabled:
                self.fleet.ban(e, now)
            elif type(e) is api.LearnedState:
                learned_state.recall(e, now, self.throttles, self.rate, self.crowding, self.fleet)
            elif type(e) is api.TrafficPlan:
                self.plan = e
                for name, t in self.throttles.items():
                    t.share = e.shares.get(name, 0.0)
                self.fleet.follow(e, now)
            elif type(e) is api.TimerFired and e.name == str(self.timer):
                self.timer_ns = 0  # by its name, not the clock: a timer may come a little early
        while self.due and self.due[0][0] <= now:
            at, _, what, about, extra = heapq.heappop(self.due)
            if what == "overdue" and now - at > LATE_NS:
                # A proxy that is late itself can't say so of an upstream: the answer may lie here
                # unread. It covers any want of time here, and hurts where a standstill of both is
                # seen that much later.
                self._later(2 * now - at, what, about, extra)
            else:
                self._look(what, about, extra, now)
        self._pump(now)
        if now - self.checked_ns >= FEEDBACK_NS:
            self._feedback(now)
        if self.due and (not self.timer_ns or self.due[0][0] < self.timer_ns):
            self.timer_ns = self.due[0][0]
            self.timer += 1
            self.actions.append(api.SetTimer(max(1, self.timer_ns - now), str(self.timer)))
        return self.actions

    def learnt(self) -> api.LearnedState:
        """What it has learnt so far, for its successor."""
        return learned_state.learnt(self.throttles, self.rate, self.crowding, self.fleet)

    def _later(
        self, at: int, what: str, about: Request | Throttle | Turn | None, extra: int = 0
    ) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, what, about, extra))

    def _arrival(self, e: api.RequestArrived, now: int) -> None:
        throttle = self.throttles.get(e.tenant) or next(iter(self.throttles.values()))
        cls = self.settings.classes.get(e.class_name) or api.RequestClass(
            e.class_name, api.Effect.NON_IDEMPOTENT
        )
        asked = e.received_ns or now
        aim = min(asked + cls.latency_objective_ns, e.deadline_ns)
        pool = self.fleet.pool(cls)
        hint = min(
            e.cost_hint_ns, cls.deadline_ns
        )  # a wild guess must not keep its timers for years
        r = Request(
            e.request, cls, throttle, pool, e.deadline_ns, aim, hint, e.retry, e.whole, key=e.key
        )
        self.requests[r.id] = r
        expected = self.crowding.expected(r)
        waited = now - asked
        if self._turned_away(r, now):
            self._refuse(r, now)
            return
        if expected < cls.latency_objective_ns < waited + expected and not (
            cls.late_weight or cls.stream
        ):
            # It waited unseen for so long, the proxy being late itself, that its answer would come
            # too late. Served in turn, all would: work on those makes the ones behind them late as
            # well. This covers any stretch in which the proxy had no time. It hurts where
            # `expected` is far too high.
            self._refuse(r, now)
            return
        self._set_give_up(r, expected, now)
        self._later(
            r.give_up_ns, "give up", r
        )  # whatever comes, a request that waits is looked at then
        if cls.ordered_by_key and e.key:
            r.turn = self.turns.setdefault(e.key, Turn(e.key))
            r.turn.waiting.append(r)
            r.turn_ns = r.turn.rest_ns
        if r.has_turn(now):
            self._offer(r, now)
        else:
            r.place = (
                "turn"  # it holds no token meanwhile, and nobody waits behind it but its own key
            )
            self._later(r.turn_ns, "turn", r.turn)

    def _turned_away(self, r: Request, now: int) -> bool:
        """Is it what the fleet refuses first while it has too little? Nothing that has begun is
        touched.
        """
        plan, draw = self.plan, self.rng.random
        beyond = r.tenant.beyond(now) if plan.excess else False
        return bool(
            beyond
            and draw() < plan.excess
            or r.retry
            and draw() < plan.repeats
            or plan.classes
            and draw() < plan.classes.get(r.cls.name, 0.0)
        )

    def _set_give_up(self, r: Request, expected: float, now: int) -> None:
        need = expected * (1 + self.crowding.spread)
        r.give_up_ns = max(r.latency_objective_ns - int(need), now + (r.deadline_ns - now) // 4)

    def _whole(self, e: api.BodyCompleted, now: int) -> None:
        """Its time runs from here, and so does the work of the upstream that has it."""
        r = self.requests.get(e.request)
        if r is None or r.over:
            return
        r.whole, r.again = True, e.again
        r.deadline_ns, r.latency_objective_ns = (
            e.deadline_ns,
            min(e.received_ns + r.cls.latency_objective_ns, e.deadline_ns),
        )
        self._set_give_up(r, self.crowding.expected(r), now)
        for i, a in enumerate(r.attempts):
            if a.waits and a.result is None:
                a.waits, a.sent_ns = False, now
                self._begin(r, i, now)

    def _offer(self, r: Request, now: int) -> None:
        # Marked retries take spare tokens only: they must not starve fresh work.
        r.place = ""
        # Nowhere listed that it may go to: said at once, without a token.
        answer = bool(r.pool.order) and (r.tenant.spare(now) if r.retry else r.tenant.offer(r, now))
        if answer is False:
            self._refuse(r, now)
        elif answer is None:
            r.place = "held"
            self._release(r.tenant, now)
        else:
            self._admit(r, now)

    def _pass_turn(self, turn: Turn, now: int) -> None:
        """Rule 5: whoever is over and has nothing out makes way for the next request of its key."""
        while turn.waiting and turn.waiting[0].over and not turn.waiting[0].out:
            turn.waiting.popleft()
            if turn.waiting:
                turn.waiting[0].turn_ns = turn.rest_ns
                self._later(turn.rest_ns, "turn", turn)
        if not turn.waiting:
            self._later(turn.rest_ns, "turn", turn)  # forgotten once its rest is over

    def _turn_due(self, turn: Turn, now: int) -> None:
        if turn.waiting and turn.waiting[0].place == "turn" and turn.waiting[0].has_turn(now):
            self._offer(turn.waiting[0], now)
        elif not turn.waiting and now >= turn.rest_ns:
            self.turns.pop(turn.key, None)

    def _admit(self, r: Request, now: int) -> None:
        r.place = ""
        part = OVER_PART if r.tenant.over else LINE_PART  # over-share traffic is refused first
        # A class with much time must not make the line too long for those with little.
        spare = min(r.give_up_ns - now, self.patience_ns)
        if r.pool.jammed and len(r.pool.line) * SECOND > self.rate.served * spare * part:
            self.rate.unplaced += 1  # the line is too long already: better said at once
            self._refuse(r, now)
            return
        r.pool.line.append(r)
        self._look_around(r, now)

    def _look_around(self, r: Request, now: int) -> None:
        r.place = "line"
        if self.fleet.looks:
            # Own counts say little where proxies are many: the drawn upstreams are asked, the
            # request waits. One question at a time is out at each: its answer serves all who wait
            # for it. Where requests come faster than answers, each would need a connection. Who
            # owes one for long is passed over.
            drawn = dict.fromkeys(r.pool.draw(LOOKS, now))
            r.asked, r.received_ns = (
                [s for s in drawn if not s.received_ns or now < s.received_ns + self.look_ns],
                now,
            )
            for s in r.asked:
                if not s.received_ns:
                    s.received_ns, s.unseen = now, 0
                    self.actions.append(api.CheckHealth(s.id))
            self._later(now + self.look_ns, "look", r)

    def _probed(self, e: api.HealthCheckFinished, now: int) -> None:
        server = self.fleet.servers.get(e.upstream)
        if server is not None:
            server.received_ns = 0
            if e.report is not None:
                server.load, server.load_ns = e.report.get("inflight", 0.0) + server.unseen, now

    def _outcome(self, e: api.AttemptFinished, now: int) -> None:
        r = self.requests.get(e.request)
        if r is None or r.attempts[e.attempt].result is not None:
            return
        a = r.attempts[e.attempt]
        result = a.result = e.result
        if a.late and result is api.AttemptResult.CANCELLED:
            result = api.AttemptResult.TIMEOUT  # it was called off for want of time
        server = a.server  # also of one that is listed no more: counts must come out even
        fleet = self.fleet
        self.out -= not a.waits
        self.stuck -= a.overdue
        if result is api.AttemptResult.OK and a.waits:
            pass  # answered ahead of the request's end: that tells nothing of the time it takes
        elif result is api.AttemptResult.OK:
            self.crowding.note(r, a, e.duration_ns)
            self.crowding.feel(
                e.duration_ns / r.cls.latency_objective_ns,
                bool(r.pool.blocked_ns),
                r.pool.width,
                now,
            )
            if not server.own:
                self.guest += 0.2 * (
                    min(5.0, e.duration_ns / max(1.0, self.crowding.expected(r))) - self.guest
                )
            late = a.sent_ns + e.duration_ns > r.latency_objective_ns
            self.rate.good += not late
            self.rate.bad += late  # what a crowded fleet shows first
            fleet.judge(server, False)
            fleet.breaks -= 0.02 * fleet.breaks
            server.breaks = 0
            if server.strikes and server.errors < FAULTY[0]:
                server.strikes = server.barred_ns = 0
        elif result in (
            api.AttemptResult.REJECTED,
            api.AttemptResult.TIMEOUT,
            api.AttemptResult.CONNECT_FAILED,
            api.AttemptResult.RESET,
        ):
            if result is api.AttemptResult.REJECTED or self.crowding.crowded():
                self.crowding.feel(1.0, False, r.pool.width, now)
            self.rate.bad += 1
            busy = result in (api.AttemptResult.REJECTED, api.AttemptResult.TIMEOUT)
            if result is api.AttemptResult.TIMEOUT:
                self.crowding.crowd(a, e.duration_ns)
            if result is not api.AttemptResult.RESET or fleet.broken(server):
                fleet.bar(a, now, a.expected if busy else SECOND / 4)
                self._later(server.barred_ns, "pump", None)
        elif result is api.AttemptResult.ERROR:
            self.rate.good += 1
            if fleet.judge(server, True):
                fleet.bar(a, now, SECOND / 4)
                self._later(server.barred_ns, "pump", None)
        if not a.waits:
            server.inflight -= 1
            server.load = max(0.0, server.load - 1)
        fleet.forget(server)
        if r.turn and result in (
            api.AttemptResult.TIMEOUT,
            api.AttemptResult.RESET,
            api.AttemptResult.CANCELLED,
        ):
            r.turn.rest_ns = now + self.settings.rules.key_order_gap_ns
        if e.complete:
            self._end(r, now)
        elif not r.over and not r.out and not r.begun:
            self._again(r, now)
        self._forget(r, now)

    def _forget(self, r: Request, now: int) -> None:
        if r.over and not r.out and r.id in self.requests:
            del self.requests[r.id]
            if r.turn:
                self._pass_turn(r.turn, now)

    def _again(self, r: Request, now: int) -> None:
        """Nothing is out and nothing was served: another attempt, or the final answer."""
        if (
            r.attempts
            and any(
                r.may_send(s, now, self.settings.limits)
                for s in self._choices(r) or r.pool.order[:1]
            )
            and now < r.give_up_ns
        ):
            r.pool.line.appendleft(r)
            self._look_around(r, now)
        else:
            self._refuse(r, now)

    def _choices(self, r: Request) -> list[Server] | None:
        """Where a request that may have run may go again; None: anywhere."""
        first = next((a for a in r.attempts if a.may_have_run), None)
        if (
            first is None
            or r.cls.effect is api.Effect.IDEMPOTENT
            or r.cls.scope is api.DeduplicationScope.ALL
        ):
            return None
        return [s for s in r.pool.all() if r._same_group(s, first.server)]

    def _refuse(self, r: Request, now: int) -> None:
        """The final answer of a request that is not served: refused if that is true, else
        failed.
        """
        if r.may_refuse():
            limits, (first, last) = self.settings.limits, self.plan.retry_window_ns
            back = self.rng.uniform(0.25, 1.0) * min(limits.max_retry_after_ns, SECOND)
            if last:
                back = min(limits.max_retry_after_ns, first + self.rng.random() * (last - first))
            self.actions.append(api.RejectRequest(r.id, int(back) if limits.retry_after else 0))
        else:
            self.actions.append(api.FailRequest(r.id))
        self._end(r, now)

    def _end(self, r: Request, now: int) -> None:
        if r.place == "held":
            r.tenant.leave(r)
        elif r.place == "line":
            r.pool.line.remove(r)
        r.place = ""
        r.over = True
        if self.settings.limits.may_cancel:
            for i, a in enumerate(r.attempts):
                if a.result is None:
                    self.actions.append(api.CancelAttempt(r.id, i))
        self._forget(r, now)

    def _list(self, e: api.EndpointsUpdated, now: int) -> None:
        if e.kind is api.EndpointListKind.FAILED:
            # Calls are spread and backed off: discovery does not grow with the fleet.
            self.subscribed = False
            self.failures += 1
            wait = ASK_AGAIN_NS * min(1.0, 2.0 ** (self.failures - 3)) * self.rng.uniform(0.4, 1.0)
            self._later(
                now + int(min(wait, self.settings.rules.list_expiry_ns * 0.8)), "subscribe", None
            )
        else:
            self.failures = self.failures if e.kind is api.EndpointListKind.CACHED else 0
            self.fleet.learn(e, now)

    def _look(
        self, what: str, about: Request | Throttle | Turn | None, extra: int, now: int
    ) -> None:
        if isinstance(about, Turn):
            self._turn_due(about, now)
        elif isinstance(about, Request):
            if what == "give up" and about.place and now >= about.give_up_ns:
                self.rate.unplaced += about.place == "line"
                self._refuse(about, now)
            elif what == "overdue":
                self._overdue(about, extra, now)
            elif what == "late":
                self._late(about, extra, now)
        elif (
            what == "subscribe" or what == "first" and not self.fleet.ready
        ) and not self.subscribed:
            self.subscribed = True
            self.actions.append(api.SubscribeEndpoints(True))
        elif isinstance(about, Throttle):
            about.waking = False
            self._release(about, now)

    def _release(self, t: Throttle, now: int) -> None:
        for r in t.released(now):
            self._admit(r, now)
        if t.held and not t.waking:
            t.waking = True
            self._later(now + int((1 - t.credit) / t.rate * SECOND) + 1, "token", t)

    def _overdue(self, r: Request, number: int, now: int) -> None:
        """An attempt is out longer than its upstream should take: it may stand still."""
        a = r.attempts[number]
        if a.result is not None:
            return
        a.overdue = True
        self.stuck += 1
        self.fleet.bar(a, now, a.expected)
        self._later(a.server.barred_ns, "pump", None)
        if (
            r.pool.line
            or now + a.expected > r.latency_objective_ns
            or a.server.strikes < 2
            or not self.plan.copies
        ):
            # one late answer tells of long work, which a copy doubles; two in a row, of the
            # upstream
            return
        server = r.pool.pick(now, self._choices(r))
        if server and r.may_send(server, now, self.settings.limits) and r.tenant.spare(now):
            self._send(r, server, now)

    def _late(self, r: Request, number: int, now: int) -> None:
        """Its answer would be late, and worth nothing. While nobody waits for its place it may
        still come: the work is done, and the client has an answer. Else its place goes to
        another.
        """
        a = r.attempts[number]
        if a.result is not None or r.over:
            return
        a.late = True
        if r.pool.line or self.crowding.crowded() or not self.plan.copies:
            self.actions.append(api.CancelAttempt(r.id, number))
        else:
            self._later(now + LATE_LOOK_NS, "late", r, number)

    def _pump(self, now: int) -> None:
        """Serve each line in order while an upstream has room."""
        for pool in self.fleet.pools.values():
            self._serve(pool, now)
            if not pool.line:
                pool.blocked_ns = 0

    def _serve(self, pool: Pool, now: int) -> None:
        fleet, limits = self.fleet, self.settings.limits
        jammed = False
        able = pool.able(now) if pool.line else 0
        while pool.line:
            if not fleet.trusted:
                # nowhere may be sent to: who waits may still be sent once the list is known
                jammed = True
                break
            r = pool.line[0]
            if (
                r.asked
                and now < r.received_ns + self.look_ns
                and any(s.load_ns < r.received_ns for s in r.asked)
            ):
                break  # who waits for an answer to a question is not held up by a want of room
            pool.blocked_ns = pool.blocked_ns or now
            # What stands still must not fill the window while other answers are quick; but where
            # they are slow too, upstreams are crowded, and work whose answer is late still runs
            # there.
            window = max(1.0, self.crowding.window * able)
            freed = max(1.0, STUCK_PART * window) * (1 if self.crowding.crowded() else 2)
            if self.out - min(self.stuck, freed) >= window:
                jammed = True
                break
            choices = self._choices(r) if r.attempts else None
            fresh = [s for s in r.asked if s.load_ns >= r.received_ns and fleet.fit(s, now)]
            failed = {
                a.server for a in r.attempts
            }  # it may fail there again: elsewhere, where that can be
            fresh = [s for s in fresh if s not in failed] or fresh
            r.asked = []
            server = pool.pick(
                now, fresh or choices, r.cls.effect is not api.Effect.IDEMPOTENT, r.key
            )
            left = (r.latency_objective_ns - now) / self.crowding.each
            full = (
                fresh and server and server.load >= 1 and (server.load + 1.5) * server.pace > left
            )
            if full or (server is None and choices is not None):
                # All that it may go to are busy, or would answer late: it must not stop the line.
                self.rate.unplaced += 1
                self._refuse(r, now)
            elif server is not None:
                pool.line.popleft()
                r.place = ""
                if r.may_send(server, now, limits):
                    self._send(r, server, now)
                    able -= server.barred_ns > now  # cold: not the next one at once
                else:
                    self._refuse(r, now)
            else:
                jammed = True
                break
        pool.jammed = jammed

    def _send(self, r: Request, server: Server, now: int) -> None:
        expected = min(max(1.0, self.crowding.expected(r) * server.pace), r.cls.deadline_ns)
        begin = r.repeat_ns(now)
        r.attempts.append(Attempt(server, now, expected, 1.0, waits=not r.whole))
        if r.whole:
            self._begin(r, len(r.attempts) - 1, now)
        if self.fleet.cold(server, now):
            self.fleet.leave(server, now + self.fleet.cold_gap_ns(server, now))
            self._later(server.barred_ns, "pump", None)
        # Where a late answer is worth nothing, an attempt that others wait for ends at the aim.
        timeout = 0
        if not (r.cls.late_weight or r.cls.stream):
            if r.whole and self.settings.limits.may_cancel:
                self._later(max(now + 1, r.latency_objective_ns), "late", r, len(r.attempts) - 1)
            else:
                timeout = (
                    max(1, r.latency_objective_ns - now) if r.whole else r.cls.latency_objective_ns
                )
        self.actions.append(api.StartAttempt(r.id, server.id, timeout, begin))

    def _begin(self, r: Request, number: int, now: int) -> None:
        """An upstream has something to do for this attempt from now on."""
        a = r.attempts[number]
        server = a.server
        self.out += 1
        server.inflight += 1
        server.load += server.load_ns > 0
        server.unseen += 1
        a.opens = server.inflight > server.most
        server.most = max(server.most, server.inflight)
        a.load = max(server.load, server.inflight)
        self._later(now + int(a.expected * (1.3 + 3 * self.crowding.spread)), "overdue", r, number)

    def _feedback(self, now: int) -> None:
        self.checked_ns = now
        fleet = self.fleet
        # Reach beyond the home while the line waits and the upstreams there answer about as fast.
        self.guest += 0.03 * (1.0 - self.guest)
        for pool in fleet.pools.values():
            pool.compare()
            if pool.blocked_ns and self.guest < 1.5 and pool.width < pool.count:
                pool.widen()
            elif (not pool.blocked_ns or self.guest > 1.5) and pool.width > pool.reach:
                pool.width -= 1
        for s in fleet.main.order[: min(fleet.main.width, SCAN)]:
            s.errors *= ERROR_FADE
        self.rate.adjust(now, self.crowding.stress - self.crowding.ease)
        fleet.borne += 0.2 * (self.rate.sent / max(1, fleet.main.width) - fleet.borne)
        self._tokens(now)

    def _tokens(self, now: int) -> None:
        """What each tenant has by now, and who may go for it."""
        for t in self.rate.throttles:
            if t.at != now:
                t.accrue(now)
            if t.held:
                self._release(t, now)

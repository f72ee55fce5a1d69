"""The invariants, judged from the history alone: it shares nothing with the program.

cut          an answer that its upstream still wrote is not cut off, unless its client left
given up     what may not be repeated is not given up before its client's time, nor a request whose
             client still writes it
answered     each request that was taken has one whole answer by half a second behind its time; an
             answer without a length that stops is over behind the longest pause, and does not seem
             whole
twice        what may not be repeated runs once; a keyed request not beyond its window
drain        nothing new to an upstream that drains, went or is disabled, behind the grace, by
             any process of a balancer of which one was notified (notification_times.py)
late begin   no attempt begins more than 0.1 s after its client closed
slow start   a cold upstream gets no more than its budget of a window, from all balancers together
told         an attempt tells no more than its client has left, with 0.15 s of slack
process      no process ends by itself, with another status than 0 (but one that was told to end
             before it was ready may end by that signal), or logs what nobody foresaw
memory       no process needs more than its limit
"""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

from loadbalancer.testbed.soak.history import (
    Asked,
    Attempt,
    ColdStart,
    End,
    History,
    Kind,
    Process,
)
from loadbalancer.testbed.soak.notification_times import NotificationTimes
from loadbalancer.testbed.soak.plan import EARLIEST_KILL_NS, KILL_MARGIN_NS, MS, SECOND
from loadbalancer.testbed.soak.slow_start_check import Overload, SlowStartRules, windows

# How far a moment read here may be off: readings of two sockets, and the kernel's ticks of 4 ms.
MARGIN_NS = 30 * MS
LATE_ANSWER_NS = 500 * MS
# An upstream may pause for 2 s within an answer; its balancer may be late by what an answer may be.
STOPPED_ANSWER_NS = 2_500 * MS
ANSWER_MARGIN_NS = 50 * MS  # before its client's time, a balancer may answer that it is over
PROCESS_END_NS = 200 * MS  # its connections close within so long before its end
LATE_BEGIN_NS = 100 * MS
TOLD_SLACK_NS = 150 * MS
RULE_SLACK_NS = 50 * MS
LONG_BODY = 64 * 1024  # beyond it, the pages time the first bytes of the answer
MAX_LOGGED = 200  # characters of a log line in a breach
BAD_LOG = ("Traceback", "ERROR", "never retrieved", "violation")
# What operators are told in so many words, and is no defect.
FORESEEN = (
    "accept failed:",
    "not saved",
    "endpoint list used although stale",
    "can't be read",
    "process note not written",
)


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule. `lag_ns`: how late the soak itself was about then; too late, and it proves
    nothing.
    """

    rule: str
    at_ns: int
    what: str
    lag_ns: int = 0


class Checker:
    """Judges one history."""

    def __init__(
        self,
        history: History,
        grace_ns: int,
        window_ns: int,
        slow_start: SlowStartRules | None = None,
    ) -> None:
        self.history = history
        self.slow_start = slow_start
        self.homes = {asked.id: asked.balancer for asked in history.asked}
        self.grace_ns = grace_ns
        self.window_ns = window_ns
        self.by_id: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in history.attempts:
            self.by_id[attempt.id].append(attempt)
        self.notifications = NotificationTimes(history)

    def breaches(self) -> list[Breach]:
        """All, in the order of time, each with the soak's own lag."""
        found = [
            *self._answered(),
            *self._cut(),
            *self._given_up(),
            *self._twice(),
            *self._drain(),
            *self._slow_start(),
            *self._begun_late(),
            *self._told(),
            *self._processes(),
        ]
        return sorted(
            (Breach(b.rule, b.at_ns, b.what, self._lag(b.at_ns)) for b in found),
            key=lambda b: b.at_ns,
        )

    def _lag(self, at_ns: int) -> int:
        near = [lag for when, lag in self.history.lags if abs(when - at_ns) < SECOND]
        return max(near, default=0)

    # ---- answered --------------------------------------------------------------------------------

    def _answered(self) -> Iterator[Breach]:
        for asked in self.history.asked:
            if not asked.sent_ns or asked.end in (End.LEFT, End.NOT_TAKEN):
                continue
            why = self._unanswered(asked)
            if why and not self._excused(asked):
                yield Breach("answered", asked.ended_ns, f"{describe(asked)}: {why}")

    def _unanswered(self, asked: Asked) -> str:
        is_forwarded = asked.is_long_answer and asked.status == HTTPStatus.OK
        ended_ns = asked.first_ns if is_forwarded else asked.ended_ns
        late_ns = ended_ns - asked.sent_ns - asked.wait_ms * MS
        form = asked.answer_form
        if form.stops_undecided and asked.status == HTTPStatus.OK:
            late_ns = min(late_ns, ended_ns - asked.first_ns - STOPPED_ANSWER_NS)
        if asked.end is End.CLOSED:
            return "" if asked.reused and not self.by_id[asked.id] else "closed with no answer"
        if asked.end is End.UNANSWERED:
            return "no answer in its time"
        if not asked.proper:
            return "an answer that no upstream made for it"
        if asked.end is End.SERVED and form.stop:
            return "an answer that stopped seems whole"
        if late_ns > LATE_ANSWER_NS + MARGIN_NS:
            return f"answered {late_ns / 1e9:.3f} s behind its time"
        return ""

    def _excused(self, asked: Asked) -> bool:
        """Its process was killed by the soak while the request was open, or came too close to its
        end.
        """
        for p in self.history.processes:
            if p.balancer != asked.balancer or not p.killed_ns:
                continue
            if asked.sent_ns - SECOND <= p.killed_ns <= asked.ended_ns + MARGIN_NS:
                ordered_by_key = (
                    p.term_ns and p.killed_ns - p.term_ns >= EARLIEST_KILL_NS - MARGIN_NS
                )
                if not ordered_by_key or asked.sent_ns < p.term_ns + KILL_MARGIN_NS:
                    return True
        return False

    # ---- long answers ----------------------------------------------------------------------------

    def _cut(self) -> Iterator[Breach]:
        for asked in self.history.asked:
            if not asked.query or asked.end in (End.LEFT, End.SERVED) or self._excused(asked):
                continue
            for attempt in self.by_id[asked.id]:
                if self._is_cut_off(asked, attempt):
                    what = f"{describe(asked)} at {attempt.upstream}: {asked.query}"
                    yield Breach("cut", attempt.cut_ns, what)

    def _is_cut_off(self, asked: Asked, attempt: Attempt) -> bool:
        """Whether a balancer ended an attempt that gave its client the answer."""
        if not attempt.cut_ns or attempt.cut_ns > asked.ended_ns + MARGIN_NS:
            return False
        if not asked.is_long_answer and attempt.cut_ns >= asked.due_ns - MARGIN_NS:
            return False
        return not self._is_process_end(asked, attempt.cut_ns)

    def _is_process_end(self, asked: Asked, at_ns: int) -> bool:
        """Whether a process that was told to end did so then, before it would be killed."""
        return any(
            p.balancer == asked.balancer and p.term_ns and abs(at_ns - p.ended_ns) < PROCESS_END_NS
            for p in self.history.processes
        )

    # ---- attempts given up -----------------------------------------------------------------------

    def _given_up(self) -> Iterator[Breach]:
        for asked in self.history.asked:
            if asked.end is End.LEFT or self._excused(asked):
                continue
            if self._is_refused_while_written(asked):
                what = f"{describe(asked)}: answered {asked.status} while its client wrote it"
                yield Breach("given up", asked.ended_ns, what)
            for attempt in self.by_id[asked.id]:
                if self._is_given_up_early(asked, attempt):
                    left_s = (asked.due_ns - attempt.given_up_ns) / SECOND
                    what = f"{describe(asked)} at {attempt.upstream}, {left_s:.2f} s too early"
                    yield Breach("given up", attempt.given_up_ns, what)

    @staticmethod
    def _is_refused_while_written(asked: Asked) -> bool:
        """Whether a client that writes slowly, but does, was told that it took too long."""
        return asked.form is not None and asked.status == HTTPStatus.REQUEST_TIMEOUT

    def _is_given_up_early(self, asked: Asked, attempt: Attempt) -> bool:
        if asked.kind is not Kind.PAY or not asked.sent_ns or not attempt.given_up_ns:
            return False
        if asked.end is End.SERVED or (asked.end is End.REFUSED and not attempt.whole_ns):
            return False  # what an upstream never had whole may be refused: it can be sent again
        until_ns = asked.due_ns - MARGIN_NS - ANSWER_MARGIN_NS
        is_early = asked.sent_ns <= attempt.given_up_ns < until_ns
        return is_early and not self._is_process_end(asked, attempt.given_up_ns)

    # ---- effects ---------------------------------------------------------------------------------

    def _twice(self) -> Iterator[Breach]:
        kinds = {asked.id: asked.kind for asked in self.history.asked}
        for name, attempts in self.by_id.items():
            ran = sorted((a for a in attempts if a.whole_ns and a.ran), key=lambda a: a.whole_ns)
            if len(ran) < 2 or kinds.get(name, Kind.READ) is Kind.READ:
                continue
            apart_ns = ran[-1].whole_ns - ran[0].whole_ns
            if kinds[name] is Kind.PAY or apart_ns > self.window_ns + RULE_SLACK_NS + MARGIN_NS:
                where = ", ".join(f"{a.upstream} at {a.whole_ns / 1e9:.3f}" for a in ran)
                what = f"request {name} ({kinds[name].value}) ran at {where}"
                yield Breach("twice", ran[-1].whole_ns, what)

    # ---- drain -----------------------------------------------------------------------------------

    def _drain(self) -> Iterator[Breach]:
        by_upstream: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.history.attempts:
            by_upstream[attempt.upstream].append(attempt)
        for change in self.history.changes:
            until_ns = change.until_ns or 1 << 62
            for attempt in by_upstream[change.upstream]:
                if not change.made_ns < attempt.first_ns < until_ns - MARGIN_NS:
                    continue
                home = self.homes.get(attempt.id, -1)
                in_force_ns = self.notifications.in_force_ns(home, change, attempt.first_ns)
                ago_ns = attempt.first_ns - in_force_ns
                if ago_ns > self.grace_ns + RULE_SLACK_NS + MARGIN_NS:
                    what = f"request {attempt.id} by balancer {home} to {attempt.upstream}"
                    yield Breach(
                        "drain", attempt.first_ns, f"{what}, told {ago_ns / 1e9:.3f} s ago"
                    )
        yield from self._disabled(by_upstream)

    def _disabled(self, by_upstream: dict[str, list[Attempt]]) -> Iterator[Breach]:
        for d in self.history.disabled:
            until_ns = d.until_ns or 1 << 62
            for attempt in by_upstream[d.upstream]:
                over_ns = attempt.first_ns - d.from_ns - self.grace_ns
                if (
                    self.homes.get(attempt.id) == d.balancer
                    and over_ns > RULE_SLACK_NS + MARGIN_NS
                    and attempt.first_ns < until_ns - MARGIN_NS
                ):
                    what = (
                        f"request {attempt.id} by balancer {d.balancer} to {d.upstream}, disabled"
                    )
                    yield Breach(
                        "drain", attempt.first_ns, f"{what}, {over_ns / 1e9:.3f} s behind the grace"
                    )

    # ---- slow start ------------------------------------------------------------------------------

    def _windows(self, start: ColdStart) -> Iterator[Overload]:
        if self.slow_start is not None:
            yield from windows(start, self.history.attempts, self.slow_start, self._is_notified)

    def fullest_window(self) -> float:
        """Return the most of its limit that a cold upstream got in a window."""
        ratios = (w.ratio for start in self.history.cold_starts for w in self._windows(start))
        return max(ratios, default=0.0)

    def _slow_start(self) -> Iterator[Breach]:
        """The first window over the limit of each start: the upstream falls then."""
        for start in self.history.cold_starts:
            first = next((w for w in self._windows(start) if w.ratio > 1.0), None)
            if first is not None and first.is_breach:
                age_s = (first.at_ns - start.started_ns) / SECOND
                what = (
                    f"upstream {start.change.upstream}, {age_s:.2f} s after its start: {first.sent}"
                    f" in a window, at most {first.limit:.1f}; {first.notified} notified"
                )
                yield Breach("slow start", first.at_ns, what)

    def _is_notified(self, attempt: Attempt, start: ColdStart) -> bool:
        """Whether the balancer that sent it counts as notified of the start.

        A process that began after the change had the upstream in its first list.
        """
        balancer = self.homes.get(attempt.id, -1)
        change = start.change
        running = self.notifications.running(balancer, attempt.first_ns)
        has_begun_later = all(process.started_ns >= change.made_ns for process in running)
        in_force_ns = self.notifications.in_force_ns(balancer, change, attempt.first_ns)
        return bool(running) and (has_begun_later or in_force_ns <= attempt.first_ns)

    # ---- attempts --------------------------------------------------------------------------------

    def _begun_late(self) -> Iterator[Breach]:
        for asked in self.history.asked:
            if asked.end is not End.LEFT:
                continue
            for attempt in self.by_id[asked.id]:
                late_ns = attempt.first_ns - asked.ended_ns
                if late_ns > LATE_BEGIN_NS + MARGIN_NS + self._held_up(asked, attempt):
                    yield Breach(
                        "late begin",
                        attempt.first_ns,
                        f"{describe(asked)} began {late_ns / 1e9:.3f} s after its client had left",
                    )

    def _told(self) -> Iterator[Breach]:
        asked_by_id = {asked.id: asked for asked in self.history.asked if asked.sent_ns}
        for attempt in self.history.attempts:
            asked = asked_by_id.get(attempt.id)
            if asked is None or not attempt.whole_ns or asked.body_bytes > LONG_BODY:
                continue
            left_ns = asked.sent_ns + asked.wait_ms * MS - attempt.whole_ns
            over_ns = attempt.told_ms * MS - left_ns - self._held_up(asked, attempt)
            if over_ns > TOLD_SLACK_NS + MARGIN_NS:
                yield Breach(
                    "told",
                    attempt.whole_ns,
                    f"{describe(asked)} told {attempt.told_ms} ms with {left_ns / MS:.0f} ms left",
                )

    def _held_up(self, asked: Asked, attempt: Attempt) -> int:
        """For how long the soak had stopped its process just before."""
        near = SECOND // 2
        return max(
            (
                to - since
                for balancer, since, to in self.history.stops
                if balancer == asked.balancer and since - near < attempt.first_ns < to + near
            ),
            default=0,
        )

    # ---- processes -------------------------------------------------------------------------------

    def _processes(self) -> Iterator[Breach]:
        for p in self.history.processes:
            at_ns = p.ended_ns or p.started_ns
            name = f"process {p.number} of balancer {p.balancer}"
            if not p.killed_ns and not ended_well(p):
                last_line = (p.log.splitlines() or ["no log"])[-1]
                what = f"{name} ended with {p.status}: {last_line[:MAX_LOGGED]}"
                yield Breach("process", at_ns, what)
            if p.memory_limit_mb and p.memory_mb > p.memory_limit_mb:
                yield Breach("memory", at_ns, f"{name} needed {p.memory_mb:.0f} MB")
            for line in p.log.splitlines():
                if any(bad in line for bad in BAD_LOG) and not any(
                    known in line for known in FORESEEN
                ):
                    yield Breach("process", at_ns, f"{name}: {line[:MAX_LOGGED]}")


def ended_well(process: Process) -> bool:
    """Whether it runs, or was told to end and did so in order."""
    if process.status is None:
        return True
    if not process.term_ns:
        return False
    has_no_handler = not process.ready_ns and process.status == -signal.SIGTERM
    return process.status == 0 or has_no_handler


def describe(asked: Asked) -> str:
    """A request in a few words."""
    took_ms = (asked.ended_ns - asked.sent_ns) / MS
    return (
        f"request {asked.id} ({asked.kind.value}, {asked.wait_ms} ms, balancer {asked.balancer},"
        f" {asked.end.value}, {took_ms:.1f} ms behind its last byte)"
    )

"""Where the decision module's instances of a virtual run live: in this process, or spread over
several.

An instance is handed its own events and the clock and nothing else, so where it lives changes no
answer.
"""

from __future__ import annotations

import multiprocessing
import time
import traceback
from collections.abc import Callable, Mapping, Sequence
from multiprocessing.connection import Connection
from typing import Any, Protocol

from loadbalancer.policy import Balancer, api
from loadbalancer.settings import Json, read_settings

Batch = Mapping[int, Sequence[api.Event]]
Actions = dict[int, list[api.Action]]


class Module(Protocol):
    """What the lab needs of a decision module."""

    def handle(self, now: int, events: Sequence[api.Event]) -> list[api.Action]: ...


Maker = Callable[[api.Settings, int, int], Module]


class Crashed(Exception):
    """The decision module raised: the run is void."""


class Host:
    """Instances in this process."""

    def __init__(self, maker: Maker = Balancer) -> None:
        self.maker = maker
        self.instances: dict[int, Module] = {}
        self.remembers = bool(getattr(maker, "remembers", False))
        self.past: dict[
            int, tuple[int, api.LearnedState]
        ] = {}  # of those that were killed, and when
        self.now = 0
        self._spent_ns = 0
        self._events = 0

    @property
    def spent_ns(self) -> int:
        """Real time in the module: for tables, never in a result."""
        return self._spent_ns

    @property
    def events(self) -> int:
        return self._events

    def start(self, number: int, settings: Json, seed: int, now: int) -> None:
        self.instances[number] = self.maker(read_settings(settings), seed, now)

    def kill(self, number: int) -> None:
        killed = self.instances.pop(number, None)
        if self.remembers and isinstance(killed, Balancer):
            self.past[number] = self.now, killed.learned_state()

    def _remind(self, number: int, now: int, events: Sequence[api.Event]) -> Sequence[api.Event]:
        """With its first events, what its predecessor had learnt."""
        at, learnt = self.past.pop(number)
        return [learnt._replace(age_ns=now - at), *events]

    def handle(self, now: int, batch: Batch) -> Actions:
        began = time.perf_counter_ns()
        self.now = now
        answers: Actions = {}
        for number, events in batch.items():
            self._events += len(events)
            if number in self.past:
                events = self._remind(number, now, events)
            try:
                answers[number] = self.instances[number].handle(now, events)
            except Exception as error:
                where = traceback.extract_tb(error.__traceback__)[-1]
                raise Crashed(
                    f"balancer {number}: {type(error).__name__}: {error} "
                    f"at {where.name}:{where.lineno}"
                ) from error
        self._spent_ns += time.perf_counter_ns() - began
        return answers

    def close(self) -> None:
        self.instances.clear()


def _work(pipe: Connection, maker: Maker) -> None:
    host = Host(maker)
    while True:
        try:
            what, args = pipe.recv()
        except (EOFError, KeyboardInterrupt):
            return
        try:
            pipe.send((getattr(host, what)(*args), None, host.spent_ns, host.events))
        except Crashed as error:
            pipe.send((None, str(error), host.spent_ns, host.events))


class SpreadHost:
    """The same instances, dealt over worker processes."""

    def __init__(self, workers: int, maker: Maker = Balancer) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipes: list[Any] = []
        self.workers = []
        for _ in range(workers):
            ours, theirs = context.Pipe()
            worker = context.Process(target=_work, args=(theirs, maker), daemon=True)
            worker.start()
            theirs.close()
            self.pipes.append(ours)
            self.workers.append(worker)
        self.spent = [0] * workers
        self.counted = [0] * workers

    @property
    def spent_ns(self) -> int:
        return sum(self.spent)

    @property
    def events(self) -> int:
        return sum(self.counted)

    def _ask(self, at: int, what: str, *args: Any) -> None:
        self.pipes[at].send((what, args))

    def _take(self, at: int) -> Any:
        answer, error, self.spent[at], self.counted[at] = self.pipes[at].recv()
        if error is not None:
            raise Crashed(error)
        return answer

    def start(self, number: int, settings: Json, seed: int, now: int) -> None:
        at = number % len(self.pipes)
        self._ask(at, "start", number, settings, seed, now)
        self._take(at)

    def kill(self, number: int) -> None:
        at = number % len(self.pipes)
        self._ask(at, "kill", number)
        self._take(at)

    def handle(self, now: int, batch: Batch) -> Actions:
        parts: dict[int, dict[int, Sequence[api.Event]]] = {}
        for number, events in batch.items():
            parts.setdefault(number % len(self.pipes), {})[number] = events
        for at, part in parts.items():
            self._ask(at, "handle", now, part)
        answers: Actions = {}
        for at in parts:
            answers.update(self._take(at))
        return answers

    def close(self) -> None:
        for pipe in self.pipes:
            pipe.close()
        for worker in self.workers:
            worker.join(2.0)
            if worker.is_alive():
                worker.kill()

"""What may stand in a balancer's place in virtual time: the project's module as it is here or was
in another revision, textbook policies to compare with, and balancers broken on purpose, which the
ledger must catch.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from loadbalancer.policy import Balancer, api
from loadbalancer.testbed import moduletext
from loadbalancer.testbed.hosts import Maker, Module
from loadbalancer.testbed.topology import Unusable

HERE = "here"
REMEMBERING = "here+memory"  # what an instance learnt outlives its restart
POLL_NS = 500_000_000


class Textbook:
    """A plain policy: no limits and no holding; `pick` chooses among the ready ones; what is safe
    is tried again elsewhere, up to three times in all.
    """

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.ready: dict[int, api.Upstream] = {}
        self.order: list[int] = []
        self.inflight: dict[int, int] = {}
        self.open: dict[str, tuple[api.RequestArrived, list[int]]] = {}
        self.turn = 0
        self.asked = settings.discovery_push

    def pick(self, avoid: Sequence[int]) -> int:
        raise NotImplementedError

    def choose(self, avoid: Sequence[int]) -> int | None:
        if not self.order:
            return None
        return self.pick(avoid if len(avoid) < len(self.order) else ())

    def handle(self, now: int, events: Sequence[api.Event]) -> list[api.Action]:
        out: list[api.Action] = []
        if not self.asked:
            self.asked = True
            out.append(api.SubscribeEndpoints())
        for event in events:
            match event:
                case api.EndpointsUpdated():
                    self._learn(event, out)
                case api.RequestArrived():
                    self.open[event.request] = (event, [])
                    self._send(event.request, now, out)
                case api.AttemptFinished():
                    self.inflight[event.upstream] = max(0, self.inflight.get(event.upstream, 1) - 1)
                    if event.complete:
                        self.open.pop(event.request, None)
                    elif event.request in self.open:
                        self._failed(event, now, out)
                case api.ClientDisconnected():
                    self.open.pop(event.request, None)
                case api.TimerFired():
                    out.append(api.SubscribeEndpoints())
                case _:
                    pass
        return out

    def _learn(self, update: api.EndpointsUpdated, out: list[api.Action]) -> None:
        if update.kind is api.EndpointListKind.FAILED:
            out.append(api.SetTimer(POLL_NS, "ask"))
            return
        if update.kind is not api.EndpointListKind.DELTA:
            self.ready.clear()
        for entry in update.upstreams:
            self.ready.pop(entry.id, None)
            if entry.state is api.UpstreamState.READY:
                self.ready[entry.id] = entry
        self.order = sorted(self.ready)

    def _send(self, name: str, now: int, out: list[api.Action]) -> None:
        arrival, tried = self.open[name]
        at = self.choose(tried)
        if at is None or now >= arrival.deadline_ns:
            del self.open[name]
            out.append(api.RejectRequest(name) if not tried else api.FailRequest(name))
            return
        tried.append(at)
        self.inflight[at] = self.inflight.get(at, 0) + 1
        out.append(api.StartAttempt(name, at))

    def _failed(self, event: api.AttemptFinished, now: int, out: list[api.Action]) -> None:
        arrival, tried = self.open[event.request]
        never = event.result in api.NEVER_RAN
        safe = self.settings.classes[arrival.class_name].effect is api.Effect.IDEMPOTENT
        if len(tried) < 3 and (never or safe) and now < arrival.deadline_ns:
            self._send(event.request, now, out)
            return
        del self.open[event.request]
        out.append(api.FailRequest(event.request))


class RandomChoice(Textbook):
    def pick(self, avoid: Sequence[int]) -> int:
        while True:
            at = self.order[int(self.rng.random() * len(self.order))]
            if at not in avoid:
                return at


class RoundRobin(Textbook):
    def pick(self, avoid: Sequence[int]) -> int:
        while True:
            self.turn += 1
            at = self.order[(self.turn + self.settings.instance_index) % len(self.order)]
            if at not in avoid:
                return at


class TwoChoices(Textbook):
    """The power of two choices: the less busy, by own requests, of two random draws."""

    def pick(self, avoid: Sequence[int]) -> int:
        draws = [
            at
            for at in self.rng.sample(self.order, min(len(self.order), 2 + len(avoid)))
            if at not in avoid
        ]
        return min(draws[:2], key=lambda at: self.inflight.get(at, 0))


class LeastInflight(Textbook):
    """Of all, the one with the fewest own requests in flight; ties by chance."""

    def pick(self, avoid: Sequence[int]) -> int:
        least = min(self.inflight.get(at, 0) for at in self.order if at not in avoid)
        fit = [at for at in self.order if at not in avoid and self.inflight.get(at, 0) == least]
        return fit[int(self.rng.random() * len(fit))]


class NearLeastInflight(LeastInflight):
    """The same, of its own zone while nothing there holds more than two, else of all."""

    def pick(self, avoid: Sequence[int]) -> int:
        near = [
            at for at in self.order if at not in avoid and self.ready[at].zone == self.settings.zone
        ]
        least = min((self.inflight.get(at, 0) for at in near), default=9)
        if least > 1:
            return super().pick(avoid)
        fit = [at for at in near if self.inflight.get(at, 0) == least]
        return fit[int(self.rng.random() * len(fit))]


# ---- balancers broken on purpose -----------------------------------------------------------------


class Broken:
    """The module, with what it says changed on the way out."""

    EVERY = 50  # every so many chances, it does wrong

    def __init__(self, settings: api.Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.inner = Balancer(settings, seed, now)
        self.chances = 0
        self.classes: dict[str, api.RequestClass] = {}
        self.states: dict[int, api.Upstream] = {}

    def handle(self, now: int, events: Sequence[api.Event]) -> list[api.Action]:
        for event in events:
            if isinstance(event, api.RequestArrived):
                self.classes[event.request] = self.settings.classes[event.class_name]
            elif isinstance(event, api.EndpointsUpdated):
                for entry in event.upstreams:
                    self.states[entry.id] = entry
        out: list[api.Action] = []
        for action in self.inner.handle(now, self.hide(events)):
            out += self.spoil(action, now)
        return out

    def hide(self, events: Sequence[api.Event]) -> Sequence[api.Event]:
        return events

    def spoil(self, action: api.Action, now: int) -> list[api.Action]:
        return [action]

    def chance(self) -> bool:
        self.chances += 1
        return self.chances % self.EVERY == 0


class DoubledSend(Broken):
    """Sends what must never run twice to two upstreams at once."""

    def spoil(self, action: api.Action, now: int) -> list[api.Action]:
        if (
            isinstance(action, api.StartAttempt)
            and self.classes[action.request].effect is api.Effect.NON_IDEMPOTENT
            and self.chance()
        ):
            others = [
                n
                for n, e in self.states.items()
                if n != action.upstream and e.state is api.UpstreamState.READY
            ]
            return [action, action._replace(upstream=others[self.chances % len(others)])]
        return [action]

    def hide(self, events: Sequence[api.Event]) -> Sequence[api.Event]:
        return [e for e in events if not isinstance(e, api.AttemptFinished) or e.attempt == 0]


class SwallowedAnswer(Broken):
    """Never says that it gave a request up."""

    EVERY = 5

    def spoil(self, action: api.Action, now: int) -> list[api.Action]:
        return (
            []
            if isinstance(action, api.RejectRequest | api.FailRequest) and self.chance()
            else [action]
        )


class SentAfterDrain(Broken):
    """Does not hear that upstreams drain or go."""

    def hide(self, events: Sequence[api.Event]) -> Sequence[api.Event]:
        kept = []
        for event in events:
            if isinstance(event, api.EndpointsUpdated):
                entries = [e._replace(state=api.UpstreamState.READY) for e in event.upstreams]
                kind = (
                    api.EndpointListKind.DELTA
                    if event.kind is api.EndpointListKind.FULL
                    else event.kind
                )
                event = api.EndpointsUpdated(kind, entries)
            kept.append(event)
        return kept


class FloodedCold(Textbook):
    """Sends all that it gets to whatever has started last."""

    def pick(self, avoid: Sequence[int]) -> int:
        return max(
            (at for at in self.order if at not in avoid), key=lambda at: self.ready[at].started_ns
        )


TEXTBOOK: dict[str, Maker] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "least-inflight": LeastInflight,
    "near-least-inflight": NearLeastInflight,
}
BROKEN: dict[str, Maker] = {
    "broken-doubled-send": DoubledSend,
    "broken-swallowed-answer": SwallowedAnswer,
    "broken-sent-after-drain": SentAfterDrain,
    "broken-flooded-cold": FloodedCold,
}


class ByName:
    """A maker that can be handed to another process: it builds the policy there, by its name."""

    def __init__(self, name: str, text: Mapping[str, str] | None = None) -> None:
        self.name = name
        self.text = text
        self.made: Callable[[api.Settings, int, int], Module] | None = None

    @property
    def remembers(self) -> bool:
        """Is what an instance learnt handed to its successor?"""
        return self.name == REMEMBERING

    def __getstate__(self) -> tuple[str, Mapping[str, str] | None]:
        return self.name, self.text

    def __setstate__(self, state: tuple[str, Mapping[str, str] | None]) -> None:
        self.name, self.text = state
        self.made = None

    def __call__(self, settings: api.Settings, seed: int, now: int) -> Module:
        if self.made is None:
            self.made = self._make()
        return self.made(settings, seed, now)

    def _make(self) -> Maker:
        if self.name in TEXTBOOK:
            return TEXTBOOK[self.name]
        if self.name in BROKEN:
            return BROKEN[self.name]
        if self.text is None:
            return Balancer
        made: Maker = moduletext.loaded(self.text).Balancer
        return made


def policy(name: str) -> ByName:
    """`here`, the name of a textbook or broken policy, the path of a module's file, or a git
    revision whose module is meant. Raises Unusable.
    """
    if name in (HERE, REMEMBERING) or name in TEXTBOOK or name in BROKEN:
        return ByName(name)
    if Path(name).is_file():
        return ByName(name, {moduletext.ROOT: Path(name).read_text(encoding="utf-8")})
    texts = moduletext.at_revision(name)
    if not texts:
        raise Unusable(
            f"{name}: no policy, file or revision of that name; policies are {HERE}, "
            f"{REMEMBERING}, "
            f"{', '.join(sorted(TEXTBOOK) + sorted(BROKEN))}"
        )
    return ByName(name, texts)

"""Long messages in the soak: answers in lumps or that stop, and requests read or written slowly."""

from __future__ import annotations

import asyncio
import random
import shutil
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Final

import pytest
import uvloop

import loadbalancer
from loadbalancer.testbed.soak.checker import Checker
from loadbalancer.testbed.soak.history import Asked, Attempt, End, History, Kind, Process
from loadbalancer.testbed.soak.long_answers import LONG_ANSWER_BYTES, AnswerForm, Framing
from loadbalancer.testbed.soak.long_requests import Reading, RequestForm
from loadbalancer.testbed.soak.plan import MS, SECOND, Plan
from loadbalancer.testbed.soak.request_reader import RequestHead, RequestReader
from loadbalancer.testbed.soak.run import play
from tests.fakes import run

PROGRAM: Final = Path(loadbalancer.__file__).parent.parent
START: Final = 100 * SECOND
DRAWS: Final = 300
SOAK_TIMEOUT_S: Final = 60.0


def history_of(kind: Kind, given_up_ns: int, status: int = 502) -> History:
    """Return a request of 1 s whose attempt was given up, and which was answered right after."""
    history = History()
    history.processes.append(Process(0, 0, START - SECOND, START))
    form = RequestForm(100_000)
    ended_ns = given_up_ns + 100 * MS
    history.asked.append(
        Asked("r", kind, 0, 1_000, b"", START, ended_ns, End.FAILED, status=status, form=form)
    )
    history.attempts.append(Attempt("r", "s", 1, START, 500, given_up_ns=given_up_ns))
    return history


def rules_broken(history: History) -> set[str]:
    return {breach.rule for breach in Checker(history, SECOND // 2, 2 * SECOND).breaches()}


def test_an_attempt_that_may_not_be_repeated_is_given_up_too_early() -> None:
    assert rules_broken(history_of(Kind.PAY, START + 500 * MS)) == {"given up"}
    assert rules_broken(history_of(Kind.PAY, START + 960 * MS)) == set()
    assert rules_broken(history_of(Kind.KEYED, START + 500 * MS)) == set()


def test_a_client_that_writes_slowly_is_told_that_it_took_too_long() -> None:
    assert rules_broken(history_of(Kind.KEYED, START + 960 * MS, status=408)) == {"given up"}


def test_answers_come_in_lumps_of_all_sizes_and_some_stop() -> None:
    rng = random.Random(1)
    for _ in range(DRAWS):
        form = AnswerForm.draw_lumps(rng)
        assert AnswerForm.of_target(f"/read?{form.query}") == form
        written = list(form.pieces(b""))
        if form.framing is not Framing.CHUNKED:
            assert sum(len(piece) for _, piece in written) == form.size > LONG_ANSWER_BYTES
        stopping = AnswerForm.draw_stopping(rng)
        assert AnswerForm.of_target(f"/read?{stopping.query}") == stopping
        assert not stopping.is_long
        assert len(list(stopping.pieces(b""))) == 1


def test_requests_are_framed_and_read_as_their_forms_say() -> None:
    rng = random.Random(2)
    heads: list[RequestHead] = []
    completed: list[None] = []
    reader = RequestReader(heads.append, lambda: completed.append(None))
    for number in range(20):
        form = RequestForm.draw(rng)
        head = (
            f"POST /pay?{form.query} HTTP/1.1\r\nX-Request-Id: r{number}\r\n{form.header}\r\n\r\n"
        )
        assert reader.feed(head.encode())
        assert Reading.of_target(heads[-1].target).rate == form.read_rate
        for _, piece in form.pieces(rng):
            assert len(completed) == number
            assert reader.feed(piece)
        assert len(completed) == number + 1


def test_an_upstream_reads_at_its_rate_steadily_or_in_bursts() -> None:
    assert Reading(100_000).pause_s(10_000) == 0.1
    bursts = Reading(100_000, in_bursts=True)
    assert [bursts.pause_s(30_000) for _ in range(4)] == [0.0, 0.6, 0.0, 0.6]


@dataclass(frozen=True)
class SeededBug:
    """A fault that is put into a copy of the program: a text of a module, and its replacement."""

    module: str
    sound: str
    faulty: str
    rules: frozenset[str]
    memory_mb: int = 192


SEEDED_BUGS: Final = {
    "pauses of 0.75 s": SeededBug(
        "policy/message_end.py",
        "UNDECIDED_SILENCE_NS: Final = 2_500",
        "UNDECIDED_SILENCE_NS: Final = 750",
        frozenset({"cut"}),
    ),
    "short because little of it has come": SeededBug(
        "policy/message_end.py",
        "        return ResponseState.UNDECIDED if self.length is None else ResponseState.SHORT\n",
        "        is_long = self.length is None and self.received_bytes > 4 * 1024\n"
        "        return ResponseState.UNDECIDED if is_long else ResponseState.SHORT\n",
        frozenset({"cut"}),
    ),
    "the client's time anew with each progress": SeededBug(
        "policy/message_end.py",
        "            self._taken_bytes = view.taken_bytes\n",
        "            self._taken_bytes = view.taken_bytes\n"
        "            self._note_sending(now_ns)\n",
        frozenset({"answered"}),
        memory_mb=32,
    ),
    "given up at the objective": SeededBug(
        "proxy/policy_driver.py",
        "request.timeout_ns if self._is_repeatable(request) else 0\n",
        "self.settings.classes[request.arrival.class_name].latency_objective_ns\n",
        frozenset({"given up"}),
    ),
}
MAX_SEEDS: Final = 10


@pytest.mark.parametrize("name", SEEDED_BUGS)
def test_a_seeded_bug_is_found_within_ten_seeds(name: str, tmp_path: Path) -> None:
    bug = SEEDED_BUGS[name]
    shutil.copytree(PROGRAM / "loadbalancer", tmp_path / "loadbalancer")
    module = tmp_path / "loadbalancer" / bug.module
    text = module.read_text()
    assert text.count(bug.sound) == 1
    module.write_text(text.replace(bug.sound, bug.faulty))

    async def is_found(seed: int) -> bool:
        only = frozenset({"clock"})
        plan = Plan(seed, 8.0, 4, 8, 14.0, tmp_path, only=only, long_messages=0.9)
        verdict = await play(replace(plan, memory_mb=bug.memory_mb))
        return bug.rules <= {breach.rule for breach in verdict.breaches}

    for seed in range(1, MAX_SEEDS + 1):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            if runner.run(asyncio.wait_for(is_found(seed), SOAK_TIMEOUT_S)):
                return
    pytest.fail(f"not found: {name}")


# Issue 72: long messages with pauses were cut off, answered late or given up.
def test_a_short_soak_with_long_messages_keeps_the_rules() -> None:
    async def test() -> None:
        only = frozenset({"clock", "hold_up"})
        plan = Plan(7, 10.0, 3, 6, 8.0, PROGRAM, only=only, long_messages=0.5)
        verdict = await play(plan)
        assert verdict.breaches == []
        assert verdict.counts["served"] > 20

    run(test())

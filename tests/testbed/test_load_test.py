"""One short run with real balancers on loopback, every fault that a socket can show in it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from loadbalancer.settings import Json
from loadbalancer.testbed import topology
from loadbalancer.testbed.report import page
from loadbalancer.testbed.sockets.conductor import run
from loadbalancer.testbed.sockets.facts import Books, Writer, read

SECOND = 1_000_000_000
FAULTS = (
    "fault=[{kind='kill_balancers', at='2s', lasts='1s', only=[1]}, {kind='partition', at='1s', "
    "lasts='2s', only=[0]}, {kind='spoilt', at='1s', lasts='4s', only=[1], size=0.5}, "
    "{kind='drain', at='1s', lasts='4s', only=[2]}, {kind='unfinished', at='1s', lasts='3s'}, "
    "{kind='list_down', at='4s', lasts='1s'}]"
)


MARK = "LOADBALANCER_TEST_RUN"


@pytest.fixture(scope="module")
def mark() -> Iterator[str]:
    """What only the runs of this module find in their environment. By its name alone, a balancer
    that runs beside the tests would be taken for what a run left behind.
    """
    with pytest.MonkeyPatch.context() as patch:
        name = f"{os.getpid()}-{os.urandom(8).hex()}"
        patch.setenv(MARK, name)
        yield name


def children(mark: str) -> set[str]:
    """Processes of this module's runs. What descends from a run bears its mark, orphans too."""
    found = set()
    for entry in Path("/proc").iterdir():
        try:
            words = (entry / "cmdline").read_bytes().split(b"\0")
            given = (entry / "environ").read_bytes().split(b"\0")
        except OSError:
            continue
        if f"{MARK}={mark}".encode() in given and any(
            word.startswith(b"loadbalancer") for word in words
        ):
            found.add(entry.name)
    return found


@pytest.fixture(scope="module")
def found(mark: str) -> Json:
    t = topology.load(
        "brief",
        [
            "length='6s'",
            "balancers.count=2",
            "fleet.boxes=6",
            "clients.rate='100/s'",
            "network.zones=['a', 'b']",
            "discovery.notice='500ms'",
            FAULTS,
        ],
    )
    result = run(t, 3)
    assert not children(mark)
    return result


def test_real_balancers_keep_the_rules_under_faults(found: Json) -> None:
    assert found["broken"] == {}, found["breaches"]
    assert found["by_class"]["book-delivery"] > 0.3


def test_every_try_has_its_end_and_every_attempt_its_place(found: Json) -> None:
    counts = found["counts"]
    ends = sum(counts.get(kind, 0) for kind in ("served", "refused", "failed", "unreached", "none"))
    assert counts["tries"] == ends >= counts["first tries"] > 400
    assert counts["executions"] <= counts["attempts"] <= 4 * counts["tries"]
    assert sum(box["offered"] for box in found["boxes"]) == counts["attempts"]


def test_the_page_of_a_result_holds_its_plots(found: Json) -> None:
    text = page(found).decode()
    assert text.count("data:image/png;base64,") == 4 and "All rules kept" in text


def test_facts_come_back_in_the_order_of_their_time(tmp_path: Path) -> None:
    writer = Writer(tmp_path / "a")
    for at in (5, 3, 9, 1):
        writer.note(at * SECOND, "killed", at)
    writer.close()
    assert [fact.what for fact in read(tmp_path / "a")] == [[1], [3], [5], [9]]
    whole = (tmp_path / "a").read_bytes()
    (tmp_path / "b").write_bytes(whole + b"\0\0\0\x10cut")
    assert len(list(read(tmp_path / "b"))) == 4


def test_an_answer_made_for_another_request_is_a_breach(tmp_path: Path) -> None:
    t = topology.load("brief")
    writer = Writer(tmp_path / "a")
    writer.note(1, "root", 1, "lookup", "", "k", True)
    writer.note(2, "asked", "t1", 1, SECOND, 0)
    writer.note(3, "taken", "t1")
    writer.note(4, "foreign", "t1", "t0")
    writer.note(5, "cut", "t1")
    writer.close()
    books = Books(t, 0)
    books.post([tmp_path / "a"])
    assert [b.what for b in books.ledger.breaches] == [
        "t1 was served with the answer of t0",
        "balancer 0 closed on t1",
    ]


def test_an_interrupted_run_leaves_no_process_and_no_file(tmp_path: Path, mark: str) -> None:
    result = tmp_path / "r.json"
    words = [
        sys.executable,
        "-m",
        "loadbalancer.cli.main",
        "lab",
        "run",
        "brief",
        "--sockets",
        "--out",
        str(result),
        "--set",
        "length='60s'",
        "--set",
        "fault=[]",
    ]
    with subprocess.Popen(
        words,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "TMPDIR": str(tmp_path)},
    ) as run_:
        assert run_.stdout is not None and "asked" in run_.stdout.readline()  # it is under way
        assert len(children(mark)) >= 6
        run_.send_signal(signal.SIGTERM)
        assert run_.wait(timeout=30) == 130
    assert not children(mark) and not list(tmp_path.iterdir())

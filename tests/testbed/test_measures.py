"""The lab's instruments of speed, and the finds of its hunts played again."""

from __future__ import annotations

import json
import subprocess
import sys
from collections import Counter
from importlib import resources
from types import FrameType

import pytest

from loadbalancer.policy import api
from loadbalancer.testbed import experiments, topology
from loadbalancer.testbed.capacity.blast import Clients
from loadbalancer.testbed.decisions import Drive
from loadbalancer.testbed.hosts import Host
from loadbalancer.testbed.policies import policy
from loadbalancer.testbed.virtual import World

CORPUS = sorted(
    resources.files("loadbalancer.testbed").joinpath("corpus").iterdir(), key=lambda p: p.name
)


def test_clients_count_what_they_asked_in_a_closed_and_in_an_open_loop() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "loadbalancer.testbed.capacity.blast", "answer", "2"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as upstreams:
        assert upstreams.stdout is not None and upstreams.stdin is not None
        port = int(upstreams.stdout.readline().split()[1])
        clients = Clients(port, 4, 1)
        closed = clients.burst(0.2)
        assert closed.answers == clients.sent > 100 and closed.wrong == 0
        assert closed.histogram.get_total_count() == closed.answers
        due = clients.burst(0.5, 200.0)
        assert due.answers == clients.sent - closed.answers == 100  # however fast they come back
        clients.close()
        upstreams.stdin.close()
        assert upstreams.wait(timeout=10) == 0  # it ends with whoever started it


def test_clients_say_that_a_connection_was_closed() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "loadbalancer.testbed.capacity.blast", "answer", "1"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as upstreams:
        assert upstreams.stdout is not None
        clients = Clients(int(upstreams.stdout.readline()), 1, 1)
        upstreams.kill()
        with pytest.raises((TimeoutError, OSError)):
            clients.burst(5.0)
        clients.close()


def calls(boxes: int) -> float:
    """Python calls for each event in steady traffic with failing boxes: what a decision costs,
    whatever the machine is doing.
    """
    drive = Drive(policy("here"), boxes, 4)
    drive.play(0.5, 200.0, lambda upstream: api.AttemptResult.OK)
    counted: Counter[str] = Counter()

    def count(frame: FrameType, event: str, argument: object) -> None:
        counted[event] += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        drive.play(
            1.0,
            200.0,
            lambda upstream: (
                api.AttemptResult.ERROR if upstream % 10 == 0 else api.AttemptResult.OK
            ),
        )
    finally:
        sys.setprofile(None)
    return sum(counted.values()) / drive.events


def test_a_decision_does_not_grow_with_the_fleet() -> None:
    small, large = calls(40), calls(2000)
    assert large < 1.3 * small, (small, large)


@pytest.mark.parametrize("name", [p.name for p in CORPUS])
def test_what_a_hunt_found_breaks_no_rule_and_is_borne_better_than_by_the_book(name: str) -> None:
    found = json.loads(resources.files("loadbalancer.testbed").joinpath("corpus", name).read_text())
    t = topology.read(found["topology"], name)
    faults = experiments.faults_from(found["faults"])
    ours, book = (
        World(t, found["seed"], Host(policy(p)), faults).run().judgement
        for p in ("here", "two-choices")
    )
    assert not ours.broken and ours.whole > book.whole, f"loadbalancer lab replay {name}"

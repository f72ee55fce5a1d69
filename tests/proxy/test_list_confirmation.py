"""Tests of the list that a process begins with: sharing it, and until when it may be used."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from pathlib import Path
from typing import Final

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy.configuration import Config
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.discovery_watch import CHANGE_DEADLINE_S
from loadbalancer.proxy.endpoint_list import read_endpoint
from loadbalancer.proxy.list_confirmation import REPLACEMENT_DEADLINE_S, ListConfirmation
from loadbalancer.proxy.listener import listening_socket
from loadbalancer.proxy.process import BalancerProcess
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.proxy.shared_endpoints import SharedEndpoints, list_path
from loadbalancer.proxy.shared_list import SharedList
from loadbalancer.settings import MalformedError
from tests.fakes import SETTINGS, free_port, run

STEP_S: Final = 0.01
SHARING_S: Final = 0.06  # until the other process uses a list that is shared
GRACE_S: Final = 0.5  # to stop sending to an upstream whose drain is in force
TRUST_S: Final = 0.3  # so long after a deadline a list is used
END_S: Final = 12.0
ROWS: Final = [
    {"id": "s-1", "addr": "127.0.0.1:81", "state": "Terminating", "started_ms": 17, "cell": 3},
    {"id": "s-2", "addr": "[::1]:82", "state": "Ready", "zone": "east", "weight": 0.5, "kind": "m"},
]
SHARED: Final = SharedList(
    "127.0.0.1:8500", 41, True, None, 0.25, tuple(read_endpoint(row) for row in ROWS)
)


# Incident of 2026-12-06: nothing counted the time in which a new process may use an old list.
@pytest.mark.parametrize("shares", [True, False])
@pytest.mark.parametrize("is_pushed", [True, False])
@pytest.mark.parametrize("seed", range(100))
def test_no_change_in_force_is_missing_from_a_list_that_may_be_used(
    seed: int, is_pushed: bool, shares: bool
) -> None:
    """The other process hears all changes until it ends; discovery answers this one at last."""
    rng = random.Random(seed)
    accepts_s = rng.uniform(0.05, 0.5)
    ends_s = accepts_s + rng.uniform(0.0, 4.0)
    is_killed = rng.random() < 0.5
    answered_s = rng.uniform(0.1, END_S)
    change_s = rng.uniform(0.0, ends_s)  # the other process is notified
    is_shared = shares and not (is_killed and change_s > ends_s - SHARING_S)
    known_s = min(answered_s, change_s + SHARING_S if is_shared else math.inf)
    in_force_s = change_s if is_pushed else max(change_s, accepts_s + REPLACEMENT_DEADLINE_S)
    confirmation = ListConfirmation()
    confirmation.begin(0.0, is_pushed, is_replacement=True)
    now_s, last = 0.0, SHARED
    while now_s < END_S:
        if abs(now_s - accepts_s) < STEP_S / 2:
            confirmation.on_accepting(now_s)
        if now_s >= ends_s and not is_killed:
            last = replace(SHARED, ended_s=ends_s)
        is_gone = now_s >= ends_s + SHARING_S and is_killed
        confirmation.on_shared_lists([last] if shares and not is_gone else [], now_s)
        if now_s >= answered_s:
            confirmation.on_answer()
        deadline_s = confirmation.deadline_s
        is_usable = deadline_s is None or now_s < deadline_s + TRUST_S
        is_missing = max(in_force_s, accepts_s) + GRACE_S < now_s < known_s
        assert not (is_usable and is_missing), (now_s, deadline_s)
        now_s += STEP_S
    assert confirmation.deadline_s is None


def test_a_list_is_used_without_limit_only_while_it_is_covered() -> None:
    confirmation = ListConfirmation()
    confirmation.begin(10.0, is_pushed=False, is_replacement=True)
    confirmation.on_accepting(10.5)
    assert confirmation.deadline_s == 10.5 + REPLACEMENT_DEADLINE_S
    confirmation.on_shared_lists([replace(SHARED, is_answered=False)], 10.6)
    assert confirmation.deadline_s == 10.5 + REPLACEMENT_DEADLINE_S
    confirmation.on_shared_lists([SHARED], 10.7)
    assert confirmation.deadline_s is None
    confirmation.on_shared_lists([replace(SHARED, deadline_s=14.0)], 10.8)
    assert confirmation.deadline_s == 14.0
    confirmation.on_shared_lists([SHARED.ended(11.0)], 11.1)
    assert confirmation.deadline_s == 11.0 + CHANGE_DEADLINE_S


@pytest.mark.parametrize(
    ("is_pushed", "lists", "deadline_s"),
    [
        (False, [], 10.2 + REPLACEMENT_DEADLINE_S),
        (False, [replace(SHARED, is_answered=False)], None),
        (False, [SHARED.ended(10.05)], None),
        (True, [], None),
    ],
)
def test_a_refused_poll_ends_the_limit_unless_another_process_may_know_more(
    is_pushed: bool, lists: list[SharedList], deadline_s: float | None
) -> None:
    confirmation = ListConfirmation()
    confirmation.begin(10.0, is_pushed, is_replacement=True)
    confirmation.on_shared_lists(lists, 10.1)
    confirmation.on_accepting(10.2)
    confirmation.on_refusal()
    assert confirmation.deadline_s == deadline_s


# Related to the incident of 2026-12-06: what a silent watch of the old process hid was forgotten
# when discovery refused the new one.
@pytest.mark.parametrize("is_answered", [True, False])
@pytest.mark.parametrize("is_refused_before", [True, False])
def test_a_refused_poll_does_not_end_the_deadline_of_a_silent_watch(
    is_answered: bool, is_refused_before: bool
) -> None:
    confirmation = ListConfirmation()
    confirmation.begin(10.0, is_pushed=False, is_replacement=True)
    confirmation.on_accepting(10.2)
    confirmation.on_shared_lists([replace(SHARED, is_answered=is_answered)], 10.3)
    if is_refused_before:
        confirmation.on_refusal()
    in_doubt = replace(SHARED, is_answered=is_answered, deadline_s=15.0)
    confirmation.on_shared_lists([in_doubt], 10.4)
    if not is_refused_before:
        confirmation.on_refusal()
    assert confirmation.deadline_s == 15.0
    confirmation.on_shared_lists([in_doubt.ended(11.0)], 11.1)
    assert confirmation.deadline_s == 15.0
    confirmation.on_answer()
    assert confirmation.deadline_s is None


def test_a_shared_list_keeps_all_fields() -> None:
    unpacked = SharedList.unpack(SHARED.ended(12.5).pack())
    assert unpacked == SHARED.ended(12.5)
    assert [e.name for e in unpacked.endpoints] == ["s-1", "s-2"]
    assert unpacked.endpoints[0].entry.state is api.UpstreamState.DRAINING


@pytest.mark.parametrize(
    "data",
    [
        b"",
        SHARED.pack()[:-7],
        SHARED.pack().replace(b'"format":1', b'"format":2'),
        SHARED.pack().replace(b"0.25", b"NaN"),
        SHARED.pack().replace(b'"answered":true', b'"answered":1'),
        b"[" * 100_000,
    ],
    ids=["empty", "torn", "another format", "not finite", "wrong type", "too deep"],
)
def test_a_malformed_shared_list_is_ignored(tmp_path: Path, data: bytes) -> None:
    with pytest.raises(MalformedError):
        SharedList.unpack(data)
    registry, other = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    registry.check()
    assert other.path is not None
    list_path(other.path).write_bytes(data)
    files = SharedEndpoints(registry)
    files.read()
    assert files.all == []
    other.close()
    registry.close()


def test_files_of_ended_processes_are_read_once_more_and_removed(tmp_path: Path) -> None:
    registry, other = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    files, other_files = SharedEndpoints(registry), SharedEndpoints(other)
    (tmp_path / "lanelift-endpoints-0").write_bytes(SHARED.pack())  # its process was killed
    registry.check()
    files.remove_leftovers()
    other_files.publish(SHARED)
    files.read()
    assert files.all == files.running == [SHARED]
    other_files.publish(SHARED.ended(3.0))
    other_files.close()
    other.close()
    registry.check()
    files.read()
    assert (files.all, files.running) == ([SHARED.ended(3.0)], [])
    assert not list(tmp_path.glob("lanelift-endpoints-*"))
    registry.close()


def test_a_list_that_can_not_be_written_is_written_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    registry, other = ProcessRegistry(tmp_path), ProcessRegistry(tmp_path)
    registry.check()
    files = SharedEndpoints(registry)
    monkeypatch.setattr("loadbalancer.proxy.shared_endpoints.RETRY_S", 0.0)
    with monkeypatch.context() as failing:
        failing.setattr("os.pwrite", lambda *_: (_ for _ in ()).throw(OSError(28, "no space")))
        files.publish(SHARED)
    other.check()
    other_files = SharedEndpoints(other)
    other_files.read()
    assert other_files.all == []
    files.publish(SHARED)
    other_files.read()
    assert other_files.all == [SHARED]
    registry.close()
    other.close()


# Related to the incident of 2026-12-06: processes that can't register don't know of each other.
@pytest.mark.parametrize(("folder", "is_needed"), [("", False), ("missing", True)])
def test_a_process_that_can_not_register_counts_as_a_replacement(
    tmp_path: Path, folder: str, is_needed: bool
) -> None:
    async def test() -> None:
        settings = replace(SETTINGS, discovery_push=False)
        discovery = ("127.0.0.1", free_port())
        with listening_socket(("127.0.0.1", 0)) as listener:
            config = Config(
                listener.getsockname(), discovery, 7, 1024, settings, {"version": 3, "servers": []},
                None, [], None, folder=tmp_path / folder,
            )  # fmt: skip
            process = BalancerProcess(config, listener, has_admin_api=False)
            await process.start(None)
            assert isinstance(process.discovery, Discovery)
            assert process.discovery.confirmation.is_needed is is_needed
            await process.close()

    run(test())

"""Tests of the simulator's adapter, most of them with the adapter as a subprocess."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

from loadbalancer.policy import Balancer, api
from loadbalancer.settings import read_settings
from loadbalancer.sim_adapter import Host, read_upstream

Json = dict[str, Any]
SETTINGS: Json = {
    "me": 0,
    "replicas_of_me": 2,
    "locality": "north",
    "unknown_key": {"deep": 1},
    "registry_mode": "ask",
    "profiles": [{"name": "look", "repeat": "read_like", "aim_ns": 300_000_000}],
    "realms": [{"name": "elm", "share": 0.6}, {"name": "fir", "share": 0.4}],
    "limits": {"send_cap": 3, "may_cancel": True, "second_copies": True, "retry_after": True},
    "rules": {"ask_within_ns": 10_000_000_000, "cold_from": 0.3, "cold_ns": 5_000_000_000},
    "load_report": {"columns": ["util", "strange"], "how": "answers"},
}
ROWS = [
    {"upstream": i, "locality": "north", "cohort": 1, "availability": 1, "extra": 3}
    for i in (11, 12, 13)
]


def run(lines: list[str], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "loadbalancer.sim_adapter"],
        input="".join(f"{x}\n" for x in lines),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
    )


def batch(number: int, now: int, *happened: Any) -> str:
    return json.dumps({"sim_time_ns": now, "round": number, "happened": list(happened)})


def start_events(balancer: int = 0) -> list[Json]:
    return [
        {"t": "new_instance", "balancer": balancer, "seed": 5, "settings": SETTINGS},
        {"t": "directory", "buffer": 0, "rows_in": ROWS},
        {"t": "membership", "balancer": balancer, "form": 2, "stamp": 1, "buffer": 0},
    ]


def submit(ticket: str, now: int, balancer: int = 0) -> Json:
    return {
        "t": "submit",
        "balancer": balancer,
        "ticket": ticket,
        "kind": "look",
        "user_group": "elm",
        "deadline_ns": now + 400_000_000,
    }


def traffic_batches() -> list[str]:
    lines = [batch(1, 10**9), batch(2, 2 * 10**9, *start_events(0), *start_events(1))]
    for i in range(40):
        now = 2 * 10**9 + i * 10**7
        lines.append(
            batch(3 + i, now, *(submit(f"t{i}-{j}-{b}", now, b) for j in range(3) for b in (0, 1)))
        )
    return lines


def test_round_trip() -> None:
    now = 2 * 10**9
    process = run(
        [
            batch(1, now, *start_events(), submit("t1", now)),
            batch(
                2,
                now + 10**7,
                {
                    "t": "returned",
                    "balancer": 0,
                    "ticket": "t1",
                    "attempt": 0,
                    "upstream": 11,
                    "result": "delivered",
                    "took_ns": 10**7,
                    "complete": True,
                    "metrics": {"util": 0.2, "strange": 1},
                },
            ),
        ]
    )
    assert process.returncode == 0 and not process.stderr
    first, second = (json.loads(line) for line in process.stdout.splitlines())
    sends = [c for c in first["cmds"] if c["t"] == "submit_to"]
    assert len(sends) == 1 and sends[0]["upstream"] in (11, 12, 13) and sends[0]["balancer"] == 0
    assert second["round"] == 2


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    assert run(traffic_batches(), "1").stdout == run(traffic_batches(), "2").stdout != ""


def test_power_off_removes_the_balancer() -> None:
    now = 2 * 10**9
    process = run(
        [
            batch(1, now, *start_events(), submit("t1", now)),
            batch(2, now + 1, {"t": "power_off", "balancer": 0}),
            batch(3, now + 2, {"t": "timer", "balancer": 0, "name": "1"}),
        ]
    )
    assert process.returncode == 2 and "not started" in process.stderr


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("{", "not JSON"),
        ("[]", "must be an object"),
        ('{"round":1,"happened":[]}', "sim_time_ns"),
        ('{"sim_time_ns":1,"happened":[]}', "round"),
        ('{"sim_time_ns":1,"round":1}', "happened"),
        (batch(1, 1, {"t": "strange", "balancer": 0}), "not started"),
        (batch(1, 1, {"balancer": 0}), "lacks t"),
        (batch(1, 1, 7), "event must be an object"),
        (batch(1, 1, *start_events(), {"t": "strange", "balancer": 0}), "unknown event 'strange'"),
        (
            batch(1, 1, *start_events(), {"t": "submit", "balancer": 0, "ticket": "t1"}),
            "submit lacks kind",
        ),
        (
            batch(1, 1, *start_events(), {**submit("t1", 1), "deadline_ns": "soon"}),
            "deadline_ns must be a whole number",
        ),
        (
            batch(1, 1, *start_events(), {**submit("t1", 1), "deadline_ns": True}),
            "deadline_ns must be a whole number",
        ),
        (
            batch(
                1, 1, *start_events(), {"t": "membership", "balancer": 0, "form": 7, "buffer": 0}
            ),
            "unknown form 7",
        ),
        (
            batch(
                1, 1, *start_events(), {"t": "membership", "balancer": 0, "form": 1, "buffer": 9}
            ),
            "unknown buffer 9",
        ),
        (
            batch(
                1,
                1,
                *start_events(),
                {
                    "t": "returned",
                    "balancer": 0,
                    "ticket": "t1",
                    "attempt": 0,
                    "upstream": 11,
                    "result": "great",
                },
            ),
            "unknown result",
        ),
        (
            batch(
                1,
                1,
                *start_events(),
                {"t": "message", "balancer": 0, "origin_peer": 1, "blob": "?"},
            ),
            "not base64",
        ),
        (
            batch(
                1,
                1,
                {
                    "t": "new_instance",
                    "balancer": 0,
                    "seed": 5,
                    "settings": {"rules": {"ask_within_ns": "soon"}},
                },
            ),
            "ask_within_ns must be a whole",
        ),
    ],
)
def test_malformed_input_exits_with_an_error_message(line: str, expected: str) -> None:
    process = run([line])
    assert (
        process.returncode == 2 and expected in process.stderr and "Traceback" not in process.stderr
    )


def test_bad_utf_8_is_malformed() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "loadbalancer.sim_adapter"],
        input=b'{"round": "\xff"}\n',
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert (
        process.returncode == 2
        and b"line 1: not JSON" in process.stderr
        and b"Traceback" not in process.stderr
    )


def test_policy_exception_is_reported_as_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_index_error(self: Balancer, now: int, events: object) -> list[api.Action]:
        raise IndexError("no such place")

    host = Host()
    host.batch(batch(1, 1, *start_events(3)))
    monkeypatch.setattr(Balancer, "handle", raise_index_error)
    reply = json.loads(host.batch(batch(2, 2, {"t": "timer", "balancer": 3, "name": "1"})))
    fault = reply["cmds"][0]
    assert fault["t"] == "fault" and fault["balancer"] == 3
    assert "IndexError: no such place at raise_index_error:" in fault["message"]


def test_settings_and_upstreams_are_read() -> None:
    row = {
        "name": "order",
        "repeat": "idempotency_key",
        "dedup_scope": "cell",
        "fifo_by_key": True,
        "runs_in": ["north"],
        "allowed_on": ["big"],
        "window_ns": 5,
    }
    loaded_settings = read_settings({"profiles": [row], "rules": {"turn_gap_ns": 7}})
    cls = loaded_settings.classes["order"]
    assert (
        cls.ordered_by_key
        and cls.zones == {"north"}
        and cls.kinds == {"big"}
        and cls.scope is api.DeduplicationScope.CELL
    )
    assert loaded_settings.rules.key_order_gap_ns == 7
    assert read_upstream({"upstream": 1, "class_of_host": "big"}).kind == "big"


def test_events_for_finished_requests_are_ignored() -> None:
    now = 2 * 10**9
    disconnect = {"t": "dropped", "balancer": 0, "ticket": "t1"}
    late_result = {
        "t": "returned",
        "balancer": 0,
        "ticket": "t1",
        "attempt": 0,
        "upstream": 99,
        "result": "delivered",
    }
    stale_timer = {"t": "timer", "balancer": 0, "name": "77"}
    process = run(
        [
            batch(1, now, *start_events(), submit("t1", now)),
            batch(2, now + 1, disconnect, disconnect, late_result, stale_timer),
        ]
    )
    assert process.returncode == 0 and not process.stderr

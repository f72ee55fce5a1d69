"""The settings object, as the simulator's first message and a real balancer's configuration hold
it.

Both programs read it here and nowhere else. Unknown keys are skipped; what is absent keeps its
default.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

from loadbalancer.policy import api

Json = dict[str, Any]

EFFECTS = {
    "read_like": api.Effect.IDEMPOTENT,
    "idempotency_key": api.Effect.IDEMPOTENT_WITH_KEY,
    "non_idempotent": api.Effect.NON_IDEMPOTENT,
}
KINDS = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    dict: "an object",
    list: "an array",
}
SCOPES = {scope.value: scope for scope in api.DeduplicationScope}


class Malformed(Exception):
    """The input is not what the wire allows."""


def split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Malformed(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def need(row: Json, key: str, kind: type) -> Any:
    """A field that must be there, of this type; a whole number is no bool."""
    if key not in row:
        raise Malformed(f"{row.get('t', 'entry')} lacks {key}")
    return typed(row[key], key, kind)


def maybe(row: Json, key: str, kind: type, default: Any) -> Any:
    """A field that may be absent."""
    return default if row.get(key) is None else typed(row[key], key, kind)


def typed(value: Any, key: str, kind: type) -> Any:
    fits = isinstance(value, (int, float) if kind is float else kind)
    if not fits or (isinstance(value, bool) and kind is not bool):
        raise Malformed(f"{key} must be {KINDS[kind]}, not {json.dumps(value)[:80]}")
    return value


def word(row: Json, key: str, words: Mapping[Any, Any], default: Any = None) -> Any:
    """A field whose value is one of a few."""
    value = row.get(key, default)
    if not isinstance(value, (str, int)) or isinstance(value, bool) or value not in words:
        raise Malformed(f"{row.get('t', 'entry')} has unknown {key} {json.dumps(value)[:80]}")
    return words[value]


def _pick(known: Json, like: type, names: Mapping[str, str]) -> Json:
    """The known settings among those sent, under the interface's names; the rest keep their
    defaults.
    """
    types = {f.name: type(f.default) for f in dataclasses.fields(like)}
    return {
        ours: typed(known[theirs], theirs, types[ours])
        for theirs, ours in names.items()
        if known.get(theirs) is not None
    }


def _same(*names: str) -> dict[str, str]:
    return {name: name for name in names}


def _names(row: Json, key: str) -> frozenset[str]:
    return frozenset(typed(name, key, str) for name in maybe(row, key, list, ()))


def read_class(row: Json) -> api.RequestClass:
    given = _pick(
        row,
        api.RequestClass,
        {
            **_same("window_ns"),
            "worth": "priority_weight",
            "stream": "is_streaming",
            "aim_ns": "latency_objective_ns",
            "late_worth": "late_weight",
            "hard_limit_ns": "deadline_ns",
            "fifo_by_key": "ordered_by_key",
        },
    )
    return api.RequestClass(
        need(row, "name", str),
        word(row, "repeat", EFFECTS, "non_idempotent"),
        word(row, "dedup_scope", SCOPES, "all"),
        zones=_names(row, "runs_in"),
        kinds=_names(row, "allowed_on"),
        **given,
    )


def write_class(
    name: str, safe: bool, latency_objective_ns: int, deadline_ns: int, worth: float
) -> Json:
    """What `read_class` reads back."""
    return {
        "name": name,
        "repeat": "read_like" if safe else "non_idempotent",
        "aim_ns": int(latency_objective_ns),
        "hard_limit_ns": int(deadline_ns),
        "worth": worth,
    }


def read_settings(raw: Json) -> api.Settings:
    classes = [read_class(typed(row, "profiles", dict)) for row in maybe(raw, "profiles", list, ())]
    tenants = [
        api.Tenant(
            need(typed(row, "realms", dict), "name", str),
            **_pick(row, api.Tenant, _same("share", "quota_per_s")),
        )
        for row in maybe(raw, "realms", list, ())
    ]
    limits = _pick(
        maybe(raw, "limits", dict, {}),
        api.Limits,
        {
            "send_cap": "max_attempts",
            "second_copies": "may_hedge",
            **_same(
                "may_cancel",
                "probes",
                "peers",
                "retry_after",
                "max_retry_after_ns",
                "connect_timeout_ns",
                "conn_idle_ns",
                "max_open",
            ),
        },
    )
    rules = _pick(
        maybe(raw, "rules", dict, {}),
        api.TrafficRules,
        {
            "stop_sending_within_ns": "drain_grace_ns",
            "ask_within_ns": "list_expiry_ns",
            "cold_from": "slow_start_capacity",
            "cold_ns": "slow_start_ns",
            "fall_multiple": "overload_multiple",
            "overload_for_ns": "overload_window_ns",
            "turn_gap_ns": "key_order_gap_ns",
        },
    )
    prices = _pick(
        maybe(raw, "prices", dict, {}),
        api.Prices,
        _same("cross_zone", "waste", "probe", "peer", "connection", "handshake"),
    )
    reports = maybe(raw, "load_report", dict, {})
    return api.Settings(
        instance_index=maybe(raw, "me", int, 0),
        instance_count=maybe(raw, "replicas_of_me", int, 1),
        zone=maybe(raw, "locality", str, ""),
        discovery_push=word(raw, "registry_mode", {"push": True, "ask": False}, "push"),
        classes={c.name: c for c in classes},
        tenants={t.name: t for t in tenants},
        limits=api.Limits(**limits),
        rules=api.TrafficRules(**rules),
        prices=api.Prices(**prices),
        report_columns=tuple(typed(c, "columns", str) for c in maybe(reports, "columns", list, ())),
        reports_in_answers=reports.get("how") == "answers",
    )

"""The settings object of the simulator's first message and of a balancer's configuration.

Both programs read it with this module. Unknown keys are ignored; missing keys keep their default.
"""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any, Final

from loadbalancer.policy import api

Json = dict[str, Any]

EFFECTS = {
    "read_like": api.Effect.IDEMPOTENT,
    "idempotency_key": api.Effect.IDEMPOTENT_WITH_KEY,
    "non_idempotent": api.Effect.NON_IDEMPOTENT,
}
SCOPES = {scope.value: scope for scope in api.DeduplicationScope}
REGISTRY_MODES = {"push": True, "ask": False}
TYPE_DESCRIPTIONS = {
    int: "a whole number",
    float: "a number",
    str: "text",
    bool: "true or false",
    dict: "an object",
    list: "an array",
}
MAX_PORT: Final = 65535


def _same_names(*names: str) -> dict[str, str]:
    return {name: name for name in names}


# Keys of the settings object, mapped to the fields that they set.
CLASS_FIELDS = {
    **_same_names("window_ns"),
    "worth": "priority_weight",
    "stream": "is_streaming",
    "aim_ns": "latency_objective_ns",
    "late_worth": "late_weight",
    "hard_limit_ns": "deadline_ns",
    "fifo_by_key": "ordered_by_key",
}
TENANT_FIELDS = _same_names("share", "quota_per_s")
LIMIT_FIELDS = {
    "send_cap": "max_attempts",
    "second_copies": "may_hedge",
    **_same_names(
        "may_cancel",
        "probes",
        "peers",
        "retry_after",
        "max_retry_after_ns",
        "connect_timeout_ns",
        "conn_idle_ns",
        "max_open",
    ),
}
RULE_FIELDS = {
    "stop_sending_within_ns": "drain_grace_ns",
    "ask_within_ns": "list_expiry_ns",
    "cold_from": "slow_start_capacity",
    "cold_ns": "slow_start_ns",
    "fall_multiple": "overload_multiple",
    "overload_for_ns": "overload_window_ns",
    "turn_gap_ns": "key_order_gap_ns",
}
PRICE_FIELDS = _same_names("cross_zone", "waste", "probe", "peer", "connection", "handshake")


class MalformedError(Exception):
    """The input does not have the required format."""


def split_address(text: str) -> tuple[str, int]:
    """Split `HOST:PORT`, where an IPv6 host may be enclosed in brackets.

    Raises:
        MalformedError: The text does not have this form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise MalformedError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


def required(row: Json, key: str, kind: type) -> Any:
    """Return a required field of this type.

    Raises:
        MalformedError: The field is missing or has another type.
    """
    if key not in row:
        raise MalformedError(f"{row.get('t', 'entry')} lacks {key}")
    return checked(row[key], key, kind)


def optional(row: Json, key: str, kind: type, default: Any) -> Any:
    """Return a field of this type, or the default if the field is missing or null.

    Raises:
        MalformedError: The field has another type.
    """
    return default if row.get(key) is None else checked(row[key], key, kind)


def checked(value: Any, key: str, kind: type) -> Any:
    """Return a value after checking its type; a bool is not accepted as a number.

    Raises:
        MalformedError: The value has another type.
    """
    has_type = isinstance(value, (int, float) if kind is float else kind)
    if not has_type or (isinstance(value, bool) and kind is not bool):
        raise MalformedError(
            f"{key} must be {TYPE_DESCRIPTIONS[kind]}, not {json.dumps(value)[:80]}"
        )
    return value


def choice(row: Json, key: str, choices: Mapping[Any, Any], default: Any = None) -> Any:
    """Return the choice that the value of a field maps to.

    Raises:
        MalformedError: The value is not one of the choices.
    """
    value = row.get(key, default)
    if not isinstance(value, (str, int)) or isinstance(value, bool) or value not in choices:
        raise MalformedError(f"{row.get('t', 'entry')} has unknown {key} {json.dumps(value)[:80]}")
    return choices[value]


def _fields(row: Json, target: type, names: Mapping[str, str]) -> Json:
    """Return the settings that are present, under the names of the target's fields."""
    types = {field.name: type(field.default) for field in dataclasses.fields(target)}
    return {
        name: checked(row[key], key, types[name])
        for key, name in names.items()
        if row.get(key) is not None
    }


def _read_names(row: Json, key: str) -> frozenset[str]:
    return frozenset(checked(name, key, str) for name in optional(row, key, list, ()))


def read_class(row: Json) -> api.RequestClass:
    """Read a request class.

    Raises:
        MalformedError: A field is missing or of another type.
    """
    field_values = _fields(row, api.RequestClass, CLASS_FIELDS)
    return api.RequestClass(
        required(row, "name", str),
        choice(row, "repeat", EFFECTS, "non_idempotent"),
        choice(row, "dedup_scope", SCOPES, "all"),
        zones=_read_names(row, "runs_in"),
        kinds=_read_names(row, "allowed_on"),
        **field_values,
    )


def write_class(
    name: str,
    is_idempotent: bool,
    latency_objective_ns: int,
    deadline_ns: int,
    priority_weight: float,
) -> Json:
    """Return a request class in the form that `read_class` reads."""
    return {
        "name": name,
        "repeat": "read_like" if is_idempotent else "non_idempotent",
        "aim_ns": int(latency_objective_ns),
        "hard_limit_ns": int(deadline_ns),
        "worth": priority_weight,
    }


def _read_tenant(row: Any) -> api.Tenant:
    row = checked(row, "realms", dict)
    return api.Tenant(required(row, "name", str), **_fields(row, api.Tenant, TENANT_FIELDS))


def read_settings(raw: Json) -> api.Settings:
    """Read the settings object.

    Raises:
        MalformedError: A field is missing or of another type.
    """
    classes = [
        read_class(checked(row, "profiles", dict)) for row in optional(raw, "profiles", list, ())
    ]
    tenants = [_read_tenant(row) for row in optional(raw, "realms", list, ())]
    limits = _fields(optional(raw, "limits", dict, {}), api.Limits, LIMIT_FIELDS)
    rules = _fields(optional(raw, "rules", dict, {}), api.TrafficRules, RULE_FIELDS)
    prices = _fields(optional(raw, "prices", dict, {}), api.Prices, PRICE_FIELDS)
    reports = optional(raw, "load_report", dict, {})
    return api.Settings(
        instance_index=optional(raw, "me", int, 0),
        instance_count=optional(raw, "replicas_of_me", int, 1),
        zone=optional(raw, "locality", str, ""),
        discovery_push=choice(raw, "registry_mode", REGISTRY_MODES, "push"),
        classes={request_class.name: request_class for request_class in classes},
        tenants={tenant.name: tenant for tenant in tenants},
        limits=api.Limits(**limits),
        rules=api.TrafficRules(**rules),
        prices=api.Prices(**prices),
        report_columns=tuple(
            checked(column, "columns", str) for column in optional(reports, "columns", list, ())
        ),
        reports_in_answers=reports.get("how") == "answers",
    )

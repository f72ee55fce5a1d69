"""Parses endpoint lists, from discovery and from the configuration."""

from __future__ import annotations

import ipaddress
import logging
import math
from typing import Any, Final, NamedTuple

from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint, upstream_number
from loadbalancer.settings import (
    Json,
    MalformedError,
    checked,
    choice,
    optional,
    required,
    split_address,
)

log = logging.getLogger(__name__)

STATES: Final = {
    "Ready": api.UpstreamState.READY,
    "Terminating": api.UpstreamState.DRAINING,
    "Gone": api.UpstreamState.REMOVED,
}
STATE_NAMES: Final = {state: name for name, state in STATES.items()}
MAX_STARTED_MS: Final = 1 << 53


class EndpointList(NamedTuple):
    """Endpoint list, or changes to one.

    Attributes:
        is_full: Whether it replaces the current list.
    """

    version: int
    is_full: bool
    endpoints: list[Endpoint]


def read_endpoint(raw: Any) -> Endpoint:
    """Parse one entry.

    Raises:
        MalformedError: The entry is not valid.
    """
    row = checked(raw, "server", dict)
    state = choice(row, "state", STATES, "Ready")
    name = required(row, "id", str)
    host, port = "", 0  # a removed upstream needs no address
    if state is not api.UpstreamState.REMOVED:
        host, port = split_address(required(row, "addr", str))
    try:
        # Host names are rejected, because a lookup takes a thread and can be slow.
        ipaddress.ip_address(host or "::")
    except ValueError as error:
        raise MalformedError(f"addr: {error}") from None
    started_ms = optional(row, "started_ms", float, 0)
    weight = float(optional(row, "weight", float, 1.0))
    if not (math.isfinite(weight) and 0 <= started_ms <= MAX_STARTED_MS):
        raise MalformedError("weight or started_ms is out of range")
    return Endpoint(
        api.Upstream(
            upstream_number(name),
            state,
            optional(row, "zone", str, ""),
            optional(row, "cell", int, 0),
            weight,
            kind=optional(row, "kind", str, ""),
        ),
        host,
        port,
        int(started_ms),
        name,
    )


def write_endpoint(endpoint: Endpoint) -> Json:
    """Return an entry that `read_endpoint` parses."""
    entry = endpoint.entry
    return {
        "id": endpoint.name,
        "addr": f"{endpoint.host}:{endpoint.port}",
        "zone": entry.zone,
        "kind": entry.kind,
        "cell": entry.cell,
        "state": STATE_NAMES[entry.state],
        "weight": entry.weight,
        "started_ms": endpoint.started_ms,
    }


def read_list(raw: Any) -> EndpointList:
    """Parse a list; invalid entries are skipped, and logged in one line.

    Raises:
        MalformedError: The list itself is not valid.
    """
    document = checked(raw, "list", dict)
    endpoints: list[Endpoint] = []
    errors: list[MalformedError] = []
    for row in required(document, "servers", list):
        try:
            endpoints.append(read_endpoint(row))
        except MalformedError as error:
            errors.append(error)
    if errors:
        log.warning("endpoints skipped: count=%d first_error=%s", len(errors), errors[0])
    return EndpointList(
        required(document, "version", int), optional(document, "full", bool, False), endpoints
    )

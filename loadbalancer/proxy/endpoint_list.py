"""Parses endpoint lists, of discovery and of the operators."""

from __future__ import annotations

import ipaddress
import logging
import math
from typing import Any, Final, NamedTuple

from loadbalancer.policy import api
from loadbalancer.proxy.upstream import Endpoint, number_of
from loadbalancer.settings import Malformed, maybe, need, split_address, typed, word

log = logging.getLogger(__name__)

STATES: Final = {
    "Ready": api.UpstreamState.READY,
    "Terminating": api.UpstreamState.DRAINING,
    "Gone": api.UpstreamState.REMOVED,
}
MAX_STARTED_MS: Final = 1 << 53


class EndpointList(NamedTuple):
    """A list, or the changes of one.

    Attributes:
        is_full: It replaces what is known.
    """

    version: int
    is_full: bool
    endpoints: list[Endpoint]


def read_endpoint(raw: Any) -> Endpoint:
    """Parse one entry.

    Raises:
        Malformed: It is not valid.
    """
    row = typed(raw, "server", dict)
    state = word(row, "state", STATES, "Ready")
    host, port = "", 0  # a removed upstream needs no address
    if state is not api.UpstreamState.REMOVED:
        host, port = split_address(need(row, "addr", str))
    try:
        # No name: looking one up takes a thread, and may take long.
        ipaddress.ip_address(host or "::")
    except ValueError as error:
        raise Malformed(f"addr: {error}") from None
    started_ms = maybe(row, "started_ms", float, 0)
    weight = float(maybe(row, "weight", float, 1.0))
    if not (math.isfinite(weight) and 0 <= started_ms <= MAX_STARTED_MS):
        raise Malformed("weight or started_ms is out of range")
    return Endpoint(
        api.Upstream(
            number_of(need(row, "id", str)),
            state,
            maybe(row, "zone", str, ""),
            maybe(row, "cell", int, 0),
            weight,
            kind=maybe(row, "kind", str, ""),
        ),
        host,
        port,
        int(started_ms),
    )


def read_list(raw: Any) -> EndpointList:
    """Parse a list. Entries that are not valid are skipped, with one line in the log.

    Raises:
        Malformed: The list itself is not valid.
    """
    document = typed(raw, "list", dict)
    endpoints: list[Endpoint] = []
    errors: list[Malformed] = []
    for row in need(document, "servers", list):
        try:
            endpoints.append(read_endpoint(row))
        except Malformed as error:
            errors.append(error)
    if errors:
        log.warning("endpoints skipped: count=%d first_error=%s", len(errors), errors[0])
    return EndpointList(
        need(document, "version", int), maybe(document, "full", bool, False), endpoints
    )

"""Configuration of one balancer, from the JSON file named by BALANCER_CONFIG."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.policy import api
from loadbalancer.proxy.endpoint_list import read_list
from loadbalancer.proxy.gossip import Address
from loadbalancer.proxy.resource_limits import RESERVE
from loadbalancer.settings import (
    Json,
    MalformedError,
    checked,
    optional,
    read_settings,
    required,
    split_address,
)

# Used if the configuration sets no limit.
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 256
MIN_SOCKETS = 2 * RESERVE


@dataclass(frozen=True)
class Config:
    """Configuration of one balancer.

    Attributes:
        known: The endpoint list that the platform has cached.
        mgmt: The address of the admin API; None: no admin API.
        folder: The state folder, shared by all processes of this balancer.
        fixed: The fixed endpoint list that is used without discovery.
    """

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: api.Settings
    known: Json | None
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None
    mgmt: Address | None = None
    name: str = ""
    memory_mb: int = DEFAULT_MEMORY_MB
    folder: Path | None = None
    fixed: Json | None = None


class _Reader:
    """Reads fields of the file; addresses default to environment variables."""

    def __init__(self, raw: Json, environ: Mapping[str, str]) -> None:
        self.raw = raw
        self.environ = environ

    def address(self, key: str) -> Address | None:
        """Return an address, if it is set."""
        text = optional(self.raw, key, str, self.environ.get(f"BALANCER_{key.upper()}"))
        return split_address(text) if text else None

    def required_address(self, key: str) -> Address:
        """Return an address that is mandatory."""
        value = self.address(key)
        if value is None:
            raise MalformedError(f"{key} is not set")
        return value

    def seed(self) -> int:
        """Return the seed of the policy's random number generator."""
        try:
            return int(optional(self.raw, "seed", str, "0"), 16)
        except ValueError:
            raise MalformedError("seed must be hexadecimal") from None

    def known(self) -> Json | None:
        """Return the cached endpoint list, validated."""
        value: Json | None = optional(self.raw, "known", dict, None)
        if value is not None:
            read_list(value)
        return value

    def peers(self) -> list[Address]:
        """Return the gossip addresses of the other balancers."""
        return [
            split_address(checked(p, "peers", str)) for p in optional(self.raw, "peers", list, [])
        ]


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the file that BALANCER_CONFIG names.

    Raises:
        MalformedError: The configuration is not valid; the message is one line.
    """
    reader = _Reader(_read_file(environ.get("BALANCER_CONFIG")), environ)
    raw = reader.raw
    listen = reader.required_address("listen")
    discovery = reader.required_address("discovery")
    mgmt = reader.address("mgmt")
    if mgmt == listen:
        raise MalformedError("mgmt must be an address of its own")
    seed = reader.seed()
    known = reader.known()
    peers = reader.peers()
    limits = optional(raw, "limits", dict, {})
    sockets = optional(limits, "sockets", int, DEFAULT_SOCKETS)
    if sockets < MIN_SOCKETS:
        raise MalformedError(f"limits.sockets must be {MIN_SOCKETS} at least")
    folder = environ.get("TMPDIR")
    return Config(
        listen,
        discovery,
        seed,
        sockets,
        read_settings(required(raw, "settings", dict)),
        known,
        reader.address("peer_listen"),
        peers,
        reader.address("peers_all"),
        mgmt,
        optional(raw, "name", str, environ.get("BALANCER_NAME", "")),
        int(optional(limits, "memory_mb", float, DEFAULT_MEMORY_MB)),
        Path(folder) if folder else None,
    )


def _read_file(path: str | None) -> Json:
    if not path:
        raise MalformedError("BALANCER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise MalformedError(f"{path}: {error}") from None
    value: Json = checked(raw, "configuration", dict)
    return value

"""The operators' settings, a TOML file that replaces the platform's JSON.

Unknown keys, missing units and contradictions are one-line errors that name the file and the key.
If a field's name differs from its TOML key, `msgspec.field(name=...)` has the key.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Literal

import msgspec

from loadbalancer.proxy.configuration import DEFAULT_MEMORY_MB, DEFAULT_SOCKETS, Config
from loadbalancer.proxy.endpoint_list import read_list
from loadbalancer.proxy.resource_limits import RESERVE
from loadbalancer.settings import Json, MalformedError, read_settings, split_address, write_class
from loadbalancer.units import Duration, PerSecond, Size, convert, first_duplicate, read_toml

MS = 1_000_000
MIN_MEMORY_BYTES = 32 << 20


class SettingsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the file's tables."""


class ClassSettings(SettingsTable, frozen=True):
    """A `[[class]]`: a request class."""

    name: str
    latency_objective: Duration = msgspec.field(name="aim")
    deadline: Duration
    effect: Literal["safe", "unsafe"] = "unsafe"
    priority_weight: float = msgspec.field(name="worth", default=1.0)


class TenantSettings(SettingsTable, frozen=True):
    """A `[[tenant]]`."""

    name: str
    share: float
    quota: PerSecond = PerSecond(0)


class ServerSettings(SettingsTable, frozen=True):
    """A `[[server]]`: an upstream of a fixed list."""

    id: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0


class RetrySettings(SettingsTable, frozen=True):
    """`[retries]`: attempts, hedged requests, Retry-After."""

    attempts: int = 3
    hedging: bool = msgspec.field(name="second_copies", default=True)
    send_retry_after: bool = msgspec.field(name="tell_when_to_return", default=True)
    max_retry_after: Duration = msgspec.field(name="longest_told", default=Duration(1500 * MS))


class LimitSettings(SettingsTable, frozen=True):
    """`[limits]`."""

    descriptors: int = DEFAULT_SOCKETS
    memory: Size = Size(DEFAULT_MEMORY_MB << 20)
    open_requests: int = 20_000
    connect: Duration = Duration(250 * MS)
    idle_connections: Duration = Duration(15_000 * MS)


class DrainSettings(SettingsTable, frozen=True):
    """`[drains]`: draining upstreams, and the slow start of new ones."""

    grace: Duration = Duration(500 * MS)
    slow_start_capacity: float = msgspec.field(name="cold_from", default=0.3)
    slow_start: Duration = msgspec.field(name="cold", default=Duration(0))


class SettingsFile(SettingsTable, frozen=True):
    """The complete file."""

    listen: str
    classes: list[ClassSettings] = msgspec.field(name="class")
    name: str = "lanelift"
    discovery: str = ""
    poll_discovery: bool = msgspec.field(name="ask", default=True)  # False: discovery pushes
    admin_listen: str = msgspec.field(name="operators", default="")
    zone: str = ""
    instance_index: int = msgspec.field(name="number", default=0)
    instance_count: int = msgspec.field(name="of", default=1)
    seed: int = 0
    state_folder: str = msgspec.field(name="state", default="")  # outlives the process
    probes: bool = False
    tenants: list[TenantSettings] = msgspec.field(name="tenant", default_factory=list)
    servers: list[ServerSettings] = msgspec.field(name="server", default_factory=list)
    retries: RetrySettings = RetrySettings()
    limits: LimitSettings = LimitSettings()
    drains: DrainSettings = DrainSettings()


def find_contradiction(file: SettingsFile) -> str:
    """Return the first contradiction as `key: reason`, or an empty string if there is none."""
    return next(_contradictions(file), "")


def _contradictions(file: SettingsFile) -> Iterator[str]:
    if bool(file.discovery) == bool(file.servers):
        yield "discovery and [[server]]: exactly one of the two must be set"
    if not file.classes:
        yield "class: at least one is required"
    yield from _duplicate_name("class", (entry.name for entry in file.classes))
    yield from _duplicate_name("tenant", (tenant.name for tenant in file.tenants))
    yield from _duplicate_name("server", (server.id for server in file.servers))
    for entry in file.classes:
        if not 0 < entry.latency_objective <= entry.deadline:
            yield f"class {entry.name}: aim must be more than 0 and at most the deadline"
    for tenant in file.tenants:
        if tenant.share <= 0:
            yield f"tenant {tenant.name}: share must be more than 0"
    yield from _limit_contradictions(file)


def _duplicate_name(key: str, names: Iterable[str]) -> Iterator[str]:
    duplicate = first_duplicate(names)
    if duplicate:
        yield f"{key}: {duplicate} stands there twice"


def _limit_contradictions(file: SettingsFile) -> Iterator[str]:
    if not 0 <= file.instance_index < file.instance_count:
        yield "number: must be at least 0 and less than `of`"
    if file.limits.descriptors < 2 * RESERVE:
        yield f"limits.descriptors: must be {2 * RESERVE} at least"
    if file.limits.memory < MIN_MEMORY_BYTES:
        yield "limits.memory: must be 32MiB at least"
    if file.admin_listen and file.admin_listen == file.listen:
        yield "operators: must be an address of its own"
    if file.retries.attempts < 1:
        yield "retries.attempts: must be 1 at least"
    if not 0 < file.drains.slow_start_capacity <= 1:
        yield "drains.cold_from: must be over 0 and at most 1"


def read_file(path: Path) -> Config:
    """Return the configuration of a settings file.

    Raises:
        MalformedError: The file is not valid; the message is one line.
    """
    return read_raw(read_table(path), str(path))


def read_table(path: Path) -> Json:
    """Return a file as parsed TOML.

    Raises:
        MalformedError: The file can't be read or is not TOML; the message is one line.
    """
    try:
        return read_toml(path)
    except ValueError as error:
        raise MalformedError(f"{path}: {error}") from None


def read_raw(raw: Json, origin: str) -> Config:
    """Return the configuration of parsed settings.

    Args:
        raw: Parsed TOML.
        origin: Name of the file or document, for error messages.

    Raises:
        MalformedError: The settings are not valid; the message is one line.
    """
    try:
        file = convert(raw, SettingsFile)
        contradiction = find_contradiction(file)
        if contradiction:
            raise MalformedError(contradiction)
        return to_config(file)
    except (ValueError, MalformedError) as error:
        raise MalformedError(f"{origin}: {error}") from None


def to_config(file: SettingsFile) -> Config:
    """Return the configuration of a balancer.

    Raises:
        MalformedError: An address is not valid.
    """
    fixed_list = _fixed_list(file.servers) if file.servers else None
    return Config(
        split_address(file.listen),
        split_address(file.discovery) if file.discovery else ("", 0),
        file.seed,
        file.limits.descriptors,
        read_settings(to_platform_settings(file)),
        None,
        None,
        [],
        None,
        split_address(file.admin_listen) if file.admin_listen else None,
        file.name,
        file.limits.memory >> 20,
        Path(file.state_folder) if file.state_folder else None,
        fixed_list,
    )


def _fixed_list(servers: list[ServerSettings]) -> Json:
    """Return the upstreams in the form of a discovery response."""
    fixed_list: Json = {
        "version": 1,
        "full": True,
        "servers": [
            {
                "id": server.id,
                "addr": server.address,
                "zone": server.zone,
                "kind": server.kind,
                "cell": server.cell,
                "state": "Ready",
            }
            for server in servers
        ],
    }
    for server in servers:
        split_address(server.address)
    if len(read_list(fixed_list).endpoints) != len(servers):
        raise MalformedError("server: an address must be IP:PORT")
    return fixed_list


def to_platform_settings(file: SettingsFile) -> Json:
    """Return the settings in the form of the platform's JSON settings object."""
    return {
        "me": file.instance_index,
        "replicas_of_me": file.instance_count,
        "locality": file.zone,
        "registry_mode": "ask" if file.discovery and file.poll_discovery else "push",
        "profiles": [
            write_class(
                entry.name,
                entry.effect == "safe",
                entry.latency_objective,
                entry.deadline,
                entry.priority_weight,
            )
            for entry in file.classes
        ],
        "realms": [
            {"name": tenant.name, "share": tenant.share, "quota_per_s": float(tenant.quota)}
            for tenant in file.tenants
        ],
        "limits": {
            "send_cap": file.retries.attempts,
            "second_copies": file.retries.hedging,
            "may_cancel": True,
            "probes": file.probes,
            "retry_after": file.retries.send_retry_after,
            "max_retry_after_ns": int(file.retries.max_retry_after),
            "max_open": file.limits.open_requests,
            "connect_timeout_ns": int(file.limits.connect),
            "conn_idle_ns": int(file.limits.idle_connections),
        },
        "rules": {
            "stop_sending_within_ns": int(file.drains.grace),
            "cold_from": file.drains.slow_start_capacity,
            "cold_ns": int(file.drains.slow_start),
        },
    }

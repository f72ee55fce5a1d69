"""Settings of a store node, read from a TOML file."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Final

import msgspec

from loadbalancer.changefeed.fanout import FanoutLimits
from loadbalancer.settings import MalformedError, split_address
from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.replica import LogLimits
from loadbalancer.store.security import TlsFiles
from loadbalancer.units import Duration, Size, convert, read_toml

NS_PER_MS: Final = 1_000_000
MIN_CONNECTIONS: Final = 8
MIN_UNCOMMITTED_BYTES: Final = 2 << 20
MIN_CHANGEFEED_BYTES: Final = 64 << 10
MIN_BOOKMARK_NS: Final = 100 * NS_PER_MS
MAX_BOOKMARK_NS: Final = 20_000 * NS_PER_MS
# The log is compacted above LOG_LENGTH_FACTOR * retained_entries + LOG_LENGTH_MARGIN entries.
LOG_LENGTH_FACTOR: Final = 5
LOG_LENGTH_MARGIN: Final = 1000


class SettingsTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the settings file, which rejects unknown keys."""


class TlsTable(SettingsTable, frozen=True):
    """Paths of PEM files; the certificate names its role (see `loadbalancer/store/security.py`)."""

    certificate: str
    key: str
    authority: str

    def beside(self, folder: Path) -> TlsFiles:
        """Return the files, with relative paths resolved against a folder."""
        return TlsFiles(folder / self.certificate, folder / self.key, folder / self.authority)


class TimingTable(SettingsTable, frozen=True):
    """Timing of heartbeats and elections.

    Attributes:
        heartbeat: The interval between two heartbeats of a leader.
        election: The minimum election timeout; each timeout is random, up to twice this value.
        slow_disk: A leader that takes longer to write one batch transfers its leadership.
    """

    heartbeat: Duration = Duration(100 * NS_PER_MS)
    election: Duration = Duration(500 * NS_PER_MS)
    slow_disk: Duration = Duration(1500 * NS_PER_MS)


class LimitsTable(SettingsTable, frozen=True):
    """Limits of the log and of connections.

    Attributes:
        log: The log size in bytes above which the log is compacted.
        retained_entries: Entries that are retained for followers that are slightly behind.
        uncommitted: The maximum size of in-flight writes, in bytes.
        connections: The maximum number of open connections.
    """

    log: Size = Size(16 << 20)
    retained_entries: int = msgspec.field(default=2000, name="keep")
    uncommitted: Size = Size(8 << 20)
    connections: int = 2048


class ChangefeedTable(SettingsTable, frozen=True):
    """Limits of a node for subscribers of the change feed.

    Attributes:
        snapshots: The rate of all snapshots together, in bytes per second.
        max_queued: The maximum number of subscribers that wait for a snapshot; further subscribers
            are told to retry later.
        window: The maximum number of bytes sent to a subscriber and not yet acknowledged.
        log: Bytes of changes retained in memory for subscribers that reconnect.
        bookmark: The interval between bookmarks for a subscriber without changes.
    """

    snapshots: Size = Size(8 << 20)
    max_queued: int = msgspec.field(default=64, name="waiting")
    window: Size = Size(1 << 20)
    log: Size = Size(32 << 20)
    bookmark: Duration = Duration(5_000 * NS_PER_MS)

    def limits(self, max_subscribers: int) -> FanoutLimits:
        """Return the limits of the fan-out.

        Raises:
            MalformedError: A limit is too low or too high.
        """
        smallest = min(self.snapshots, self.window, self.log)
        if smallest < MIN_CHANGEFEED_BYTES or self.max_queued < 1:
            raise MalformedError(
                "feed: snapshots, window and log must be at least 64KiB, and waiting at least 1"
            )
        if not MIN_BOOKMARK_NS <= self.bookmark <= MAX_BOOKMARK_NS:
            raise MalformedError("feed.bookmark: must be between 100ms and 20s")
        return FanoutLimits(
            snapshot_bytes_s=int(self.snapshots),
            waiting_most=self.max_queued,
            window_bytes=int(self.window),
            log_bytes=int(self.log),
            bookmark_ns=int(self.bookmark),
            subscribers_most=max_subscribers,
        )


class StoreFile(SettingsTable, frozen=True):
    """The complete settings file.

    Attributes:
        folder: The folder of the node's data.
        listen: The address to listen on, HOST:PORT.
        advertise: The address that other nodes and clients connect to, if not `listen`.
        address_map: The address to connect to for an advertised address, where they differ.
        metrics: The address that serves metrics over plain HTTP; empty for none.
        tls: The certificates.
        timing: Timing of heartbeats and elections.
        limits: Limits of the log and of connections.
        changefeed: Limits of the change feed.
    """

    folder: str
    listen: str
    advertise: str = ""
    address_map: dict[str, str] = msgspec.field(default_factory=dict, name="reach")
    metrics: str = ""
    tls: TlsTable | None = None
    timing: TimingTable = TimingTable()
    limits: LimitsTable = LimitsTable()
    changefeed: ChangefeedTable = msgspec.field(default=ChangefeedTable(), name="feed")


class StoreSettings(msgspec.Struct, frozen=True):
    """Validated settings of a node."""

    folder: Path
    listen: tuple[str, int]
    advertise: str
    address_map: dict[str, str]
    metrics: tuple[str, int] | None
    tls: TlsFiles | None
    config: RaftConfig
    log_limits: LogLimits
    max_connections: int
    changefeed: FanoutLimits = FanoutLimits()


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback address."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def read_store(path: Path) -> StoreSettings:
    """Read and validate a settings file.

    Raises:
        MalformedError: The file is not valid; the message has one line.
    """
    try:
        return checked_settings(convert(read_toml(path), StoreFile), path.parent)
    except (ValueError, MalformedError) as error:
        raise MalformedError(f"{path}: {error}") from None


def checked_settings(file: StoreFile, folder: Path) -> StoreSettings:
    """Validate a settings file, with relative paths resolved against a folder.

    Raises:
        MalformedError: A setting is out of range or conflicts with another setting.
    """
    listen = split_address(file.listen)
    if file.tls is None and not is_loopback(listen[0]):
        raise MalformedError("tls: required unless listen is a loopback address")
    advertised = [file.advertise] if file.advertise else []
    for address in (*advertised, *file.address_map, *file.address_map.values()):
        split_address(address)
    _check_numbers(file)
    limits = file.limits
    log_limits = LogLimits(
        limits.retained_entries,
        LOG_LENGTH_FACTOR * limits.retained_entries + LOG_LENGTH_MARGIN,
        int(limits.log),
    )
    return StoreSettings(
        folder / file.folder,
        listen,
        file.advertise or file.listen,
        file.address_map,
        split_address(file.metrics) if file.metrics else None,
        file.tls.beside(folder) if file.tls else None,
        _raft_config(file),
        log_limits,
        limits.connections,
        file.changefeed.limits(limits.connections),
    )


def _check_numbers(file: StoreFile) -> None:
    if not 0 < 2 * file.timing.heartbeat <= file.timing.election:
        raise MalformedError("timing: election must be at least twice heartbeat")
    if file.limits.retained_entries < 0 or file.limits.connections < MIN_CONNECTIONS:
        raise MalformedError(
            "limits: keep must not be negative, and connections must be at least 8"
        )
    if file.limits.uncommitted < MIN_UNCOMMITTED_BYTES:
        raise MalformedError("limits.uncommitted: must be at least 2MiB")


def _raft_config(file: StoreFile) -> RaftConfig:
    return RaftConfig(
        heartbeat_interval_ns=int(file.timing.heartbeat),
        election_timeout_ns=int(file.timing.election),
        slow_disk_timeout_ns=int(file.timing.slow_disk),
        max_uncommitted_bytes=int(file.limits.uncommitted),
    )

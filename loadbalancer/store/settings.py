"""A store node's settings: a TOML file."""

from __future__ import annotations

import ipaddress
from pathlib import Path

import msgspec

from loadbalancer.changefeed.fanout import FanoutLimits
from loadbalancer.settings import Malformed, split_address
from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.replica import Boundaries
from loadbalancer.store.security import Tls
from loadbalancer.units import Duration, Size, convert, read_toml

MS = 1_000_000


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


class Keys(Part, frozen=True):
    """PEM files; a certificate names its role (see `loadbalancer/store/security.py`)."""

    certificate: str
    key: str
    authority: str

    def beside(self, folder: Path) -> Tls:
        """Relative paths count from this folder."""
        return Tls(folder / self.certificate, folder / self.key, folder / self.authority)


class Timing(Part, frozen=True):
    heartbeat: Duration = Duration(100 * MS)
    election: Duration = Duration(500 * MS)  # an election time-out lies between this and twice this
    slow_disk: Duration = Duration(
        1500 * MS
    )  # a leader whose disk takes longer over one batch hands over


class Sizes(Part, frozen=True):
    log: Size = Size(16 << 20)  # the log is cut when it holds more
    keep: int = 2000  # entries that stay in it, for members that are a little behind
    uncommitted: Size = Size(8 << 20)  # of writes on their way
    connections: int = 2048


class FeedPart(Part, frozen=True):
    """What a node spends on those who hear the feed."""

    snapshots: Size = Size(8 << 20)  # bytes a second, of all snapshots together
    waiting: int = 64  # for snapshots; others are asked to come later
    window: Size = Size(1 << 20)  # bytes that one has not acknowledged
    log: Size = Size(32 << 20)  # of changes, in memory, for those who come back
    bookmark: Duration = Duration(5_000 * MS)  # who has heard nothing for so long is told so

    def limits(self, subscribers: int) -> FanoutLimits:
        """Raises Malformed."""
        if min(self.snapshots, self.window, self.log) < 64 << 10 or self.waiting < 1:
            raise Malformed("feed: snapshots, window and log must be 64KiB at least, and waiting 1")
        if not 100 * MS <= self.bookmark <= 20_000 * MS:
            raise Malformed("feed.bookmark: must be 100ms to 20s")
        return FanoutLimits(
            snapshot_bytes_s=int(self.snapshots),
            waiting_most=self.waiting,
            window_bytes=int(self.window),
            log_bytes=int(self.log),
            bookmark_ns=int(self.bookmark),
            subscribers_most=subscribers,
        )


class StoreFile(Part, frozen=True):
    """The whole file."""

    folder: str
    listen: str
    advertise: str = ""  # what others connect to, where it is not `listen`
    reach: dict[str, str] = {}  # where a member that advertises one address is reached at another
    metrics: str = ""  # an address of its own for them, plain HTTP
    tls: Keys | None = None
    timing: Timing = Timing()
    limits: Sizes = Sizes()
    feed: FeedPart = FeedPart()


class StoreSettings(msgspec.Struct, frozen=True):
    """What a node runs on."""

    folder: Path
    listen: tuple[str, int]
    advertise: str
    reach: dict[str, str]
    metrics: tuple[str, int] | None
    tls: Tls | None
    config: RaftConfig
    boundaries: Boundaries
    connections: int
    feed: FanoutLimits = FanoutLimits()


def is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def read_store(path: Path) -> StoreSettings:
    """Raises Malformed with one line."""
    try:
        return settled(convert(read_toml(path), StoreFile), path.parent)
    except (ValueError, Malformed) as error:
        raise Malformed(f"{path}: {error}") from None


def settled(f: StoreFile, beside: Path) -> StoreSettings:
    """Relative paths count from the settings file. Raises Malformed."""
    listen = split_address(f.listen)
    if f.tls is None and not is_loopback(listen[0]):
        raise Malformed("tls: without it the store listens on loopback only")
    for address in (*([f.advertise] if f.advertise else []), *f.reach, *f.reach.values()):
        split_address(address)
    if not 0 < 2 * f.timing.heartbeat <= f.timing.election:
        raise Malformed("timing: an election time-out is at least two heartbeats")
    if f.limits.keep < 0 or f.limits.connections < 8:
        raise Malformed("limits: keep must not be negative, and connections must be 8 at least")
    if f.limits.uncommitted < 2 << 20:
        raise Malformed("limits.uncommitted: must be 2MiB at least")
    config = RaftConfig(
        heartbeat_interval_ns=int(f.timing.heartbeat),
        election_timeout_ns=int(f.timing.election),
        slow_disk_timeout_ns=int(f.timing.slow_disk),
        max_uncommitted_bytes=int(f.limits.uncommitted),
    )
    tls = f.tls.beside(beside) if f.tls else None
    return StoreSettings(
        beside / f.folder,
        listen,
        f.advertise or f.listen,
        f.reach,
        split_address(f.metrics) if f.metrics else None,
        tls,
        config,
        Boundaries(f.limits.keep, 5 * f.limits.keep + 1000, int(f.limits.log)),
        f.limits.connections,
        f.feed.limits(f.limits.connections),
    )

"""What the feed's cores cost, without sockets: processor time of a change by who watches, memory by
rows and by subscribers. `loadbalancer lab size feed` gives each series with its slope; each point
has its own process.
"""

from __future__ import annotations

import gc
import multiprocessing
import os
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median

from loadbalancer.changefeed.fanout import Fanout, FanoutLimits, FeedChange, StoreSnapshot
from loadbalancer.changefeed.messages import Acknowledge, Row, Subscribe, pack
from loadbalancer.changefeed.subscription import (
    Dial,
    SendMessage,
    Subscription,
    SubscriptionLimits,
    SubscriptionOptions,
)
from loadbalancer.testbed.size.fit import Slope, fit

SECOND = 1_000_000_000
VALUE = 110  # bytes, as those of an upstream
LIMITS = FanoutLimits(snapshot_bytes_s=1 << 40, snapshot_burst=1 << 40, waiting_most=1 << 20)


def resident() -> int:
    """Bytes of this process."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def rows(count: int, scopes: int) -> list[tuple[str, int, bytes]]:
    rng = Random(count)
    return [
        (
            f"feed/service:orders-{at % scopes}/upstream/{rng.getrandbits(64):016x}",
            1 + at,
            rng.randbytes(VALUE),
        )
        for at in range(count)
    ]


def loaded(count: int, scopes: int) -> Fanout:
    fanout = Fanout("epoch", LIMITS, SECOND)
    fanout.load(StoreSnapshot(count + 1, rows(count, scopes), count + 1, []), SECOND)
    return fanout


def subscribed(fanout: Fanout, count: int, scopes: Callable[[int], list[str]]) -> None:
    """All of them told, and acknowledged."""
    for number in range(count):
        ask = Subscribe(
            f"balancer-{number}", "epoch", tuple((scope, 0) for scope in scopes(number))
        )
        fanout.receive(number, pack(ask), SECOND)
        acknowledge(fanout)


def acknowledge(fanout: Fanout) -> int:
    last = {send.subscriber: send.sequence for send in fanout.take_sends() if send.sequence}
    words = [(number, pack(Acknowledge(sequence))) for number, sequence in last.items()]
    began = time.process_time_ns()
    for number, word in words:
        fanout.receive(number, word, SECOND)
    return time.process_time_ns() - began


def change(subscribers: int) -> dict[str, float]:
    """us of a change that all subscribers watch: to tell it, and to hear that it was reached."""
    fanout = loaded(1_000, 1)
    subscribed(fanout, subscribers, lambda number: ["service:orders-0"])
    told, heard = [], []
    for at in range(200):
        revision = fanout.revision + 1
        changes = [FeedChange(revision, "feed/service:orders-0/upstream/x", at + 1, bytes(VALUE))]
        began = time.process_time_ns()
        fanout.apply(revision, changes, SECOND)
        sends = fanout.take_sends()
        told.append((time.process_time_ns() - began) / 1_000)
        assert len(sends) == subscribers
        words = [(send.subscriber, pack(Acknowledge(send.sequence))) for send in sends]
        began = time.process_time_ns()
        for number, word in words:
            fanout.receive(number, word, SECOND)
        heard.append((time.process_time_ns() - began) / 1_000)
    return {"told_us": median(told), "heard_us": median(heard)}


def rest(subscribers: int) -> dict[str, float]:
    """us and bytes a second of bookmarks, where nothing changes and each has 100 scopes."""
    fanout = loaded(10_000, 500)
    subscribed(
        fanout,
        subscribers,
        lambda number: [f"service:orders-{(number * 7 + at) % 500}" for at in range(100)],
    )
    spent, before = [], fanout.status().sent_bytes
    for round_ in range(20):
        began = time.process_time_ns()
        for second in range(10):
            fanout.tick((2 + round_ * 10 + second) * SECOND)
            fanout.take_sends()
        spent.append((time.process_time_ns() - began) / 10_000)
    return {"rest_us_s": median(spent), "rest_bytes_s": (fanout.status().sent_bytes - before) / 200}


def snapshots(subscribers: int) -> dict[str, float]:
    """us of so many subscribers that know nothing, each with 100 scopes of 20 rows,
    acknowledgements too.
    """
    fanout = loaded(10_000, 500)
    began = time.process_time_ns()
    subscribed(
        fanout,
        subscribers,
        lambda number: [f"service:orders-{(number * 7 + at) % 500}" for at in range(100)],
    )
    spent = (time.process_time_ns() - began) / 1_000
    return {"snapshots_us": spent, "snapshots_bytes": fanout.status().sent_bytes}


def resume(subscribers: int) -> dict[str, float]:
    """us of so many subscribers that come from another node, each with 100 scopes that the log
    covers.
    """
    asks = [
        pack(
            Subscribe(
                f"balancer-{number}",
                "epoch",
                tuple((f"service:orders-{(number * 7 + at) % 500}", 10_001) for at in range(100)),
            )
        )
        for number in range(subscribers)
    ]
    spent = []
    for _ in range(3):
        fanout = loaded(10_000, 500)
        began = time.process_time_ns()
        for number, ask in enumerate(asks):
            fanout.receive(number, ask, SECOND)
        fanout.take_sends()
        spent.append((time.process_time_ns() - began) / 1_000)
    return {"resume_us": median(spent)}


def row_memory(count: int) -> dict[str, float]:
    """Bytes of a node by its rows, beside their values, which its state holds too."""
    told = rows(count, 2_900)
    before = resident()
    fanout = Fanout("epoch", LIMITS, SECOND)
    fanout.load(StoreSnapshot(count + 1, told, count + 1, []), SECOND)
    after = resident()
    assert fanout.revision
    return {"row_bytes": after - before}


def subscriber_memory(count: int) -> dict[str, float]:
    """Bytes of a node by its subscribers, of 100 scopes each."""
    fanout = loaded(10_000, 500)
    before = resident()
    subscribed(
        fanout,
        count,
        lambda number: [f"service:orders-{(number * 7 + at) % 500}" for at in range(100)],
    )
    return {"subscriber_bytes": resident() - before}


def follow(subscription: Subscription, fanout: Fanout, now: int) -> int:
    """Until neither has anything to say; ns that the subscription took."""
    spent = 0
    while True:
        sends = fanout.take_sends()
        began = time.process_time_ns()
        for send in sends:
            subscription.receive(send.generation, send.sequence, send.payload, now)
        subscription.tick(now)
        actions = subscription.take_actions()
        spent += time.process_time_ns() - began
        if not sends and not actions:
            return spent
        for action in actions:
            if isinstance(action, Dial):
                subscription.on_connected("epoch", now)
            elif isinstance(action, SendMessage):
                fanout.receive(1, action.payload, now)


def balancer(count: int) -> dict[str, float]:
    """us of one delta and its acknowledgement, by the rows of a scope: up to `audit_rows` all are
    hashed.
    """
    fanout = loaded(count, 1)
    subscription = Subscription(
        "balancer",
        ["service:orders-0"],
        SubscriptionOptions(_takes, SubscriptionLimits(), Random(1)),
        0,
    )
    now = SECOND
    follow(subscription, fanout, now)
    spent, name = [], rows(count, 1)[0][0]
    for at in range(300):
        now += SECOND
        revision = fanout.revision + 1
        fanout.apply(revision, [FeedChange(revision, name, count + at, bytes(VALUE))], now)
        took = follow(subscription, fanout, now) + follow(subscription, fanout, now + SECOND // 10)
        spent.append(took / 1_000)
    assert subscription.is_ready and not subscription.resyncs
    return {"delta_us": median(spent)}


def table_memory(count: int) -> dict[str, float]:
    """Bytes of a balancer by its rows, in scopes of 50, with their values; and us to take them
    all.
    """
    scopes = count // 50
    fanout = loaded(count, scopes)
    before = resident()
    subscription = Subscription(
        "balancer",
        [f"service:orders-{at}" for at in range(scopes)],
        SubscriptionOptions(_takes, SubscriptionLimits(), Random(1)),
        0,
    )
    spent = follow(subscription, fanout, SECOND)
    assert subscription.is_ready
    return {"table_bytes": resident() - before, "whole_us": spent / 1_000}


def _takes(scope: str, row: Row) -> str:
    return ""


SUBSCRIBERS = (100, 322, 725, 1_450)
SERIES: dict[str, tuple[Callable[[int], dict[str, float]], tuple[int, ...]]] = {
    "change": (change, SUBSCRIBERS),
    "rest": (rest, SUBSCRIBERS),
    "resume": (resume, SUBSCRIBERS),
    "snapshots": (snapshots, SUBSCRIBERS),
    "subscriber_memory": (subscriber_memory, SUBSCRIBERS),
    "row_memory": (row_memory, (16_250, 32_500, 65_000, 130_000)),
    "balancer": (balancer, (64, 128, 256, 512)),
    "balancer_memory": (table_memory, (5_000, 10_000, 20_000, 40_000)),
}


def _point(name: str, size: int) -> dict[str, float]:
    return SERIES[name][0](size)


# By what `SERIES` gives: its name among the recorded slopes, its unit, what a size counts.
NAMES: dict[str, tuple[str, str, str]] = {
    "told_us": ("feed.change.told", "us", "subscribers"),
    "heard_us": ("feed.change.acknowledged", "us", "subscribers"),
    "rest_us_s": ("feed.rest.cpu", "us a second", "subscribers"),
    "rest_bytes_s": ("feed.rest.bytes", "bytes a second", "subscribers"),
    "resume_us": ("feed.resume", "us", "subscribers"),
    "snapshots_us": ("feed.snapshots.cpu", "us", "subscribers"),
    "snapshots_bytes": ("feed.snapshots.bytes", "bytes", "subscribers"),
    "subscriber_bytes": ("feed.subscriber.memory", "bytes", "subscribers"),
    "row_bytes": ("feed.row.memory", "bytes", "rows"),
    "delta_us": ("feed.delta.taken", "us", "rows"),
    "table_bytes": ("feed.table.memory", "bytes", "rows"),
    "whole_us": ("feed.is_snapshot.taken", "us", "rows"),
}


def fitted(name: str, command: str = "", date: str = "") -> list[Slope]:
    """One a figure of this series."""
    found: dict[str, list[tuple[int, float]]] = {}
    with multiprocessing.get_context("spawn").Pool(1, maxtasksperchild=1) as pool:
        for size in SERIES[name][1]:
            for figure, value in pool.apply(_point, (name, size)).items():
                found.setdefault(figure, []).append((size, value))
    slopes = []
    for figure, points in found.items():
        known, unit, per = NAMES[figure]
        slopes.append(fit(points, name=known, unit=unit, per=per, command=command, date=date))
    return slopes

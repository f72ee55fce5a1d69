"""Times, sizes and rates as operators write them, with their units: `250ms`, `64KiB`, `340/s`, and
ranges; and what reading a file of them comes to.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Generic, TypeVar

import msgspec

NS = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
BYTES = {
    "B": 1,
    "kB": 1_000,
    "MB": 1_000_000,
    "GB": 1_000_000_000,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
PER_S = {"/s": 1.0, "/m": 1 / 60, "/h": 1 / 3600}
T = TypeVar("T", int, float)
File = TypeVar("File")
NUMBER = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z/]*)\Z")


class Duration(int):
    """Whole nanoseconds, written with a unit: `ns`, `us`, `ms`, `s`, `m` or `h`."""


class Size(int):
    """Whole bytes, written with a unit: `B`, `kB`, `MB`, `GB`, `KiB`, `MiB` or `GiB`."""


class PerSecond(float):
    """A rate a second, written with a unit: `/s`, `/m` or `/h`."""


class Range(Generic[T]):
    """What a run draws a figure from. A class of its own, no tuple: a plain pair must not pass for
    one.
    """

    __slots__ = ("high", "low")

    def __init__(self, low: T, high: T) -> None:
        self.low: T = low
        self.high: T = high

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Range) and (self.low, self.high) == (other.low, other.high)

    def __hash__(self) -> int:
        return hash((self.low, self.high))

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.low}, {self.high})"


class Times(Range[int]):
    """A range of durations, nanoseconds; one value is a range of no width."""

    __slots__ = ()


class Numbers(Range[float]):
    """A range of plain numbers; one value is a range of no width."""

    __slots__ = ()


def _measured(text: Any, units: dict[str, Any], what: str) -> float:
    found = NUMBER.match(text.strip()) if isinstance(text, str) else None
    if found is None or found[2] not in units:
        hint = ", ".join(units)
        raise ValueError(f"{what} is a number with a unit ({hint}), not {text!r}")
    return float(found[1]) * float(units[found[2]])


def duration(text: Any) -> Duration:
    """`"250ms"` as nanoseconds. Raises ValueError where the unit is missing or unknown."""
    return Duration(round(_measured(text, NS, "a time")))


def size(text: Any) -> Size:
    """`"64KiB"` as bytes. Raises ValueError where the unit is missing or unknown."""
    return Size(round(_measured(text, BYTES, "a size")))


def per_second(text: Any) -> PerSecond:
    """`"340/s"` as a float a second. Raises ValueError where the unit is missing or unknown."""
    return PerSecond(_measured(text, PER_S, "a rate"))


def _pair(given: Any) -> tuple[Any, Any]:
    if isinstance(given, list):
        if len(given) != 2:
            raise ValueError(f"a range has two ends, not {len(given)}")
        return given[0], given[1]
    return given, given


def times(given: Any) -> Times:
    low, high = (duration(end) for end in _pair(given))
    if low > high:
        raise ValueError("a range goes from the smaller to the larger time")
    return Times(low, high)


def numbers(given: Any) -> Numbers:
    ends = _pair(given)
    for end in ends:
        if isinstance(end, bool) or not isinstance(end, (int, float)):
            raise ValueError(f"a range of numbers holds numbers, not {end!r}")
    low, high = map(float, ends)
    if low > high:
        raise ValueError("a range goes from the smaller to the larger number")
    return Numbers(low, high)


READERS = {Duration: duration, Size: size, PerSecond: per_second, Times: times, Numbers: numbers}


def decode(kind: type, given: Any) -> Any:
    """The hook that msgspec calls for the types of this module."""
    reader = READERS.get(kind)
    if reader is None:
        raise NotImplementedError(f"no reader for {kind}")
    return reader(given)


def convert(raw: Any, kind: type[File]) -> File:
    """Parsed TOML or JSON as this type. Raises ValueError, in one line, where it does not fit."""
    try:
        found: File = msgspec.convert(raw, kind, dec_hook=decode)
    except (msgspec.ValidationError, ValueError) as error:
        raise ValueError(" ".join(str(error).split())) from None
    return found


def read_toml(path: Path) -> dict[str, Any]:
    """A file of the operators'. Raises ValueError, in one line, where it can't be read."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ValueError(error.strerror) from None


def repeated(names: Iterable[str]) -> str:
    """The first name that stands there twice; empty if none does."""
    seen: set[str] = set()
    for name in names:
        if name in seen:
            return name
        seen.add(name)
    return ""


def written(ns: int) -> str:
    """Nanoseconds as the shortest exact text that `duration` reads back."""
    for unit in ("h", "m", "s", "ms", "us"):
        if ns and ns % NS[unit] == 0:
            return f"{ns // NS[unit]}{unit}"
    return f"{ns}ns"

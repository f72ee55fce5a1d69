"""Durations, sizes and rates in configuration files, and the reading of such files.

Values are written with their units (`250ms`, `64KiB`, `340/s`) or as ranges of such values.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterable, Mapping
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
NumberT = TypeVar("NumberT", int, float)
FileT = TypeVar("FileT")
NUMBER = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z/]*)\Z")


class Duration(int):
    """A duration in whole nanoseconds, written with a unit: `ns`, `us`, `ms`, `s`, `m` or `h`."""


class Size(int):
    """A size in whole bytes, written with a unit: `B`, `kB`, `MB`, `GB`, `KiB`, `MiB` or `GiB`."""


class PerSecond(float):
    """A rate per second, written with a unit: `/s`, `/m` or `/h`."""


class Range(Generic[NumberT]):
    """A range from which a test run draws a random value.

    Not a tuple, so that a plain pair is not accepted as a range.
    """

    __slots__ = ("high", "low")

    def __init__(self, low: NumberT, high: NumberT) -> None:
        self.low: NumberT = low
        self.high: NumberT = high

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Range) and (self.low, self.high) == (other.low, other.high)

    def __hash__(self) -> int:
        return hash((self.low, self.high))

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.low}, {self.high})"


class Times(Range[int]):
    """A range of durations in nanoseconds; a single value is a range of zero width."""

    __slots__ = ()


class Numbers(Range[float]):
    """A range of plain numbers; a single value is a range of zero width."""

    __slots__ = ()


def _parse_with_unit(text: Any, units: Mapping[str, float], description: str) -> float:
    match = NUMBER.match(text.strip()) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        hint = ", ".join(units)
        raise ValueError(f"{description} is a number with a unit ({hint}), not {text!r}")
    return float(match[1]) * float(units[match[2]])


def duration(text: Any) -> Duration:
    """Parse a duration such as `"250ms"` into nanoseconds.

    Raises:
        ValueError: The unit is missing or unknown.
    """
    return Duration(round(_parse_with_unit(text, NS, "a time")))


def size(text: Any) -> Size:
    """Parse a size such as `"64KiB"` into bytes.

    Raises:
        ValueError: The unit is missing or unknown.
    """
    return Size(round(_parse_with_unit(text, BYTES, "a size")))


def per_second(text: Any) -> PerSecond:
    """Parse a rate such as `"340/s"` into a number per second.

    Raises:
        ValueError: The unit is missing or unknown.
    """
    return PerSecond(_parse_with_unit(text, PER_S, "a rate"))


def _range_bounds(value: Any) -> tuple[Any, Any]:
    if not isinstance(value, list):
        return value, value
    try:
        low, high = value
    except ValueError:
        raise ValueError(f"a range has two ends, not {len(value)}") from None
    return low, high


def times(value: Any) -> Times:
    """Parse a duration, or a list of two, into a range.

    Raises:
        ValueError: A unit is missing or unknown, or the range is reversed.
    """
    low, high = (duration(bound) for bound in _range_bounds(value))
    if low > high:
        raise ValueError("a range goes from the smaller to the larger time")
    return Times(low, high)


def numbers(value: Any) -> Numbers:
    """Convert a number, or a list of two, to a range.

    Raises:
        ValueError: A bound is not a number, or the range is reversed.
    """
    bounds = _range_bounds(value)
    for bound in bounds:
        if isinstance(bound, bool) or not isinstance(bound, (int, float)):
            raise ValueError(f"a range of numbers holds numbers, not {bound!r}")
    low, high = map(float, bounds)
    if low > high:
        raise ValueError("a range goes from the smaller to the larger number")
    return Numbers(low, high)


READERS = {Duration: duration, Size: size, PerSecond: per_second, Times: times, Numbers: numbers}


def decode(kind: type, value: Any) -> Any:
    """Decode a value to a type of this module, as a decoding hook for msgspec."""
    reader = READERS.get(kind)
    if reader is None:
        raise NotImplementedError(f"no reader for {kind}")
    return reader(value)


def convert(raw: Any, kind: type[FileT]) -> FileT:
    """Convert parsed TOML or JSON to this type.

    Raises:
        ValueError: The value does not match the type. The message is a single line.
    """
    try:
        converted: FileT = msgspec.convert(raw, kind, dec_hook=decode)
    except (msgspec.ValidationError, ValueError) as error:
        raise ValueError(" ".join(str(error).split())) from None
    return converted


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    Raises:
        ValueError: The file can't be read or parsed. The message is a single line.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ValueError(error.strerror) from None


def first_duplicate(names: Iterable[str]) -> str:
    """Return the first name that is a duplicate, or an empty string."""
    seen_names: set[str] = set()
    for name in names:
        if name in seen_names:
            return name
        seen_names.add(name)
    return ""


def format_duration(ns: int) -> str:
    """Format nanoseconds as the shortest exact text that `duration` reads back."""
    for unit in ("h", "m", "s", "ms", "us"):
        if ns and ns % NS[unit] == 0:
            return f"{ns // NS[unit]}{unit}"
    return f"{ns}ns"

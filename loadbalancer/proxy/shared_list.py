"""The endpoint list of a process, in the form in which it is shared with the balancer's others."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, replace
from typing import Final

from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.endpoint_list import read_list, write_endpoint
from loadbalancer.settings import MalformedError, checked, optional, required

FORMAT: Final = 1


@dataclass(frozen=True, slots=True)
class SharedList:
    """The endpoint list of a process, and how far discovery keeps it up to date.

    Attributes:
        source: The address of discovery, which numbers versions on its own.
        version: The list's version.
        is_answered: Whether discovery has answered the process at that address.
        deadline_s: When a change that the process does not know may be in force, in monotonic
            seconds, which all processes of a machine share; None: there can't be one.
        delay_s: How late discovery's answers are, in seconds.
        ended_s: When the process ended in order (monotonic); None: it runs, or was killed.
        endpoints: All entries.
    """

    source: str
    version: int
    is_answered: bool
    deadline_s: float | None
    delay_s: float
    endpoints: tuple[Endpoint, ...]
    ended_s: float | None = None

    def ended(self, now_s: float) -> SharedList:
        """Return this list as the last one of a process that ends now."""
        return replace(self, ended_s=now_s)

    def pack(self) -> bytes:
        """Encode the list."""
        document = {
            "format": FORMAT,
            "source": self.source,
            "answered": self.is_answered,
            "deadline_s": self.deadline_s,
            "delay_s": self.delay_s,
            "ended_s": self.ended_s,
            "version": self.version,
            "full": True,
            "servers": [write_endpoint(endpoint) for endpoint in self.endpoints],
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def unpack(cls, data: bytes) -> SharedList:
        """Decode a list.

        Raises:
            MalformedError: The data is not a list in this format.
        """
        try:
            raw = checked(json.loads(data), "shared list", dict)
        except (ValueError, RecursionError) as error:
            raise MalformedError(f"not JSON: {error}") from None
        if required(raw, "format", int) != FORMAT:
            raise MalformedError(f"format {raw['format']} is not supported")
        content = read_list(raw)
        return cls(
            required(raw, "source", str),
            content.version,
            required(raw, "answered", bool),
            _optional_time(raw, "deadline_s"),
            _finite(float(required(raw, "delay_s", float))),
            tuple(content.endpoints),
            _optional_time(raw, "ended_s"),
        )


def _optional_time(raw: dict[str, object], key: str) -> float | None:
    value = optional(raw, key, float, None)
    return None if value is None else _finite(float(value))


def _finite(value: float) -> float:
    if not math.isfinite(value):
        raise MalformedError("a time is not finite")
    return value

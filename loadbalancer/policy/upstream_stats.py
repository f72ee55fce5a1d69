"""What this proxy knows of one upstream, and how busy it seems."""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from loadbalancer.policy import api

BY_SPOT = attrgetter("spot")
BY_TURN = attrgetter("turn")
BY_WAY = attrgetter("way")
# Part of errors above which an upstream is left alone, where no more than the second part of those
# within reach are as bad; above the third, what may not be repeated goes elsewhere. One that fails
# in part still does its share of the work: left alone sooner, it crowds the rest on a full day. A
# proxy among many meets each upstream a few times a second: an error, of which a healthy one gives
# three in a thousand, counts for more than the answers after it, or the trouble is over before it
# is believed. Unmet, a belief halves in 7 s.
FAULTY = (0.9, 0.5, 0.1)
ERROR_FELT = (0.3, 0.1)
ERROR_FADE: Final = 0.95
ACROSS: Final = 1.4  # an upstream in another zone seems so much heavier, where crossing has a price


def mixed(number: int, salt: int) -> int:
    """A fixed scramble of an id: the same on every proxy, whatever the hash seed."""
    x = (
        number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019
    ) & 0xFFFFFFFFFFFFFFFF
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 32)


@dataclass(slots=True, eq=False)
class Server:
    """What this proxy knows of one upstream."""

    id: int
    entry: api.Upstream
    inflight: int = 0  # own requests there
    pace: float = 1.0  # its time for a request against the fleet's
    strikes: int = 0
    barred_ns: int = 0  # not to be tried before this
    struck_ns: int = 0  # the last strike
    own: bool = False  # in this proxy's home
    way: float = 1.0  # in another zone it seems so much heavier
    load: float = 0.0  # requests it holds from all proxies, by its last report
    load_ns: int = 0
    received_ns: int = 0  # it was asked for its load then, and has not answered
    most: int = 0  # own requests there at once, so far
    unseen: int = 0  # sent to it since: its answer may not count them
    errors: float = 0.0  # the part of its answers that were errors lately
    breaks: int = 0  # of connections to it, in a row
    met_ns: int = 0  # its last good answer
    banned: bool = False  # operators took it out
    part: float = 1.0  # of its draws that may be used, by the fleet's plan for its zone
    retry_window_ns: int = 0  # they put it back then
    spot: tuple[int, int] = (0, 0)  # on the ring that all proxies compute alike
    turn: tuple[int, int] = (0, 0)  # in this proxy's own order
    placed: bool = False  # it stands in the ring, as near or not, with this start
    placed_near: bool = False
    placed_start: int = 0

    @property
    def usable(self) -> bool:
        return self.entry.state is api.UpstreamState.READY and not self.banned and self.part > 0

    @property
    def started_ns(self) -> int:
        """What was out is restarted meanwhile, and the list tells it late: back, it counts as
        new.
        """
        return max(self.entry.started_ns, self.retry_window_ns)


def weight(s: Server) -> float:
    """How busy an upstream seems, by own requests there or its report, and by what it learned of
    it.
    """
    # One that fails is free at once, and would seem the lightest of all.
    return (max(s.inflight, s.load) + 1) * s.pace * s.way / (1.0 - 0.9 * s.errors)

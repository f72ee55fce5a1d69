"""What happens to whole sites in a run, by name. Pure."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000_000
AT_S, LASTS_S = 8.0, 8.0


@dataclass(frozen=True, slots=True)
class Hit:
    """`boxes`: so much of its boxes dies and starts again at the end, cold; `to`, `back`: so much
    of what is sent to it, and of what comes back, is lost; `clients`: those at it ask at other
    sites; `balancers`: they are killed, and started again at the end.
    """

    site: int
    at_s: float
    lasts_s: float
    boxes: float = 0.0
    to: float = 0.0
    back: float = 0.0
    clients: bool = False
    balancers: bool = False


def _lost(site: int, at: float = AT_S, lasts: float = LASTS_S) -> Hit:
    return Hit(site, at, lasts, boxes=1.0, to=1.0, back=1.0, clients=True, balancers=True)


INCIDENTS: dict[str, list[Hit]] = {
    "calm": [],
    "lost": [_lost(1)],
    "resets": [Hit(1, AT_S, LASTS_S, boxes=1.0)],
    "cut off": [Hit(1, AT_S, LASTS_S, to=1.0, back=1.0)],
    "one way": [Hit(1, AT_S, LASTS_S, back=1.0)],
    "half": [Hit(1, AT_S, LASTS_S, boxes=0.5)],
    "flapping": [Hit(1, AT_S + 4.0 * i, 2.0, to=1.0, back=1.0) for i in range(4)],
    "gray": [Hit(1, AT_S, LASTS_S, to=0.1)],
    "two": [_lost(1), _lost(2)],
    "and again": [_lost(1, AT_S, 5.0), _lost(1, AT_S + 8.0, 4.0)],
}


def ends_s(hits: list[Hit]) -> float:
    return max((h.at_s + h.lasts_s for h in hits), default=AT_S + LASTS_S)

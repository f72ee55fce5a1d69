"""Membership, one server at a time (thesis 4.1 to 4.3): what each change makes of the members, or
why not.
"""

from __future__ import annotations

import msgspec

from loadbalancer.store.raft.messages import Members

MOST_GONE = 256  # numbers of removed nodes that are remembered
MOST_VOTERS, MOST_LEARNERS = 9, 16


class Refused(Exception):
    """The change can't be made, in one line."""


def _with(
    m: Members,
    voters: tuple[int, ...],
    learners: tuple[int, ...],
    addresses: dict[int, str],
    gone: tuple[int, ...],
) -> Members:
    return Members(
        tuple(sorted(voters)), tuple(sorted(learners)), dict(sorted(addresses.items())), gone
    )


def add_learner(m: Members, node: int, address: str) -> Members:
    """A newcomer takes the log but has no vote. One that is known gets another address."""
    if node in m.gone:
        raise Refused(f"node {node:x} was removed: it comes back only with a new data folder")
    if node in m.all:
        return _with(m, m.voters, m.learners, {**m.addresses, node: address}, m.gone)
    if len(m.learners) >= MOST_LEARNERS:
        raise Refused(f"there are {MOST_LEARNERS} learners already")
    return _with(m, m.voters, (*m.learners, node), {**m.addresses, node: address}, m.gone)


def promote(m: Members, node: int) -> Members:
    if node in m.voters:
        return m
    if node not in m.learners:
        raise Refused(f"node {node:x} is no learner")
    if len(m.voters) >= MOST_VOTERS:
        raise Refused(f"there are {MOST_VOTERS} voters already")
    return _with(
        m, (*m.voters, node), tuple(n for n in m.learners if n != node), m.addresses, m.gone
    )


def remove(m: Members, node: int) -> Members:
    if node not in m.all:
        raise Refused(f"node {node:x} is no member")
    if m.voters == (node,):
        raise Refused("the last voter can't be removed")
    return _with(
        m,
        tuple(n for n in m.voters if n != node),
        tuple(n for n in m.learners if n != node),
        {n: a for n, a in m.addresses.items() if n != node},
        (*m.gone, node)[-MOST_GONE:],
    )


class Change(msgspec.Struct, frozen=True):
    """One step: `learn`, `promote` or `remove`."""

    what: str
    node: int
    address: str = ""

    def of(self, m: Members) -> Members:
        """Raises Refused."""
        match self.what:
            case "learn":
                return add_learner(m, self.node, self.address)
            case "promote":
                return promote(m, self.node)
            case "remove":
                return remove(m, self.node)
        raise Refused(f"no such change: {self.what}")

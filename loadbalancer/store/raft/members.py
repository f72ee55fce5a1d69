"""Membership changes, one server at a time (thesis 4.1 to 4.3)."""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec

from loadbalancer.store.raft.errors import MembershipError
from loadbalancer.store.raft.messages import Members

MAX_REMOVED_NODES: Final = 256  # numbers of former members
MAX_VOTERS: Final = 9
MAX_LEARNERS: Final = 16


class ChangeKind(Enum):
    """A single-server change; the values are those of the wire and the command line."""

    LEARN = "learn"
    PROMOTE = "promote"
    REMOVE = "remove"


def parse_change_kind(text: str) -> ChangeKind:
    """Return the kind that a request names.

    Raises:
        MembershipError: There is none.
    """
    try:
        return ChangeKind(text)
    except ValueError:
        raise MembershipError(f"no such change: {text}") from None


def _sorted_members(
    voters: tuple[int, ...],
    learners: tuple[int, ...],
    addresses: dict[int, str],
    removed: tuple[int, ...],
) -> Members:
    return Members(
        tuple(sorted(voters)), tuple(sorted(learners)), dict(sorted(addresses.items())), removed
    )


def add_learner(members: Members, node: int, address: str) -> Members:
    """Add a node that takes the log but has no vote; a known one gets another address.

    Raises:
        MembershipError: It was removed, or there are too many learners.
    """
    if node in members.removed:
        raise MembershipError(
            f"node {node:x} was removed: it comes back only with a new data folder"
        )
    addresses = {**members.addresses, node: address}
    if node in members.all:
        return _sorted_members(members.voters, members.learners, addresses, members.removed)
    if len(members.learners) >= MAX_LEARNERS:
        raise MembershipError(f"there are {MAX_LEARNERS} learners already")
    return _sorted_members(members.voters, (*members.learners, node), addresses, members.removed)


def promote(members: Members, node: int) -> Members:
    """Make a learner a voter.

    Raises:
        MembershipError: It is no learner, or there are too many voters.
    """
    if node in members.voters:
        return members
    if node not in members.learners:
        raise MembershipError(f"node {node:x} is no learner")
    if len(members.voters) >= MAX_VOTERS:
        raise MembershipError(f"there are {MAX_VOTERS} voters already")
    learners = tuple(n for n in members.learners if n != node)
    return _sorted_members((*members.voters, node), learners, members.addresses, members.removed)


def remove(members: Members, node: int) -> Members:
    """Remove a member for good.

    Raises:
        MembershipError: It is no member, or the last voter.
    """
    if node not in members.all:
        raise MembershipError(f"node {node:x} is no member")
    if members.voters == (node,):
        raise MembershipError("the last voter can't be removed")
    return _sorted_members(
        tuple(n for n in members.voters if n != node),
        tuple(n for n in members.learners if n != node),
        {n: address for n, address in members.addresses.items() if n != node},
        (*members.removed, node)[-MAX_REMOVED_NODES:],
    )


class MembershipChange(msgspec.Struct, frozen=True):
    """One change of the members."""

    kind: ChangeKind
    node: int
    address: str = ""

    def applied_to(self, members: Members) -> Members:
        """Return the members after this change.

        Raises:
            MembershipError: It can't be made.
        """
        match self.kind:
            case ChangeKind.LEARN:
                return add_learner(members, self.node, self.address)
            case ChangeKind.PROMOTE:
                return promote(members, self.node)
            case ChangeKind.REMOVE:
                return remove(members, self.node)

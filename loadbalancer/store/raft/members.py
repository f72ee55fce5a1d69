"""Membership changes, one server at a time (thesis 4.1 to 4.3)."""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec

from loadbalancer.store.raft.errors import MembershipError
from loadbalancer.store.raft.messages import Members

MAX_REMOVED_NODES: Final = 256  # former members whose numbers are retained
MAX_VOTERS: Final = 9
MAX_LEARNERS: Final = 16


class ChangeKind(Enum):
    """Kinds of single-server changes; the values are used on the wire and the command line."""

    LEARN = "learn"
    PROMOTE = "promote"
    REMOVE = "remove"


def parse_change_kind(text: str) -> ChangeKind:
    """Return the change kind with the name in a request.

    Raises:
        MembershipError: No change kind has this name.
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
    """Add a learner, a node that receives the log but has no vote.

    If the node is already a member, only its address is updated.

    Raises:
        MembershipError: The node was removed before, or there are too many learners.
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
        MembershipError: The node is not a learner, or there are too many voters.
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
    """Remove a member permanently.

    Raises:
        MembershipError: The node is not a member, or it is the last voter.
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
    """A change of one member."""

    kind: ChangeKind
    node: int
    address: str = ""

    def applied_to(self, members: Members) -> Members:
        """Return the members after this change.

        Raises:
            MembershipError: The change is not possible.
        """
        match self.kind:
            case ChangeKind.LEARN:
                return add_learner(members, self.node, self.address)
            case ChangeKind.PROMOTE:
                return promote(members, self.node)
            case ChangeKind.REMOVE:
                return remove(members, self.node)

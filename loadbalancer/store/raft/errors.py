"""Errors that the consensus state machine reports to its caller."""

from __future__ import annotations


class RaftError(Exception):
    """Base of all errors of this package."""


class NotLeaderError(RaftError):
    """Another node leads, or none."""

    def __init__(self, leader: int) -> None:
        super().__init__(f"the leader is node {leader:x}" if leader else "there is no leader now")
        self.leader = leader


class BusyError(RaftError):
    """The leader accepts nothing more just now."""


class MembershipError(RaftError):
    """A change of members, or a transfer of leadership, that can't be made."""

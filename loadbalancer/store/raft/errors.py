"""Errors that the consensus state machine reports to its caller."""

from __future__ import annotations


class RaftError(Exception):
    """Base of all errors of this package."""


class NotLeaderError(RaftError):
    """This node is not the leader: another node leads, or there is no leader."""

    def __init__(self, leader: int) -> None:
        super().__init__(f"the leader is node {leader:x}" if leader else "there is no leader now")
        self.leader = leader


class BusyError(RaftError):
    """The leader temporarily accepts no further requests of this kind."""


class MembershipError(RaftError):
    """A membership change or leadership transfer is not possible."""

"""Writes that the store can't answer for, by balancers: it keeps a session for so many, and each
balancer's client has one.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from loadbalancer.store.commands import Op, OpenSession, ResultCode, Write, pack
from loadbalancer.store.durable import state_files
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import Entry, EntryKind, Members
from loadbalancer.testbed.size.series import Series
from loadbalancer.testbed.size.storenode import ROW, Heard

ROUNDS = 3


def sessions(folder: Path, sizes: Sequence[int], heard: Heard) -> list[Series]:
    """Each balancer opens a session and writes in turn, so many rounds; one that is told that its
    session is not known opens it anew, as the client does. The part of writes that end so: of those
    it is not known whether they were made, and each costs two commits more.
    """
    expired = Series("store.sessions.expired", "of writes", "balancers", line=False)
    for size in sizes:
        state = state_files.create_state(folder / f"sessions-{size}.db", "lab", Members())
        try:
            lost = 0
            numbers = [0] * size

            def commit(command: OpenSession | Write, state: State = state) -> int:
                entry = Entry(1, state.applied + 1, EntryKind.COMMAND, pack(command))
                return state.apply([entry])[0].code

            for who in range(size):
                commit(OpenSession(who + 1))
            for _ in range(ROUNDS):
                for who in range(size):
                    numbers[who] += 1
                    write = Write(
                        who + 1, numbers[who], numbers[who] - 1, (Op(f"learnt/s/b{who}", ROW),)
                    )
                    if commit(write) == ResultCode.EXPIRED:
                        lost += 1
                        numbers[who] = 0
                        commit(OpenSession(who + 1))
            expired.add(size, lost / (ROUNDS * size))
        finally:
            state.close()
        heard(f"{size} balancers: {expired.points[-1][1]:.0%} of their writes find no session")
    return [expired]

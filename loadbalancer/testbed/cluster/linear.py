"""Were the answers that clients saw possible for one store that does one thing at a time?

The search of Wing and Gong with Lowe's memory of what was seen ("Testing for linearizability",
2017): operations that overlap are tried in every order, and a set of done operations with the state
they lead to is looked at once. Keys come in groups that one write may span; each group is judged by
itself (linearizability is local: Herlihy and Wing, 1990).
"""

from __future__ import annotations

from dataclasses import dataclass, field

FOREVER = 1 << 62
State = tuple[
    tuple[int, int, str | None], ...
]  # of each key of a group: versions so far, version, value


@dataclass(slots=True)
class Operation:
    """`writes`: place of a key in its group, value (None deletes), version that it must be at (-1:
    any). A read has none. `seen`: of a read, version and value of each key; of a write, the
    versions it was told, or "conflict".
    """

    client: int
    group: int
    writes: tuple[tuple[int, str | None, int], ...]
    called: int
    returned: int = FOREVER  # it may take effect then or never, where no answer came
    seen: tuple[tuple[int, str | None], ...] | tuple[int, ...] | str | None = None

    @property
    def complete(self) -> bool:
        return self.returned != FOREVER


def begin(keys: int) -> State:
    return ((0, 0, None),) * keys


def step(state: State, op: Operation) -> tuple[State, object]:
    """What the operation makes of the state, and what its client should see."""
    if not op.writes:
        return state, tuple((version, value) for _, version, value in state)
    for place, _, version in op.writes:
        if version >= 0 and state[place][1] != version:
            return state, "conflict"
    now = list(state)
    told = []
    for place, value, _ in op.writes:
        count, version, _ = now[place]
        if value is None:
            now[place] = (count + 1, 0, None) if version else now[place]
            told.append(0)
        else:
            now[place] = (count + 1, count + 1, value)
            told.append(count + 1)
    return tuple(now), tuple(told)


@dataclass(slots=True)
class Verdict:
    """`stuck`: operations of which one must come next, and none can."""

    linearizable: bool
    stuck: list[Operation] = field(default_factory=list)


def check(operations: list[Operation], keys: int) -> Verdict:
    """One group's operations, in any order."""
    ops = sorted((op for op in operations if op.complete or op.writes), key=lambda op: op.called)
    must = sum(1 << i for i, op in enumerate(ops) if op.complete)
    seen: set[tuple[int, State]] = set()
    deepest, stuck = -1, ops
    stack: list[tuple[int, State]] = [(0, begin(keys))]
    while stack:
        done, state = stack.pop()
        if done & must == must:
            return Verdict(True)
        first_return = min(op.returned for i, op in enumerate(ops) if not done >> i & 1)
        open_ = []
        for i, op in enumerate(ops):
            if op.called > first_return:
                break
            if not done >> i & 1:
                open_.append(i)
        following = []
        for i in open_:
            after, told = step(state, ops[i])
            if ops[i].complete and told != ops[i].seen:
                continue
            node = (done | 1 << i, after)
            if node not in seen:
                seen.add(node)
                following.append(node)
        if not following and (done & must).bit_count() > deepest:
            deepest, stuck = (done & must).bit_count(), [ops[i] for i in open_]
        # What was answered first is the likeliest to have come first.
        following.sort(key=lambda n: ops[(n[0] ^ done).bit_length() - 1].returned, reverse=True)
        stack.extend(following)
    return Verdict(not must, stuck)

"""The entries that a node holds in memory: all after a base, which the state on disk already
contains.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.store.raft.messages import Entry

EACH = 24  # bytes that an entry is counted for beside its data


def weight(entry: Entry) -> int:
    """Bytes that an entry counts for in limits."""
    return len(entry.data) + EACH


class Log:
    """Indices count from 1; `base` is the last index that is no longer here, 0 at first."""

    def __init__(self, base: int = 0, base_term: int = 0, entries: Sequence[Entry] = ()) -> None:
        self.base = base
        self.base_term = base_term
        self.entries = list(entries)
        self.bytes = sum(map(weight, self.entries))

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """None: not here, cut off or not there yet."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last:
            return self.entries[index - self.base - 1].term
        return None

    def slice(self, first: int, last: int, most_bytes: int = 1 << 62) -> list[Entry]:
        """Entries from `first` to `last`, both included, up to so many bytes but one at least."""
        found: list[Entry] = []
        for entry in self.entries[first - self.base - 1 : last - self.base]:
            most_bytes -= weight(entry)
            if found and most_bytes < 0:
                break
            found.append(entry)
        return found

    def append(self, entries: Sequence[Entry]) -> None:
        """Add entries; what stood from the first of them on is dropped."""
        keep = entries[0].index - self.base - 1
        assert 0 <= keep <= len(self.entries), "a gap in the log"
        for old in self.entries[keep:]:
            self.bytes -= weight(old)
        del self.entries[keep:]
        self.entries.extend(entries)
        self.bytes += sum(map(weight, entries))

    def first_new(self, entries: Sequence[Entry]) -> int:
        """How many of these are here already with the same term."""
        for i, entry in enumerate(entries):
            if self.term(entry.index) != entry.term:
                return i
        return len(entries)

    def last_within(self, index: int, term: int) -> tuple[int, int]:
        """The last index up to `index` whose term is `term` or less, and that term: where two logs
        may still agree. The base, where there is none.
        """
        index = min(index, self.last)
        while index > self.base:
            own = self.entries[index - self.base - 1].term
            if own <= term:
                return index, own
            index -= 1
        return self.base, self.base_term

    def newer(self, last_index: int, last_term: int) -> bool:
        """Is a log that ends so at least as complete as this one (paper, 5.4.1)?"""
        return (last_term, last_index) >= (self.last_term, self.last)

    def cut(self, index: int) -> None:
        """Forget what the state holds anyway, up to this index."""
        if index <= self.base:
            return
        term = self.term(index)
        assert term is not None, "cut beyond the end of the log"
        gone = self.entries[: index - self.base]
        self.bytes -= sum(map(weight, gone))
        del self.entries[: index - self.base]
        self.base, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """A snapshot took the place of all of it."""
        self.base, self.base_term = index, term
        self.entries.clear()
        self.bytes = 0

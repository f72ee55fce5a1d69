"""The in-memory log.

It holds all entries after a base index. The durable state contains the entries up to the base.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from loadbalancer.store.raft.messages import Entry

ENTRY_OVERHEAD_BYTES: Final = 24  # added to the size of an entry's data
NO_LIMIT_BYTES: Final = 1 << 62


def entry_bytes(entry: Entry) -> int:
    """Return the size at which an entry counts towards limits."""
    return len(entry.data) + ENTRY_OVERHEAD_BYTES


class Log:
    """Entries from `base_index` + 1 on. Indices start at 1; the base is initially 0."""

    def __init__(
        self, base_index: int = 0, base_term: int = 0, entries: Sequence[Entry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.size_bytes = sum(map(entry_bytes, self.entries))

    @property
    def last_index(self) -> int:
        """The index of the last entry, or the base index if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or the base term if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it was compacted or does not exist yet."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def slice(self, first: int, last: int, max_bytes: int = NO_LIMIT_BYTES) -> list[Entry]:
        """Return entries from `first` to `last` (inclusive), at least one, limited by size."""
        selected: list[Entry] = []
        for entry in self.entries[first - self.base_index - 1 : last - self.base_index]:
            max_bytes -= entry_bytes(entry)
            if selected and max_bytes < 0:
                break
            selected.append(entry)
        return selected

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; existing entries from the first new index on are dropped."""
        retained = entries[0].index - self.base_index - 1
        assert 0 <= retained <= len(self.entries), "entries do not continue the log"
        for dropped in self.entries[retained:]:
            self.size_bytes -= entry_bytes(dropped)
        del self.entries[retained:]
        self.entries.extend(entries)
        self.size_bytes += sum(map(entry_bytes, entries))

    def count_matching(self, entries: Sequence[Entry]) -> int:
        """Return the length of the prefix of `entries` that this log holds with the same terms."""
        for count, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                return count
        return len(entries)

    def last_possible_match(self, index: int, term: int) -> tuple[int, int]:
        """Return index and term of the last entry that may match another log.

        This is the last entry up to `index` whose term is at most `term`. If there is none, the
        result is the base.
        """
        index = min(index, self.last_index)
        while index > self.base_index:
            entry_term = self.entries[index - self.base_index - 1].term
            if entry_term <= term:
                return index, entry_term
            index -= 1
        return self.base_index, self.base_term

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log with this last entry is as up to date as this log (paper, 5.4.1)."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def compact(self, index: int) -> None:
        """Drop entries up to an index; the durable state contains them."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None, "compaction index is after the end of the log"
        dropped = self.entries[: index - self.base_index]
        self.size_bytes -= sum(map(entry_bytes, dropped))
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and restart from a snapshot's index and term."""
        self.base_index = index
        self.base_term = term
        self.entries.clear()
        self.size_bytes = 0

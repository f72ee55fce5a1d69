"""What a process that acts on the words of an owner remembers: nothing older is heeded any more."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Word:
    """An owner's word, in the order that the log gives: by token, then by the owner's own count."""

    token: int = 0
    number: int = 0

    def before(self, other: Word) -> bool:
        return (self.token, self.number) < (other.token, other.number)


@dataclass(slots=True)
class Receiver:
    """`heed` tells whether a word may be acted on. After a restart nothing is, until `learn` was
    told what a majority holds, or what this process kept on disk: a node that lags, or a copy, may
    say what was long taken back.
    """

    highest: Word
    learnt: bool = False
    ignored: int = 0  # older words that came

    def learn(self, word: Word) -> None:
        if self.highest.before(word):
            self.highest = word
        self.learnt = True

    def heed(self, word: Word) -> bool:
        """The same word again is heeded: it changes nothing."""
        if not self.learnt or word.before(self.highest):
            self.ignored += 1
            return False
        self.highest = word
        return True

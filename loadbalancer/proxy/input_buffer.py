"""Received bytes of a client's connection that are not parsed yet."""

from __future__ import annotations

from typing import Final

PARSE_BYTES: Final = 16 * 1024  # of a body that are parsed at a time
# The same of heads: a usual head at once, and pipelined requests in small parts, as parsed ones
# take many times the memory of their bytes.
PARSE_HEAD_BYTES: Final = 2 * 1024
PARSE_PIPELINED_BYTES: Final = 512
SMALL_INPUT_BYTES: Final = 2 * 1024  # a usual request, which is read however scarce memory is


class InputBuffer(bytearray):
    """Input in order of arrival; pipelined input stays here while a request is open."""

    __slots__ = ()

    @property
    def is_small(self) -> bool:
        """Whether it holds less than a usual request may take."""
        return len(self) < SMALL_INPUT_BYTES

    @property
    def exceeds_a_part(self) -> bool:
        """Whether it holds more than is parsed at a time."""
        return len(self) > PARSE_BYTES

    def take_part(self, is_in_body: bool) -> bytes:
        """Remove and return what is parsed next.

        Args:
            is_in_body: Whether the next bytes belong to a body.
        """
        size = PARSE_BYTES
        if not is_in_body:
            is_pipelined = len(self) > PARSE_HEAD_BYTES
            size = PARSE_PIPELINED_BYTES if is_pipelined else PARSE_HEAD_BYTES
        part = bytes(self[:size])
        del self[:size]
        return part

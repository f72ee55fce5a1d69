"""What passes a relay, read in the program's own frames: so that a fault can be set at a message.
Nothing is checked here: whoever the frames are for does that.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from loadbalancer.store import commands
from loadbalancer.store.commands import (
    Claim,
    CloseSession,
    ExpireClaim,
    FencedWrite,
    OpenSession,
    Release,
    Upgrade,
    Write,
)
from loadbalancer.store.raft.messages import (
    AnyMessage,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    NodeRemoved,
    ReadIndexRequest,
    ReadIndexResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
    unpack_message,
)
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import FRAME_HEADER
from loadbalancer.store.wire.protocol import Propose

MOST = 16 << 20
HTTP = re.compile(rb"(?:GET|POST|HEAD|PUT) ([^ ]+) HTTP/1\.1\r\n")
WORDS = {
    Write: "write",
    FencedWrite: "write",
    OpenSession: "session",
    CloseSession: "session",
    Claim: "claim",
    Release: "release",
    ExpireClaim: "lapse",
    Upgrade: "upgrade",
}
# The names that scenarios select messages by.
RAFT_MESSAGE_KINDS: dict[type[AnyMessage], str] = {
    RequestVote: "voteask",
    RequestVoteResponse: "vote",
    AppendEntries: "append",
    AppendEntriesResponse: "appended",
    InstallSnapshotChunk: "piece",
    InstallSnapshotChunkResponse: "piecetaken",
    TimeoutNow: "takeover",
    ReadIndexRequest: "readask",
    ReadIndexResponse: "readfrom",
    NodeRemoved: "gone",
}


class Tap:
    """One direction of one connection. `heard` gives the kinds of the messages that are complete
    now.
    """

    def heard(self, data: bytes) -> Iterator[str]:
        yield from ()


class HttpTap(Tap):
    def heard(self, data: bytes) -> Iterator[str]:
        for found in HTTP.finditer(data):
            yield "restart" if found[1] == b"/restart" else "request"


class StoreTap(Tap):
    """`member`: of nodes among each other; else of a client and a node."""

    def __init__(self, asks: bool) -> None:
        self.asks = asks
        self.buffer = bytearray()
        self.first = True
        self.member = False

    def heard(self, data: bytes) -> Iterator[str]:
        self.buffer += data
        while len(self.buffer) >= FRAME_HEADER.size:
            length = FRAME_HEADER.unpack_from(self.buffer)[0]
            if length > MOST:
                self.buffer.clear()  # these are no frames
                return
            if len(self.buffer) < FRAME_HEADER.size + length:
                return
            payload = bytes(self.buffer[FRAME_HEADER.size : FRAME_HEADER.size + length])
            del self.buffer[: FRAME_HEADER.size + length]
            yield self._kind(payload)

    def _kind(self, payload: bytes) -> str:
        try:
            if self.first:
                self.first = False
                hello = protocol.unpack_greeting(payload)
                self.member = isinstance(hello, protocol.Hello) and bool(hello.node)
                return type(hello).__name__.lower()
            if not self.asks:
                return type(protocol.unpack_reply(payload)).__name__.lower()
            if self.member:
                return RAFT_MESSAGE_KINDS[type(unpack_message(payload))]
            request = protocol.unpack_request(payload)
            if isinstance(request, Propose):
                return WORDS[type(commands.unpack_command(request.command))]
            return type(request).__name__.lower()
        except ValueError:
            return "?"

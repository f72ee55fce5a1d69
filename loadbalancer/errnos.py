"""Classification of system call errors by cause, which determines how they are handled.

One table covers all calls. Source: the Linux manual pages accept(2), socket(2), connect(2),
recv(2), send(2), epoll_wait(2) and fsync(2). `DEFAULT_CAUSES` applies to errors that are not in the
row of a call.
"""

from __future__ import annotations

import errno
from collections.abc import Mapping
from enum import Enum


class Operation(Enum):
    """A system call, or a group of calls with the same errors."""

    ACCEPT = "accept"
    CONNECT = "socket, bind and connect"
    TRANSFER = "read and write on a connection"
    WAIT = "epoll_wait"
    SYNC = "write and fsync on a file"


class Cause(Enum):
    """The cause of an error."""

    PEER = "the other side's, or the way's to it: it counts against that"
    LOCAL = "this machine's: it counts against nobody, and is tried again after a pause"
    TRANSIENT = "nobody's: it is tried again at once"


_EXHAUSTED = dict.fromkeys((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), Cause.LOCAL)
TABLE: Mapping[Operation, Mapping[int, Cause]] = {
    # Linux returns pending network errors of the new connection from accept: its client is gone.
    Operation.ACCEPT: _EXHAUSTED
    | dict.fromkeys(
        (
            errno.EINTR,
            errno.EAGAIN,
            errno.ECONNABORTED,
            errno.EPROTO,
            errno.ENETDOWN,
            errno.ENOPROTOOPT,
            errno.EHOSTDOWN,
            errno.ENONET,
            errno.EHOSTUNREACH,
            errno.EOPNOTSUPP,
            errno.ENETUNREACH,
            errno.ECONNRESET,
            errno.ETIMEDOUT,
        ),
        Cause.TRANSIENT,
    ),
    # Local causes: no free port (EADDRNOTAVAIL, EADDRINUSE, EAGAIN), no route (ENETUNREACH,
    # ENETDOWN), or denied by a local packet filter (EACCES, EPERM).
    Operation.CONNECT: _EXHAUSTED
    | dict.fromkeys(
        (
            errno.EADDRNOTAVAIL,
            errno.EADDRINUSE,
            errno.EAGAIN,
            errno.ENETUNREACH,
            errno.ENETDOWN,
            errno.EACCES,
            errno.EPERM,
        ),
        Cause.LOCAL,
    )
    | {errno.EINTR: Cause.TRANSIENT},
    Operation.TRANSFER: _EXHAUSTED | {errno.EINTR: Cause.TRANSIENT, errno.EAGAIN: Cause.TRANSIENT},
    Operation.WAIT: {errno.EINTR: Cause.TRANSIENT},
    Operation.SYNC: {errno.EINTR: Cause.TRANSIENT},
}
DEFAULT_CAUSES = {
    Operation.ACCEPT: Cause.LOCAL,
    Operation.CONNECT: Cause.PEER,
    Operation.TRANSFER: Cause.PEER,
    Operation.WAIT: Cause.LOCAL,
    Operation.SYNC: Cause.LOCAL,
}


def cause(operation: Operation, error: BaseException) -> Cause:
    """Return the cause of a failed call; a timeout is attributed to the peer."""
    if not isinstance(error, OSError) or error.errno is None:
        return Cause.PEER
    return TABLE[operation].get(error.errno, DEFAULT_CAUSES[operation])

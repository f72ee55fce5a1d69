"""What a failed system call means: whose fault it is, and so what follows.

One table for all calls. Source: the manual pages accept(2), socket(2), connect(2), recv(2),
send(2), epoll_wait(2) and fsync(2) of Linux. `DEFAULT_CAUSES` holds for what is not in a call's
row.
"""

from __future__ import annotations

import errno
from collections.abc import Mapping
from enum import Enum


class Operation(Enum):
    """A system call, or a group that fails alike."""

    ACCEPT = "accept"
    CONNECT = "socket, bind and connect"
    TRANSFER = "read and write on a connection"
    WAIT = "epoll_wait"
    SYNC = "write and fsync on a file"


class Cause(Enum):
    """Whose fault it is."""

    PEER = "the other side's, or the way's to it: it counts against that"
    LOCAL = "this machine's: it counts against nobody, and is tried again after a pause"
    TRANSIENT = "nobody's: it is tried again at once"


_EXHAUSTED = dict.fromkeys((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), Cause.LOCAL)
TABLE: Mapping[Operation, Mapping[int, Cause]] = {
    # Linux passes errors of the new connection on as errors of accept: its client has gone.
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
    # No port is free here (EADDRNOTAVAIL, EADDRINUSE, EAGAIN), there is no route (ENETUNREACH,
    # ENETDOWN), or a filter of this machine denies it (EACCES, EPERM).
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
    """Return whose fault made this call fail; a timeout is the peer's."""
    if not isinstance(error, OSError) or error.errno is None:
        return Cause.PEER
    return TABLE[operation].get(error.errno, DEFAULT_CAUSES[operation])

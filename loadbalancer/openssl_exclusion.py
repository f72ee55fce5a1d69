"""Keeps OpenSSL out of a process that speaks no TLS: it takes about 5 MB of resident memory.

asyncio works without the module `ssl`. uvloop imports it and looks up some of its names when it is
imported itself; a module that has only these names takes its place. `hashlib` has its algorithms
without OpenSSL too.
"""

from __future__ import annotations

import sys
from types import ModuleType
from typing import Final

EXCEPTION_NAMES: Final = (
    "CertificateError",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLZeroReturnError",
)
CLASS_NAMES: Final = ("MemoryBIO", "SSLContext")
# By the numbers of OpenSSL.
ERROR_NUMBERS: Final = {
    "SSL_ERROR_WANT_READ": 2,
    "SSL_ERROR_WANT_WRITE": 3,
    "SSL_ERROR_SYSCALL": 5,
}


class TlsUnavailableError(RuntimeError):
    """TLS was asked for in a process without OpenSSL."""


def exclude_openssl() -> None:
    """Keep OpenSSL from being imported from now on; without effect if it was imported before."""
    if "ssl" not in sys.modules:
        sys.modules["ssl"] = _module_without_tls()
    if "_hashlib" not in sys.modules:
        # The import system raises ImportError for a name with this entry.
        sys.modules["_hashlib"] = None  # type: ignore[assignment]


def _module_without_tls() -> ModuleType:
    module = ModuleType("ssl", "Names of the module `ssl`, without TLS.")
    for name in EXCEPTION_NAMES:
        setattr(module, name, type(name, (OSError,), {}))
    for name in CLASS_NAMES:
        setattr(module, name, type(name, (), {"__init__": _no_tls}))
    for name, number in ERROR_NUMBERS.items():
        setattr(module, name, number)
    module.create_default_context = _no_tls  # type: ignore[attr-defined]
    return module


def _no_tls(*_arguments: object, **_options: object) -> None:
    raise TlsUnavailableError("this process is built without TLS")

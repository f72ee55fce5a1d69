"""Who is at the other end: TLS on both sides, and the role that a certificate gives.

A certificate names its role in a URI of its subject's alternative names (RFC 5280, 4.2.1.6):
`lanelift://CLUSTER/ROLE`, where ROLE is `node`, `admin`, `write` or `read`, and CLUSTER the
cluster's name or `*`.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loadbalancer.settings import Malformed

SCHEME = "lanelift://"
ROLES = (
    "read",
    "write",
    "admin",
    "node",
)  # each may what those before it may, but `node` only be a node


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files, PEM."""

    certificate: Path
    key: Path
    authority: Path

    def stamp(self) -> tuple[tuple[int, int], ...]:
        """Changes when a file is replaced."""
        found = []
        for path in (self.certificate, self.key, self.authority):
            try:
                stat = path.stat()
                found.append((stat.st_mtime_ns, stat.st_ino))
            except OSError:
                found.append((0, 0))
        return tuple(found)

    def context(self, server: bool) -> ssl.SSLContext:
        """For one side; the other's certificate is always asked for. Raises Malformed."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Members are known by their authority and role; addresses change and are no names.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self.certificate, self.key)
            context.load_verify_locations(self.authority)
        except (OSError, ssl.SSLError) as error:
            raise Malformed(
                f"tls: {self.certificate}, {self.key} or {self.authority}: "
                f"{getattr(error, 'strerror', None) or error}"
            ) from None
        return context


def role_of(certificate: dict[str, Any] | None, cluster: str) -> str:
    """The role that a peer's certificate, as `SSLSocket.getpeercert` gives it, has in this cluster;
    "": none.
    """
    best = -1
    for kind, value in (certificate or {}).get("subjectAltName", ()):
        if kind != "URI" or not value.startswith(SCHEME):
            continue
        where, _, role = value[len(SCHEME) :].partition("/")
        if where in ("*", cluster) and role in ROLES:
            best = max(best, ROLES.index(role))
    return ROLES[best] if best >= 0 else ""


def is_permitted(role: str, needed: str) -> bool:
    """May a client of this role do what needs that one?"""
    return role in ROLES[:3] and ROLES.index(role) >= ROLES.index(needed)

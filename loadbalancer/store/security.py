"""Mutual TLS, and the role that a certificate gives its holder.

A certificate names its role in a URI of its subject alternative names (RFC 5280, 4.2.1.6):
`lanelift://CLUSTER/ROLE`, where ROLE is `node`, `admin`, `write` or `read`, and CLUSTER the
cluster's name or `*`.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, Final

from loadbalancer.settings import MalformedError

URI_SCHEME: Final = "lanelift://"
ANY_CLUSTER: Final = "*"


class CertificateRole(StrEnum):
    """Roles, each permitted what those before it are; but a node can only be a node."""

    READ = "read"
    WRITE = "write"
    ADMIN = "admin"
    NODE = "node"


ROLES: Final = tuple(CertificateRole)
CLIENT_ROLES: Final = (CertificateRole.READ, CertificateRole.WRITE, CertificateRole.ADMIN)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of one process."""

    certificate: Path
    key: Path
    authority: Path

    def stamp(self) -> tuple[tuple[int, int], ...]:
        """Returns modification times and inodes, which change when a file is replaced."""
        stamps = []
        for path in (self.certificate, self.key, self.authority):
            try:
                stat = path.stat()
                stamps.append((stat.st_mtime_ns, stat.st_ino))
            except OSError:
                stamps.append((0, 0))
        return tuple(stamps)

    def context(self, is_server: bool) -> ssl.SSLContext:
        """Returns the context of one side, which always verifies the other's certificate.

        Raises:
            MalformedError: A file can't be used.
        """
        protocol = ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Members are identified by authority and role; their addresses change.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        try:
            context.load_cert_chain(self.certificate, self.key)
            context.load_verify_locations(self.authority)
        except (OSError, ssl.SSLError) as error:
            raise MalformedError(
                f"tls: {self.certificate}, {self.key} or {self.authority}: "
                f"{getattr(error, 'strerror', None) or error}"
            ) from None
        return context


def role_of(certificate: dict[str, Any] | None, cluster: str) -> CertificateRole | None:
    """Returns the highest role that a certificate has in a cluster; None if it has none.

    Args:
        certificate: As `SSLSocket.getpeercert` returns it.
        cluster: The cluster's name.
    """
    found: list[CertificateRole] = []
    for kind, value in (certificate or {}).get("subjectAltName", ()):
        if kind != "URI" or not value.startswith(URI_SCHEME):
            continue
        named_cluster, _, role = value[len(URI_SCHEME) :].partition("/")
        if named_cluster in (ANY_CLUSTER, cluster) and role in ROLES:
            found.append(CertificateRole(role))
    return max(found, key=ROLES.index, default=None)


def is_permitted(role: CertificateRole, required: CertificateRole) -> bool:
    """Returns whether a client with a role may do what requires another."""
    return role in CLIENT_ROLES and ROLES.index(role) >= ROLES.index(required)

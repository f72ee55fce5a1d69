"""Mutual TLS, and the role that a peer's certificate grants.

A certificate names its role in a URI of its subject alternative names (RFC 5280, 4.2.1.6):
`lanelift://CLUSTER/ROLE`, where ROLE is `node`, `admin`, `write` or `read`, and CLUSTER is the
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
    """Roles of peers.

    Each client role includes the permissions of the roles before it. A node certificate can't be
    used as a client.
    """

    READ = "read"
    WRITE = "write"
    ADMIN = "admin"
    NODE = "node"


ROLES: Final = tuple(CertificateRole)
CLIENT_ROLES: Final = (CertificateRole.READ, CertificateRole.WRITE, CertificateRole.ADMIN)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """The PEM files of one process: certificate, private key and certificate authority."""

    certificate: Path
    key: Path
    authority: Path

    def stamp(self) -> tuple[tuple[int, int], ...]:
        """Return the modification times and inodes, to detect replaced files."""
        stamps = []
        for path in (self.certificate, self.key, self.authority):
            try:
                stat = path.stat()
                stamps.append((stat.st_mtime_ns, stat.st_ino))
            except OSError:
                stamps.append((0, 0))
        return tuple(stamps)

    def context(self, is_server: bool) -> ssl.SSLContext:
        """Return the TLS context of a server or client, which always verifies the peer.

        Raises:
            MalformedError: A file can't be used.
        """
        protocol = ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are identified by certificate authority and role, because their addresses change.
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
    """Return the highest role that a certificate grants in a cluster; None if it grants none.

    Args:
        certificate: As `SSLSocket.getpeercert` returns it.
        cluster: The cluster's name.
    """
    granted_roles: list[CertificateRole] = []
    for kind, value in (certificate or {}).get("subjectAltName", ()):
        if kind != "URI" or not value.startswith(URI_SCHEME):
            continue
        named_cluster, _, role = value[len(URI_SCHEME) :].partition("/")
        if named_cluster in (ANY_CLUSTER, cluster) and role in ROLES:
            granted_roles.append(CertificateRole(role))
    return max(granted_roles, key=ROLES.index, default=None)


def is_permitted(role: CertificateRole, required: CertificateRole) -> bool:
    """Return whether a client's role includes the required role."""
    return role in CLIENT_ROLES and ROLES.index(role) >= ROLES.index(required)

"""A test certificate authority that issues certificates with a role in the URI SAN."""

from __future__ import annotations

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from loadbalancer.store.security import TlsFiles

DAY = datetime.timedelta(days=1)


class Authority:
    """A self-signed certificate authority whose files are in `folder`."""

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.path = folder / f"{name}.pem"
        certificate = (
            self._builder(self.name, self.key.public_key())
            .add_extension(x509.BasicConstraints(True, None), True)
            .sign(self.key, hashes.SHA256())
        )
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return x509.CertificateBuilder(
            self.name, subject, key, x509.random_serial_number(), now - DAY, now + DAY
        )

    def issue(self, role: str, cluster: str = "*", name: str = "") -> TlsFiles:
        """Issue a certificate for this role and return its files; existing files are replaced."""
        stem = name or role
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, stem)])
        certificate = (
            self._builder(subject, key.public_key())
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.UniformResourceIdentifier(f"lanelift://{cluster}/{role}")]
                ),
                False,
            )
            .sign(self.key, hashes.SHA256())
        )
        tls = TlsFiles(self.folder / f"{stem}.pem", self.folder / f"{stem}.key", self.path)
        tls.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        tls.key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return tls

"""Create keys and certificates for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
DAYS = datetime.timedelta(days=36_500)
ADDRESS = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))


def distinguished_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def make_certificate(name, authority=None):
    """Return a key and a certificate, self-signed or signed by a CA."""
    key = ec.generate_private_key(ec.SECP256R1())
    issuer_key, issuer = authority or (key, None)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(distinguished_name(name))
        .issuer_name(issuer.subject if issuer else distinguished_name(name))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(START)
        .not_valid_after(START + DAYS)
        .add_extension(x509.BasicConstraints(authority is None, None), critical=True)
        .add_extension(x509.SubjectAlternativeName([ADDRESS]), critical=False)
        .sign(issuer_key, hashes.SHA256())
    )
    return key, certificate


def write_pem_files(folder, pair, stem="node"):
    """Write a pair to two PEM files and return their paths."""
    key, certificate = pair
    certificate_file, key_file = folder / f"{stem}.pem", folder / f"{stem}.key"
    certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_file, key_file

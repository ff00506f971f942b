import asyncio
import ssl

import pytest
from cryptography import x509
from cryptography.x509.oid import NameOID

from crocusspindle.errors import SettingsError
from crocusspindle.settings_schema import PeerTlsSettings, TlsSettings
from crocusspindle.tls import CertificateReloader, peer_client_context, server_context
from tests.product.certificates import make_certificate, write_pem_files


@pytest.fixture
def authority(tmp_path):
    pair = make_certificate("authority")
    write_pem_files(tmp_path, pair, "ca")
    return pair


async def handshake_name(port, context):
    """Return the common name that a server presents in a new handshake."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    der = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    assert await reader.read(2) == b"ok"
    writer.close()
    subject = x509.load_der_x509_certificate(der).subject
    return subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value


async def serve(context):
    async def respond(reader, writer):
        writer.write(b"ok")
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0, ssl=context)
    return server, server.sockets[0].getsockname()[1]


async def test_new_certificate_is_used_without_restart(tmp_path):
    """An operator replaces a certificate and then its key.

    In between, the two do not match. Handshakes must use the old certificate until
    both files are replaced, then the new one, and none may fail.
    """
    files = write_pem_files(tmp_path, make_certificate("old"))
    watched = server_context(TlsSettings(certificate_file=files[0], key_file=files[1]))
    reloader = CertificateReloader([watched])
    unverified = ssl.create_default_context()
    unverified.check_hostname, unverified.verify_mode = False, ssl.CERT_NONE
    server, port = await serve(watched.context)
    assert await handshake_name(port, unverified) == "old"

    (tmp_path / "later").mkdir()
    new_files = write_pem_files(tmp_path / "later", make_certificate("new"))
    new_files[0].rename(files[0])
    reloader.reload_changed()
    assert await handshake_name(port, unverified) == "old"

    new_files[1].rename(files[1])
    reloader.reload_changed()
    assert await handshake_name(port, unverified) == "new"
    assert not watched.changed()
    server.close()


async def test_peer_port_rejects_certificates_of_other_cas(tmp_path, authority):
    """A client that is not a node connects to the peer port with its own certificate.

    If served, it could submit requests that bypass all keys and rates.
    """

    def settings(stem, pair):
        certificate_file, key_file = write_pem_files(tmp_path, pair, stem)
        return PeerTlsSettings(
            certificate_file=certificate_file,
            key_file=key_file,
            ca_file=tmp_path / "ca.pem",
        )

    node = settings("a1", make_certificate("a1", authority))
    server, port = await serve(server_context(node).context)
    peer = settings("a2", make_certificate("a2", authority))
    assert await handshake_name(port, peer_client_context(peer).context) == "a1"
    outsider = settings("b1", make_certificate("b1"))
    with pytest.raises((ssl.SSLError, ConnectionError, AssertionError)):
        await handshake_name(port, peer_client_context(outsider).context)
    server.close()


def test_mismatched_certificate_and_key_are_a_finding(tmp_path):
    certificate_file, _ = write_pem_files(tmp_path, make_certificate("a"))
    _, key_file = write_pem_files(tmp_path, make_certificate("b"), "other")
    with pytest.raises(SettingsError, match="tls"):
        server_context(
            TlsSettings(certificate_file=certificate_file, key_file=key_file)
        )

"""Tests of mutual TLS on the link: untrusted peers, and files that change."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from os import utime
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic, sleep
from unittest import TestCase

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from sequoiapulley.link.tls_files import TlsFiles, TlsSource
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.messages import CancelSearch
from tests.test_peer_link import TIMEOUT_S, LinkEndpoint

PEM = serialization.Encoding.PEM


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())


class Authority:
    """A certificate authority for one test."""

    def __init__(self, name: str) -> None:
        """Makes a self-signed certificate."""
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        self.certificate = self._make_certificate(self.name, self.key, is_authority=True)

    def write_node_files(self, folder: str, trusted: tuple[Authority, ...]) -> TlsFiles:
        """Writes the certificate and key of a node, and the authorities that it trusts."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._make_certificate(_name("node"), key, is_authority=False)
        files = TlsFiles(f"{folder}/ca.pem", f"{folder}/node.pem", f"{folder}/node.key")
        pems = [authority.certificate.public_bytes(PEM) for authority in trusted]
        Path(files.authority).write_bytes(b"".join(pems))
        Path(files.certificate).write_bytes(certificate.public_bytes(PEM))
        Path(files.key).write_bytes(_key_bytes(key))
        return files

    def _make_certificate(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.now(UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(hours=1))
            .not_valid_after(now + timedelta(hours=1))
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName([x509.DNSName("sequoiapulley")]), critical=False
            )
        )
        return builder.sign(self.key, hashes.SHA256())


class LinkTlsTest(TestCase):
    """Link endpoints with certificates of trusted and untrusted authorities."""

    def setUp(self) -> None:
        self.good = Authority("good")
        self.bad = Authority("bad")

    def folder(self) -> str:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def start(self, number: int, tls: TlsFiles | None) -> LinkEndpoint:
        end = LinkEndpoint(number, tls=tls)
        self.addCleanup(end.link.stop, 0.2)
        return end

    def message_arrives(self, one: LinkEndpoint, two: LinkEndpoint) -> bool:
        """Returns whether a message arrives before the peer is reported as lost."""
        one.set_peers(two)
        one.link.send(two.node, CancelSearch(1))
        deadline = monotonic() + TIMEOUT_S
        while one.lost.empty() and two.messages.empty() and monotonic() < deadline:
            sleep(0.01)
        return not two.messages.empty()

    def test_only_peers_of_a_trusted_authority_are_served(self) -> None:
        two = self.start(2, self.good.write_node_files(self.folder(), (self.good,)))
        trusted_files = self.good.write_node_files(self.folder(), (self.good,))
        untrusted_files = self.bad.write_node_files(self.folder(), (self.good, self.bad))
        self.assertFalse(self.message_arrives(self.start(3, untrusted_files), two))
        self.assertFalse(self.message_arrives(self.start(4, None), two))
        self.assertTrue(self.message_arrives(self.start(1, trusted_files), two))

    def test_replaced_files_are_used_without_a_restart(self) -> None:
        served = self.folder()
        two = self.start(2, self.good.write_node_files(served, (self.good,)))
        one = self.start(1, self.bad.write_node_files(self.folder(), (self.bad,)))
        self.assertFalse(self.message_arrives(one, two))
        self.bad.write_node_files(served, (self.bad,))
        for path in Path(served).iterdir():
            utime(path, (1, 1))
        three = self.start(3, self.bad.write_node_files(self.folder(), (self.bad,)))
        self.assertTrue(self.message_arrives(three, two))

    def test_mismatched_key_and_certificate_are_not_used(self) -> None:
        served, fresh = self.folder(), self.folder()
        two = self.start(2, self.good.write_node_files(served, (self.good,)))
        self.good.write_node_files(fresh, (self.good,))
        # After the first replacement, key and certificate do not match; after the second, they do.
        for number, name in ((1, "node.key"), (3, "node.pem")):
            Path(served, name).write_bytes(Path(fresh, name).read_bytes())
            utime(Path(served, name), (1, 1))
            one = self.start(number, self.good.write_node_files(self.folder(), (self.good,)))
            self.assertTrue(self.message_arrives(one, two), name)

    def test_unreadable_files_keep_the_last_valid_contents_in_use(self) -> None:
        folder = self.folder()
        log = MemoryLog()
        source = TlsSource(self.good.write_node_files(folder, (self.good,)), log)
        before = source.material()
        Path(folder, "node.key").unlink()
        self.assertEqual(source.material(), before)
        self.assertEqual([event.number for event, _ in log.entries], [6008])

"""TLS files of the link, reloaded whenever they change."""

from __future__ import annotations

from pathlib import Path
from threading import Lock
from typing import Any, Final

import grpc
from msgspec import Struct

from sequoiapulley.link.log_events import LINK_TLS_CHANGED, LINK_TLS_UNREADABLE
from sequoiapulley.observe.log_event import LogSink

DEFAULT_SERVER_NAME: Final = "sequoiapulley"


class TlsFiles(Struct, frozen=True):
    """Paths of the PEM files for mutual TLS between the nodes of one workspace."""

    authority: str
    """Certificates of the authorities that may sign the certificates of peers."""
    certificate: str
    key: str
    server_name: str = DEFAULT_SERVER_NAME
    """Name in the certificate of every node, as nodes are addressed by IP address."""


class TlsMaterial(Struct, frozen=True):
    """Contents of the TLS files."""

    authority: bytes
    certificate: bytes
    key: bytes


class TlsSource:
    """Provides the current contents of the TLS files; keeps the previous ones if a read fails."""

    def __init__(self, files: TlsFiles, log: LogSink) -> None:
        """Reads the files.

        Args:
            files: Paths of the files.
            log: Receives the log events.

        Raises:
            OSError: If a file cannot be read.
        """
        self.files = files
        self._log = log
        self._lock = Lock()
        self._file_stats = self._read_file_stats()
        self._material = self._read()

    def material(self) -> TlsMaterial:
        """Returns the contents, reloaded if a file changed; thread-safe."""
        with self._lock:
            try:
                file_stats = self._read_file_stats()
                if file_stats != self._file_stats:
                    self._material = self._read()
                    self._file_stats = file_stats
                    self._log.log(LINK_TLS_CHANGED, certificate=self.files.certificate)
            except OSError as exc:
                self._log.log(LINK_TLS_UNREADABLE, error=str(exc))
            return self._material

    def channel_credentials(self) -> Any:
        """Returns the credentials of a new outgoing connection."""
        material = self.material()
        return grpc.ssl_channel_credentials(material.authority, material.key, material.certificate)

    def server_credentials(self) -> Any:
        """Returns credentials that gRPC updates from the files for each incoming connection."""
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            self._server_configuration,
            require_client_authentication=True,
        )

    def _server_configuration(self) -> Any:
        material = self.material()
        return grpc.ssl_server_certificate_configuration(
            [(material.key, material.certificate)], material.authority
        )

    def _read_file_stats(self) -> tuple[tuple[int, int], ...]:
        paths = (self.files.authority, self.files.certificate, self.files.key)
        stats = [Path(path).stat() for path in paths]
        return tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)

    def _read(self) -> TlsMaterial:
        return TlsMaterial(
            authority=Path(self.files.authority).read_bytes(),
            certificate=Path(self.files.certificate).read_bytes(),
            key=Path(self.files.key).read_bytes(),
        )

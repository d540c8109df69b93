"""Shared keys for the authentication of membership datagrams."""

from __future__ import annotations

from hashlib import sha256
from hmac import compare_digest
from hmac import digest as hmac_digest
from pathlib import Path
from typing import Final

from sequoiapulley.fleet.log_events import KEY_FILE_CHANGED, KEY_FILE_UNREADABLE
from sequoiapulley.observe.log_event import LogSink

TAG_BYTES: Final = 16
MIN_KEY_CHARS: Final = 16
CHECK_PERIOD_S: Final = 5.0
"""Interval at which the key file is checked for changes."""


class BadKeyFileError(Exception):
    """Raised when the key file cannot be read or contains no usable key."""


class DatagramKeys:
    """Signs and verifies datagrams with the keys of a file, which has one key per line.

    The first key signs, and all keys verify. The file is read again when it changes, so that keys
    can be rotated without a restart.
    """

    def __init__(self, path: str | None, log: LogSink) -> None:
        """Read the key file.

        Args:
            path: Path of the key file, or None for unsigned datagrams.
            log: Receives log events.

        Raises:
            BadKeyFileError: If the file cannot be read or contains no usable key.
        """
        self._path = Path(path) if path is not None else None
        self._log = log
        self._stamp: tuple[int, int] | None = None
        self._checked_at = float("-inf")
        self._keys: tuple[bytes, ...] = ()
        if self._path is None:
            return
        try:
            self._stamp = _stamp(self._path)
            self._keys = _read_keys(self._path)
        except OSError as exc:
            raise BadKeyFileError(f"cannot read key file {str(self._path)!r}: {exc}") from exc

    def sign(self, payload: bytes, now: float) -> bytes:
        """Prepends the authentication tag to a payload."""
        self._refresh(now)
        if not self._keys:
            return payload
        return _tag(self._keys[0], payload) + payload

    def verify(self, signed: bytes, now: float) -> bytes | None:
        """Returns the payload of a signed datagram, or None if no key verifies its tag."""
        self._refresh(now)
        if not self._keys:
            return signed
        tag = signed[:TAG_BYTES]
        payload = signed[TAG_BYTES:]
        for key in self._keys:
            if compare_digest(tag, _tag(key, payload)):
                return payload
        return None

    def _refresh(self, now: float) -> None:
        if self._path is None or now - self._checked_at < CHECK_PERIOD_S:
            return
        self._checked_at = now
        try:
            stamp = _stamp(self._path)
            if stamp == self._stamp:
                return
            self._keys = _read_keys(self._path)
        except (OSError, BadKeyFileError) as exc:
            self._log.log(KEY_FILE_UNREADABLE, error=str(exc))
            return
        self._stamp = stamp
        self._log.log(KEY_FILE_CHANGED, keys=len(self._keys))


def _tag(key: bytes, payload: bytes) -> bytes:
    return hmac_digest(key, payload, sha256)[:TAG_BYTES]


def _stamp(path: Path) -> tuple[int, int]:
    stat = path.stat()
    return stat.st_mtime_ns, stat.st_size


def _read_keys(path: Path) -> tuple[bytes, ...]:
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    keys = [line.encode() for line in lines if line and not line.startswith("#")]
    if not keys:
        raise BadKeyFileError(f"key file {str(path)!r} contains no key")
    if any(len(key) < MIN_KEY_CHARS for key in keys):
        raise BadKeyFileError(
            f"key file {str(path)!r} contains a key under {MIN_KEY_CHARS} characters"
        )
    return tuple(keys)

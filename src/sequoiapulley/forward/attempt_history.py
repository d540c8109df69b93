"""What one connection to an upstream has carried, as late second copies of it may still arrive."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import RequestId

REMEMBERED_ATTEMPTS: Final = 32
"""Number of attempts per connection. A late copy arrives where the next reply is expected, and its
connection is then closed; more than one attempt is a margin."""


class AttemptHistory:
    """The last attempts on one connection, with the seals of their replies."""

    __slots__ = ("_seals", "states_ids")

    def __init__(self) -> None:
        """Initialise without attempts."""
        self._seals: dict[int, int | None] = {}
        """Hash of the seal by that of the attempt's id. Both texts may be as large as a head, and
        many connections remember many of them."""
        self.states_ids = False
        """Whether a reply has stated its attempt's id, so that all further ones should."""

    def has_carried(self, attempt: RequestId) -> bool:
        """Returns whether an attempt was sent on the connection."""
        return hash(attempt) in self._seals

    def has_seal(self, seal: bytes | None) -> bool:
        """Returns whether an earlier reply had this seal."""
        return seal is not None and hash(seal) in self._seals.values()

    def record_send(self, attempt: RequestId) -> None:
        """Adds an attempt and forgets the oldest one beyond `REMEMBERED_ATTEMPTS`."""
        self._seals[hash(attempt)] = None
        if len(self._seals) > REMEMBERED_ATTEMPTS:
            del self._seals[next(iter(self._seals))]

    def record_reply(self, attempt: RequestId, seal: bytes | None) -> None:
        """Stores the seal of the reply to an attempt."""
        self._seals[hash(attempt)] = None if seal is None else hash(seal)

"""Items, leases and history of the stand-in of the platform's metadata store."""

from __future__ import annotations

from asyncio import Event
from base64 import b64encode

from msgspec import Struct, structs

FIRST_REVISION = 1
FIRST_ERA = 1


class Item(Struct):
    """One item; the field names are those of the JSON encoding."""

    key: str
    value: str
    """Value in standard base64."""
    revision: int = 0
    created: int = 0
    """Revision at which the key was created."""
    lease: int = 0
    """Lease whose end deletes the key, or 0."""


class DeleteEvent(Struct):
    """Event for the deletion of a key."""

    key: str
    revision: int
    deleted: bool = True


class _Copy(Struct, frozen=True):
    """Copy of the state at one moment."""

    items: dict[str, Item]
    leases: dict[int, tuple[float, float]]
    revision: int
    history: list[Item | DeleteEvent]
    compacted_revision: int
    compacted_items: dict[str, Item]
    next_lease: int


class KvState:
    """Key-value items with leases, a revision counter and a history of changes."""

    def __init__(self) -> None:
        """Creates an empty state."""
        self.items: dict[str, Item] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        """TTL in seconds and expiry in event-loop time of each lease."""
        self.revision = FIRST_REVISION
        self.history: list[Item | DeleteEvent] = []
        self.compacted_revision = FIRST_REVISION
        """Revision up to which the history has been compacted."""
        self._compacted_items: dict[str, Item] = {}
        """Items as of that revision."""
        self.era = FIRST_ERA
        """Number of restorations, from `FIRST_ERA`."""
        self._next_lease = 1
        self._copy: _Copy | None = None
        self._changed = Event()

    def revision_of(self, key: str) -> int:
        """Returns the revision of a key's last change, or 0 if the key does not exist."""
        item = self.items.get(key)
        return item.revision if item is not None else 0

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key and notifies the watches."""
        self._put(key, b64encode(value).decode(), lease)
        self._notify_watches()

    def apply(self, puts: list[Item], deletes: list[str]) -> int:
        """Applies the writes of a transaction and returns the resulting revision."""
        for item in puts:
            self._put(item.key, item.value, item.lease)
        for key in deletes:
            self.remove(key)
        self._notify_watches()
        return self.revision

    def remove(self, key: str) -> None:
        """Deletes a key and notifies the watches."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(DeleteEvent(key, self.revision))
            self._notify_watches()

    def grant(self, ttl: float, now: float) -> int:
        """Creates a lease with a TTL in seconds and returns its id."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl, now + ttl)
        return self._next_lease

    def renew(self, lease: int, now: float) -> float | None:
        """Renews a lease and returns its TTL in seconds, or None if it has expired or ended."""
        entry = self.leases.get(lease)
        if entry is None:
            return None
        self.leases[lease] = (entry[0], now + entry[0])
        return entry[0]

    def end_lease(self, lease: int) -> None:
        """Revokes a lease and deletes its keys."""
        self.leases.pop(lease, None)
        for key in [item.key for item in self.items.values() if item.lease == lease]:
            self.remove(key)

    def expire(self, now: float) -> None:
        """Revokes the leases that have expired."""
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    def compact_history(self) -> None:
        """Compacts the history up to the current revision."""
        self.history.clear()
        self.compacted_revision = self.revision
        self._compacted_items = dict(self.items)
        self._notify_watches()

    def events(self, prefix: str, after: int) -> list[Item | DeleteEvent]:
        """Returns the events of keys with a prefix after a revision, oldest first."""
        return [
            event
            for event in self.history
            if event.revision > after and event.key.startswith(prefix)
        ]

    def items_at(self, revision: int) -> dict[str, Item]:
        """Returns the items as of a revision, or the current ones if that was compacted."""
        if revision < self.compacted_revision:
            return self.items
        items = dict(self._compacted_items)
        for event in self.history:
            if event.revision > revision:
                break
            if isinstance(event, Item):
                items[event.key] = event
            else:
                items.pop(event.key, None)
        return items

    def save(self) -> None:
        """Makes a copy of the state, from which `restore` starts a new era."""
        self._copy = _Copy(
            {key: structs.replace(item) for key, item in self.items.items()},
            dict(self.leases),
            self.revision,
            list(self.history),
            self.compacted_revision,
            self._compacted_items,
            self._next_lease,
        )

    def restore(self) -> None:
        """Restores the state from the copy: later writes are lost, and revisions go back.

        Raises:
            RuntimeError: If no copy was made.
        """
        copy = self._copy
        if copy is None:
            raise RuntimeError("restore without a copy: call save first")
        self.items = {key: structs.replace(item) for key, item in copy.items.items()}
        self.leases = dict(copy.leases)
        self.revision = copy.revision
        self.history = list(copy.history)
        self.compacted_revision = copy.compacted_revision
        self._compacted_items = copy.compacted_items
        self._next_lease = copy.next_lease
        self.era += 1
        self._notify_watches()

    @property
    def changed(self) -> Event:
        """Event that is set at the next change."""
        return self._changed

    def _put(self, key: str, value: str, lease: int) -> None:
        """Writes a key under the next revision."""
        self.revision += 1
        previous = self.items.get(key)
        created = previous.created if previous is not None else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.history.append(structs.replace(item))

    def _notify_watches(self) -> None:
        """Wakes every pending watch."""
        changed, self._changed = self._changed, Event()
        changed.set()

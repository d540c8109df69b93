"""Log of the most recent changes that a node applied, for peers that read from it."""

from __future__ import annotations

from collections import deque
from typing import Final

from sequoiapulley.forward.state import Change, TableChange
from sequoiapulley.forward.store_position import NO_POSITION, StorePosition
from sequoiapulley.ids import Revision

MAX_CHANGES: Final = 2_000
"""Maximum number of changes in the log; a peer that misses more receives the full state. A
repartition of the largest deployment makes several hundred."""


class ChangeLog:
    """Ordered changes since a full state, each with the revision up to which this node had read."""

    def __init__(self) -> None:
        """Initialise an empty log."""
        self._changes: deque[tuple[Revision, Change]] = deque()
        self._complete_after = NO_POSITION.revision
        self.position = NO_POSITION
        """Position up to which this node has read everything; `NO_POSITION` before the first
        read."""

    def restart(self, position: StorePosition) -> None:
        """Discards the changes before a full state.

        A full state does not tell which entries were removed and written again before it, and it
        may be of a later era.

        Args:
            position: Position of the full state.
        """
        self._changes.clear()
        self._complete_after = position.revision
        self.position = position

    def append(self, change: Change, revision: Revision) -> None:
        """Adds a change from a read up to a revision of the current era.

        Of the configurations, the log keeps the latest one: it supersedes the others, which may be
        as large as all other changes together.
        """
        if isinstance(change, TableChange):
            others = (item for item in self._changes if not isinstance(item[1], TableChange))
            self._changes = deque(others)
        self._changes.append((revision, change))
        while len(self._changes) > MAX_CHANGES:
            self._complete_after = self._changes.popleft()[0]

    def advance(self, position: StorePosition) -> None:
        """Records that everything up to a position has been read."""
        if self.position == NO_POSITION:
            self._complete_after = position.revision
        self.position = max(self.position, position)

    def changes_after(self, position: StorePosition) -> tuple[Change, ...] | None:
        """Returns the changes after a position.

        Returns:
            The changes, or None if the log does not hold all of them. It never does for a position
            of another era.
        """
        if position.era != self.position.era or position.revision < self._complete_after:
            return None
        return tuple(change for revision, change in self._changes if revision > position.revision)

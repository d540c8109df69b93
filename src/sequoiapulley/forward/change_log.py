"""Log of the most recent changes that a node applied, for peers that read from it."""

from __future__ import annotations

from collections import deque
from typing import Final

from sequoiapulley.forward.state import Change
from sequoiapulley.ids import Revision

MAX_CHANGES: Final = 2_000
"""Maximum number of changes in the log; a peer that misses more receives the full state. A
repartition of the largest deployment makes several hundred."""
NO_REVISION: Final = Revision(0)


class ChangeLog:
    """Ordered changes, each with the store revision up to which this node had read them."""

    def __init__(self) -> None:
        """Initialise an empty log."""
        self._changes: deque[tuple[Revision, Change]] = deque()
        self._complete_after = NO_REVISION
        self.revision = NO_REVISION
        """Store revision up to which this node has read everything; 0 before the first read."""

    def append(self, change: Change, revision: Revision) -> None:
        """Adds a change from a read up to a revision."""
        self._changes.append((revision, change))
        while len(self._changes) > MAX_CHANGES:
            self._complete_after = self._changes.popleft()[0]

    def advance(self, revision: Revision) -> None:
        """Records that everything up to a revision has been read."""
        if self.revision == NO_REVISION:
            self._complete_after = revision
        self.revision = max(self.revision, revision)

    def changes_after(self, revision: Revision) -> tuple[Change, ...] | None:
        """Returns the changes after a revision, or None if the log no longer holds all of them."""
        if revision < self._complete_after:
            return None
        return tuple(change for read_revision, change in self._changes if read_revision > revision)

"""Position in the history of the store up to which a state has been read."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from sequoiapulley.ids import Era, Revision


class StorePosition(Struct, frozen=True, order=True):
    """Era and revision of the store up to which everything has been read.

    Each restoration of the store from a copy starts a new era. Revisions are comparable only within
    an era: a restored store assigns those after the copy again, to other changes.
    """

    era: Era
    """Number of the era; 0 if the store has not reported one."""
    revision: Revision


NO_ERA: Final = Era(0)
NO_POSITION: Final = StorePosition(NO_ERA, Revision(0))
"""Position of a node that has read nothing."""

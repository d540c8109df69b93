"""The configuration version whose effect a node's callers may have seen."""

from __future__ import annotations

from typing import Final

from sequoiapulley.ids import ConfigVersion

MAX_APPLY_S: Final = 3.0
"""Bound on the time from the write of a version to its activation on all nodes, after which a node
that cannot read the store serves by itself."""


class ShownVersion:
    """Latest version with which a request of this node's callers was served, here or elsewhere.

    Callers of one node must not see an older configuration after a newer one. Another node may
    apply a version earlier or later than this one.
    """

    def __init__(self) -> None:
        """Initialise before the first request."""
        self.version = ConfigVersion(0)
        self.unknown_until = float("-inf")
        """Clock reading until which a node that states no version served callers; what it served
        with is at most the version that the store had then."""
        self._used_unknown = False

    def record(self, version: ConfigVersion) -> None:
        """Records that a request is about to be served with a version."""
        self.version = max(self.version, version)

    def record_unknown(self) -> None:
        """Records that a request is sent to a node that does not state its version."""
        self._used_unknown = True

    def end_cut(self, now: float) -> None:
        """Records that this node is in contact with the upstreams again.

        Args:
            now: Clock reading in seconds.
        """
        if self._used_unknown:
            self._used_unknown = False
            self.unknown_until = now

    def is_ahead(self, version: ConfigVersion, read_at: float, now: float) -> bool:
        """Returns whether callers may have seen a later version.

        Args:
            version: The version that this node has applied.
            read_at: Clock reading at which the store was in the state that this node has read.
            now: Clock reading in seconds.
        """
        if self.version > version:
            return True
        return read_at < self.unknown_until and now < self.unknown_until + MAX_APPLY_S

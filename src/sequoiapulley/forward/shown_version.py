"""The configuration version whose effect a node's callers may have seen."""

from __future__ import annotations

from sequoiapulley.ids import ConfigVersion


class ShownVersion:
    """Latest version with which a request of this node's callers was served, here or elsewhere.

    Callers of one node must not see an older configuration after a newer one. Another node may
    apply a version earlier or later than this one.
    """

    def __init__(self) -> None:
        """Initialise before the first request."""
        self.version = ConfigVersion(0)

    def record(self, version: ConfigVersion) -> None:
        """Records that a request is about to be served with a version."""
        self.version = max(self.version, version)

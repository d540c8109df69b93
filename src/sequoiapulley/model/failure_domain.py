"""Failure domains of a region."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import FailureDomainName, RegionName


class FailureDomain(Struct, frozen=True):
    """A failure domain and the region that contains it."""

    name: FailureDomainName
    region: RegionName

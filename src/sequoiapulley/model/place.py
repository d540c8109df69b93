"""A place: one failure domain inside a region."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import PlaceName, RegionName


class Place(Struct, frozen=True):
    """A failure domain and the region that contains it."""

    name: PlaceName
    region: RegionName

"""The operators' world: places, contracts, services, instances and upstreams."""

from __future__ import annotations

from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.contract import Contract
from sequoiapulley.model.place import Place
from sequoiapulley.model.service import Instance, Objectives, SearchPolicy, Service, Upstream
from sequoiapulley.model.snapshot import Snapshot

__all__ = [
    "Configuration",
    "Contract",
    "Instance",
    "Objectives",
    "Place",
    "SearchPolicy",
    "Service",
    "Snapshot",
    "Upstream",
]

"""Domain model of the configuration: failure domains, contracts, services and upstreams."""

from __future__ import annotations

from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.contract import Contract
from sequoiapulley.model.failure_domain import FailureDomain
from sequoiapulley.model.service import Instance, Objectives, SearchPolicy, Service, Upstream
from sequoiapulley.model.snapshot import Snapshot

__all__ = [
    "Configuration",
    "Contract",
    "FailureDomain",
    "Instance",
    "Objectives",
    "SearchPolicy",
    "Service",
    "Snapshot",
    "Upstream",
]

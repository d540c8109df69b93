"""Adapters of the platform that runs the nodes: its key-value store and its list of VMs."""

from __future__ import annotations

from sequoiapulley.platform.store import (
    Store,
    StoreError,
    StoreErrorKind,
    StoreValue,
)
from sequoiapulley.platform.vm_list import VmList, VmRecord, VmState

__all__ = [
    "Store",
    "StoreError",
    "StoreErrorKind",
    "StoreValue",
    "VmList",
    "VmRecord",
    "VmState",
]

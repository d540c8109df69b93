"""Interface of the platform's list of live and leaving VMs; the list may be out of date."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct, field
from result import Result

from sequoiapulley.ids import FailureDomainName


class VmState(Enum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(Struct, frozen=True):
    """A VM in the list; its encoded field names and states are the platform's."""

    name: str
    host: str
    """IP address."""
    port: int
    """Membership port of the node on the VM."""
    failure_domain: FailureDomainName = field(name="place")
    state: VmState


class VmListing(Struct, frozen=True):
    """The records of the list, and what is wrong with those that cannot be used."""

    vms: tuple[VmRecord, ...]
    unreadable: tuple[str, ...] = ()


VmListReply = Result[VmListing, str]


class VmList(Protocol):
    """Reads the platform's list, which may be out of date, wrong or empty."""

    def fetch(self, done: Callable[[VmListReply], None]) -> None:
        """Fetches the list; the callback runs once, later, on the event loop."""

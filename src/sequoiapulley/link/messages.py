"""Messages on a stream between two nodes."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from sequoiapulley.fleet.config_messages import ConfigDelta, ConfigFull, ConfigRequest
from sequoiapulley.ids import Incarnation, NodeId, WorkspaceName
from sequoiapulley.requests.messages import RunOrder, RunReport
from sequoiapulley.search.messages import CancelSearch, GroupReply, GroupSearch

PROTOCOL_VERSION: Final = 1
OLDEST_VERSION: Final = 1


class LinkHello(Struct, frozen=True, tag="hello"):
    """The first message in each direction of a stream."""

    workspace: WorkspaceName = field(name="customer")
    node: NodeId
    incarnation: Incarnation
    version: int = PROTOCOL_VERSION
    """Protocol version of the sender."""
    oldest: int = OLDEST_VERSION
    """Oldest protocol version that the sender supports."""


class LinkPing(Struct, frozen=True, tag="ping"):
    """Requests a `LinkPong`, to distinguish an unresponsive stream from an idle one."""

    number: int


class LinkPong(Struct, frozen=True, tag="pong"):
    """Reply to a `LinkPing`."""

    number: int
    """Number of the ping."""


LinkMessage = (
    GroupSearch
    | GroupReply
    | CancelSearch
    | RunOrder
    | RunReport
    | ConfigFull
    | ConfigDelta
    | ConfigRequest
)
"""Messages that the components of a node send with `PeerLink.send`."""

StreamMessage = LinkMessage | LinkPing | LinkPong
"""Messages that frames hold: link messages, and the pings and pongs of the link itself."""

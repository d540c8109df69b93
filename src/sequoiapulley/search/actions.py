"""Actions that the search state machines return."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.search.messages import CancelSearch, GroupReply, GroupSearch, SearchAnswer
from sequoiapulley.upstream.messages import SubSearch


class SearchAction(Struct, frozen=True, tag=True):
    """An action returned by `SearchCoordinator`."""


class SendGroupSearch(SearchAction, frozen=True):
    """Send a group search to a home node."""

    node: NodeId
    message: GroupSearch


class SendCancelSearch(SearchAction, frozen=True):
    """Send the cancellation of a group search to a home node."""

    node: NodeId
    message: CancelSearch


class DeliverAnswer(SearchAction, frozen=True):
    """Deliver the answer to the caller."""

    answer: SearchAnswer


class HomeAction(Struct, frozen=True, tag=True):
    """An action returned by `HomeService`."""


class SubmitSubSearch(HomeAction, frozen=True):
    """Submit a sub-search, the search of one shard, to the upstream dispatcher."""

    sub: SubSearch


class CancelSubSearch(HomeAction, frozen=True):
    """Cancel a sub-search at the upstream dispatcher."""

    sub_id: int


class SendGroupReply(HomeAction, frozen=True):
    """Send a batch of shard replies to the entry node."""

    node: NodeId
    message: GroupReply

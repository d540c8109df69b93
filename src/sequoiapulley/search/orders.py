"""Orders that the search decisions give to their surroundings."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import NodeId
from sequoiapulley.search.messages import CancelSearch, GroupReply, GroupSearch, SearchAnswer
from sequoiapulley.upstream.messages import SubSearch


class SearchOrder(Struct, frozen=True, tag=True):
    """An order of the entry's search decisions."""


class SendGroup(SearchOrder, frozen=True):
    """Send a group search to a home."""

    node: NodeId
    message: GroupSearch


class SendCancel(SearchOrder, frozen=True):
    """Tell a home that a group search is not wanted any more."""

    node: NodeId
    message: CancelSearch


class FinishSearchRequest(SearchOrder, frozen=True):
    """Give the caller its answer."""

    answer: SearchAnswer


class HomeOrder(Struct, frozen=True, tag=True):
    """An order of the home's search decisions."""


class SubmitSub(HomeOrder, frozen=True):
    """Submit one shard's search to the dispatcher."""

    sub: SubSearch


class CancelSub(HomeOrder, frozen=True):
    """Withdraw one shard's search from the dispatcher."""

    sub_id: int


class SendGroupReply(HomeOrder, frozen=True):
    """Send a batch of shard replies to the entry."""

    node: NodeId
    message: GroupReply

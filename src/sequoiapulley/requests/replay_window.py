"""Replay protection for run orders, in bounded space."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import Incarnation, NodeId

MAX_SENDERS: Final = 2048
MAX_RUN_IDS_PER_SENDER: Final = 4096


class _Sender(Struct):
    """Run ids received from the latest incarnation of a sender."""

    incarnation: Incarnation
    seen: dict[int, None] = {}
    floor: int = 0
    """Run ids up to and including this one are refused."""


class ReplayWindow:
    """Decides whether a run order is the first with its id.

    An order is refused if its id was received before, if its id is so low that it may have been
    evicted, or if it comes from an earlier incarnation of its sender. The ids of the least recently
    active sender are discarded when there are more than `MAX_SENDERS`; its duplicates are no longer
    recognised.
    """

    def __init__(self, max_run_ids: int = MAX_RUN_IDS_PER_SENDER) -> None:
        """Initialise without senders.

        Args:
            max_run_ids: Maximum number of run ids stored for each sender.
        """
        self._max_run_ids = max_run_ids
        self._senders: OrderedDict[NodeId, _Sender] = OrderedDict()

    def admit(self, node: NodeId, incarnation: Incarnation, run_id: int) -> bool:
        """Records a run id.

        Args:
            node: The sender of the order.
            incarnation: The sender's incarnation.
            run_id: Id of the order; ids increase within an incarnation.

        Returns:
            Whether the order is provably the first with its id.
        """
        sender = self._senders.get(node)
        if sender is None or incarnation > sender.incarnation:
            sender = _Sender(incarnation)
            self._senders[node] = sender
        self._senders.move_to_end(node)
        if len(self._senders) > MAX_SENDERS:
            self._senders.popitem(last=False)
        if incarnation < sender.incarnation:
            return False
        if run_id <= sender.floor or run_id in sender.seen:
            return False
        sender.seen[run_id] = None
        if len(sender.seen) > self._max_run_ids:
            oldest = next(iter(sender.seen))
            del sender.seen[oldest]
            sender.floor = max(sender.floor, oldest)
        return True

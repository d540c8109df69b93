"""Memory of the run orders that a home has seen, in bounded space."""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from sequoiapulley.ids import Incarnation, NodeId

MAX_SENDERS: Final = 2048
MAX_RUN_IDS_PER_SENDER: Final = 4096


class _Sender(Struct):
    """Run ids of one sender's latest incarnation."""

    incarnation: Incarnation
    seen: dict[int, None] = {}
    floor: int = 0
    """Run ids up to this one count as seen."""


class RunWindow:
    """Tells whether a run order is the first with its id.

    An order is refused when its id was seen, when its id is so old that it may have been
    forgotten, or when it comes from an earlier incarnation of its sender.
    """

    def __init__(self, max_run_ids: int = MAX_RUN_IDS_PER_SENDER) -> None:
        """Initialise without senders.

        Args:
            max_run_ids: Run ids kept for each sender.
        """
        self._max_run_ids = max_run_ids
        self._senders: OrderedDict[NodeId, _Sender] = OrderedDict()

    def admit(self, node: NodeId, incarnation: Incarnation, run_id: int) -> bool:
        """Records a run id.

        Args:
            node: The sender.
            incarnation: The sender's incarnation.
            run_id: Rising within the incarnation.

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

"""Delivers messages to nodes, this one included."""

from __future__ import annotations

from typing import Protocol

from circuits import BaseComponent

from sequoiapulley.daemon.node_events import MessageArrived
from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.link.messages import LinkMessage


class Link(Protocol):
    """The way to other nodes."""

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Queues a message; False if it was refused and never leaves this process."""


class Postbox(BaseComponent):
    """Sends through the link, or fires an event for a message to this node itself."""

    channel = "postbox"

    def __init__(self, me: NodeId, incarnation: Incarnation, link: Link) -> None:
        """Initialise the postbox.

        Args:
            me: This node.
            incarnation: Its incarnation on the link.
            link: The way to other nodes.
        """
        super().__init__()
        self._me = me
        self._incarnation = incarnation
        self._link = link

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Sends a message.

        Args:
            node: The receiver.
            message: What to send.

        Returns:
            False if the message is known not to leave this process.
        """
        if node == self._me:
            self.fire(MessageArrived(node, self._incarnation, message), "node")
            return True
        return self._link.send(node, message)

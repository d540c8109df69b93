"""Routes messages to other nodes and to this node itself."""

from __future__ import annotations

from typing import Protocol

from circuits import BaseComponent

from sequoiapulley.daemon.node_events import MessageArrived
from sequoiapulley.ids import Incarnation, NodeId
from sequoiapulley.link.messages import LinkMessage


class Link(Protocol):
    """Sends messages to other nodes."""

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Queues a message; returns False if it is refused and will never be sent."""


class MessageRouter(BaseComponent):
    """Sends messages over the link; a message to this node itself becomes an event."""

    channel = "postbox"

    def __init__(self, local_node: NodeId, incarnation: Incarnation, link: Link) -> None:
        """Initialise the router.

        Args:
            local_node: This node.
            incarnation: Its incarnation on the link.
            link: Sends messages to other nodes.
        """
        super().__init__()
        self._local_node = local_node
        self._incarnation = incarnation
        self._link = link

    def send(self, node: NodeId, message: LinkMessage) -> bool:
        """Sends a message.

        Args:
            node: The recipient.
            message: The message.

        Returns:
            False if the message was refused and will never be sent.
        """
        if node == self._local_node:
            self.fire(MessageArrived(node, self._incarnation, message), "node")
            return True
        return self._link.send(node, message)

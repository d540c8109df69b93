"""Events between the components of one daemon."""

from __future__ import annotations

from circuits import Event


class MessageArrived(Event):
    """A message of a node arrived.

    Args:
        node: The sender; this node for a message that it sent to itself.
        incarnation: The sender's incarnation on the link.
        message: One of the link messages.
    """


class MessageUnsent(Event):
    """A message that the link had accepted was never sent.

    Args:
        node: The recipient.
        message: One of the link messages.
    """


class NodeLost(Event):
    """A node is dead, or the link to it was lost.

    Args:
        node: The node.
    """


class ConfigurationApplied(Event):
    """A newer configuration became active on this node.

    Args:
        configuration: The validated configuration.
    """


class MembersChanged(Event):
    """The members of the fleet, as this node sees them, have changed.

    Args:
        members: All known members.
    """


class MemberStarted(Event):
    """A node has started, and this node is one of those that tell it what the fleet refuses."""


class StrikeObserved(Event):
    """A strike that this node observed: a request was in flight when its upstream went down.

    Args:
        strike: The dispatcher's `NewStrike`.
    """


class StrikeReceived(Event):
    """Another node reported a strike.

    Args:
        strike: The other node's `NewStrike`.
    """

"""Events between the components of one daemon."""

from __future__ import annotations

from circuits import Event


class MessageArrived(Event):
    """A message of a node arrived.

    Args:
        node: The sender; this node itself for a message that never left it.
        incarnation: The sender's incarnation on the link.
        message: One of the link messages.
    """


class MessageUnsent(Event):
    """A message that the link had accepted never left this process.

    Args:
        node: The node it was for.
        message: One of the link messages.
    """


class NodeLost(Event):
    """A node is dead, or the link to it broke.

    Args:
        node: The node.
    """


class ConfigurationApplied(Event):
    """A newer configuration came into force on this node.

    Args:
        configuration: The checked configuration.
    """


class MembersChanged(Event):
    """The view of the fleet changed.

    Args:
        members: Every known member.
    """


class StrikeSeen(Event):
    """A request was in flight when an upstream went down, as this node saw it.

    Args:
        strike: The dispatcher's `NewStrike`.
    """


class StrikeHeard(Event):
    """Another node reported a strike.

    Args:
        strike: Its `NewStrike`.
    """

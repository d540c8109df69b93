"""Log events of the link between nodes."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

LINK_UP: Final = define_event(6001, "link_up", Severity.INFO, "A stream to a node was opened.")
LINK_DOWN: Final = define_event(
    6002,
    "link_down",
    Severity.INFO,
    "The last stream to a node closed, or no stream to the node could be opened.",
    "None while the node restarts; otherwise check the state of the node in the membership.",
)
LINK_REFUSED: Final = define_event(
    6003,
    "link_refused",
    Severity.WARNING,
    "A peer sent no valid hello in time, or its hello names another workspace or an unsupported "
    "protocol version.",
    "Compare the settings and the software versions of both nodes.",
)
LINK_PLAINTEXT: Final = define_event(
    6004,
    "link_plaintext",
    Severity.WARNING,
    "Streams between nodes are neither encrypted nor authenticated, because no TLS files are "
    "configured.",
    "Configure TLS unless all nodes run on loopback addresses; see docs/operators/keys.md.",
)
LINK_FRAME_REFUSED: Final = define_event(
    6005,
    "link_frame_refused",
    Severity.WARNING,
    "A frame from a peer could not be decoded and was dropped.",
    "Compare the software versions of both nodes.",
)
LINK_UNKNOWN_MESSAGE: Final = define_event(
    6006,
    "link_unknown_message",
    Severity.INFO,
    "A peer sent a message that this version cannot decode, such as one of a newer type; it was "
    "skipped.",
    "None during an upgrade.",
)
LINK_QUEUE_FULL: Final = define_event(
    6007,
    "link_queue_full",
    Severity.WARNING,
    "Messages to a node were refused because its queue was full; logged with their number after "
    "the next link_down.",
    "The node or the network path to it is too slow; check its load.",
)
LINK_TLS_UNREADABLE: Final = define_event(
    6008,
    "link_tls_unreadable",
    Severity.ERROR,
    "A TLS file could not be read; the contents read before stay in use.",
    "Restore the file; see docs/operators/keys.md.",
)
LINK_TLS_CHANGED: Final = define_event(
    6009, "link_tls_changed", Severity.INFO, "The TLS files changed and were reloaded."
)
LINK_MESSAGE_TOO_LARGE: Final = define_event(
    6010,
    "link_message_too_large",
    Severity.ERROR,
    "A message larger than the size limit of the link was not sent.",
    "Lower the limit on hits per search, or split the configuration.",
)

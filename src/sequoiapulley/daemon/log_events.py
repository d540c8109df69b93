"""Log events of the daemon."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe import Severity, define_event

NODE_STARTED: Final = define_event(
    1001, "node_started", Severity.INFO, "The daemon has bound its ports and is serving."
)
LEAVE_STARTED: Final = define_event(
    1002,
    "leave_started",
    Severity.INFO,
    "The daemon received a signal to shut down; it continues to serve until callers' cached entry "
    "addresses have expired and every request in flight is answered.",
)
NODE_STOPPED: Final = define_event(
    1003, "node_stopped", Severity.INFO, "The daemon has shut down and the process exits."
)
LEAVE_TIMED_OUT: Final = define_event(
    1004,
    "leave_timed_out",
    Severity.WARNING,
    "Requests were still in flight when the drain timeout of the shutdown expired.",
    "Look for an upstream that keeps requests open; see the on-call page on shutdown.",
)
SETTINGS_INVALID: Final = define_event(
    1005,
    "settings_invalid",
    Severity.ERROR,
    "The settings file is invalid; each error is printed with its position, and the daemon does "
    "not start.",
    "Correct the errors at the printed positions and start the daemon again.",
)
ADDRESS_IN_USE: Final = define_event(
    1006,
    "address_in_use",
    Severity.ERROR,
    "An address from the settings could not be bound; the daemon does not start.",
    "Stop the process that uses the address, or change the settings.",
)
KEY_FILE_UNUSABLE: Final = define_event(
    1007,
    "key_file_unusable",
    Severity.ERROR,
    "The membership key file or a TLS file from the settings cannot be read or is invalid; the "
    "daemon does not start.",
    "Correct the file that the error names; see the page on keys.",
)
UNEXPECTED_ERROR: Final = define_event(
    1008,
    "unexpected_error",
    Severity.ERROR,
    "The processing of a message or a timer failed with an error that the program does not expect. "
    "The request concerned gets status 502 or ends at its timeout; others are not affected.",
    "Report the line; `trace` names the place in the program.",
)
CONNECTION_ENDED: Final = define_event(
    1009,
    "connection_ended",
    Severity.WARNING,
    "The process ended a connection of `caller` at `port`, as its connections together exceeded a "
    "limit. With reason `memory`, it occupied `bytes` of the `total` bytes of all connections. "
    "With `descriptors`, it made room for a new one beside `total` sockets; with "
    "`no_descriptor`, it was new, and all others were serving requests. A request that may have "
    "run gets status 502, any other 503 or a closed connection. `left_out` lines with that reason "
    "were not written.",
    "If few callers cause it, keep them away from the node. If all do, the VM is too small for the "
    "load: see the limits on connections in OPERATIONS.md.",
)
ACCEPT_FAILED: Final = define_event(
    1010,
    "accept_failed",
    Severity.ERROR,
    "A connection at `port` could not be accepted for want of a descriptor or of memory; the port "
    "accepts none for 0.1 s, and others are ended.",
    "Compare the limit on descriptors in the settings with that of the operating system.",
)
CONFIGURATION_APPLIED: Final = define_event(
    7001,
    "configuration_applied",
    Severity.INFO,
    "A newer configuration is active on this node.",
)
CONFIGURATION_UNREADABLE: Final = define_event(
    7002,
    "configuration_unreadable",
    Severity.ERROR,
    "A newer configuration failed this node's validation; the node keeps its active configuration.",
    "Apply a corrected text; if nodes of different software versions disagree, finish the upgrade.",
)
STORE_UNREACHABLE: Final = define_event(
    7003,
    "store_unreachable",
    Severity.WARNING,
    "The platform's store does not answer; searches continue, edits and claims are refused.",
    "See the page on outages of the store.",
)
STORE_REACHABLE: Final = define_event(
    7004, "store_reachable", Severity.INFO, "The platform's store answers again."
)
VM_LIST_UNREADABLE: Final = define_event(
    7005,
    "vm_list_unreadable",
    Severity.WARNING,
    "The platform's VM list could not be fetched; the last one fetched remains in use.",
    "Check the platform's VM list service.",
)
VM_RECORDS_UNREADABLE: Final = define_event(
    7006,
    "vm_records_unreadable",
    Severity.WARNING,
    "Records in the platform's VM list cannot be decoded or have no usable address; the others "
    "are used. `error` is about the first of them.",
    "Look for who wrote the records.",
)
